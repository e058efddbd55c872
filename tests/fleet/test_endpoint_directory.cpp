/// \file
/// Tests of announcements that are late, out of order, repeated or from another
/// process, and of agent reports on an earlier engine process.
#include "fleet/endpoint_directory.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::EndpointObservation observation(const char *Id, uint64_t Born,
                                      uint64_t Sequence,
                                      const char *Address = "10.0.0.1:80") {
  wire::EndpointObservation out;
  out.set_id(Id);
  out.set_service("chat");
  out.set_address(Address);
  out.set_born_ms(Born);
  out.set_sequence(Sequence);
  out.set_slots(8);
  return out;
}

wire::EndpointObservation leave(const char *Id, uint64_t Born) {
  wire::EndpointObservation out;
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
    wire::EndpointObservation Later;
    bool IsUsable;
  };
  wire::EndpointObservation draining = observation("a", 100, 6);
  draining.set_is_draining(true);
  wire::EndpointObservation lateDraining = observation("a", 100, 4);
  lateDraining.set_is_draining(true);
  wire::EndpointObservation earlierProcess = observation("a", 90, 70);
  earlierProcess.set_is_draining(true);
  const Case cases[] = {
      {"draining", draining, false},
      {"late draining", lateDraining, true},
      {"draining of an earlier process", earlierProcess, true},
      {"leave notice", leave("a", 100), false},
      {"leave notice without a start time", leave("a", 0), false},
      {"leave notice of an earlier process", leave("a", 90), true},
      {"earlier process at its address", observation("b", 90, 9), true},
      {"later process at its address", observation("b", 110, 1), false},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    EndpointDirectory directory;
    applyObservation(directory, observation("a", 100, 5), Start);
    REQUIRE(isUsableById(directory, "a", Start));
    applyObservation(directory, it.Later, Start);
    CHECK(isUsableById(directory, "a", Start) == it.IsUsable);
  }
}

TEST_CASE("late announcement does not restore an endpoint that has left") {
  EndpointDirectory directory;
  applyObservation(directory, observation("a", 100, 5), Start);
  applyObservation(directory, leave("a", 0), Start);
  CHECK(applyObservation(directory, observation("a", 100, 6), Start) ==
        ObservationResult::Ignored);
  CHECK_FALSE(isUsableById(directory, "a", Start));
  // The same id in a new process is another endpoint.
  applyObservation(directory, observation("a", 200, 1), Start);
  CHECK(isUsableById(directory, "a", Start));
}

TEST_CASE("endpoint is not usable after its timeout or termination") {
  EndpointDirectory directory;
  wire::EndpointObservation notice = observation("a", 100, 5);
  notice.set_remaining_ms(1'000);
  applyObservation(directory, notice, Start);
  CHECK(isUsableById(directory, "a", Start));
  CHECK_FALSE(isUsableById(directory, "a", Start + Millis(1'001)));
  applyObservation(directory, observation("b", 100, 5, "10.0.0.2:80"), Start);
  CHECK(isUsableById(directory, "b", Start + EndpointTimeout - Millis(1)));
  CHECK_FALSE(isUsableById(directory, "b", Start + EndpointTimeout));
}

TEST_CASE("digest does not depend on the order of observations") {
  EndpointDirectory ordered;
  EndpointDirectory reversed;
  const wire::EndpointObservation observations[] = {
      observation("a", 100, 5), observation("b", 110, 1),
      observation("c", 100, 2, "10.0.0.3:80"), leave("c", 100)};
  for (const auto &it : observations)
    applyObservation(ordered, it, Start);
  for (size_t i = std::size(observations); i > 0; --i)
    applyObservation(reversed, observations[i - 1], Start);
  CHECK(digestEndpoints(ordered) == digestEndpoints(reversed));
  // A newly started front that gets all observations has the same digest.
  EndpointDirectory started;
  for (const auto &it : makeObservations(ordered, Start))
    applyObservation(started, it, Start);
  CHECK(digestEndpoints(started) == digestEndpoints(ordered));
}

TEST_CASE("agent report applies only to the engine process that it describes") {
  EndpointDirectory directory;
  applyObservation(directory, observation("a", 100, 5), Start);
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
  applyObservation(directory, observation("a", 200, 1), Start);
  CHECK_FALSE(findEngineState(directory, directory.Endpoints.at("a")));
}
