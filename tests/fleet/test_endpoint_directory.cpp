/// \file
/// Tests of announcements that are late, out of order, repeated or from another
/// process, and of agent reports on an earlier engine process.
#include "fleet/endpoint_directory.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::EndpointSighting sighting(const char *Id, uint64_t Born,
                                uint64_t Sequence,
                                const char *Address = "10.0.0.1:80") {
  wire::EndpointSighting out;
  out.set_id(Id);
  out.set_service("chat");
  out.set_address(Address);
  out.set_born_ms(Born);
  out.set_sequence(Sequence);
  out.set_slots(8);
  return out;
}

wire::EndpointSighting leave(const char *Id, uint64_t Born) {
  wire::EndpointSighting out;
  out.set_id(Id);
  out.set_born_ms(Born);
  out.set_has_left(true);
  return out;
}

bool isUsableById(const EndpointDirectory &Directory, const char *Id,
                  TimePoint Now) {
  auto it = Directory.Endpoints.find(Id);
  return it != Directory.Endpoints.end() && isUsable(it->second, Now);
}

} // namespace

TEST_CASE("announcement takes effect only when it is the newest") {
  struct Case {
    const char *What;
    wire::EndpointSighting Later;
    bool IsUsable;
  };
  wire::EndpointSighting draining = sighting("a", 100, 6);
  draining.set_is_draining(true);
  wire::EndpointSighting lateDraining = sighting("a", 100, 4);
  lateDraining.set_is_draining(true);
  wire::EndpointSighting earlierProcess = sighting("a", 90, 70);
  earlierProcess.set_is_draining(true);
  const Case cases[] = {
      {"draining", draining, false},
      {"late draining", lateDraining, true},
      {"draining of an earlier process", earlierProcess, true},
      {"leave notice", leave("a", 100), false},
      {"leave notice without a start time", leave("a", 0), false},
      {"leave notice of an earlier process", leave("a", 90), true},
      {"earlier process at its address", sighting("b", 90, 9), true},
      {"later process at its address", sighting("b", 110, 1), false},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    EndpointDirectory directory;
    applySighting(directory, sighting("a", 100, 5), Start);
    REQUIRE(isUsableById(directory, "a", Start));
    applySighting(directory, it.Later, Start);
    CHECK(isUsableById(directory, "a", Start) == it.IsUsable);
  }
}

TEST_CASE("late announcement does not restore an endpoint that has left") {
  EndpointDirectory directory;
  applySighting(directory, sighting("a", 100, 5), Start);
  applySighting(directory, leave("a", 0), Start);
  CHECK(applySighting(directory, sighting("a", 100, 6), Start) ==
        SightingResult::Ignored);
  CHECK_FALSE(isUsableById(directory, "a", Start));
  // The same id in a new process is another endpoint.
  applySighting(directory, sighting("a", 200, 1), Start);
  CHECK(isUsableById(directory, "a", Start));
}

TEST_CASE("endpoint is not usable after its timeout or termination") {
  EndpointDirectory directory;
  wire::EndpointSighting notice = sighting("a", 100, 5);
  notice.set_remaining_ms(1'000);
  applySighting(directory, notice, Start);
  CHECK(isUsableById(directory, "a", Start));
  CHECK_FALSE(isUsableById(directory, "a", Start + Millis(1'001)));
  applySighting(directory, sighting("b", 100, 5, "10.0.0.2:80"), Start);
  CHECK(isUsableById(directory, "b", Start + EndpointTimeout - Millis(1)));
  CHECK_FALSE(isUsableById(directory, "b", Start + EndpointTimeout));
}

TEST_CASE("digest does not depend on the order of sightings") {
  EndpointDirectory ordered;
  EndpointDirectory reversed;
  const wire::EndpointSighting sightings[] = {
      sighting("a", 100, 5), sighting("b", 110, 1),
      sighting("c", 100, 2, "10.0.0.3:80"), leave("c", 100)};
  for (const auto &it : sightings)
    applySighting(ordered, it, Start);
  for (size_t i = std::size(sightings); i > 0; --i)
    applySighting(reversed, sightings[i - 1], Start);
  CHECK(digestEndpoints(ordered) == digestEndpoints(reversed));
  // A newly started front that gets all sightings has the same digest.
  EndpointDirectory started;
  for (const auto &it : makeSightings(ordered, Start))
    applySighting(started, it, Start);
  CHECK(digestEndpoints(started) == digestEndpoints(ordered));
}

TEST_CASE("agent report applies only to the engine process that it describes") {
  EndpointDirectory directory;
  applySighting(directory, sighting("a", 100, 5), Start);
  wire::EngineReport report;
  report.mutable_self()->set_incarnation(7);
  report.mutable_self()->set_address("10.0.0.9:1");
  report.set_address("10.0.0.1:80");
  report.set_born_ms(100);
  report.set_number(3);
  report.add_models()->set_name("m");
  REQUIRE(applyReport(directory, report, Start));
  const KnownEndpoint &known = directory.Endpoints.at("a");
  REQUIRE(findEngineState(directory, known));
  CHECK(findEngineState(directory, known)->Models.contains("m"));
  report.set_number(2);
  report.clear_models();
  CHECK_FALSE(applyReport(directory, report, Start));
  CHECK(findEngineState(directory, known)->Models.contains("m"));
  // After an engine restart, reports about the earlier process do not apply.
  applySighting(directory, sighting("a", 200, 1), Start);
  CHECK_FALSE(findEngineState(directory, directory.Endpoints.at("a")));
}
