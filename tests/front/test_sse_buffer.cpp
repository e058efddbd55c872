/// \file
/// Splitting of streams into events.
#include "front/sse_buffer.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sassafras;

namespace {

using Ids = std::vector<std::optional<uint64_t>>;

struct Split {
  std::string Forwarded; ///< Tails and events in their order.
  Ids FieldIds;          ///< Of the events that are not comments.
  SseBuffer Buffer;
};

Split splitInSteps(const std::string &Whole, size_t Step) {
  Split out;
  for (size_t i = 0; i < Whole.size(); i += Step) {
    SsePieces pieces =
        takeCompleteEvents(out.Buffer, std::string_view(Whole).substr(i, Step));
    out.Forwarded += pieces.Tail;
    for (const SseEvent &it : pieces.Events) {
      out.Forwarded += it.Bytes;
      if (!it.IsComment)
        out.FieldIds.push_back(it.Id);
    }
  }
  return out;
}

} // namespace

TEST_CASE("stream is split at event boundaries for any division into chunks") {
  const std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: "
                            "no id\n\nid: 7\ndata: c\n\n";
  for (size_t step = 1; step < whole.size(); ++step) {
    Split split = splitInSteps(whole, step);
    CHECK(split.Forwarded == whole);
    CHECK(split.Buffer.Incomplete.empty());
    CHECK(split.FieldIds == Ids{1, 2, std::nullopt, 7});
  }
  SseBuffer partial;
  SsePieces pieces = takeCompleteEvents(partial, "id: 1\ndata: a\n\nid: 2\nda");
  REQUIRE(pieces.Events.size() == 1);
  CHECK(pieces.Events[0].Bytes == "id: 1\ndata: a\n\n");
  CHECK(pieces.Events[0].Id == 1u);
  CHECK(partial.Incomplete == "id: 2\nda");
}

TEST_CASE("events are split whatever ends their lines") {
  struct Case {
    std::string Whole;
    Ids FieldIds;
  };
  const Case cases[] = {
      {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", {1, 2}},
      {"id: 1\ndata: a\n\r\nid: 2\ndata: b\n\r\n", {1, 2}},
      {"id: 1\r\ndata: a\r\n\nid: 2\ndata: b\n\r", {1, 2}},
      {"id: 1\r\ndata: a\r\n\rid: 2\rdata: b\r\n\r\n", {1, 2}},
      {"id: 1\rdata: a\r\r\nid: 2\ndata: b\r\r\n", {1, 2}},
      {"\n\r\r\nid: 1\ndata: a\n\n\n\r", {1}},
      {": c\n\nid: 1\ndata: a\n\n: c\r\r", {1}},
  };
  for (const Case &it : cases)
    for (size_t step = 1; step <= it.Whole.size(); ++step) {
      INFO(it.Whole << " in steps of " << step);
      Split split = splitInSteps(it.Whole, step);
      CHECK(split.Forwarded == it.Whole);
      CHECK(split.Buffer.Incomplete.empty());
      CHECK(split.FieldIds == it.FieldIds);
    }
}

TEST_CASE("event is taken before the second half of its last line end") {
  SseBuffer buffer;
  SsePieces first = takeCompleteEvents(buffer, "id: 1\r\ndata: a\r\n\r");
  REQUIRE(first.Events.size() == 1);
  CHECK(first.Events[0].Bytes == "id: 1\r\ndata: a\r\n\r");
  CHECK(buffer.Incomplete.empty());
  SsePieces second = takeCompleteEvents(buffer, "\nid: 2\n\n");
  CHECK(second.Tail == "\n");
  REQUIRE(second.Events.size() == 1);
  CHECK(second.Events[0].Bytes == "id: 2\n\n");
}

TEST_CASE("id of an event is its last field of that name") {
  struct Case {
    std::string Event;
    std::optional<uint64_t> Id;
  };
  const Case cases[] = {
      {"id:5\n\n", 5},
      {"id: 5\n\n", 5},
      {"id: 4\ndata: a\nid: 5\n\n", 5},
      {"data: id: 5\n\n", std::nullopt},
      {"id: 5x\n\n", std::nullopt},
      {"id: -5\n\n", std::nullopt},
      {"id:\n\n", std::nullopt},
      {"id\n\n", std::nullopt},
      {"idle: 5\n\n", std::nullopt},
      {"ID: 5\n\n", std::nullopt},
      {"id: 18446744073709551615\n\n", 18446744073709551615u},
      {"id: 18446744073709551616\n\n", std::nullopt},
      {"data: a\n\n", std::nullopt},
  };
  for (const Case &it : cases) {
    INFO(it.Event);
    for (size_t step = 1; step <= it.Event.size(); ++step) {
      Split split = splitInSteps(it.Event, step);
      REQUIRE(split.FieldIds.size() == 1);
      CHECK(split.FieldIds[0] == it.Id);
    }
  }
}

TEST_CASE("event without its empty line has its id at the end of the stream") {
  for (const char *it : {"id: 3\ndata: a\n", "id: 3\ndata: a", "id: 3",
                         "data: a\rid: 3\r", "data: a\r\nid: 3\r\n"}) {
    INFO(it);
    SseBuffer buffer;
    CHECK(takeCompleteEvents(buffer, it).Events.empty());
    SseEvent event = takeUnendedEvent(buffer);
    CHECK(event.Bytes == it);
    CHECK(event.Id == 3u);
    CHECK_FALSE(event.IsComment);
    CHECK(buffer.Incomplete.empty());
  }
}
