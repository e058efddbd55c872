/// \file
/// Tests of the operators' table: CSV parsing, formatting and validation.
#include "fleet/table.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

constexpr const char *Heading = "kind,name,base,memory_mb,rate,burst,path,"
                                "repeatable,tenants\n";

struct BadTable {
  const char *What;
  std::string Csv;
  size_t Row;
  const char *Column;
};

std::optional<TableProblem> findProblem(const std::string &Csv) {
  TableProblem problem;
  auto rows = parseTable(Csv, problem);
  if (!rows)
    return problem;
  return checkTable(*rows);
}

} // namespace

TEST_CASE("table problem names its row and column") {
  std::string head = Heading;
  const BadTable cases[] = {
      {"unknown column", "kind,colour\n", 0, "colour"},
      {"column twice", "kind,kind\n", 0, "kind"},
      {"no heading", "", 0, ""},
      {"open quote", head + "model,\"a,,1,,,,,\n", 1, ""},
      {"too few cells", head + "model,a\n", 1, ""},
      {"bad kind", head + "modle,a,,1,,,,,\n", 1, "kind"},
      {"negative number", head + "model,a,,-1,,,,,\n", 1, "memory_mb"},
      {"huge number", head + "model,a,,99999999999999999999,,,,,\n", 1,
       "memory_mb"},
      {"no memory", head + "model,a,,,,,,,\n", 1, "memory_mb"},
      {"bad flag", head + "service,s,,,,,/s,maybe,\n", 1, "repeatable"},
      {"bad name", head + "model,a b,,1,,,,,\n", 1, "name"},
      {"name twice", head + "model,a,,1,,,,,\nmodel,a,,1,,,,,\n", 2, "name"},
      {"dangling base", head + "adapter,x,a,1,,,,,\n", 1, "base"},
      {"base is an adapter",
       head + "model,m,,1,,,,,\nadapter,a,m,1,,,,,\nadapter,b,a,1,,,,,\n", 3,
       "base"},
      {"no burst", head + "organisation,o,,,5,,,,\n", 1, "burst"},
      {"no path", head + "service,s,,,,,,,\n", 1, "path"},
      {"path of models", head + "service,s,,,,,/v1/x,,\n", 1, "path"},
      {"unknown organisation", head + "model,a,,1,,,,,nobody\n", 1, "tenants"},
  };
  for (const BadTable &it : cases) {
    INFO(it.What);
    auto problem = findProblem(it.Csv);
    REQUIRE(problem);
    CHECK(problem->Row == it.Row);
    CHECK(problem->Column == it.Column);
    CHECK_FALSE(problem->Reason.empty());
  }
}

TEST_CASE("formatted table parses to the same rows") {
  std::string csv =
      "kind,name,base,memory_mb,max_replicas,weight,rate,burst,longest_wait_s,"
      "path,open,repeatable,repeat_window_s,tenants\r\n"
      "organisation,o,,,,3,10,20,,,,,,\r\n"
      "model,m,,100,2,1,,,9,,,,,o\r\n"
      "adapter,a,m,5,1,1,,,9,,,,,\r\n"
      "service,s,,,,1,,,4,\"/s,1\",yes,no,60,\r\n";
  TableProblem problem;
  auto rows = parseTable(csv, problem);
  REQUIRE(rows);
  REQUIRE_FALSE(checkTable(*rows));
  auto reparsed = parseTable(formatTable(*rows), problem);
  REQUIRE(reparsed);
  REQUIRE(reparsed->size() == rows->size());
  for (size_t i = 0; i < rows->size(); ++i)
    CHECK((*reparsed)[i].SerializeAsString() == (*rows)[i].SerializeAsString());
}
