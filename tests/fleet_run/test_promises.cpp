/// \file
/// Seeded fault injection: runs the decision logic of all roles together
/// and checks every invariant after every step.
///
/// FLEET_SEEDS sets the number of seeds per test case, FLEET_SEED replays one.
#include "tests/fleet_run/fleet_driver.h"

#include "core/timing.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace sassafras;

namespace {

constexpr Millis InForceBound{7000};
constexpr Millis FaultDuration{20000};
constexpr Millis RecoveryDuration{22000};

uint64_t readEnvironmentNumber(const char *Variable, uint64_t Default) {
  const char *text = std::getenv(Variable);
  return text ? std::strtoull(text, nullptr, 10) : Default;
}

/// Faults of a run, each with its probability per injection.
struct FaultMix {
  const char *Name;
  double Kill = 0.25;
  double Freeze = 0.2;
  double Isolate = 0.2;
  double OneWay = 0.1;
  double EngineCrash = 0.1;
  double DiskLoss = 0.1;
  double Leave = 0.02;
  bool EnginesHonourFences = true;
};

std::string reasonOf(const CallerRecord &Caller) {
  if (!Caller.ReceivedRefusal)
    return "no outcome";
  return std::string(nameOf(Caller.ReceivedRefusal->Reason));
}

class ChaosRun {
public:
  ChaosRun(uint64_t Seed, const FaultMix &Mix)
      : Mix(Mix), Fleet(RunOptions{Seed, 0.02, 0.02, Millis(20),
                                   Mix.EnginesHonourFences}) {}

  std::string run() {
    setUp();
    IsInjecting = true;
    injectFault();
    sendRandomRequest();
    submitEdits();
    Fleet.run(FaultDuration);
    IsInjecting = false;
    stopFaults();
    Fleet.run(RecoveryDuration);
    finalChecks();
    return Fleet.violation();
  }

private:
  void setUp() {
    Fleet.putTable("first table", 0, testTableRows());
    awaitReplies(1);
    for (const char *it : {"alpha:1", "alpha:2", "beta:1", "beta:2"})
      Fleet.grantKey(it, std::string(it).substr(0, std::string(it).find(':')));
    awaitReplies(5);
    for (const auto &[id, reply] : Fleet.OperationReplies)
      if (reply.status() != wire::PROPOSAL_ACCEPTED)
        Fleet.fail("setup operation was refused: " + reply.reason());
    Fleet.run(Millis(4000));
  }

  void awaitReplies(size_t Count) {
    for (int i = 0; i < 200 && Fleet.OperationReplies.size() < Count; ++i)
      Fleet.run(Millis(100));
    if (Fleet.OperationReplies.size() < Count)
      Fleet.fail("setup operation got no reply within 20 s");
  }

  std::string randomProcess() {
    auto it = Fleet.Processes.begin();
    std::advance(
        it,
        Fleet.randomMillis(0, static_cast<int64_t>(Fleet.Processes.size()) - 1)
            .count());
    return it->first;
  }

  std::string randomControl() {
    return "control-" + std::to_string(Fleet.randomMillis(1, 3).count());
  }
  std::string randomEntry() {
    return "entry-" + std::to_string(Fleet.randomMillis(1, 2).count());
  }
  std::string randomEngine() {
    return "engine-" + std::to_string(Fleet.randomMillis(1, 3).count());
  }

  /// Only one disk may be missing at a time. Another one may be lost once all
  /// members are up and are voters with their current disk, and the leader has
  /// committed that membership.
  bool mayLoseDisk() {
    ControlNode *leader = Fleet.leader();
    if (!leader)
      return false;
    for (const auto &[name, node] : Fleet.Controls) {
      if (!Fleet.Processes[name].IsUp)
        return false;
      bool isVoter = false;
      for (const wire::Member &it : leader->State.Raft.Members)
        isVoter |= it.voter() && it.identity() == node.Disk.Identity;
      if (!isVoter)
        return false;
    }
    return leader->State.Raft.MembersIndex <= leader->State.Raft.Commit;
  }

  void killTemporarily(const std::string &Node) {
    if (!Fleet.Processes[Node].IsUp)
      return;
    Fleet.kill(Node);
    Fleet.after(Fleet.randomMillis(50, 4000), [this, Node] {
      if (!Fleet.Processes[Node].IsUp)
        Fleet.restart(Node);
    });
  }

  void injectFault() {
    if (!IsInjecting)
      return;
    double draw =
        static_cast<double>(Fleet.randomMillis(0, 999).count()) / 1000;
    auto isSelected = [&](double Probability) {
      draw -= Probability;
      return draw < 0;
    };
    bool isControl = Fleet.chance(0.5);
    std::string node = isControl ? randomControl() : randomProcess();
    if (isSelected(Mix.Kill))
      killTemporarily(node);
    else if (isSelected(Mix.Freeze))
      Fleet.freeze(node, Fleet.randomMillis(200, 7000));
    else if (isSelected(Mix.Isolate))
      Fleet.isolate(node, Fleet.randomMillis(200, 7000));
    else if (isSelected(Mix.OneWay))
      Fleet.cutLink(node, randomProcess(), Fleet.randomMillis(200, 7000));
    else if (isSelected(Mix.EngineCrash))
      Fleet.crashEngine(randomEngine(), Fleet.randomMillis(200, 3000));
    else if (isSelected(Mix.Leave))
      Fleet.startLeaving("engine-3");
    else if (isSelected(Mix.DiskLoss) && mayLoseDisk()) {
      std::string member = randomControl();
      Fleet.kill(member);
      Fleet.loseDisk(member);
      Fleet.after(Fleet.randomMillis(50, 2000),
                  [this, member] { Fleet.restart(member); });
    }
    Fleet.after(Fleet.randomMillis(300, 2500), [this] { injectFault(); });
  }

  void sendRandomRequest() {
    if (!IsInjecting)
      return;
    const char *keys[] = {"alpha:1", "alpha:2", "beta:1", "beta:2",
                          "alpha:nobody"};
    const char *rows[] = {"m1", "m1", "m2", "m3", "a1"};
    std::string key = keys[Fleet.randomMillis(0, 4).count()];
    if (Fleet.chance(0.1)) {
      // One of 12 bodies, so that the same charge is sent repeatedly and
      // through both entries.
      std::string body =
          "charge " + std::to_string(Fleet.randomMillis(1, 12).count());
      Fleet.sendCharge(randomEntry(), key, body);
    } else {
      auto cost = static_cast<uint64_t>(Fleet.randomMillis(5, 60).count());
      std::string body = "prompt " + std::to_string(++Serial);
      Fleet.send(randomEntry(), key, rows[Fleet.randomMillis(0, 4).count()],
                 body, cost);
    }
    Fleet.after(Fleet.randomMillis(10, 200), [this] { sendRandomRequest(); });
  }

  /// Three operators submit edits based on the same table version.
  void submitEdits() {
    if (!IsInjecting)
      return;
    uint64_t base = Fleet.newestFleet().TableVersion;
    for (int i = 0; i < 3; ++i) {
      std::string id = "edit " + std::to_string(++Serial);
      auto rows = testTableRows();
      rows[3].set_longest_wait_ms(7000 + Serial);
      Edits[id] = rows[3].longest_wait_ms();
      Fleet.putTable(id, base, rows);
      checkAfterAcceptance(id);
    }
    if (Fleet.chance(0.3) && !IsKeyWithdrawn) {
      IsKeyWithdrawn = true;
      Fleet.withdrawKey("beta:2");
      checkAfterAcceptance("withdraw beta:2");
    }
    Fleet.after(Fleet.randomMillis(1500, 5000), [this] { submitEdits(); });
  }

  /// Checks that InForceBound after an operation was accepted every node with
  /// a confirmed view has applied it.
  void checkAfterAcceptance(const std::string &Id) {
    auto reply = Fleet.OperationReplies.find(Id);
    if (reply == Fleet.OperationReplies.end()) {
      Fleet.after(Millis(100), [this, Id] { checkAfterAcceptance(Id); });
      return;
    }
    if (reply->second.status() != wire::PROPOSAL_ACCEPTED)
      return;
    uint64_t version = reply->second.version();
    Fleet.after(InForceBound, [this, Id, version] {
      for (const auto &[name, node] : Fleet.Entries)
        checkInForce(name, node.State.View, Id, version);
      for (const auto &[name, node] : Fleet.Agents)
        checkInForce(name, node.State.View, Id, version);
    });
  }

  void checkInForce(const std::string &Name, const NodeView &View,
                    const std::string &Id, uint64_t Version) {
    if (isConfirmed(View, Fleet.now()) && View.Version < Version)
      Fleet.fail(Id + " was not applied within 7 s at " + Name);
  }

  void stopFaults() {
    Fleet.FailureProbability = 0;
    Fleet.IsNetworkReliable = true;
    for (auto &[name, process] : Fleet.Processes) {
      process.FrozenUntil = TimePoint();
      if (!process.IsUp)
        Fleet.restart(name);
    }
    for (const auto &[from, a] : Fleet.Processes)
      for (const auto &[to, b] : Fleet.Processes)
        Fleet.cutLink(from, to, Millis(0));
  }

  void finalChecks() {
    if (!Fleet.leader())
      Fleet.fail("no leader after the faults ended");
    for (const auto &[id, caller] : Fleet.Callers)
      if (caller.OutcomeCount == 0 && !caller.IsLost)
        Fleet.fail("request " + id + " never got an outcome");
    Fleet.checkQuota("alpha", 100, 400);
    Fleet.checkQuota("beta", 50, 200);
    checkEdits();
    checkService();
  }

  void checkEdits() {
    std::map<uint64_t, std::string> acceptedEdits;
    for (const auto &[id, reply] : Fleet.OperationReplies) {
      if (!Edits.contains(id) || reply.status() != wire::PROPOSAL_ACCEPTED)
        continue;
      if (!acceptedEdits.emplace(reply.table_version(), id).second)
        Fleet.fail("two edits were accepted for the same table version");
    }
    const FleetState &fleet = Fleet.newestFleet();
    if (acceptedEdits.empty())
      return;
    auto last = *acceptedEdits.rbegin();
    const wire::TableRow *row = findRow(fleet.Items, "m2");
    if (fleet.TableVersion < last.first)
      Fleet.fail("an accepted edit was lost");
    if (fleet.TableVersion == last.first &&
        (!row || row->longest_wait_ms() != Edits[last.second]))
      Fleet.fail("the table differs from the last accepted edit");
    bool isGone = !fleet.Items.find(keyItemName("beta:2"));
    if (Fleet.WithdrawnAt.contains("beta:2") && !isGone)
      Fleet.fail("a withdrawn key is still present");
  }

  /// Checks that each entry serves a request after the faults.
  void checkService() {
    std::vector<std::string> ids;
    for (const char *it : {"entry-1", "entry-2"})
      ids.push_back(
          Fleet.send(it, "alpha:1", "m1", std::string("last at ") + it, 10));
    Fleet.run(Millis(8500));
    for (const std::string &it : ids)
      if (!Fleet.Callers[it].HasResponse)
        Fleet.fail("request " + it + " was not served after the faults: " +
                   reasonOf(Fleet.Callers[it]));
  }

  FaultMix Mix;
  FleetDriver Fleet;
  bool IsInjecting = false;
  bool IsKeyWithdrawn = false;
  uint64_t Serial = 0;
  std::map<std::string, uint64_t> Edits;
};

void runSeeds(const FaultMix &Mix, uint64_t FirstSeed, uint64_t Count) {
  uint64_t replayedSeed = readEnvironmentNumber("FLEET_SEED", 0);
  if (replayedSeed > 0) {
    FirstSeed = replayedSeed;
    Count = 1;
  }
  for (uint64_t seed = FirstSeed; seed < FirstSeed + Count; ++seed) {
    std::string violation = ChaosRun(seed, Mix).run();
    INFO("replay with FLEET_SEED=" << seed << ", faults: " << Mix.Name);
    CAPTURE(violation);
    REQUIRE(violation.empty());
  }
}

uint64_t seedsPerCase() { return readEnvironmentNumber("FLEET_SEEDS", 250); }

} // namespace

TEST_CASE("invariants hold under mixed faults") {
  runSeeds({"mixed"}, 1, seedsPerCase());
}

TEST_CASE("invariants hold when engines ignore fencing tokens") {
  FaultMix mix{"no fencing"};
  mix.EnginesHonourFences = false;
  runSeeds(mix, 10'001, seedsPerCase());
}

TEST_CASE("invariants hold while control members fail and restart") {
  FaultMix mix{"control", 0.35, 0.25, 0.2, 0.05, 0, 0.15, 0};
  runSeeds(mix, 20'001, seedsPerCase());
}

TEST_CASE("invariants hold under network partitions and freezes") {
  FaultMix mix{"partitions", 0.05, 0.35, 0.35, 0.2, 0, 0, 0.05};
  runSeeds(mix, 30'001, seedsPerCase());
}

TEST_CASE("invariants hold while engines crash") {
  FaultMix mix{"engines", 0.2, 0.1, 0.1, 0.05, 0.5, 0, 0.05};
  runSeeds(mix, 40'001, seedsPerCase());
}
