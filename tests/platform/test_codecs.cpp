/// \file
/// Contract of the platform's formats: what is accepted, what is rejected with
/// a reason, and which caller fields must not reach an endpoint.
#include "platform/announcement_codec.h"
#include "platform/caller_codec.h"
#include "platform/engine_codec.h"
#include "platform/table_codec.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const std::string Services =
    R"("services":[{"name":"s","engine":{"slots":4,"weights-mb":100.0,)"
    R"("adapter-slots":2,"loads-per-s":1.5,"models":[{"name":"m",)"
    R"("weights-mb":10.5,"load-s":6,"adapters":2,"adapter-mb":1}]}}])";

std::string tableWith(const std::string &Routes,
                      const std::string &Rest = std::string()) {
  return R"({"version":7,"routes":[)" + Routes + "]," + Services + Rest + "}";
}

std::string route(const std::string &Fields) {
  return R"({"name":"r","host":"h","path-prefix":"/p/","kind":"streaming",)"
         R"("timeout-ms":500)" +
         Fields + "}";
}

} // namespace

TEST_CASE("operator's table is accepted completely or rejected with a reason") {
  struct Case {
    const char *What;
    std::string Text;
    const char *Reason; ///< Expected in the error; null if the table is valid.
  };
  const std::string good = route(R"(,"service":"s")");
  const Case cases[] = {
      {"valid", tableWith(good), nullptr},
      {"unknown fields", tableWith(route(R"(,"service":"s","new":{"a":1})")),
       nullptr},
      {"valid split",
       tableWith(route(R"(,"split":[{"service":"s","weight":1}])")), nullptr},
      {"truncated", tableWith(good).substr(0, 60), "JSON"},
      {"not an object", "[]", "object"},
      {"empty", "", "JSON"},
      {"no version", R"({"routes":[],"services":[]})", "version"},
      {"fractional version", R"({"version":1.5,"routes":[],"services":[]})",
       "version"},
      {"negative version", R"({"version":-1,"routes":[],"services":[]})",
       "version"},
      {"routes of another type", R"({"version":1,"routes":{},"services":[]})",
       "routes"},
      {"route that is not an object", tableWith("5"), "object"},
      {"unknown kind",
       tableWith(R"({"name":"r","host":"h","path-prefix":"/p/","kind":"odd",)"
                 R"("timeout-ms":5,"service":"s"})"),
       "kind"},
      {"unknown service", tableWith(route(R"(,"service":"none")")),
       "unknown service"},
      {"no service", tableWith(route("")), "service"},
      {"weights of 0",
       tableWith(route(R"(,"split":[{"service":"s","weight":0}])")),
       "add up to 0"},
      {"same host and path prefix twice", tableWith(good + "," + good),
       "twice"},
      {"shared key",
       tableWith(good, R"(,"tenants":[{"name":"a","api-keys":["k"]},)"
                       R"({"name":"b","api-keys":["k"]}])"),
       "share a key"},
      {"key of another type",
       tableWith(good, R"(,"tenants":[{"name":"a","api-keys":[5]}])"),
       "not a string"},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    std::string problem;
    ServingTablePtr table = platform::readTable(it.Text, problem);
    INFO(problem);
    CHECK((table != nullptr) == (it.Reason == nullptr));
    if (it.Reason)
      CHECK(problem.find(it.Reason) != std::string::npos);
  }
}

TEST_CASE("load of an endpoint is read figure by figure") {
  auto read = [](const std::string &Text) {
    return platform::readResponseFields(200,
                                        {{"sassafrasseam-server-load", Text}});
  };
  auto usual = read("3,1,8");
  REQUIRE(usual.Load);
  CHECK(usual.Load->Slots == 8);
  CHECK_FALSE(usual.Load->PacePercent);
  CHECK_FALSE(usual.HasInvalidLoad);
  // A figure that is added leaves the others known.
  auto paced = read("12,2,48,240");
  REQUIRE(paced.Load);
  CHECK(paced.Load->Running == 12);
  CHECK(paced.Load->Waiting == 2);
  CHECK(paced.Load->Slots == 48);
  CHECK(paced.Load->PacePercent == 240U);
  CHECK_FALSE(paced.HasInvalidLoad);
  auto longer = read("12, 2, 48, 240, 7,x");
  REQUIRE(longer.Load);
  CHECK(longer.Load->PacePercent == 240U);
  CHECK_FALSE(longer.HasInvalidLoad);
  // Figures that are not valid are left out, and reported.
  for (const char *text : {"3,1,0,100", "3,1,-8,100", "3,1,,100", "3,1,1e3"}) {
    CAPTURE(text);
    auto fields = read(text);
    REQUIRE(fields.Load);
    CHECK(fields.Load->Waiting == 1);
    CHECK(fields.Load->Slots == 0);
    CHECK(fields.HasInvalidLoad);
  }
  for (const char *text : {"3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,99999999"}) {
    CAPTURE(text);
    auto fields = read(text);
    REQUIRE(fields.Load);
    CHECK(fields.Load->Slots == 8);
    CHECK_FALSE(fields.Load->PacePercent);
    CHECK(fields.HasInvalidLoad);
  }
  for (const char *text : {"", "3", "x,1,8", "-3,1,8", "99999999999,1,8,100"}) {
    CAPTURE(text);
    CHECK_FALSE(read(text).Load);
    CHECK(read(text).HasInvalidLoad);
  }
  CHECK_FALSE(platform::readResponseFields(
                  200, {{"sassafrasseam-server-load", "3,1,8"},
                        {"sassafrasseam-server-load", "9,1,8"}})
                  .Load);
}

TEST_CASE("operator's table sets the sizes and load times of models") {
  std::string problem;
  auto table =
      platform::readTable(tableWith(route(R"(,"service":"s")")), problem);
  REQUIRE(table);
  const EngineSpec &engine = *table->Services.at("s").Engine;
  CHECK(engine.WeightsMb == 100);
  const ModelSpec &model = engine.Models.at("m");
  // Sizes are rounded up, so that models whose rounded sizes fit into memory
  // together do fit.
  CHECK(model.WeightsMb == 11);
  CHECK(model.StoreLoad == Millis(6'000));
  CHECK(model.DiskLoad == Millis(6'000));
}

// Numbers over 32 bits were truncated: weights and slots became 0, and a limit
// of 2^32 bytes refused every request.
TEST_CASE("numbers of a table that are too large to tell apart stay large") {
  const std::string numbers[] = {"4294967296", "8589934592", "9007199254740993",
                                 "1e18", "1e300"};
  for (const std::string &it : numbers) {
    INFO(it);
    std::string problem;
    std::string text =
        R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/",)"
        R"("kind":"idempotent","timeout-ms":N,"slo-ms":N,"gap-target-ms":N,)"
        R"("priority":N,"max-attempts":N,"split":[{"service":"s","weight":N},)"
        R"({"service":"s","weight":1}]}],"services":[{"name":"s",)"
        R"("max-conns":N,"engine":{"slots":N,"kv-tokens":N,"weights-mb":N,)"
        R"("adapter-slots":N,"loads-per-s":N,"models":[{"name":"m",)"
        R"("weights-mb":N,"load-s":N,"adapters":N,"adapter-mb":N}]}}],)"
        R"("limits":{"max-header-bytes":N,"max-body-bytes":N,)"
        R"("header-timeout-ms":N,"idle-timeout-ms":N},"tenants":[{"name":"t",)"
        R"("api-keys":["k"],"priority":N,"plain-tokens":N,"rate-per-s":N,)"
        R"("burst":N}]})";
    for (size_t at = text.find(":N"); at != std::string::npos;
         at = text.find(":N", at))
      text.replace(at + 1, 1, it);
    ServingTablePtr table = platform::readTable(text, problem);
    INFO(problem);
    REQUIRE(table);
    constexpr uint32_t Large = 4'294'967'295;
    const ServingRoute &route = table->Routes.front();
    CHECK(route.Services.front().Weight == Large);
    CHECK(route.MaxAttempts == Large);
    CHECK(route.Priority == Large);
    CHECK(route.Timeout > std::chrono::hours(24));
    const EngineSpec &engine = *table->Services.at("s").Engine;
    CHECK(engine.Slots == Large);
    CHECK(engine.AdapterSlots == Large);
    CHECK(engine.KvTokens >= Large);
    CHECK(engine.Models.at("m").AdapterCount == Large);
    CHECK(table->Limits.HeadBytes == Large);
    CHECK(table->Limits.BodyBytes >= Large);
    CHECK(table->Organisations.front().Priority == Large);
    CHECK(table->Organisations.front().RatePerSecond >= Large);
  }
}

TEST_CASE("numbers of a table that are small or 0 refuse no request") {
  std::string problem;
  std::string text = tableWith(route(R"(,"service":"s")"),
                               R"(,"limits":{"max-header-bytes":0,)"
                               R"("max-body-bytes":0,"header-timeout-ms":0,)"
                               R"("idle-timeout-ms":0})");
  const std::string timeout = "\"timeout-ms\":500";
  text.replace(text.find(timeout), timeout.size(), "\"timeout-ms\":0.5");
  ServingTablePtr table = platform::readTable(text, problem);
  INFO(problem);
  REQUIRE(table);
  CHECK(table->Routes.front().Timeout == Millis(1));
  const CallerLimits defaults;
  CHECK(table->Limits.HeadBytes == defaults.HeadBytes);
  CHECK(table->Limits.BodyBytes == defaults.BodyBytes);
  CHECK(table->Limits.HeadTime == defaults.HeadTime);
  CHECK(table->Limits.IdleTime == defaults.IdleTime);
}

TEST_CASE("caller's deadline that is too long is a long one") {
  for (const char *it : {"9223372036854775808", "18446744073709551615"}) {
    HttpRequest request{"GET", "/", {{"sassafrasseam-deadline-ms", it}}, ""};
    auto fields = platform::extractCallerFields(request);
    REQUIRE(fields.TimeLeft);
    CHECK(*fields.TimeLeft > std::chrono::hours(1));
  }
}

TEST_CASE("announcement is accepted only if all of its fields can be parsed") {
  const std::string good =
      R"("service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"ready","seq":3,"born":1700000000000)";
  struct Case {
    const char *What;
    std::string Body;
    bool IsValid;
  };
  const Case cases[] = {
      {"valid", "{" + good + "}", true},
      {"unknown field", "{" + good + R"(,"odd":[1]})", true},
      {"malformed JSON", "{" + good, false},
      {"not an object", "[]", false},
      {"no service",
       R"({"address":"10.0.0.1:80","zone":"z","state":"ready","seq":3})",
       false},
      {"unknown state",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd",)"
       R"("seq":3})",
       false},
      {"sequence of another type",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
       R"("seq":"3"})",
       false},
      {"address without a port",
       R"({"service":"s","address":"10.0.0.1","zone":"z","state":"ready",)"
       R"("seq":3})",
       false},
      {"fractional birth time",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
       R"("seq":3,"born":1.5})",
       false},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    auto call = platform::readFleetCall(
        {"POST", "/Instances.Heartbeat/i-1", {}, it.Body});
    CHECK(std::holds_alternative<platform::Announcement>(call) == it.IsValid);
    CHECK(std::holds_alternative<platform::MalformedCall>(call) != it.IsValid);
  }
  auto call = platform::readFleetCall({"POST", "/Instances.Leave/i-1", {}, ""});
  auto *leave = std::get_if<platform::Announcement>(&call);
  REQUIRE(leave);
  CHECK(leave->Observation.has_left());
  CHECK(leave->Observation.id() == "i-1");
  CHECK(std::holds_alternative<platform::UnknownCall>(
      platform::readFleetCall({"GET", "/Instances.Leave/i-1", {}, ""})));
}

TEST_CASE("odd entry among the endpoints names none and harms none") {
  std::string deep(100'000, '[');
  const std::string start =
      R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.1:80")";
  const std::string atAddress =
      R"({"service":"s","zone":"z","state":"ready","seq":3,"address":")";
  const std::string cases[] = {
      start + R"(,"seq":3,"models":)" + deep,
      start + R"(,"seq":3,"odd":)" + deep + std::string(100'000, ']') + "}",
      start + R"(,"seq":1e400})",
      start + R"(,"seq":99999999999999999999999})",
      start + R"(,"seq":3,"born":1e17})",
      start + R"(,"seq":3,"slots":4294967296})",
      start + R"(,"seq":3,"cold-left-ms":1e300})",
      start + R"(,"seq":3,"remaining-ms":9e15})",
      start + R"(,"seq":3,"remaining-ms":-1})",
      atAddress + R"(10.0.0.1:65536"})",
      atAddress + R"(10.0.0.1:0"})",
      atAddress + R"(10.0.0.1:99999999999999999999"})",
  };
  for (const std::string &it : cases) {
    INFO(it.substr(0, 140));
    CHECK(std::holds_alternative<platform::MalformedCall>(
        platform::readFleetCall({"POST", "/Instances.Heartbeat/i-1", {}, it})));
  }
}

TEST_CASE("caller's fields that only the fleet may set do not reach an "
          "endpoint") {
  HttpRequest request{"POST", "/p/x", {}, "body"};
  for (const char *name :
       {"authorization", "sassafrasseam-tenant", "sassafrasseam-hold",
        "sassafrasseam-pin-ms", "sassafrasseam-kv-backup", "kv-from",
        "kv-fetch", "sassafrasseam-urgency-level",
        "sassafrasseam-expect-instance", "sassafrasseam-expect-version"})
    request.Fields.push_back({name, "Bearer secret"});
  request.Fields.push_back({"connection", "close, x-private"});
  request.Fields.push_back({"x-private", "1"});
  request.Fields.push_back({"x-kept", "2"});
  request.Fields.push_back({"sassafrasseam-attempt-id", "id-1"});
  request.Fields.push_back({"sassafrasseam-model", "m/a3"});
  request.Fields.push_back({"sassafrasseam-token-counts", "14,80"});
  auto fields = platform::extractCallerFields(request);
  CHECK(fields.Key == "secret");
  CHECK(fields.Model == "m");
  CHECK(fields.Adapter == "a3");
  CHECK(fields.PromptTokens == 14);
  CHECK(fields.OutputTokens == 80);
  CHECK_FALSE(fields.LengthHint);
  platform::EndpointFields endpointFields;
  endpointFields.TimeLeft = Millis(900);
  endpointFields.Endpoint = "i-1";
  platform::setEndpointFields(request, endpointFields);
  for (const HttpField &it : request.Fields) {
    INFO(it.Name);
    CHECK(it.Value.find("secret") == std::string::npos);
    CHECK(it.Name != "x-private");
  }
  CHECK(fieldOf(request.Fields, "x-kept") == "2");
  CHECK(fieldOf(request.Fields, "sassafrasseam-attempt-id") == "id-1");
  CHECK(fieldOf(request.Fields, "sassafrasseam-expect-instance") == "i-1");
  CHECK(fieldOf(request.Fields, "sassafrasseam-tenant").empty());
}

TEST_CASE("response states whether its request was run") {
  auto notRun = platform::readResponseFields(
      503, {{"sassafrasseam-not-executed", "1"},
            {"sassafrasseam-attempt-id", "x"},
            {"sassafrasseam-server-load", "3,1,8"}});
  CHECK(notRun.IsNotRun);
  REQUIRE(notRun.Load);
  CHECK(notRun.Load->Waiting == 1);
  CHECK(platform::readResponseFields(421, {}).IsNotRun);
  CHECK_FALSE(platform::readResponseFields(503, {}).IsNotRun);
  CHECK_FALSE(
      platform::readResponseFields(200, {{"sassafrasseam-server-load", "3,x"}})
          .Load);
}

TEST_CASE("cold time of an endpoint is read from its answer") {
  auto read = [](const std::string &Text) {
    return platform::readResponseFields(200, {{"sassafrasseam-cold-ms", Text}});
  };
  CHECK(read("1500").ColdLeft == Millis(1'500));
  CHECK(read("0").ColdLeft == Millis(0));
  CHECK(read("0.2").ColdLeft == Millis(1));
  CHECK(read("99999999999999999999").ColdLeft == std::chrono::hours(24));
  for (const char *it : {"-1", "soon", "", "nan", "1e3"}) {
    INFO(it);
    CHECK(read(it).HasInvalidCold);
    CHECK_FALSE(read(it).ColdLeft);
  }
  auto repeated = platform::readResponseFields(
      200, {{"sassafrasseam-cold-ms", "5"}, {"sassafrasseam-cold-ms", "6"}});
  CHECK(repeated.HasInvalidCold);
  CHECK_FALSE(platform::readResponseFields(200, {}).HasInvalidCold);
}

TEST_CASE("table states the rate and the time of cold endpoints") {
  std::string problem;
  auto table = platform::readTable(
      R"({"version":1,"routes":[],"services":[)"
      R"({"name":"a","cold-start-s":2.5,"cold-per-s":18},{"name":"b"}]})",
      problem);
  INFO(problem);
  REQUIRE(table);
  CHECK(table->Services.at("a").ColdTime == Millis(2'500));
  CHECK(table->Services.at("a").ColdPerSecond == 18);
  CHECK(table->Services.at("b").ColdTime == Millis(0));
  CHECK(table->Services.at("b").ColdPerSecond == 0);
  CHECK_FALSE(platform::readTable(R"({"version":1,"routes":[],"services":[)"
                                  R"({"name":"a","cold-per-s":-1}]})",
                                  problem));
}

TEST_CASE("engine's state is accepted or rejected with a reason") {
  wire::EngineReport report;
  std::string problem;
  REQUIRE(platform::readState(
      R"({"models":[{"name":"m","version":1,"adapters":["a1"]}],"busy":true,)"
      R"("seq":4,"active":2,"queued":1,"born":5,"incoming":["m/a2@1"],)"
      R"("available":{"in-memory":["m"],"on-disk":["m","n"]}})",
      report, problem));
  CHECK(report.is_busy());
  CHECK(report.order_sequence() == 4);
  CHECK(report.models(0).adapters(0) == "a1");
  CHECK(report.on_disk_size() == 2);
  for (const char *bad : {"", "[]", "{}", R"({"models":[],"seq":"4"})",
                          R"({"models":[5],"seq":4})"}) {
    INFO(bad);
    std::string reason;
    wire::EngineReport out;
    CHECK_FALSE(platform::readState(bad, out, reason));
    CHECK_FALSE(reason.empty());
  }
}

TEST_CASE("health check is answered by the expected instance only") {
  HttpRequest request = platform::makeHealthRequest("/health", "i-1");
  CHECK(request.Method == "GET");
  CHECK(request.Target == "/health");
  CHECK(fieldOf(request.Fields, "sassafrasseam-expect-instance") == "i-1");
  const HttpField own{"sassafrasseam-instance-id", "i-1"};
  const HttpField other{"sassafrasseam-instance-id", "i-2"};
  const HttpField refused{"sassafrasseam-not-executed", "1"};
  struct Case {
    unsigned Status;
    std::vector<HttpField> Fields;
    bool IsRunning;
  };
  const Case cases[] = {
      {200, {own}, true},
      {200, {}, false},
      {200, {other}, false},
      {200, {refused}, false},
      // It is leaving, failing, or full.
      {503, {own}, true},
      {500, {own}, true},
      {503, {refused}, true},
      {429, {refused}, true},
      {400, {refused}, true},
      // Anything that is not an endpoint may answer so.
      {503, {}, false},
      {404, {}, false},
      {400, {}, false},
      {503, {other}, false},
      {503, {other, refused}, false},
      // The status says that another instance has the address.
      {421, {}, false},
      {421, {refused}, false},
      {421, {own}, false},
  };
  CHECK(platform::isFromOtherInstance(421, {}, "i-1"));
  CHECK(platform::isFromOtherInstance(200, {other}, "i-1"));
  CHECK_FALSE(platform::isFromOtherInstance(200, {own}, "i-1"));
  CHECK_FALSE(platform::isFromOtherInstance(200, {}, "i-1"));
  for (const Case &it : cases) {
    INFO(it.Status << " with " << it.Fields.size() << " fields");
    CHECK(platform::isFromInstance(it.Status, it.Fields, "i-1") ==
          it.IsRunning);
  }
}

TEST_CASE("operator's order on a zone is read, and an odd name has a reason") {
  auto read = [](const std::string &Target, const char *Method = "POST") {
    return platform::readFleetCall({Method, Target, {}, ""});
  };
  for (const char *zone : {"colombo-fort", "a", "zone_1.b"}) {
    for (bool isActive : {true, false}) {
      platform::EvacuationOrder given{zone, isActive};
      auto call = read(platform::evacuationPath(given));
      auto *order = std::get_if<platform::EvacuationOrder>(&call);
      REQUIRE(order);
      CHECK(order->Zone == zone);
      CHECK(order->IsActive == isActive);
    }
  }
  auto call = read("/Evacuations.Start/z%C3%BCrich");
  REQUIRE(std::holds_alternative<platform::EvacuationOrder>(call));
  const auto &order = std::get<platform::EvacuationOrder>(call);
  CHECK(order.Zone == "z\xC3\xBCrich");
  CHECK(platform::evacuationPath(order) == "/Evacuations.Start/z%C3%BCrich");
  for (const std::string &name :
       {std::string(), std::string("a/b"), std::string("%2F"),
        std::string("%0a"), std::string("%4"), std::string("%zz"),
        std::string(300, 'a')}) {
    INFO("name " << name);
    auto odd = read("/Evacuations.End/" + name);
    REQUIRE(std::holds_alternative<platform::MalformedCall>(odd));
    CHECK_FALSE(std::get<platform::MalformedCall>(odd).Reason.empty());
  }
  // What the log holds as text must be text; quotes would break the metrics.
  for (const std::string &name :
       {std::string("%FF"), std::string("a%ff"), std::string("%C3"),
        std::string("%C3a"), std::string("\xFF"), std::string("%C0%80"),
        std::string("%E0%80%80"), std::string("%ED%A0%80"),
        std::string("%F4%90%80%80"), std::string("%E2%82"), std::string("%80"),
        std::string("%22"), std::string("a%5Cb"), std::string("a\"b")}) {
    INFO("name " << name);
    CHECK(std::holds_alternative<platform::MalformedCall>(
        read("/Evacuations.Start/" + name)));
  }
  for (const char *name : {"%E2%82%AC", "%F0%9F%98%80", "%ED%9F%BF"}) {
    INFO("name " << name);
    CHECK(std::holds_alternative<platform::EvacuationOrder>(
        read(std::string("/Evacuations.Start/") + name)));
  }
  auto other = read("/Evacuations.Start/a", "GET");
  CHECK(std::holds_alternative<platform::UnknownCall>(other));
}

// A field with a further figure was taken for one without any.
TEST_CASE("token counts are read beside figures that are not known") {
  struct Case {
    const char *Value;
    bool IsRead;
  } cases[] = {{"14,80", true},     {"14,80,3", true}, {"14, 80", true},
               {"14,80,x;y", true}, {"14", false},     {"14,", false},
               {",80", false},      {"", false},       {"x,80,1", false}};
  for (const Case &it : cases) {
    INFO(it.Value);
    HttpRequest request{"POST", "/p", {}, {}};
    request.Fields.push_back({"sassafrasseam-token-counts", it.Value});
    request.Fields.push_back({"sassafrasseam-length-hint", "31"});
    auto fields = platform::extractCallerFields(request);
    CHECK(fields.HasTokenCounts == it.IsRead);
    CHECK(fields.PromptTokens == (it.IsRead ? 14U : 0U));
    CHECK(fields.OutputTokens == (it.IsRead ? 80U : 0U));
    CHECK(fields.LengthHint == 31U);
  }
}
