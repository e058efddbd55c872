/// \file
/// Requests that arrive before a front has a serving table.
#include "front/early_requests.h"

#include <catch2/catch.hpp>

#include <array>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

/// Exchanges are compared by address here, never dereferenced.
std::array<char, 400> ExchangeStorage;

std::shared_ptr<HttpExchange> exchangeAt(size_t Position) {
  return {std::shared_ptr<void>(),
          reinterpret_cast<HttpExchange *>(&ExchangeStorage.at(Position))};
}

EarlyRequest request(size_t Position, TimePoint At) {
  return {{"GET", "/" + std::to_string(Position), {}, {}},
          exchangeAt(Position),
          At};
}

EarlyRequests started() {
  EarlyRequests out;
  out.HoldEnd = Start + TableLearnTimeout;
  return out;
}

bool hold(EarlyRequests &Early, size_t Position, TimePoint At) {
  EarlyRequest it = request(Position, At);
  bool isHeld = holdEarlyRequest(Early, it, At);
  CHECK(it.Message.Target.empty() == isHeld);
  return isHeld;
}

} // namespace

// After a power loss of the whole fleet, 203 requests arrived in the half
// second in which most fronts had no table yet. They were refused, which was
// final for most of them.
TEST_CASE("requests that arrive before the table wait for it in order") {
  EarlyRequests early = started();
  for (size_t i = 0; i < 5; ++i)
    CHECK(hold(early, i, Start + Millis(100 * static_cast<int>(i))));
  CHECK(releaseEarlyRequests(early, false, Start + Millis(600)).empty());
  CHECK(dropEarlyRequest(early, exchangeAt(2).get()));
  CHECK_FALSE(dropEarlyRequest(early, exchangeAt(2).get()));
  auto taken = releaseEarlyRequests(early, true, Start + Millis(600));
  REQUIRE(taken.size() == 4);
  CHECK(taken[0].Message.Target == "/0");
  CHECK(taken[2].Message.Target == "/3");
  CHECK(taken[2].ArrivedAt == Start + Millis(300));
  CHECK(releaseEarlyRequests(early, true, Start + Millis(700)).empty());
}

TEST_CASE(
    "requests wait for a table no longer than a new front takes to learn it") {
  EarlyRequests early = started();
  CHECK(hold(early, 1, Start));
  TimePoint end = Start + TableLearnTimeout + Millis(1);
  CHECK_FALSE(hold(early, 2, end));
  CHECK(releaseEarlyRequests(early, false, end).size() == 1);
}

TEST_CASE("front holds a bounded number of early requests") {
  EarlyRequests early = started();
  for (size_t i = 0; i < MaxEarlyRequests; ++i)
    REQUIRE(hold(early, i, Start));
  CHECK_FALSE(hold(early, MaxEarlyRequests, Start));
}
