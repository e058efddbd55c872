/// \file
/// The group that keeps the serving table, under loss, restarts, lost disks
/// and newcomers: nothing acknowledged is lost, no read goes back.
#include "control/serving_store.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr Millis Step{10};

/// What one member's disk holds; all that is written counts as synced.
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
  bool IsDiskless = false;
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
    it.Store = makeServingStore(std::move(raft),
                                it.Disk.IsBlank ? nullptr : &it.Disk.Snapshot);
    it.IsUp = true;
    // A new process may publish again what the one before did.
    Published.erase(Name);
  }

  void wipe(const std::string &Name) {
    Members[Name].IsUp = false;
    Members[Name].Disk = {};
  }

  void take(const std::string &Name, const StoreEvent &Event) {
    Member &it = Members[Name];
    if (!it.IsUp)
      return;
    for (StoreEffect &effect : stepServingStore(it.Store, Event, Now))
      perform(Name, it, effect);
  }

  void perform(const std::string &Name, Member &It, StoreEffect &Effect) {
    if (auto *record = std::get_if<PersistRecord>(&Effect)) {
      if (record->Record.has_hard_state())
        It.Disk.State = record->Record.hard_state();
      if (record->Record.has_entry()) {
        uint64_t index = record->Record.entry().index();
        It.Disk.Entries.erase(It.Disk.Entries.lower_bound(index),
                              It.Disk.Entries.end());
        It.Disk.Entries[index] = record->Record.entry();
      }
    } else if (auto *whole = std::get_if<PersistSnapshot>(&Effect)) {
      It.Disk.IsBlank = false;
      It.Disk.Snapshot = whole->Snapshot;
      It.Disk.State = whole->HardState;
      It.Disk.Entries.clear();
      for (const wire::LogEntry &entry : whole->Entries)
        It.Disk.Entries[entry.index()] = entry;
    } else if (auto *message = std::get_if<RaftSend>(&Effect)) {
      message->Message.set_from(Name);
      message->Message.set_reply_address(Name);
      ++Sent;
      if (Random() % 100 < LossPercent)
        return;
      if (Cut.contains(Name) != Cut.contains(message->Address))
        return;
      Queue.emplace(Now + Millis(1 + Random() % 12),
                    std::pair{message->Address, message->Message});
    } else if (auto *answer = std::get_if<StoreAnswer>(&Effect)) {
      Answers[answer->Number] = *answer;
    } else if (auto *table = std::get_if<StorePublish>(&Effect)) {
      CHECK(table->Version > Published[Name]);
      Published[Name] = table->Version;
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
          take(address, StoreReceived{message});
      }
      for (auto &[name, it] : Members)
        take(name, StoreTick{});
    }
  }

  std::string leader() {
    for (auto &[name, it] : Members)
      if (it.IsUp && viewOf(it.Store, Now).IsLeader)
        return name;
    return {};
  }

  /// Writes until it is acknowledged, as an operator does.
  bool write(uint64_t Version, Millis Limit) {
    TimePoint end = Now + Limit;
    while (Now < end) {
      std::string to = leader();
      uint64_t number = ++LastNumber;
      if (!to.empty())
        take(to, StoreWrite{number, Version, "t" + std::to_string(Version)});
      run(Millis(300));
      auto answer = Answers.find(number);
      if (answer != Answers.end() &&
          answer->second.Outcome == StoreOutcome::Done)
        return true;
    }
    return false;
  }

  StoreAnswer read(const std::string &From) {
    uint64_t number = ++LastNumber;
    take(From, StoreRead{number});
    return Answers[number];
  }

  std::mt19937_64 Random;
  TimePoint Now = Start;
  std::vector<std::string> Seeds{"a", "b", "c"};
  std::map<std::string, Member> Members;
  std::multimap<TimePoint, std::pair<std::string, wire::Envelope>> Queue;
  std::map<uint64_t, StoreAnswer> Answers;
  std::map<std::string, uint64_t> Published;
  std::set<std::string> Cut;
  unsigned LossPercent = 0;
  uint64_t LastNumber = 0;
  uint64_t Sent = 0;
};

void startFour(Group &It) {
  for (const char *name : {"a", "b", "c", "d"})
    It.start(name, true);
  It.run(Millis(3'000));
}

size_t votersSeenBy(Group &It, const std::string &Name) {
  return viewOf(It.Members[Name].Store, It.Now).Voters;
}

} // namespace

TEST_CASE("seeds form a group and every host with a disk joins it") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    group.LossPercent = seed % 2 * 5;
    startFour(group);
    group.run(Millis(2'000));
    REQUIRE_FALSE(group.leader().empty());
    CHECK(votersSeenBy(group, group.leader()) == 4);
  }
}

TEST_CASE("acknowledged tables outlive kills, lost disks and lossy links") {
  for (unsigned seed = 1; seed <= 25; ++seed) {
    INFO("seed " << seed);
    Group group(seed);
    startFour(group);
    group.LossPercent = 3;
    uint64_t version = 0;
    for (int round = 0; round < 8; ++round) {
      version += 1 + group.Random() % 3;
      REQUIRE(group.write(version, Millis(8'000)));
      std::vector<std::string> names{"a", "b", "c", "d"};
      std::string hit = names[group.Random() % names.size()];
      switch (group.Random() % 4) {
      case 0: // One host loses its disk.
        group.wipe(hit);
        group.run(Millis(300));
        group.start(hit, false);
        break;
      case 1: // All lose power at once.
        for (const std::string &it : names)
          group.Members[it].IsUp = false;
        group.Queue.clear();
        for (const std::string &it : names)
          group.start(it, false);
        break;
      case 2: // One is cut off for a while.
        group.Cut = {hit};
        group.run(Millis(5'000));
        group.Cut.clear();
        break;
      default:
        group.Members[hit].IsUp = false;
        group.run(Millis(1'500));
        group.start(hit, false);
      }
      group.run(Millis(7'000));
      std::string leader = group.leader();
      REQUIRE_FALSE(leader.empty());
      StoreAnswer answer = group.read(leader);
      REQUIRE(answer.Outcome == StoreOutcome::Done);
      CHECK(answer.Version == version);
      CHECK(answer.Content == "t" + std::to_string(version));
    }
  }
}

TEST_CASE("host that takes the place of a lost one becomes a voter, and the "
          "lost one is removed") {
  Group group(5);
  startFour(group);
  REQUIRE(group.write(1, Millis(3'000)));
  group.Members["b"].IsUp = false;
  group.start("e", false);
  group.run(Millis(9'000));
  REQUIRE_FALSE(group.leader().empty());
  CHECK(votersSeenBy(group, group.leader()) == 4);
  // A further loss is borne then.
  group.Members[group.leader()].IsUp = false;
  group.run(Millis(4'000));
  CHECK(group.write(2, Millis(4'000)));
}

TEST_CASE("member that was removed while it was away is taken in again") {
  Group group(6);
  startFour(group);
  group.Cut = {"c"};
  group.run(Millis(8'000));
  REQUIRE(group.write(4, Millis(3'000)));
  CHECK(votersSeenBy(group, group.leader()) == 3);
  group.Cut.clear();
  group.run(Millis(6'000));
  CHECK(votersSeenBy(group, group.leader()) == 4);
  CHECK(group.Published["c"] == 4);
}

TEST_CASE("leader that is cut off neither reads nor writes") {
  Group group(7);
  startFour(group);
  REQUIRE(group.write(1, Millis(3'000)));
  std::string old = group.leader();
  group.Cut = {old};
  group.run(timing::LowLatencyGroup.Lease);
  CHECK(group.read(old).Outcome != StoreOutcome::Done);
  group.run(Millis(2'500));
  REQUIRE(group.leader() != old);
  REQUIRE(group.write(2, Millis(3'000)));
  CHECK(group.read(old).Outcome != StoreOutcome::Done);
}

TEST_CASE("version that is not higher is acknowledged and changes nothing") {
  Group group(8);
  startFour(group);
  REQUIRE(group.write(5, Millis(3'000)));
  REQUIRE(group.write(5, Millis(3'000)));
  REQUIRE(group.write(3, Millis(3'000)));
  CHECK(group.read(group.leader()).Version == 5);
}

TEST_CASE("empty folder neither forms nor votes when the fleet is not new") {
  Group group(9);
  for (const char *name : {"a", "b", "c"})
    group.start(name, false);
  group.run(Millis(5'000));
  CHECK(group.leader().empty());
}

// A formed member and a front that keeps no log answered each other's hello
// without end: 11 MB between zones in ten seconds.
TEST_CASE("hello of a front without a log is not answered") {
  Group group(10);
  startFour(group);
  uint64_t before = group.Sent;
  wire::Envelope message;
  wire::BlankHello &hello = *message.mutable_blank_hello();
  hello.set_name("x");
  hello.set_address("x");
  hello.set_is_blank(true);
  hello.set_is_diskless(true);
  message.set_from("x");
  std::string member = group.leader() == "a" ? "b" : "a";
  group.take(member, StoreReceived{message});
  CHECK(group.Sent == before);
}

TEST_CASE("hundreds of tables leave a short log") {
  Group group(11);
  startFour(group);
  for (uint64_t version = 1; version <= 300; ++version) {
    group.take(group.leader(), StoreWrite{++group.LastNumber, version, "t"});
    group.run(Millis(40));
  }
  for (const char *name : {"a", "b", "c", "d"})
    CHECK(group.Members[name].Disk.Entries.size() <=
          StoreSnapshotEntries + 2 * StoreSnapshotTail + 8);
  CHECK(group.read(group.leader()).Version == 300);
}
