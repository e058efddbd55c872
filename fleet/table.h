/// \file
/// The operators' table: CSV parsing and formatting, and validation of a whole
/// table.
#ifndef SASSAFRAS_FLEET_TABLE_H
#define SASSAFRAS_FLEET_TABLE_H

#include "wire/inner.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/// A fault in a table and its position.
struct TableProblem {
  size_t Row = 0;     ///< 1 for the first row below the heading, 0 for it.
  std::string Column; ///< Empty if the fault is not in one column.
  std::string Reason;
};

/// \p Problem as one line for an operator.
std::string describe(const TableProblem &Problem);

/// Parses CSV with a heading line. On failure returns nothing and sets
/// \p Problem. Does not check references; see checkTable.
std::optional<std::vector<wire::TableRow>> parseTable(std::string_view Csv,
                                                      TableProblem &Problem);

/// Validates a whole table: names, references, limits. Returns the first
/// problem, or nothing when the table is valid.
std::optional<TableProblem> checkTable(const std::vector<wire::TableRow> &Rows);

/// CSV of \p Rows with the heading line; parseTable restores the same rows.
std::string formatTable(const std::vector<wire::TableRow> &Rows);

/// True when \p Row may be used by \p Organisation.
bool allowsOrganisation(const wire::TableRow &Row,
                        const std::string &Organisation);

} // namespace sassafras

#endif
