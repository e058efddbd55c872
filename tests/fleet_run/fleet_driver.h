/// \file
/// Runs the decision logic of all roles together in one thread, with a
/// simulated clock and a network and disks controlled by one seed, and checks
/// the invariants after every step.
///
/// Links lose, duplicate, delay and reorder messages; processes stop, freeze
/// and restart; disks are lost. Engines are modelled at the agent's interface
/// only: they hold rows and echo the body of the request.
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
  double LossProbability = 0.02;
  double DuplicationProbability = 0.02;
  Millis MaxDelay{20};
  bool EnginesHonourFences = true;
  int Engines = 3;
  int Entries = 2;
};

/// Persistent state of one control member.
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

/// State of one process, independent of its role.
struct ProcessState {
  bool IsUp = true;
  TimePoint FrozenUntil;
  std::deque<std::function<void()>> Inbox;
  uint64_t Incarnation = 1; ///< Start counter, used in place of the start time.
};

/// A caller request and its outcome.
struct CallerRecord {
  CallerRequest Request;
  std::string Organisation;
  std::string KeyId;
  std::string Entry;
  TimePoint Sent;
  bool IsRepeatable = true;
  std::string ReceivedBody;
  bool HasHead = false;
  int OutcomeCount = 0; ///< Must not exceed one.
  std::optional<Refusal> ReceivedRefusal;
  bool HasResponse = false;
  bool IsLost = false; ///< The entry was down or failed before the outcome.
  int Runs = 0;
};

/// Tokens charged for one request, replaced by those that its response used
/// once the response is complete.
struct TokenCharge {
  TimePoint At;
  std::string Organisation;
  std::string Request;
  double Tokens = 0;
};

class FleetDriver {
public:
  explicit FleetDriver(RunOptions Options);

  /// Advances the simulated time by \p Duration. No further event is executed
  /// after the first violation.
  void run(Millis Duration);
  /// Schedules \p Action after \p Delay of simulated time.
  void after(Millis Delay, std::function<void()> Action);
  TimePoint now() const { return Now; }
  std::mt19937_64 &random() { return Random; }
  /// Returns true with probability \p Probability.
  bool chance(double Probability);
  /// Draws a uniformly distributed time, both bounds included.
  Millis randomMillis(int64_t Min, int64_t Max);

  // Faults.
  void kill(const std::string &Node);
  void restart(const std::string &Node);
  void loseDisk(const std::string &Node);
  void freeze(const std::string &Node, Millis Duration);
  void cutLink(const std::string &From, const std::string &To, Millis Duration);
  void isolate(const std::string &Node, Millis Duration);
  void crashEngine(const std::string &Node, Millis DownTime);
  void startLeaving(const std::string &Node);

  // Callers and operators.
  std::string send(const std::string &Entry, const std::string &KeyId,
                   const std::string &Row, const std::string &Body,
                   uint64_t Cost);
  /// Sends a request to the service, which must not be repeated.
  void sendCharge(const std::string &Entry, const std::string &KeyId,
                  const std::string &Body);
  void propose(const std::string &OperationId, wire::Command Command);
  void putTable(const std::string &OperationId, uint64_t Base,
                const std::vector<wire::TableRow> &Rows);
  void grantKey(const std::string &Id, const std::string &Organisation);
  void withdrawKey(const std::string &Id);

  /// Description of the first violated invariant, or empty.
  const std::string &violation() const { return Violation; }
  /// Returns a control member that is running and may propose, or null.
  ControlNode *leader();
  /// Returns the state at the highest version that any member has applied.
  const FleetState &newestFleet() const;
  /// Final replies to operations, by id.
  std::map<std::string, wire::ProposalReply> OperationReplies;
  std::map<std::string, TimePoint> RepliedAt;
  std::map<std::string, CallerRecord> Callers;
  std::map<std::string, ControlNode> Controls;
  std::map<std::string, EntryNode> Entries;
  std::map<std::string, AgentNode> Agents;
  std::map<std::string, ProcessState> Processes;
  /// Time at which the withdrawal of a key was accepted, by key id.
  std::map<std::string, TimePoint> WithdrawnAt;
  /// Executions of requests that must not repeat, by organisation and body.
  std::map<std::string, int> RunsByBody;
  std::vector<TokenCharge> TokenCharges;
  uint64_t StepCount = 0;
  /// No loss, duplication or long delay of messages, and no crash of a control
  /// member between two effects.
  bool IsNetworkReliable = false;
  /// Probability that an engine fails an exchange or a load order, or that the
  /// reply to an order is lost.
  double FailureProbability = 0.03;

  /// Records a violated invariant; only the first one is kept.
  void fail(const std::string &What);
  /// Checks the token usage of \p Organisation against a bucket of \p Rate
  /// tokens per second and \p Burst tokens.
  void checkQuota(const std::string &Organisation, double Rate, double Burst);

private:
  void tick(const std::string &Node);
  void deliver(const std::string &To, const std::string &From,
               wire::Envelope Message);
  void dispatch(const std::string &Node, const wire::Envelope &Message);
  void transmit(const std::string &From, const std::string &To,
                wire::Envelope Message);
  void stepOf(ControlNode &Node, const ControlEvent &Event);
  void stepOf(EntryNode &Node, const EntryEvent &Event);
  void stepOf(AgentNode &Node, const AgentEvent &Event);
  void perform(AgentNode &Node, AgentEffect &Effect);
  void persist(FakeDisk &Disk, const ControlEffect &Effect);
  void startEngineRun(AgentNode &Node, const StartExchange &Start);
  void executeOrder(AgentNode &Node, const SendOrder &Order);
  void announce(const std::string &Node);
  void handleOperatorReply(const wire::Envelope &Message);
  void finish(const std::string &Id);
  void check();
  void checkEngines();
  void checkEntry(const EntryNode &Node);
  void checkWaiting(const EntryNode &Node);
  void checkReplication(const ControlNode &Node);
  bool isReachable(const std::string &From, const std::string &To) const;
  /// Runs \p Action for a node now, or as soon as it is no longer frozen. Drops
  /// it if the process is down.
  void whenAwake(const std::string &Node, std::function<void()> Action);
  void drainInbox(const std::string &Node);
  void startControl(ControlNode &Node);

  RunOptions Options;
  std::mt19937_64 Random;
  TimePoint Now;
  TimePoint End;
  std::multimap<TimePoint, std::function<void()>> Queue;
  std::map<std::pair<std::string, std::string>, TimePoint> CutLinks;
  void updateNewestState(const ControlNode &Node);
  FleetState NewestState;
  void resend(const std::string &OperationId);
  std::map<std::string, wire::Command> PendingOperations;
  std::map<std::string, uint64_t> CheckedVersion;
  std::set<std::string> ChargedRequests; ///< Ids in TokenCharges.
  std::map<std::string, TimePoint> LeavingSince;
  std::map<uint64_t, std::string> AppliedDigests;
  std::map<std::string, uint64_t> NewestView;
  std::string Violation;
  uint64_t Serial = 0;
};

/// Returns the table rows of all runs: two organisations, three models, an
/// adapter and a service whose requests must not be repeated.
std::vector<wire::TableRow> testTableRows();

} // namespace sassafras

#endif
