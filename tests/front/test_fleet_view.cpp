/// \file
/// Heartbeats between fronts.
#include "front/fleet_view.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::NodeHeartbeat leaderHeartbeat(const std::string &Name, uint64_t Term) {
  wire::NodeHeartbeat out;
  out.mutable_self()->set_name(Name);
  out.mutable_self()->set_address(Name + ":1");
  out.mutable_self()->set_kind(wire::NODE_FRONT);
  out.set_is_leader(true);
  out.set_term(Term);
  return out;
}

/// Number of demand rows sent to \p Address.
size_t countRows(const NodeMessages &Messages, const std::string &Address) {
  size_t n = 0;
  for (const NodeMessage &it : Messages)
    if (it.Address == Address)
      n += static_cast<size_t>(it.Message.node_heartbeat().rows_size());
  return n;
}

} // namespace

// After a change of leader, requests wait for models at all fronts, and the new
// leader can plan loads for them only once the fronts have reported them.
TEST_CASE("front reports its demand to a new leader at once") {
  FrontState state;
  state.Self.set_name("front");
  GossipState gossip;
  FleetDemand demand;
  state.ModelUsages["cold"].Waiting = {1, 2};
  NodeMessages out;
  handleNodeHeartbeat(state, gossip, demand, leaderHeartbeat("a", 1), Start,
                      out);
  CHECK(countRows(out, "a:1") == 1);
  out.clear();
  handleNodeHeartbeat(state, gossip, demand, leaderHeartbeat("a", 1), Start,
                      out);
  CHECK(countRows(out, "a:1") == 0);
  handleNodeHeartbeat(state, gossip, demand, leaderHeartbeat("b", 2), Start,
                      out);
  CHECK(countRows(out, "b:1") == 1);
  // A heartbeat of a leader of an earlier term is ignored.
  out.clear();
  handleNodeHeartbeat(state, gossip, demand, leaderHeartbeat("a", 1), Start,
                      out);
  CHECK(state.Leader.Node == "b");
  CHECK(countRows(out, "a:1") == 0);
}
