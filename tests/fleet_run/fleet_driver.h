/// \file
/// Drives the decisions of all roles together in one thread, with a seeded
/// clock, network and disk, and checks the promises after every step.
///
/// Links lose, double, delay and reorder; processes stop, freeze and restart;
/// disks are lost. Engines are a few lines at the interface: they hold rows
/// and give back what they were sent.
#ifndef SASSAFRAS_TESTS_FLEET_RUN_FLEET_DRIVER_H
#define SASSAFRAS_TESTS_FLEET_RUN_FLEET_DRIVER_H

#include "agent/agent_state.h"
#include "control/control_state.h"
#include "entry/entry_state.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace sassafras {

struct RunOptions {
  uint64_t Seed = 1;
  double Loss = 0.02;
  double Doubling = 0.02;
  Millis MaxDelay{20};
  bool EnginesHonourFences = true;
  int Engines = 3;
  int Entries = 2;
};

/// Files of one control member.
struct FakeDisk {
  bool IsBlank = true;
  uint64_t Identity = 0;
  wire::Snapshot Snapshot;
  wire::HardState HardState;
  std::vector<wire::LogEntry> Entries;
};

struct ControlNode {
  std::string Name;
  ControlState State;
  FakeDisk Disk;
};
struct EntryNode {
  std::string Name;
  EntryState State;
};
struct EngineRow {
  uint64_t MemoryMb = 0;
  bool IsLoading = false;
};
struct FakeEngine {
  uint64_t Incarnation = 1;
  bool IsUp = true;
  bool IsLeaving = false;
  uint64_t NewestFence = 0;
  std::map<std::string, EngineRow> Rows;
};
struct AgentNode {
  std::string Name;
  AgentState State;
  FakeEngine Engine;
  bool IsService = false;
};

/// What is known of one process whatever its role.
struct ProcessState {
  bool IsUp = true;
  TimePoint FrozenUntil;
  std::deque<std::function<void()>> Inbox;
  uint64_t Incarnation = 1; ///< Stands in for the time of its start.
};

/// A request and what became of it.
struct CallerRecord {
  CallerRequest Request;
  std::string Tenant;
  std::string KeyId;
  std::string Entry;
  TimePoint Sent;
  bool IsRepeatable = true;
  std::string Got;
  bool HasHead = false;
  int Ends = 0; ///< Terminal outcomes; never more than one.
  std::optional<Refusal> Why;
  bool IsAnswered = false;
  bool IsLost = false; ///< Its entry died.
  int Runs = 0;
};

struct Charge {
  TimePoint At;
  std::string Tenant;
  std::string Request;
  double Tokens = 0;
};

class FleetDriver {
public:
  explicit FleetDriver(RunOptions Options);

  /// Runs until \p Span has passed.
  void run(Millis Span);
  /// Does \p Action at \p Wait from now.
  void after(Millis Wait, std::function<void()> Action);
  TimePoint now() const { return Now; }
  std::mt19937_64 &random() { return Random; }
  bool chance(double Share);
  Millis between(int64_t Least, int64_t Most);

  // Faults.
  void kill(const std::string &Node);
  void restart(const std::string &Node);
  void loseDisk(const std::string &Node);
  void freeze(const std::string &Node, Millis Span);
  void cut(const std::string &From, const std::string &To, Millis Span);
  void isolate(const std::string &Node, Millis Span);
  void crashEngine(const std::string &Node, Millis DownTime);
  void leaveEngine(const std::string &Node);

  // Callers and operators.
  std::string send(const std::string &Entry, const std::string &KeyId,
                   const std::string &Row, const std::string &Body,
                   uint64_t Cost);
  void charge(const std::string &Entry, const std::string &KeyId,
              const std::string &Body);
  void propose(const std::string &OperationId, wire::Command Command);
  void putTable(const std::string &OperationId, uint64_t Base,
                const std::vector<wire::TableRow> &Rows);
  void grantKey(const std::string &Id, const std::string &Tenant);
  void withdrawKey(const std::string &Id);

  /// First broken promise, or empty.
  const std::string &violation() const { return Violation; }
  /// Control member that may propose, or null.
  ControlNode *leader();
  /// Everything that any member has ever applied.
  const FleetState &newestFleet() const;
  /// Answers to operations by id.
  std::map<std::string, wire::ProposalReply> OperationReplies;
  std::map<std::string, TimePoint> RepliedAt;
  std::map<std::string, CallerRecord> Callers;
  std::map<std::string, ControlNode> Controls;
  std::map<std::string, EntryNode> Entries;
  std::map<std::string, AgentNode> Agents;
  std::map<std::string, ProcessState> Processes;
  std::map<std::string, TimePoint> WithdrawnAt; ///< Keys, when accepted.
  std::map<std::string, int> RunsOfBody;        ///< Of charges.
  std::vector<Charge> Charges;
  uint64_t StepCount = 0;
  bool IsNetworkCalm = false; ///< Nothing lost, doubled or held up.
  double BreakShare = 0.03;   ///< Exchanges and orders that engines break.

  void fail(const std::string &What);
  /// Checks the spending of every tenant against its bucket.
  void checkSpending(const std::string &Tenant, double Rate, double Burst);

private:
  void tick(const std::string &Node);
  void deliver(const std::string &To, const std::string &From,
               wire::Envelope Message);
  void give(const std::string &Node, const wire::Envelope &Message);
  void transmit(const std::string &From, const std::string &To,
                wire::Envelope Message);
  void stepOf(ControlNode &Node, const ControlEvent &Event);
  void stepOf(EntryNode &Node, const EntryEvent &Event);
  void stepOf(AgentNode &Node, const AgentEvent &Event);
  void perform(AgentNode &Node, AgentEffect &Effect);
  void persist(FakeDisk &Disk, const ControlEffect &Effect);
  void startEngineRun(AgentNode &Node, const StartExchange &Start);
  void obeyOrder(AgentNode &Node, const SendOrder &Order);
  void announce(const std::string &Node);
  void takeOperatorReply(const wire::Envelope &Message);
  void finish(const std::string &Id);
  void check();
  void checkEngines();
  void checkEntry(const EntryNode &Node);
  void checkWaiting(const EntryNode &Node);
  void checkReplication(const ControlNode &Node);
  bool isReachable(const std::string &From, const std::string &To) const;
  /// Runs \p Action for a node now, or when it thaws.
  void whenAwake(const std::string &Node, std::function<void()> Action);
  void drainInbox(const std::string &Node);
  void bootControl(ControlNode &Node);

  RunOptions Options;
  std::mt19937_64 Random;
  TimePoint Now;
  TimePoint End;
  std::multimap<TimePoint, std::function<void()>> Queue;
  std::map<std::pair<std::string, std::string>, TimePoint> Cuts;
  void followNewest(const ControlNode &Node);
  FleetState Newest;
  void resend(const std::string &OperationId);
  std::map<std::string, wire::Command> OpenOperations;
  std::map<std::string, uint64_t> CheckedVersion;
  std::set<std::string> SeenCharges;
  std::map<std::string, TimePoint> LeftAt;
  std::map<uint64_t, std::string> AppliedDigests;
  std::map<std::string, uint64_t> NewestView;
  std::string Violation;
  uint64_t Serial = 0;
};

/// Rows that the runs work with: two tenants, three models, an adapter and a
/// service that must not repeat.
std::vector<wire::TableRow> runTable();

} // namespace sassafras

#endif
