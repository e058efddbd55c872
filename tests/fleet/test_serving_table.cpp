/// \file
/// Tests of the validation of serving tables and of the selection of routes and
/// services.
#include "fleet/serving_table.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

ServingTable makeValidTable() {
  ServingTable table;
  table.Version = 3;
  table.Services["chat"].Name = "chat";
  table.Services["desk"].Name = "desk";
  ServingRoute route;
  route.Name = "all";
  route.Host = "a.example";
  route.PathPrefix = "/v/";
  route.Timeout = Millis(1000);
  route.Services = {{"chat", 1}};
  table.Routes.push_back(route);
  route.Name = "deep";
  route.PathPrefix = "/v/deep/";
  route.Services = {{"chat", 3}, {"desk", 1}};
  table.Routes.push_back(route);
  table.Organisations.push_back(
      {"first", {"key-1", "key-2"}, 0, false, 1, 0, 0});
  table.Organisations.push_back({"second", {"key-3"}, 0, false, 1, 0, 0});
  return table;
}

} // namespace

TEST_CASE("serving table is rejected for each fault") {
  struct Fault {
    const char *What;
    void (*Make)(ServingTable &);
    const char *Reason;
  };
  const Fault faults[] = {
      {"unknown service",
       [](ServingTable &it) { it.Routes[0].Services[0].Service = "none"; },
       "unknown service"},
      {"same host and path prefix twice",
       [](ServingTable &it) { it.Routes[1].PathPrefix = "/v/"; }, "twice"},
      {"weights of 0",
       [](ServingTable &it) {
         it.Routes[1].Services = {{"chat", 0}, {"desk", 0}};
       },
       "add up to 0"},
      {"timeout of 0", [](ServingTable &it) { it.Routes[0].Timeout = {}; },
       "timeout"},
      {"prefix without a slash at its end",
       [](ServingTable &it) { it.Routes[0].PathPrefix = "/v"; }, "slash"},
      {"shared key",
       [](ServingTable &it) { it.Organisations[1].Keys = {"key-1"}; },
       "share a key"},
  };
  CHECK_FALSE(checkServingTable(makeValidTable()));
  for (const Fault &it : faults) {
    INFO(it.What);
    ServingTable table = makeValidTable();
    it.Make(table);
    auto problem = checkServingTable(table);
    REQUIRE(problem);
    CHECK(problem->find(it.Reason) != std::string::npos);
  }
}

TEST_CASE("route with the longest prefix of the host is found") {
  ServingTable table = makeValidTable();
  indexServingTable(table);
  struct Case {
    const char *Host;
    const char *Path;
    const char *Route; ///< Empty for none.
  };
  const Case cases[] = {
      {"a.example", "/v/x", "all"},    {"a.example", "/v/deep/x", "deep"},
      {"a.example", "/v/deep", "all"}, {"a.example", "/v", ""},
      {"b.example", "/v/x", ""},       {"a.example", "/w/v/x", ""},
      {"A.example", "/v/x", ""},
  };
  for (const Case &it : cases) {
    INFO(it.Host << it.Path);
    const ServingRoute *route = findRoute(table, it.Host, it.Path);
    CHECK((route ? route->Name : "") == it.Route);
  }
}

TEST_CASE("services are selected by weight") {
  ServingTable table = makeValidTable();
  const ServingRoute &split = table.Routes[1];
  CHECK(selectService(split, 0.0) == "chat");
  CHECK(selectService(split, 0.74) == "chat");
  CHECK(selectService(split, 0.76) == "desk");
  CHECK(selectService(split, 0.999) == "desk");
}

TEST_CASE("key belongs to one organisation") {
  ServingTable table = makeValidTable();
  indexServingTable(table);
  REQUIRE(findOrganisation(table, "key-2"));
  CHECK(findOrganisation(table, "key-2")->Name == "first");
  CHECK(findOrganisation(table, "key-3")->Name == "second");
  CHECK_FALSE(findOrganisation(table, "key-4"));
  CHECK_FALSE(findOrganisation(table, ""));
}
