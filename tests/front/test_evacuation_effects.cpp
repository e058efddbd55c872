/// \file
/// Evacuated zones: how fronts learn of them, and what is not sent there.
#include "front/evacuation_effects.h"

#include "front/endpoint_statements.h"
#include "front/front_status.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::EvacuationState makeEvacuations(uint64_t Version, bool IsActive,
                                      const std::string &Zone = "b") {
  wire::EvacuationState out;
  out.set_version(Version);
  wire::EvacuatedZone &zone = *out.add_zones();
  zone.set_zone(Zone);
  zone.set_is_active(IsActive);
  zone.set_version(Version);
  return out;
}

FrontState makeState(const std::string &Name = "front") {
  FrontState out;
  out.Self.set_name(Name);
  out.Self.set_address(Name + ":1");
  out.Self.set_zone("a");
  out.Self.set_kind(wire::NODE_FRONT);
  out.StartedAt = Start;
  for (const char *zone : {"a", "b"}) {
    wire::EndpointObservation it;
    it.set_id(std::string("i-") + zone);
    it.set_service("chat");
    it.set_address(std::string("10.0.0.") + zone + ":7");
    it.set_zone(zone);
    it.set_born_ms(1);
    it.set_sequence(1);
    it.set_slots(4);
    applyObservation(out.Directory, it, Start);
  }
  return out;
}

wire::NodeHeartbeat makeHeartbeat(const std::string &Name, uint64_t Version) {
  wire::NodeHeartbeat out;
  out.mutable_self()->set_name(Name);
  out.mutable_self()->set_address(Name + ":1");
  out.mutable_self()->set_zone("a");
  out.mutable_self()->set_kind(wire::NODE_FRONT);
  out.set_evacuation_version(Version);
  return out;
}

/// Versions of the evacuations that are sent to \p Address.
std::vector<uint64_t> listSent(const NodeMessages &Messages,
                               const std::string &Address) {
  std::vector<uint64_t> out;
  for (const NodeMessage &it : Messages)
    if (it.Address == Address && it.Message.has_evacuation_update())
      out.push_back(it.Message.evacuation_update().version());
  return out;
}

bool takes(const FrontState &State, const std::string &Id, TimePoint Now) {
  return takesRequests(State, State.Directory.Endpoints.at(Id), Now);
}

} // namespace

TEST_CASE("endpoints of an evacuated zone take no requests until it is taken "
          "back") {
  FrontState state = makeState();
  CHECK(takes(state, "i-b", Start));
  auto changes =
      applyEvacuations(state, makeEvacuations(1, true), "log", Start);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].IsActive);
  CHECK_FALSE(takes(state, "i-b", Start));
  CHECK(takes(state, "i-a", Start));
  wire::StatusReply reply;
  fillFrontStatus(state, Start + Millis(2'000), reply);
  REQUIRE(reply.evacuations().zones_size() == 1);
  CHECK(reply.evacuations().zones(0).changed_ms() == 2'000);
  for (const wire::EndpointStatus &it : reply.endpoints())
    CHECK(it.state() == (it.id() == "i-b" ? "evacuated" : "usable"));
  CHECK(
      applyEvacuations(state, makeEvacuations(2, false), "log", Start).size() ==
      1);
  CHECK(takes(state, "i-b", Start));
}

TEST_CASE("front never goes back to an earlier state of the evacuations") {
  FrontState state = makeState();
  applyEvacuations(state, makeEvacuations(3, true), "front", Start);
  for (uint64_t version : {0, 1, 2, 3}) {
    INFO("version " << version);
    CHECK(
        applyEvacuations(state, makeEvacuations(version, false), "front", Start)
            .empty());
    CHECK_FALSE(takes(state, "i-b", Start));
  }
  // A state that leaves the zone out has forgotten its end.
  CHECK(applyEvacuations(state, makeEvacuations(4, true, "c"), "front", Start)
            .size() == 2);
  CHECK(takes(state, "i-b", Start));
}

TEST_CASE("front that is behind is sent the evacuations in reply to its "
          "heartbeat, before anything else about the endpoints") {
  FrontState state = makeState();
  applyEvacuations(state, makeEvacuations(2, true), "log", Start);
  GossipState gossip;
  FleetDemand demand;
  NodeMessages out;
  handleNodeHeartbeat(state, gossip, demand, makeHeartbeat("x", 1), Start, out);
  CHECK(listSent(out, "x:1") == std::vector<uint64_t>{2});
  REQUIRE_FALSE(out.empty());
  size_t sentAt = 0;
  size_t endpointsAt = out.size();
  for (size_t i = 0; i < out.size(); ++i) {
    if (out[i].Message.has_evacuation_update())
      sentAt = i;
    if (out[i].Message.has_endpoint_news())
      endpointsAt = i;
  }
  CHECK(sentAt < endpointsAt);
  out.clear();
  handleNodeHeartbeat(state, gossip, demand, makeHeartbeat("x", 2),
                      Start + Millis(800), out);
  CHECK(listSent(out, "x:1").empty());
  // A lost reply is repeated with a later heartbeat.
  handleNodeHeartbeat(state, gossip, demand, makeHeartbeat("x", 1),
                      Start + Millis(900), out);
  CHECK(listSent(out, "x:1") == std::vector<uint64_t>{2});
}

TEST_CASE("leader repeats a change to the fronts that have not reported it") {
  FrontState state = makeState();
  GossipState gossip;
  FleetDemand demand;
  NodeMessages out;
  for (const char *name : {"old", "done"})
    handleNodeHeartbeat(state, gossip, demand, makeHeartbeat(name, 0), Start,
                        out);
  applyEvacuations(state, makeEvacuations(1, true), "log", Start);
  handleNodeHeartbeat(state, gossip, demand, makeHeartbeat("done", 1), Start,
                      out);
  out.clear();
  pushEvacuations(state, Start, out);
  CHECK(listSent(out, "old:1").size() == 1);
  CHECK(listSent(out, "done:1").empty());
  out.clear();
  gossip.NextBroadcast = TimePoint();
  sendHeartbeats(state, gossip, true, 1, Start + Millis(1'000), out);
  CHECK(listSent(out, "old:1").size() == 1);
  for (const NodeMessage &it : out)
    if (it.Message.has_node_heartbeat())
      CHECK(it.Message.node_heartbeat().evacuation_version() == 1);
}

TEST_CASE("evacuations are sent before a new table") {
  FrontState state = makeState();
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  state.Table = table;
  GossipState gossip;
  FleetDemand demand;
  NodeMessages out;
  handleNodeHeartbeat(state, gossip, demand, makeHeartbeat("x", 0), Start, out);
  applyEvacuations(state, makeEvacuations(1, true), "log", Start);
  out.clear();
  pushTable(state, Start, out);
  REQUIRE(out.size() == 2);
  CHECK(out[0].Message.has_evacuation_update());
  CHECK(out[1].Message.has_table_update());
}

TEST_CASE("front that starts waits for a word on the evacuations, but not for "
          "long") {
  FrontState state = makeState();
  CHECK_FALSE(knowsEvacuations(state, Start + Millis(100)));
  CHECK(knowsEvacuations(state, Start + EvacuationLearnTime + Millis(1)));
  GossipState gossip;
  FleetDemand demand;
  NodeMessages out;
  // One that knows more has yet to send it.
  handleNodeHeartbeat(state, gossip, demand, makeHeartbeat("x", 4),
                      Start + Millis(100), out);
  CHECK_FALSE(knowsEvacuations(state, Start + Millis(100)));
  applyEvacuations(state, makeEvacuations(4, true), "front",
                   Start + Millis(110));
  CHECK(knowsEvacuations(state, Start + Millis(110)));
  // An old process reports no version.
  FrontState other = makeState();
  handleNodeHeartbeat(other, gossip, demand, makeHeartbeat("y", 0),
                      Start + Millis(100), out);
  CHECK(knowsEvacuations(other, Start + Millis(100)));
  FrontState leader = makeState();
  leader.IsLeading = true;
  CHECK(knowsEvacuations(leader, Start + Millis(100)));
}

TEST_CASE("summary tells an unknown zone and the last one that serves") {
  FrontState state = makeState();
  ZoneSummary unknown = summarizeZone(state, "x", Start);
  CHECK_FALSE(unknown.IsKnown);
  CHECK(unknown.Endpoints == 0);
  CHECK(summarizeZone(state, "b", Start).Remaining == 1);
  applyEvacuations(state, makeEvacuations(1, true), "log", Start);
  CHECK(summarizeZone(state, "a", Start).Remaining == 0);
  CHECK(summarizeZone(state, "b", Start).IsKnown);
}

TEST_CASE("ended evacuations of many zones are forgotten, active ones never") {
  wire::EvacuationState state;
  for (int i = 0; i < 4 * MaxEndedEvacuations; ++i) {
    wire::EvacuationChange change;
    change.set_zone("z" + std::to_string(i));
    change.set_is_active(true);
    CHECK(applyEvacuationChange(state, change));
    CHECK_FALSE(applyEvacuationChange(state, change));
    change.set_is_active(false);
    if (i > 0)
      CHECK(applyEvacuationChange(state, change));
  }
  CHECK(state.zones_size() == MaxEndedEvacuations + 1);
  CHECK(isEvacuated(state, "z0"));
  CHECK(state.version() == 8 * MaxEndedEvacuations - 1);
}

// Its endpoints may have become cold while nothing was sent there, and have not
// announced that yet.
TEST_CASE("zone that returns counts as cold for the time of its service") {
  FrontState state = makeState();
  auto table = std::make_shared<ServingTable>();
  ServingService service;
  service.Name = "chat";
  service.ColdTime = Millis(3'000);
  service.ColdPerSecond = 18;
  table->Services["chat"] = service;
  state.Table = table;
  TimePoint now = Start + std::chrono::seconds(5);
  applyEvacuations(state, makeEvacuations(1, true), "test", now);
  applyEvacuations(state, makeEvacuations(2, false), "test", now);
  const KnownEndpoint &returned = state.Directory.Endpoints.at("i-b");
  const KnownEndpoint &other = state.Directory.Endpoints.at("i-a");
  CHECK(coldLimitOf(state, returned, now));
  CHECK_FALSE(coldLimitOf(state, other, now));
  CHECK_FALSE(coldLimitOf(state, returned, now + Millis(3'100)));
  // It says that it is warm.
  wire::EndpointObservation warm;
  warm.set_id("i-b");
  warm.set_service("chat");
  warm.set_address("10.0.0.b:7");
  warm.set_zone("b");
  warm.set_born_ms(1);
  warm.set_sequence(2);
  warm.set_slots(4);
  // What is heard at once may have been sent before it became cold.
  recordObservation(state, warm, false, now + Millis(900));
  CHECK(coldLimitOf(state, state.Directory.Endpoints.at("i-b"),
                    now + Millis(900)));
  warm.set_sequence(3);
  now += SuspicionMargin + Millis(100);
  recordObservation(state, warm, false, now);
  CHECK_FALSE(coldLimitOf(state, state.Directory.Endpoints.at("i-b"), now));
}
