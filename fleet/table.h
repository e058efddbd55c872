/// \file
/// The operators' table: CSV in and out, and the checks on a whole table.
#ifndef SASSAFRAS_FLEET_TABLE_H
#define SASSAFRAS_FLEET_TABLE_H

#include "wire/inner.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/// What is wrong with a table and where.
struct TableProblem {
  size_t Row = 0;     ///< 1 for the first row below the heading.
  std::string Column; ///< Empty when the whole row is meant.
  std::string Reason;
};

/// One line for an operator.
std::string describe(const TableProblem &Problem);

/// Parses CSV with a heading line. On failure returns nothing and sets
/// \p Problem. Does not check references; see checkTable.
std::optional<std::vector<wire::TableRow>> parseTable(std::string_view Csv,
                                                      TableProblem &Problem);

/// Checks a whole table: names, references, limits. Nothing when it is good.
std::optional<TableProblem> checkTable(const std::vector<wire::TableRow> &Rows);

/// CSV of \p Rows with the heading line; parseTable gives the same rows back.
std::string formatTable(const std::vector<wire::TableRow> &Rows);

/// True when \p Row may be used by \p Tenant.
bool allowsOrganisation(const wire::TableRow &Row, const std::string &Tenant);

} // namespace sassafras

#endif
