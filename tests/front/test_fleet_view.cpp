/// \file
/// What fronts tell one another, and when.
#include "front/fleet_view.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::NodeHeartbeat leaderBeat(const std::string &Name, uint64_t Term) {
  wire::NodeHeartbeat out;
  out.mutable_self()->set_name(Name);
  out.mutable_self()->set_address(Name + ":1");
  out.mutable_self()->set_kind(wire::NODE_FRONT);
  out.set_is_leader(true);
  out.set_term(Term);
  return out;
}

/// Demand rows sent to \p Address.
size_t countRows(const NodeMessages &Messages, const std::string &Address) {
  size_t n = 0;
  for (const NodeMessage &it : Messages)
    if (it.Address == Address)
      n += static_cast<size_t>(it.Message.node_heartbeat().rows_size());
  return n;
}

} // namespace

// A leader was lost, and requests wait for models at all fronts: the next one
// can plan for them only once it knows of them.
TEST_CASE("front tells a new leader at once what is asked of it") {
  FrontState state;
  state.Self.set_name("front");
  GossipState gossip;
  FleetDemand demand;
  state.ModelUsages["cold"].Waiting = {1, 2};
  NodeMessages out;
  takeNodeHeartbeat(state, gossip, demand, leaderBeat("a", 1), Start, out);
  CHECK(countRows(out, "a:1") == 1);
  out.clear();
  takeNodeHeartbeat(state, gossip, demand, leaderBeat("a", 1), Start, out);
  CHECK(countRows(out, "a:1") == 0);
  takeNodeHeartbeat(state, gossip, demand, leaderBeat("b", 2), Start, out);
  CHECK(countRows(out, "b:1") == 1);
  // One that leads no more changes nothing.
  out.clear();
  takeNodeHeartbeat(state, gossip, demand, leaderBeat("a", 1), Start, out);
  CHECK(state.Leader.Node == "b");
  CHECK(countRows(out, "a:1") == 0);
}
