/// \file
/// The order of callers that wait for the same room, and the times at which
/// refused ones should return.
#include "policy/caller_order.h"
#include "policy/return_time.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

WaitingCaller caller(uint64_t Number, uint32_t Rank, Millis Left,
                     const std::string &Organisation = "a") {
  WaitingCaller out;
  out.Position.Rank = Rank;
  out.Position.LatestStart = Start + Left;
  out.Position.Number = Number;
  out.Organisation = Organisation;
  return out;
}

std::vector<uint64_t>
orderOf(const std::vector<WaitingCaller> &Callers,
        const std::map<std::string, uint32_t> &Served = {},
        TimePoint Now = Start) {
  std::vector<uint64_t> out;
  for (const WaitingCaller &it : orderCallers(Callers, Served, Now))
    out.push_back(it.Position.Number);
  return out;
}

} // namespace

TEST_CASE("rank goes before all else, then the time that is left") {
  CHECK(orderOf({caller(1, 2, Millis(10)), caller(2, 0, Millis(900)),
                 caller(3, 0, Millis(200)), caller(4, 1, Millis(5)),
                 caller(5, 0, Millis(200))}) ==
        std::vector<uint64_t>{3, 5, 2, 4, 1});
  // A higher rank of an organisation above its part still goes first.
  CHECK(orderOf({caller(1, 1, Millis(10), "small"),
                 caller(2, 0, Millis(900), "large")},
                {{"large", 30}, {"small", 1}}) == std::vector<uint64_t>{2, 1});
}

TEST_CASE("late caller is put back for a time, then goes first in its rank") {
  std::vector<WaitingCaller> callers{caller(1, 0, Millis(0)),
                                     caller(2, 0, Millis(5'000))};
  CHECK(orderOf(callers, {}, Start + Millis(10)) ==
        std::vector<uint64_t>{2, 1});
  CHECK(orderOf(callers, {}, Start + LongestPutBack) ==
        std::vector<uint64_t>{1, 2});
}

TEST_CASE("count of callers before one agrees with the order") {
  std::mt19937 random(4);
  for (int round = 0; round < 300; ++round) {
    std::map<std::string, uint32_t> served;
    for (const char *it : {"a", "b", "c", "d"})
      if (random() % 2 == 0)
        served[it] = static_cast<uint32_t>(random() % 30);
    std::vector<WaitingCaller> callers;
    size_t size = 1 + random() % 40;
    for (uint64_t i = 0; i < size; ++i)
      callers.push_back(caller(
          i, 1, Millis(static_cast<int>(random() % 3'000)) - Millis(2'000),
          std::string(1, "abcd"[random() % 4])));
    std::vector<uint64_t> order = orderOf(callers, served);
    for (const WaitingCaller &it : callers) {
      std::vector<const WaitingCaller *> others;
      for (const WaitingCaller &other : callers)
        if (&other != &it)
          others.push_back(&other);
      auto place = std::find(order.begin(), order.end(), it.Position.Number);
      CHECK(countServedBefore(it, others, served, Start) ==
            place - order.begin());
    }
  }
}

// One organisation asked ten times as much as each of two others. In the order
// of arrival its requests took ten twelfths of the room.
TEST_CASE("organisation with ten times its part does not take the others'") {
  constexpr size_t Room = 12;
  std::map<std::string, uint32_t> served;
  std::vector<std::string> running;
  std::vector<WaitingCaller> waiting;
  std::map<std::string, size_t> arrived;
  std::map<std::string, size_t> started;
  uint64_t number = 0;
  TimePoint now = Start;
  // Each step a third of the room is freed, and as many as the room arrive.
  for (int step = 0; step < 200; ++step, now += Millis(100)) {
    for (size_t i = 0; i < Room; ++i) {
      std::string who = i == 10 ? "b" : i == 11 ? "c" : "a";
      WaitingCaller it = caller(++number, 1, Millis(0), who);
      it.Position.LatestStart = now + Millis(800);
      waiting.push_back(it);
      ++arrived[who];
    }
    std::erase_if(waiting, [&](const WaitingCaller &It) {
      return isPast(It.Position.LatestStart, now);
    });
    while (running.size() > Room - Room / 3) {
      --served[running.front()];
      running.erase(running.begin());
    }
    waiting = orderCallers(std::move(waiting), served, now);
    while (running.size() < Room && !waiting.empty()) {
      const std::string &who = waiting.front().Organisation;
      ++served[who];
      ++started[who];
      running.push_back(who);
      waiting.erase(waiting.begin());
    }
  }
  for (const char *who : {"b", "c"})
    CHECK(static_cast<double>(started[who]) >
          0.9 * static_cast<double>(arrived[who]));
  // What they do not need is left to it.
  CHECK(started["a"] > 300);
}

// Requests of a kind that takes long must begin sooner for the same objective.
// In the order of arrival, and with small ones taking each free slot, they were
// late.
TEST_CASE("large request among small ones begins before its latest start") {
  std::vector<WaitingCaller> waiting;
  uint64_t number = 0;
  size_t largeLate = 0;
  size_t largeStarted = 0;
  TimePoint now = Start;
  for (int step = 0; step < 300; ++step, now += Millis(50)) {
    // Two arrive, two begin; every tenth is large. Twenty wait from the start.
    for (int i = 0; i < (step == 0 ? 22 : 2); ++i) {
      bool isLarge = ++number % 10 == 0;
      WaitingCaller it = caller(number, 0, Millis(0), isLarge ? "l" : "s");
      it.Position.LatestStart = now + (isLarge ? Millis(300) : Millis(900));
      waiting.push_back(it);
    }
    waiting = orderCallers(std::move(waiting), {{"s", 5}, {"l", 5}}, now);
    for (int i = 0; i < 2 && !waiting.empty(); ++i) {
      if (waiting.front().Organisation == "l") {
        ++largeStarted;
        largeLate += isPast(waiting.front().Position.LatestStart, now);
      }
      waiting.erase(waiting.begin());
    }
  }
  CHECK(largeStarted > 50);
  CHECK(largeLate == 0);
}

TEST_CASE(
    "time to return follows the backlog of its rank and the urgent ones") {
  RankBacklog fleet;
  fleet.Waiting = {2, 0, 8};
  fleet.Returning = {0, 4, 6};
  CHECK(callersBefore(fleet, 0) == 2);
  CHECK(callersBefore(fleet, 1) == 6);
  CHECK(callersBefore(fleet, 9) == 20);
  ReturnInput input{6, 10, Millis(150), Millis(100), Millis(2'000)};
  CHECK(returnTime(input).After == Millis(750));
  CHECK(returnTime(input).IsInTime);
  input.Left = Millis(800);
  CHECK_FALSE(returnTime(input).IsInTime);
  input.PerSecond = 0;
  CHECK(returnTime(input).After == Millis(150));
  // However long the backlog, the time is bounded.
  input = {1e12, 1e-9, Millis(150), Millis(100), Millis(2'000)};
  CHECK(returnTime(input).After == Millis(60'000));
}

// A burst was refused with one and the same time, so that all came back at once
// and most were refused again.
TEST_CASE(
    "refused callers return as room becomes free, the urgent ones first") {
  constexpr double PerSecond = 10;
  ReturningCallers due;
  std::map<uint32_t, std::vector<Millis>> times;
  for (int i = 0; i < 60; ++i) {
    uint32_t rank = i % 3;
    RankBacklog backlog;
    backlog.Returning = countByRank(due);
    Millis after =
        returnTime({static_cast<double>(callersBefore(backlog, rank)),
                    PerSecond, Millis(100), Millis(0), Millis(30'000)})
            .After;
    recordReturn(due, Start + after, rank);
    times[rank].push_back(after);
  }
  std::vector<Millis> all;
  for (auto &[rank, its] : times) {
    CHECK(std::is_sorted(its.begin(), its.end()));
    all.insert(all.end(), its.begin(), its.end());
  }
  for (size_t i = 0; i < 20; ++i) {
    CHECK(times[0][i] <= times[1][i]);
    CHECK(times[1][i] <= times[2][i]);
  }
  // In no second do more return than the room takes of each rank's order.
  std::sort(all.begin(), all.end());
  for (size_t i = 0; i + 30 < all.size(); ++i)
    CHECK(all[i + 30] - all[i] > Millis(1'000));
}

TEST_CASE("callers due back are bounded and end when they are due") {
  ReturningCallers due;
  for (size_t i = 0; i < 2 * MaxReturning; ++i)
    recordReturn(due, Start + Millis(i), 42);
  CHECK(due.size() == MaxReturning);
  CHECK(countByRank(due)[RankCount - 1] == MaxReturning);
  expireReturns(due, Start + Millis(9));
  CHECK(due.size() == MaxReturning - 10);
}
