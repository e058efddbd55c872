/// \file
/// Tests of leaving the zone as part of the decision on a request.
#include "front/dispatch.h"
#include "front/zone_departure.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr uint32_t Slots = 48;

/// A front in zone a, and engines in the zones a and b.
struct TwoZones {
  FrontState State;
  std::vector<EndpointCandidate> Candidates;
  TimePoint Now = Start;

  TwoZones() {
    State.Self.set_name("front");
    State.Self.set_zone("a");
    State.Limits.Crossing = CrossingTerms{Millis(10'000)};
    auto table = std::make_shared<ServingTable>();
    ServingRoute route;
    route.Kind = RequestKind::Streaming;
    table->Routes.push_back(route);
    State.Table = table;
  }

  void add(const std::string &Id, const std::string &Zone, Millis FirstPiece,
           double Held) {
    EndpointRecord &record = State.Records[Id];
    recordPace(record, 1, Now);
    EndpointCandidate it;
    it.Id = Id;
    it.Zone = Zone;
    it.Slots = Slots;
    it.Record = &record;
    it.Estimate.FirstPiece = FirstPiece;
    it.Estimate.FreeSlots = Slots - Held;
    it.Estimate.HasRoom = Held < Slots;
    Candidates.push_back(it);
  }

  FrontRequest request(Millis Objective) {
    FrontRequest out;
    out.Table = State.Table;
    out.Route = &State.Table->Routes.front();
    out.Attributes.Model = std::string("m");
    out.Attributes.PromptTokens = 900;
    out.Attributes.OutputTokens = 300;
    out.ArrivedAt = Now;
    out.ObjectiveDeadline = Now + Objective;
    out.FirstByteDeadline = Now + Millis(2'400);
    return out;
  }

  ZoneDeparture decide(Millis Objective) {
    return decideDeparture(
        State, request(Objective), Candidates, [](size_t) { return true; },
        Now);
  }
};

} // namespace

TEST_CASE("fixed penalty remains without terms, and without stated paces") {
  TwoZones zones;
  zones.add("home", "a", Millis(900), 40);
  zones.add("other", "b", Millis(50), 0);
  zones.State.Limits.Crossing.reset();
  CHECK_FALSE(zones.decide(Millis(400)).Decision);
  zones.State.Limits.Crossing = CrossingTerms{};
  for (auto &[id, it] : zones.State.Records)
    it.StatedPace.reset();
  CHECK_FALSE(zones.decide(Millis(400)).Decision);
}

TEST_CASE("only requests that would be late at home leave the zone") {
  TwoZones zones;
  zones.add("home", "a", Millis(900), 40);
  zones.add("other", "b", Millis(50), 0);
  auto urgent = zones.decide(Millis(400));
  REQUIRE(urgent.Decision);
  CHECK(urgent.Decision->Reason == CrossingReason::HomeLate);
  CHECK(urgent.IsAllowed == std::vector<bool>{false, true});
  auto patient = zones.decide(Millis(6'000));
  CHECK(patient.Decision->Reason == CrossingReason::HomeInTime);
  CHECK(patient.IsAllowed == std::vector<bool>{true, false});
}

TEST_CASE("request leaves when no endpoint at home may be used") {
  TwoZones zones;
  zones.add("home", "a", Millis(50), 0);
  zones.add("other", "b", Millis(50), 0);
  zones.Candidates[0].PausedUntil = zones.Now + Millis(500);
  auto result = zones.decide(Millis(400));
  CHECK(result.Decision->Reason == CrossingReason::NoHome);
  CHECK(result.IsAllowed == std::vector<bool>{false, true});
  // Nothing else has room: the request may go wherever it gets a place first.
  zones.Candidates[1].Estimate.HasRoom = false;
  CHECK(zones.decide(Millis(400)).IsAllowed.empty());
}

TEST_CASE("way to another zone counts for its endpoints") {
  TwoZones zones;
  zones.add("home", "a", Millis(900), 40);
  zones.add("other", "b", Millis(50), 0);
  recordConnectTime(zones.State, "b", Millis(800), zones.Now);
  CHECK(delayTo(zones.State, "b", zones.Now) == Millis(400));
  CHECK_FALSE(zones.decide(Millis(400)).Decision->Leaves);
  // The measurement is of no use any more.
  zones.Now += std::chrono::seconds(20);
  CHECK(delayTo(zones.State, "b", zones.Now) == Millis(0));
  CHECK(zones.decide(Millis(400)).Decision->Leaves);
}
