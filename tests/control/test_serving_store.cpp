/// \file
/// Simulates the group that replicates the serving table with lost messages,
/// restarts, lost disks and new members. No acknowledged write may be lost, and
/// no read may return an older table.
#include "control/serving_store.h"

#include "fleet/evacuations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr Millis Step{10};

/// Simulated disk of one member; every write counts as synced.
struct MemberDisk {
  bool IsBlank = true;
  wire::Snapshot Snapshot;
  wire::HardState State;
  std::map<uint64_t, wire::LogEntry> Entries;
};

struct Member {
  uint64_t Identity = 0;
  ServingStore Store;
  MemberDisk Disk;
  bool IsUp = false;
};

struct Group {
  explicit Group(unsigned Seed) : Random(Seed) {}

  void start(const std::string &Name, bool MayForm) {
    Member &it = Members[Name];
    if (it.Disk.IsBlank)
      it.Identity = Random();
    RaftSelf self{Name, it.Identity, Name, timing::LowLatencyGroup};
    std::vector<wire::LogEntry> entries;
    for (auto &[index, entry] : it.Disk.Entries)
      entries.push_back(entry);
    RaftState raft = it.Disk.IsBlank
                         ? makeBlankRaft(self, Seeds, Random(), Now)
                         : restoreRaft(self, Seeds, it.Disk.Snapshot,
                                       it.Disk.State, entries, Random(), Now);
    raft.MayForm = MayForm;
    raft.MayJoin = true;
    allowSeedMajority(raft, Wanted);
    it.Store = makeServingStore(std::move(raft),
                                it.Disk.IsBlank ? nullptr : &it.Disk.Snapshot);
    it.IsUp = true;
    // A restarted process may publish a version again.
    Published.erase(Name);
    PublishedEvacuations.erase(Name);
  }

  /// Starts a seed that keeps no log.
  void startDiskless(const std::string &Name, bool MayForm) {
    Diskless[Name] = FormationAcceptor();
    Diskless[Name].IsActive = MayForm;
  }

  void wipe(const std::string &Name) {
    Members[Name].IsUp = false;
    Members[Name].Disk = {};
  }

  void handleEvent(const std::string &Name, const StoreEvent &Event) {
    Member &it = Members[Name];
    if (!it.IsUp)
      return;
    for (StoreEffect &effect : stepServingStore(it.Store, Event, Now))
      applyEffect(Name, it, effect);
  }

  void applyEffect(const std::string &Name, Member &It, StoreEffect &Effect) {
    if (auto *record = std::get_if<PersistRecord>(&Effect)) {
      if (record->Record.has_hard_state())
        It.Disk.State = record->Record.hard_state();
      if (record->Record.has_entry()) {
        uint64_t index = record->Record.entry().index();
        It.Disk.Entries.erase(It.Disk.Entries.lower_bound(index),
                              It.Disk.Entries.end());
        It.Disk.Entries[index] = record->Record.entry();
      }
    } else if (auto *snapshot = std::get_if<PersistSnapshot>(&Effect)) {
      It.Disk.IsBlank = false;
      It.Disk.Snapshot = snapshot->Snapshot;
      It.Disk.State = snapshot->HardState;
      It.Disk.Entries.clear();
      for (const wire::LogEntry &entry : snapshot->Entries)
        It.Disk.Entries[entry.index()] = entry;
    } else if (auto *message = std::get_if<RaftSend>(&Effect)) {
      if (OldVersions.contains(Name) && message->Message.has_append_reply())
        message->Message.mutable_append_reply()->clear_is_stopping();
      message->Message.set_from(Name);
      message->Message.set_reply_address(Name);
      ++SentMessages;
      if (Random() % 100 < LossPercent)
        return;
      if (Partitioned.contains(Name) != Partitioned.contains(message->Address))
        return;
      for (unsigned i = 0; i <= (Random() % 100 < RepeatPercent); ++i)
        Queue.emplace(Now + Millis(1 + Random() % Delay.count()),
                      std::pair{message->Address, message->Message});
    } else if (auto *result = std::get_if<StoreResult>(&Effect)) {
      Results[result->Number] = *result;
    } else if (auto *table = std::get_if<StorePublish>(&Effect)) {
      CHECK(table->Version > Published[Name]);
      Published[Name] = table->Version;
    } else if (auto *newer = std::get_if<StorePublishEvacuations>(&Effect)) {
      CHECK(newer->State.version() > PublishedEvacuations[Name]);
      PublishedEvacuations[Name] = newer->State.version();
    }
  }

  void run(Millis Span) {
    TimePoint end = Now + Span;
    while (Now < end) {
      Now += Step;
      while (!Queue.empty() && Queue.begin()->first <= Now) {
        auto [address, message] = Queue.begin()->second;
        Queue.erase(Queue.begin());
        if (Members.contains(address))
          handleEvent(address, StoreReceived{message});
        else if (Diskless.contains(address))
          answer(address, message);
      }
      for (auto &[name, it] : Members)
        handleEvent(name, StoreTick{});
    }
  }

  /// Does what a front without a log does with the group's messages.
  void answer(const std::string &Name, const wire::Envelope &Message) {
    if (Random() % 100 < LossPercent)
      return;
    std::string leaderName = leader();
    if (Message.has_blank_hello() && !leaderName.empty())
      Queue.emplace(Now + Millis(1), std::pair{leaderName, Message});
    if (!Message.has_formation_request())
      return;
    const wire::FormationRequest &request = Message.formation_request();
    auto reply = answerFormation(Diskless[Name], request, Name, Now);
    if (!reply)
      return;
    wire::Envelope envelope;
    *envelope.mutable_formation_reply() = std::move(*reply);
    envelope.set_from(Name);
    Queue.emplace(Now + Millis(1 + Random() % Delay.count()),
                  std::pair{request.candidate().address(), envelope});
  }

  std::string leader() {
    for (auto &[name, it] : Members)
      if (it.IsUp && makeStoreView(it.Store, Now).IsLeader)
        return name;
    return {};
  }

  /// Repeats the write until it is acknowledged, as an operator does. Returns
  /// false after \p Limit.
  bool write(uint64_t Version, Millis Limit) {
    TimePoint end = Now + Limit;
    while (Now < end) {
      std::string leaderName = leader();
      uint64_t number = ++LastNumber;
      if (!leaderName.empty())
        handleEvent(leaderName,
                    StoreWrite{number, Version, "t" + std::to_string(Version)});
      run(Millis(300));
      auto result = Results.find(number);
      if (result != Results.end() &&
          result->second.Outcome == StoreOutcome::Done)
        return true;
    }
    return false;
  }

  StoreResult read(const std::string &From) {
    uint64_t number = ++LastNumber;
    handleEvent(From, StoreRead{number});
    return Results[number];
  }

  std::mt19937_64 Random;
  TimePoint Now = Start;
  std::vector<std::string> Seeds{"a", "b", "c"};
  std::map<std::string, Member> Members;
  std::multimap<TimePoint, std::pair<std::string, wire::Envelope>> Queue;
  std::map<uint64_t, StoreResult> Results;
  std::map<std::string, uint64_t> Published;
  std::map<std::string, uint64_t> PublishedEvacuations;
  std::set<std::string> Partitioned;
  std::set<std::string> OldVersions; ///< Members that say nothing of a stop.
  std::map<std::string, FormationAcceptor> Diskless; ///< Seeds without a log.
  size_t Wanted = MinVoters;
  Millis Delay{12};
  unsigned LossPercent = 0;
  unsigned RepeatPercent = 0;
  uint64_t LastNumber = 0;
  uint64_t SentMessages = 0;
};

void startFourMembers(Group &It) {
  for (const char *name : {"a", "b", "c", "d"})
    It.start(name, true);
  It.run(Millis(3'000));
}

size_t countVotersSeenBy(Group &It, const std::string &Name) {
  return makeStoreView(It.Members[Name].Store, It.Now).Voters;
}

} // namespace

TEST_CASE("seeds form a group and every host with a disk joins it") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    group.LossPercent = seed % 2 * 5;
    startFourMembers(group);
    group.run(Millis(2'000));
    REQUIRE_FALSE(group.leader().empty());
    CHECK(countVotersSeenBy(group, group.leader()) == 4);
  }
}

TEST_CASE("acknowledged tables survive kills, lost disks and lossy links") {
  for (unsigned seed = 1; seed <= 25; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    group.LossPercent = 3;
    uint64_t version = 0;
    for (int round = 0; round < 8; ++round) {
      version += 1 + group.Random() % 3;
      REQUIRE(group.write(version, Millis(8'000)));
      std::vector<std::string> names{"a", "b", "c", "d"};
      std::string target = names[group.Random() % names.size()];
      switch (group.Random() % 4) {
      case 0: // One member loses its disk.
        group.wipe(target);
        group.run(Millis(300));
        group.start(target, false);
        break;
      case 1: // All members lose power at the same time.
        for (const std::string &it : names)
          group.Members[it].IsUp = false;
        group.Queue.clear();
        for (const std::string &it : names)
          group.start(it, false);
        break;
      case 2: // One member is partitioned for 5 s.
        group.Partitioned = {target};
        group.run(Millis(5'000));
        group.Partitioned.clear();
        break;
      default:
        group.Members[target].IsUp = false;
        group.run(Millis(1'500));
        group.start(target, false);
      }
      group.run(Millis(7'000));
      std::string leader = group.leader();
      REQUIRE_FALSE(leader.empty());
      StoreResult result = group.read(leader);
      REQUIRE(result.Outcome == StoreOutcome::Done);
      CHECK(result.Version == version);
      CHECK(result.Content == "t" + std::to_string(version));
    }
  }
}

TEST_CASE("host that replaces a lost one becomes a voter, and the lost one is "
          "removed") {
  Group group(5);
  startFourMembers(group);
  REQUIRE(group.write(1, Millis(3'000)));
  group.Members["b"].IsUp = false;
  group.start("e", false);
  group.run(Millis(9'000));
  REQUIRE_FALSE(group.leader().empty());
  CHECK(countVotersSeenBy(group, group.leader()) == 4);
  // The group then tolerates another loss.
  group.Members[group.leader()].IsUp = false;
  group.run(Millis(4'000));
  CHECK(group.write(2, Millis(4'000)));
}

TEST_CASE("member that was removed while partitioned joins again") {
  Group group(6);
  startFourMembers(group);
  group.Partitioned = {"c"};
  group.run(Millis(8'000));
  REQUIRE(group.write(4, Millis(3'000)));
  CHECK(countVotersSeenBy(group, group.leader()) == 3);
  group.Partitioned.clear();
  group.run(Millis(6'000));
  CHECK(countVotersSeenBy(group, group.leader()) == 4);
  CHECK(group.Published["c"] == 4);
}

TEST_CASE("partitioned leader serves no reads and accepts no writes") {
  Group group(7);
  startFourMembers(group);
  REQUIRE(group.write(1, Millis(3'000)));
  std::string oldLeader = group.leader();
  group.Partitioned = {oldLeader};
  group.run(timing::LowLatencyGroup.Lease);
  CHECK(group.read(oldLeader).Outcome != StoreOutcome::Done);
  group.run(Millis(2'500));
  REQUIRE(group.leader() != oldLeader);
  REQUIRE(group.write(2, Millis(3'000)));
  CHECK(group.read(oldLeader).Outcome != StoreOutcome::Done);
}

TEST_CASE("version that is not higher is acknowledged and changes nothing") {
  Group group(8);
  startFourMembers(group);
  REQUIRE(group.write(5, Millis(3'000)));
  REQUIRE(group.write(5, Millis(3'000)));
  REQUIRE(group.write(3, Millis(3'000)));
  CHECK(group.read(group.leader()).Version == 5);
}

TEST_CASE("members with empty folders neither form a group nor vote unless the "
          "fleet is new") {
  Group group(9);
  for (const char *name : {"a", "b", "c"})
    group.start(name, false);
  group.run(Millis(5'000));
  CHECK(group.leader().empty());
}

// Guards against an endless exchange of hellos: a member of a formed group and
// a front without a log replied to each other's hello, which caused 11 MB of
// traffic between zones in 10 s.
TEST_CASE("hello of a front without a log gets no reply") {
  Group group(10);
  startFourMembers(group);
  uint64_t before = group.SentMessages;
  wire::Envelope message;
  wire::BootstrapHello &hello = *message.mutable_blank_hello();
  hello.set_name("x");
  hello.set_address("x");
  hello.set_is_blank(true);
  hello.set_is_diskless(true);
  message.set_from("x");
  std::string member = group.leader() == "a" ? "b" : "a";
  group.handleEvent(member, StoreReceived{message});
  CHECK(group.SentMessages == before);
}

TEST_CASE("log stays short after hundreds of tables") {
  Group group(11);
  startFourMembers(group);
  for (uint64_t version = 1; version <= 300; ++version) {
    group.handleEvent(group.leader(),
                      StoreWrite{++group.LastNumber, version, "t"});
    group.run(Millis(40));
  }
  for (const char *name : {"a", "b", "c", "d"})
    CHECK(group.Members[name].Disk.Entries.size() <=
          StoreSnapshotEntries + 2 * StoreSnapshotTail + 8);
  CHECK(group.read(group.leader()).Version == 300);
}

namespace {

/// Repeats an order until it is acknowledged, as an operator does.
bool orderEvacuation(Group &It, const std::string &Zone, bool IsActive,
                     Millis Limit) {
  TimePoint end = It.Now + Limit;
  while (It.Now < end) {
    uint64_t number = ++It.LastNumber;
    std::string leaderName = It.leader();
    if (!leaderName.empty())
      It.handleEvent(leaderName, StoreEvacuate{number, Zone, IsActive});
    It.run(Millis(300));
    auto result = It.Results.find(number);
    if (result != It.Results.end() &&
        result->second.Outcome == StoreOutcome::Done)
      return true;
  }
  return false;
}

bool isEvacuatedAt(Group &It, const std::string &Name,
                   const std::string &Zone) {
  return isEvacuated(It.Members[Name].Store.Evacuations, Zone);
}

} // namespace

TEST_CASE("acknowledged evacuations survive power losses, lost disks and "
          "compaction") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    group.LossPercent = 3;
    bool isActive = false;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    for (uint64_t round = 1; round <= 5; ++round) {
      isActive = !isActive;
      REQUIRE(orderEvacuation(group, "z", isActive, Millis(8'000)));
      if (round % 2 == 0)
        for (uint64_t i = 0; i < 2 * StoreSnapshotEntries; ++i) {
          group.handleEvent(group.leader(), StoreWrite{++group.LastNumber,
                                                       round * 1'000 + i, "t"});
          group.run(Millis(40));
        }
      // All lose power right after the acknowledgement, one its disk too.
      for (const std::string &it : names)
        group.Members[it].IsUp = false;
      group.Queue.clear();
      if (seed % 2 == 0)
        group.wipe(names[group.Random() % names.size()]);
      for (const std::string &it : names)
        group.start(it, false);
      group.run(Millis(9'000));
      std::string leader = group.leader();
      REQUIRE_FALSE(leader.empty());
      for (const std::string &it : names) {
        INFO("member " << it << " round " << round);
        CHECK(isEvacuatedAt(group, it, "z") == isActive);
        CHECK(group.PublishedEvacuations[it] == round);
      }
    }
  }
}

TEST_CASE("evacuation that holds already is acknowledged and changes nothing") {
  Group group(21);
  startFourMembers(group);
  REQUIRE(orderEvacuation(group, "z", false, Millis(3'000)));
  CHECK(group.Members[group.leader()].Store.Evacuations.version() == 0);
  // A resend while the first one is on its way to the disks.
  std::string leader = group.leader();
  uint64_t first = ++group.LastNumber;
  uint64_t second = ++group.LastNumber;
  group.handleEvent(leader, StoreEvacuate{first, "z", true});
  group.handleEvent(leader, StoreEvacuate{second, "z", true});
  CHECK_FALSE(group.Results.contains(first));
  CHECK_FALSE(group.Results.contains(second));
  group.run(Millis(500));
  CHECK(group.Results[first].Outcome == StoreOutcome::Done);
  CHECK(group.Results[second].Outcome == StoreOutcome::Done);
  REQUIRE(orderEvacuation(group, "z", true, Millis(3'000)));
  CHECK(group.Members[group.leader()].Store.Evacuations.version() == 1);
}

TEST_CASE("name of a zone that is not text never gets into the log") {
  Group group(23);
  startFourMembers(group);
  std::string leader = group.leader();
  uint64_t last = lastIndex(group.Members[leader].Store.Raft);
  for (const char *zone : {"a\xFF", "\xC3", "a\"", "a\\"}) {
    uint64_t number = ++group.LastNumber;
    group.handleEvent(leader, StoreEvacuate{number, zone, true});
    group.run(Millis(300));
    REQUIRE(group.Results.contains(number));
    CHECK(group.Results[number].Outcome == StoreOutcome::Unavailable);
    CHECK(lastIndex(group.Members[leader].Store.Raft) == last);
  }
}

TEST_CASE("started member publishes the evacuations before the table") {
  Group group(24);
  startFourMembers(group);
  ServingStore store = makeServingStore(group.Members["a"].Store.Raft, nullptr);
  store.Applied = store.Raft.Commit;
  store.Table.set_version(3);
  store.Evacuations.set_version(2);
  std::vector<bool> published;
  for (StoreEffect &it : stepServingStore(store, StoreTick{}, group.Now))
    if (std::holds_alternative<StorePublishEvacuations>(it) ||
        std::holds_alternative<StorePublish>(it))
      published.push_back(std::holds_alternative<StorePublishEvacuations>(it));
  CHECK(published == std::vector<bool>{true, false});
}

TEST_CASE("of a start and an end that race the later one in the log holds") {
  Group group(22);
  startFourMembers(group);
  std::string leader = group.leader();
  uint64_t first = ++group.LastNumber;
  uint64_t second = ++group.LastNumber;
  uint64_t third = ++group.LastNumber;
  group.handleEvent(leader, StoreEvacuate{first, "z", true});
  group.handleEvent(leader, StoreEvacuate{second, "z", false});
  group.handleEvent(leader, StoreEvacuate{third, "y", true});
  group.run(Millis(1'000));
  for (uint64_t it : {first, second, third})
    CHECK(group.Results[it].Outcome == StoreOutcome::Done);
  for (const char *name : {"a", "b", "c", "d"}) {
    CHECK_FALSE(isEvacuatedAt(group, name, "z"));
    CHECK(isEvacuatedAt(group, name, "y"));
  }
}

TEST_CASE("evacuation is not acknowledged by a leader that loses its group "
          "before the commit, and a resend settles it") {
  for (unsigned seed = 31; seed <= 36; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    std::string old = group.leader();
    group.Partitioned = {old};
    uint64_t number = ++group.LastNumber;
    group.handleEvent(old, StoreEvacuate{number, "z", true});
    group.run(Millis(3'000));
    CHECK(group.Results[number].Outcome != StoreOutcome::Done);
    group.Members[old].IsUp = false;
    group.Partitioned.clear();
    REQUIRE(orderEvacuation(group, "z", true, Millis(8'000)));
    group.start(old, false);
    group.run(Millis(4'000));
    CHECK(isEvacuatedAt(group, old, "z"));
    CHECK(group.Members[old].Store.Evacuations.version() == 1);
  }
}

namespace {

/// True when a table is written and read back within a few seconds.
bool isServing(Group &It, uint64_t Version) {
  if (!It.write(Version, Millis(6'000)))
    return false;
  std::string leader = It.leader();
  return !leader.empty() && It.read(leader).Version == Version;
}

/// Ends a member in order: it is told to stop, goes on for \p Drain and stays
/// away.
void stopMember(Group &It, const std::string &Name, Millis Drain) {
  It.handleEvent(Name, StoreStop{});
  It.run(Drain);
  It.Members[Name].IsUp = false;
}

/// The member loses its disk and is back \p Pause later.
void loseDisk(Group &It, const std::string &Name, Millis Pause) {
  It.wipe(Name);
  It.run(Pause);
  It.start(Name, false);
  It.run(Millis(2'000));
}

} // namespace

// review/11: four voters need three. The one that was replaced kept its vote
// until it was removed after 3.5 s, and the loss of a disk within that time
// left two.
TEST_CASE("member that stops gives up its vote before it ends, so that a lost "
          "disk leaves a quorum") {
  unsigned seed = 100;
  for (const char *stopped : {"a", "b", "c"})
    for (const char *lost : {"a", "b", "c"})
      for (Millis pause : {Millis(0), Millis(200), Millis(1'000)}) {
        if (std::string(stopped) == lost)
          continue;
        Group group(++seed);
        group.LossPercent = seed % 2 * 3;
        for (const char *name : {"a", "b", "c"})
          group.start(name, true);
        group.run(Millis(3'000));
        group.start("d", false);
        group.run(Millis(6'000));
        INFO(stopped << " stops, " << lost << " loses its disk after "
                     << pause.count() << " ms, leader " << group.leader());
        REQUIRE(countVotersSeenBy(group, group.leader()) == 4);
        REQUIRE(group.write(5, Millis(4'000)));
        stopMember(group, stopped, Millis(2'900));
        group.run(pause);
        loseDisk(group, lost, Millis(3'000));
        REQUIRE_FALSE(group.leader().empty());
        CHECK(group.read(group.leader()).Version == 5);
        CHECK(isServing(group, 6));
        CHECK(countVotersSeenBy(group, group.leader()) == 3);
      }
}

// The same after a kill, of which nobody is told.
TEST_CASE("voter that is silent for a second loses its vote, so that another "
          "loss leaves a quorum") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    REQUIRE(group.write(5, Millis(4'000)));
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::string leader = group.leader();
    std::string killed = seed % 3 == 0 ? leader : names[seed % 4];
    group.Members[killed].IsUp = false;
    // A leader that is killed has to be replaced first.
    group.run(Millis(killed == leader ? 2'300 : 1'300));
    std::string lost = names[(seed + 1) % 4];
    if (lost == killed)
      lost = names[(seed + 2) % 4];
    loseDisk(group, lost, Millis(500));
    CHECK(isServing(group, 6));
  }
}

// Both of the members that get the leadership in turn may be stopping: a
// stopping leader refuses writes until it ends.
TEST_CASE("leadership goes to a member that is not stopping") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    for (const char *name : {"a", "b", "c"})
      group.start(name, true);
    group.run(Millis(3'000));
    std::string first = group.leader();
    REQUIRE_FALSE(first.empty());
    for (const char *second : {"a", "b", "c"}) {
      if (second == first)
        continue;
      group.handleEvent(second, StoreStop{});
      break;
    }
    group.run(Millis(seed % 2 * 150));
    group.handleEvent(first, StoreStop{});
    CHECK(group.write(6, Millis(2'500)));
  }
}

TEST_CASE("stops, however many and when, leave at least three voters") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    group.LossPercent = seed % 3 * 4;
    std::vector<std::string> names{"a", "b", "c", "d"};
    if (seed % 2 == 0)
      names.push_back("e");
    for (const std::string &it : names)
      group.start(it, true);
    group.run(Millis(4'000));
    REQUIRE(group.write(5, Millis(4'000)));
    std::shuffle(names.begin(), names.end(), group.Random);
    for (size_t i = 0; i + 2 < names.size(); ++i) {
      group.handleEvent(names[i], StoreStop{});
      group.run(Millis(group.Random() % 400));
    }
    for (int i = 0; i < 300; ++i) {
      group.run(Millis(10));
      for (const std::string &it : names) {
        size_t voters = countVotersSeenBy(group, it);
        if (voters < MinVoters)
          FAIL(it << " counts " << voters << " voters");
      }
    }
    for (size_t i = 0; i + 2 < names.size(); ++i)
      group.Members[names[i]].IsUp = false;
    // Two are left, which is a quorum of three.
    CHECK(isServing(group, 6));
  }
}

TEST_CASE("member that restarts on its disk gets its vote back at once") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    for (const char *name : {"a", "b", "c", "d"}) {
      stopMember(group, name, Millis(2'900));
      group.run(Millis(seed % 3 * 300));
      CHECK(group.write(group.LastNumber + 10, Millis(2'500)));
      group.start(name, false);
      group.run(Millis(1'000));
      REQUIRE_FALSE(group.leader().empty());
      CHECK(countVotersSeenBy(group, group.leader()) == 4);
    }
  }
}

TEST_CASE("member that pauses again and again keeps no table from being "
          "acknowledged") {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    uint64_t version = 5;
    for (int i = 0; i < 6; ++i) {
      std::string paused = seed % 2 == 0 ? "d" : group.leader();
      REQUIRE_FALSE(paused.empty());
      group.Partitioned = {paused};
      group.run(Millis(1'150));
      group.Partitioned.clear();
      CHECK(group.write(++version, Millis(2'500)));
      group.run(Millis(500));
      REQUIRE_FALSE(group.leader().empty());
      CHECK(countVotersSeenBy(group, group.leader()) == 4);
    }
  }
}

TEST_CASE("member of a version that says nothing of its stop loses its vote by "
          "its silence") {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFourMembers(group);
    REQUIRE(group.write(5, Millis(4'000)));
    group.OldVersions = {"a", "b", "c", "d"};
    std::string stopped = seed % 2 == 0 ? group.leader() : "c";
    stopMember(group, stopped, Millis(2'900));
    group.run(Millis(1'300));
    loseDisk(group, stopped == "a" ? "b" : "a", Millis(500));
    CHECK(isServing(group, 6));
  }
}

TEST_CASE("member that stops on the smaller side of a split takes no vote from "
          "the other side") {
  Group group(41);
  startFourMembers(group);
  REQUIRE(group.write(5, Millis(4'000)));
  group.Partitioned = {"c"};
  group.run(Millis(200));
  group.handleEvent("c", StoreStop{});
  group.run(Millis(2'900));
  CHECK(isServing(group, 6));
  CHECK(countVotersSeenBy(group, group.leader()) == 3);
  group.Members["c"].IsUp = false;
  group.Partitioned.clear();
  group.start("c", false);
  group.run(Millis(2'000));
  CHECK(countVotersSeenBy(group, group.leader()) == 4);
  CHECK(isServing(group, 7));
}

namespace {

/// Number of different initial configurations that members have adopted.
size_t countGroups(Group &It) {
  std::set<std::string> groups;
  for (auto &[name, it] : It.Members) {
    if (it.Disk.IsBlank || it.Disk.Snapshot.index() != 1)
      continue;
    std::string list;
    for (const wire::Member &member : it.Disk.Snapshot.members())
      list += std::to_string(member.identity()) + ' ';
    groups.insert(list);
  }
  return groups.size();
}

size_t countInitialMembers(Group &It) {
  for (auto &[name, it] : It.Members)
    if (!it.Disk.IsBlank && it.Disk.Snapshot.index() == 1)
      return static_cast<size_t>(it.Disk.Snapshot.members_size());
  return 0;
}

/// Starts the fleet in any order within 0.3 s: hosts with a disk d1, d2 and so
/// on, and the seeds that have none.
void startFleet(Group &It, int Disks) {
  std::vector<std::string> names;
  for (int i = 1; i <= Disks; ++i)
    names.push_back("d" + std::to_string(i));
  for (const std::string &it : It.Seeds)
    if (std::find(names.begin(), names.end(), it) == names.end())
      names.push_back(it);
  std::shuffle(names.begin(), names.end(), It.Random);
  for (const std::string &it : names) {
    if (it[0] == 'd')
      It.start(it, true);
    else
      It.startDiskless(it, true);
    It.run(Millis(It.Random() % 300) / names.size());
  }
}

} // namespace

// review/15: the first group was formed from the seeds that have a disk, so
// that a fleet whose seeds have none never began to serve.
TEST_CASE("first group forms whichever hosts are its seeds") {
  for (unsigned seed = 1; seed <= 40; ++seed)
    for (int diskSeeds = 0; diskSeeds <= 3; ++diskSeeds) {
      Group group(seed);
      int disks = 3 + static_cast<int>(seed % 4);
      group.Seeds = {"s1", "s2", "s3"};
      for (int i = 0; i < diskSeeds; ++i)
        group.Seeds[static_cast<size_t>(i)] = "d" + std::to_string(disks - i);
      group.LossPercent = seed % 3 * 10;
      group.RepeatPercent = seed % 2 * 30;
      group.Delay = Millis(seed % 4 == 0 ? 120 : 12);
      INFO("seed " << seed << ", " << disks << " hosts with a disk, "
                   << diskSeeds << " of them seeds");
      startFleet(group, disks);
      CHECK(group.write(1, Millis(4'000)));
      CHECK(countInitialMembers(group) >= 3);
      CHECK(countGroups(group) == 1);
      group.LossPercent = 0;
      group.run(Millis(4'000));
      REQUIRE_FALSE(group.leader().empty());
      CHECK(countVotersSeenBy(group, group.leader()) ==
            static_cast<size_t>(disks));
      CHECK(countGroups(group) <= 1);
    }
}

TEST_CASE("first group forms from fewer hosts and seeds than three") {
  for (unsigned seed = 1; seed <= 20; ++seed)
    for (int disks = 1; disks <= 2; ++disks)
      for (size_t seeds = 1; seeds <= 3; ++seeds) {
        Group group(seed);
        group.Seeds.resize(seeds);
        for (size_t i = 0; i < seeds; ++i)
          group.Seeds[i] = seed % 2 == 0 && i == 0
                               ? std::string("d1")
                               : "s" + std::to_string(i + 1);
        INFO("seed " << seed << ", " << disks << " hosts with a disk, " << seeds
                     << " seeds");
        startFleet(group, disks);
        CHECK(group.write(1, Millis(4'000)));
        CHECK(countInitialMembers(group) == static_cast<size_t>(disks));
        CHECK(countGroups(group) == 1);
      }
}

// With one or two seeds that have a disk the group began with so many members,
// and acknowledged tables that were on one disk only.
TEST_CASE("table that is acknowledged first survives the loss of any disk") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    Group group(seed);
    int diskSeeds = static_cast<int>(seed % 4);
    group.Seeds = {"s1", "s2", "s3"};
    for (int i = 0; i < diskSeeds; ++i)
      group.Seeds[static_cast<size_t>(i)] = "d" + std::to_string(i + 1);
    startFleet(group, 3);
    std::string lost = "d" + std::to_string(1 + seed / 4 % 3);
    INFO("seed " << seed << ", " << diskSeeds << " seeds with a disk, " << lost
                 << " loses its disk");
    // Written as soon as there is a leader, and the disk is lost at once.
    uint64_t number = 0;
    for (int i = 0; i < 400 && group.Results[number].Version == 0; ++i) {
      std::string leader = group.leader();
      if (!leader.empty())
        group.handleEvent(leader,
                          StoreWrite{number = ++group.LastNumber, 1, "t"});
      for (int n = 0; n < 10 && group.Results[number].Version == 0; ++n)
        group.run(Millis(10));
    }
    REQUIRE(group.Results[number].Outcome == StoreOutcome::Done);
    group.wipe(lost);
    group.run(Millis(3'000));
    group.start(lost, false);
    group.run(Millis(4'000));
    REQUIRE_FALSE(group.leader().empty());
    CHECK(group.read(group.leader()).Version == 1);
    CHECK(isServing(group, 2));
  }
}

TEST_CASE(
    "losses in the first second of a fleet leave one group, and it forms") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    Group group(seed);
    group.Seeds = {"s1", "s2", "s3"};
    int diskSeeds = static_cast<int>(seed % 4);
    for (int i = 0; i < diskSeeds; ++i)
      group.Seeds[static_cast<size_t>(i)] = "d" + std::to_string(i + 1);
    group.LossPercent = seed % 5 * 4;
    group.RepeatPercent = seed % 3 * 20;
    group.Delay = Millis(seed % 4 == 0 ? 90 : 12);
    startFleet(group, 4);
    // One host is killed at any step of the formation.
    group.run(Millis(group.Random() % 1'200));
    std::string lost = seed % 2 == 0
                           ? "d" + std::to_string(1 + group.Random() % 4)
                           : group.Seeds[group.Random() % 3];
    bool isWiped = seed % 3 == 0;
    INFO("seed " << seed << ", " << lost
                 << (isWiped ? " loses its disk" : " is killed"));
    if (lost[0] == 's') {
      group.startDiskless(lost, false);
    } else {
      group.Members[lost].IsUp = false;
      if (isWiped)
        group.wipe(lost);
      group.run(Millis(group.Random() % 800));
      group.start(lost, false);
    }
    CHECK(group.write(1, Millis(8'000)));
    CHECK(countGroups(group) <= 1);
    group.LossPercent = 0;
    group.run(Millis(5'000));
    CHECK(countVotersSeenBy(group, group.leader()) == 4);
    CHECK(countGroups(group) <= 1);
  }
}

TEST_CASE("hosts that start late or see each other late form no second group") {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    group.Seeds = {"s1", "s2", "s3"};
    if (seed % 2 == 0)
      group.Seeds[0] = "d5";
    for (const char *it : {"s1", "s2", "s3"})
      group.startDiskless(it, true);
    for (const char *it : {"d1", "d2"})
      group.start(it, true);
    if (seed % 3 == 0)
      group.Partitioned = {"d1", "s1"};
    group.run(Millis(group.Random() % 2'500));
    for (const char *it : {"d3", "d4", "d5"})
      group.start(it, true);
    group.run(Millis(group.Random() % 1'500));
    group.Partitioned.clear();
    CHECK(group.write(1, Millis(8'000)));
    group.run(Millis(5'000));
    CHECK(countGroups(group) <= 1);
    CHECK(countVotersSeenBy(group, group.leader()) == 5);
  }
}

TEST_CASE("group that has to bear two losses waits for five hosts") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    group.Seeds = {"d1", "d2", "s3"};
    group.Wanted = 5;
    startFleet(group, 6);
    CHECK(group.write(1, Millis(4'000)));
    CHECK(countInitialMembers(group) >= 5);
  }
}

TEST_CASE("seed that has started again does not decide on the first group") {
  Group group(3);
  group.Seeds = {"s1", "s2", "s3"};
  group.startDiskless("s1", true);
  group.startDiskless("s2", false);
  group.startDiskless("s3", false);
  for (const char *it : {"d1", "d2", "d3"})
    group.start(it, true);
  group.run(Millis(5'000));
  CHECK(countGroups(group) == 0);
}
