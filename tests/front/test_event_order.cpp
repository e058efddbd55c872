/// \file
/// Which events reach the caller and which break an exchange.
#include "front/event_order.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sassafras;

namespace {

/// An event without an id.
constexpr int NoId = -1;

struct Played {
  std::string Verdicts; ///< f for an event that is forwarded, b for a break.
  OrderBreak Break = OrderBreak::None;
};

Played playExchange(EventOrder &Order, std::optional<uint64_t> LastHad,
                    const std::vector<int> &Ids) {
  beginExchange(Order, LastHad);
  Played out;
  for (int it : Ids) {
    std::optional<uint64_t> id;
    if (it != NoId)
      id = static_cast<uint64_t>(it);
    out.Break = checkEvent(Order, id);
    out.Verdicts += out.Break == OrderBreak::None ? 'f' : 'b';
    if (out.Break != OrderBreak::None)
      break;
  }
  return out;
}

} // namespace

TEST_CASE("events of an exchange are forwarded or break it") {
  struct Case {
    const char *What;
    std::optional<uint64_t> LastHad;
    std::vector<int> Ids;
    const char *Verdicts;
    OrderBreak Break;
  };
  using enum OrderBreak;
  const Case cases[] = {
      {"in order", {}, {1, 2, 3}, "fff", None},
      {"empty", {}, {}, "", None},
      {"without ids", {}, {NoId, NoId}, "ff", None},
      {"ids on some events", {}, {NoId, 1, NoId, 2, NoId}, "fffff", None},
      {"repeats", {}, {1, 2, 2}, "ffb", Repeated},
      {"goes back", {}, {1, 2, 1}, "ffb", Backwards},
      {"repeats with other steps", {}, {10, 20, 20}, "ffb", Repeated},
      {"goes back with other steps", {}, {10, 20, 15}, "ffb", Backwards},
      {"gap after 1", {}, {1, 3}, "fb", Gap},
      {"gap after a step of one", {}, {5, 6, 8}, "ffb", Gap},
      {"other steps", {}, {10, 20, 50}, "fff", None},
      {"other steps, then one of one", {}, {3, 7, 8, 12}, "ffff", None},
      {"begins at 0", {}, {0, 1, 2, 4}, "fffb", Gap},
      {"goes on", 2, {3, 4}, "ff", None},
      {"goes on, then a gap", 2, {3, 5}, "fb", Gap},
      {"has nothing left", 2, {}, "", None},
      {"starts over", 2, {1, 2, 3}, "b", NotContinued},
      {"starts over, nothing new", 2, {1, 2}, "b", NotContinued},
      {"starts over, ends before", 2, {1}, "b", NotContinued},
      {"begins with the last one", 2, {2, 3}, "b", NotContinued},
      {"goes on, then repeats", 2, {3, 3}, "fb", Repeated},
      {"goes on, then goes back", 5, {6, 4}, "fb", Backwards},
      {"without ids at the joint", 2, {NoId, NoId}, "b", NotContinued},
      {"without ids after the joint", 2, {3, NoId, 4}, "fff", None},
      {"other steps, starts over", 20, {10, 20, 30}, "b", NotContinued},
      {"other steps, another run", 20, {5, 15, 25}, "b", NotContinued},
      {"other steps, goes on", 20, {30, 40}, "ff", None},
      {"largest id", 5, {2147483647}, "f", None},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    EventOrder order;
    Played played = playExchange(order, it.LastHad, it.Ids);
    CHECK(played.Verdicts == it.Verdicts);
    CHECK(played.Break == it.Break);
  }
}

TEST_CASE("numbering of a stream holds for the exchanges that continue it") {
  struct Case {
    const char *What;
    std::vector<int> First;
    uint64_t LastHad;
    std::vector<int> Second;
    const char *Verdicts;
  };
  const Case cases[] = {
      {"one by one, goes on", {1, 2}, 2, {3, 4}, "ff"},
      {"one by one, begins later", {1, 2}, 2, {5}, "b"},
      {"one by one from 5, begins later", {5, 6}, 6, {8}, "b"},
      {"one by one, starts over", {1, 2}, 2, {1, 2, 3}, "b"},
      {"one event, begins later", {1}, 1, {3}, "b"},
      {"one event, other steps", {10}, 10, {20, 30}, "ff"},
      {"other steps, goes on", {10, 20}, 20, {30, 31, 40}, "fff"},
      {"broken by a gap, goes on", {1, 2, 4}, 2, {3, 4}, "ff"},
      {"broken by a gap, begins later", {1, 2, 4}, 2, {4}, "b"},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    EventOrder order;
    playExchange(order, std::nullopt, it.First);
    CHECK(playExchange(order, it.LastHad, it.Second).Verdicts == it.Verdicts);
  }
}
