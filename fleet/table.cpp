#include "fleet/table.h"

#include <charconv>
#include <map>

namespace sassafras {

namespace {

using wire::TableRow;

enum class Column {
  Kind,
  Name,
  Base,
  MemoryMb,
  MaxReplicas,
  Weight,
  Rate,
  Burst,
  LongestWaitS,
  Path,
  Open,
  Repeatable,
  RepeatWindowS,
  Tenants,
};

struct ColumnName {
  Column Id;
  std::string_view Name;
};

constexpr ColumnName Columns[] = {
    {Column::Kind, "kind"},
    {Column::Name, "name"},
    {Column::Base, "base"},
    {Column::MemoryMb, "memory_mb"},
    {Column::MaxReplicas, "max_replicas"},
    {Column::Weight, "weight"},
    {Column::Rate, "rate"},
    {Column::Burst, "burst"},
    {Column::LongestWaitS, "longest_wait_s"},
    {Column::Path, "path"},
    {Column::Open, "open"},
    {Column::Repeatable, "repeatable"},
    {Column::RepeatWindowS, "repeat_window_s"},
    {Column::Tenants, "tenants"},
};

constexpr uint64_t MaxNumber = 1'000'000'000'000;
constexpr uint64_t MsPerSecond = 1000;
constexpr uint64_t DefaultWaitMs = 30'000;
constexpr uint64_t DefaultRepeatWindowMs = 3'600'000;
constexpr size_t MaxNameLength = 128;

struct KindName {
  wire::RowKind Kind;
  std::string_view Name;
};

constexpr KindName Kinds[] = {
    {wire::ROW_MODEL, "model"},
    {wire::ROW_ADAPTER, "adapter"},
    {wire::ROW_TENANT, "organisation"},
    {wire::ROW_SERVICE, "service"},
};

std::string_view nameOfKind(wire::RowKind Kind) {
  for (const KindName &it : Kinds)
    if (it.Kind == Kind)
      return it.Name;
  return "unknown";
}

/// Splits one CSV line at commas. Within double quotes a comma is literal and a
/// doubled quote stands for one. Nothing when a quote is not closed.
std::optional<std::vector<std::string>> splitLine(std::string_view Line) {
  std::vector<std::string> cells(1);
  bool isQuoted = false;
  for (size_t i = 0; i < Line.size(); ++i) {
    char c = Line[i];
    if (c == '"' && isQuoted && i + 1 < Line.size() && Line[i + 1] == '"') {
      cells.back() += '"';
      ++i;
    } else if (c == '"') {
      isQuoted = !isQuoted;
    } else if (c == ',' && !isQuoted) {
      cells.emplace_back();
    } else {
      cells.back() += c;
    }
  }
  if (isQuoted)
    return std::nullopt;
  return cells;
}

bool parseNumber(const std::string &Text, uint64_t &Value) {
  auto [end, ec] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return ec == std::errc() && end == Text.data() + Text.size() &&
         Value <= MaxNumber;
}

bool parseFlag(const std::string &Text, bool &Value) {
  Value = Text == "yes";
  return Value || Text == "no";
}

bool parseKind(const std::string &Text, wire::RowKind &Kind) {
  for (const KindName &it : Kinds) {
    if (it.Name != Text)
      continue;
    Kind = it.Kind;
    return true;
  }
  return false;
}

/// Stores a cell in a numeric column. Returns the reason when it is invalid, or
/// an empty text.
std::string_view storeNumber(TableRow &Row, Column Id,
                             const std::string &Text) {
  uint64_t n = 0;
  if (!parseNumber(Text, n))
    return "not an integer in range";
  if ((Id == Column::MaxReplicas || Id == Column::Weight) && n > 1'000'000)
    return "number is too large";
  switch (Id) {
  case Column::MemoryMb:
    Row.set_memory_mb(n);
    break;
  case Column::MaxReplicas:
    Row.set_max_replicas(static_cast<uint32_t>(n));
    break;
  case Column::Weight:
    Row.set_weight(static_cast<uint32_t>(n));
    break;
  case Column::Rate:
    Row.set_rate(n);
    break;
  case Column::Burst:
    Row.set_burst(n);
    break;
  case Column::LongestWaitS:
    Row.set_longest_wait_ms(n * MsPerSecond);
    break;
  default:
    Row.set_repeat_window_ms(n * MsPerSecond);
    break;
  }
  return {};
}

std::string_view storeCell(TableRow &Row, Column Id, const std::string &Text) {
  if (Text.empty())
    return {};
  bool flag = false;
  wire::RowKind kind = wire::ROW_UNKNOWN;
  switch (Id) {
  case Column::Kind:
    if (!parseKind(Text, kind))
      return "not one of model, adapter, organisation, service";
    Row.set_kind(kind);
    return {};
  case Column::Name:
    Row.set_name(Text);
    return {};
  case Column::Base:
    Row.set_base(Text);
    return {};
  case Column::Path:
    Row.set_path(Text);
    return {};
  case Column::Tenants:
    Row.set_tenants(Text);
    return {};
  case Column::Open:
  case Column::Repeatable:
    if (!parseFlag(Text, flag))
      return "not yes or no";
    if (Id == Column::Open)
      Row.set_open(flag);
    else
      Row.set_repeatable(flag);
    return {};
  default:
    return storeNumber(Row, Id, Text);
  }
}

void fillDefaults(TableRow &Row) {
  if (Row.longest_wait_ms() == 0 && Row.kind() != wire::ROW_TENANT)
    Row.set_longest_wait_ms(DefaultWaitMs);
  if (Row.weight() == 0)
    Row.set_weight(1);
  if (Row.max_replicas() == 0 && Row.kind() != wire::ROW_TENANT)
    Row.set_max_replicas(1);
  if (Row.kind() == wire::ROW_SERVICE && Row.repeat_window_ms() == 0)
    Row.set_repeat_window_ms(DefaultRepeatWindowMs);
  // Completions have no side effects, so they may always be repeated.
  if (Row.kind() == wire::ROW_MODEL || Row.kind() == wire::ROW_ADAPTER)
    Row.set_repeatable(true);
}

std::optional<std::vector<Column>>
parseHeading(const std::vector<std::string> &Cells, TableProblem &Problem) {
  std::vector<Column> order;
  for (const std::string &cell : Cells) {
    bool found = false;
    for (const ColumnName &it : Columns) {
      if (it.Name != cell)
        continue;
      for (Column seen : order)
        if (seen == it.Id) {
          Problem = {0, cell, "duplicate column"};
          return std::nullopt;
        }
      order.push_back(it.Id);
      found = true;
    }
    if (!found) {
      Problem = {0, cell, "unknown column"};
      return std::nullopt;
    }
  }
  return order;
}

bool isValidName(const std::string &Name) {
  if (Name.empty() || Name.size() > MaxNameLength)
    return false;
  for (char it : Name)
    if (!isalnum(static_cast<unsigned char>(it)) && it != '-' && it != '_' &&
        it != '.' && it != ':')
      return false;
  return true;
}

std::optional<TableProblem>
checkRow(const TableRow &Row, size_t Number,
         const std::map<std::string, const TableRow *> &ByName) {
  if (Row.kind() == wire::ROW_UNKNOWN)
    return TableProblem{Number, "kind", "missing"};
  if (!isValidName(Row.name()))
    return TableProblem{Number, "name",
                        "must have 1 to 128 letters, digits or -_.:"};
  if (Row.weight() == 0)
    return TableProblem{Number, "weight", "must be above zero"};
  bool isLoadable =
      Row.kind() == wire::ROW_MODEL || Row.kind() == wire::ROW_ADAPTER;
  if (isLoadable && Row.memory_mb() == 0)
    return TableProblem{Number, "memory_mb", "must be above zero"};
  if (Row.kind() == wire::ROW_ADAPTER) {
    auto it = ByName.find(Row.base());
    if (it == ByName.end() || it->second->kind() != wire::ROW_MODEL)
      return TableProblem{Number, "base", "unknown model " + Row.base()};
  }
  if (Row.kind() == wire::ROW_TENANT && Row.burst() == 0)
    return TableProblem{Number, "burst", "must be above zero"};
  if (Row.kind() == wire::ROW_SERVICE && !Row.path().starts_with("/"))
    return TableProblem{Number, "path", "must start with /"};
  if (Row.kind() == wire::ROW_SERVICE && Row.path().starts_with("/v1/"))
    return TableProblem{Number, "path", "/v1/ is reserved for the models"};
  return std::nullopt;
}

std::optional<TableProblem>
checkOrganisations(const TableRow &Row, size_t Number,
                   const std::map<std::string, const TableRow *> &ByName) {
  std::string_view rest = Row.tenants();
  while (!rest.empty()) {
    size_t n = std::min(rest.find('|'), rest.size());
    std::string name(rest.substr(0, n));
    auto it = ByName.find(name);
    if (it == ByName.end() || it->second->kind() != wire::ROW_TENANT)
      return TableProblem{Number, "tenants", "unknown organisation " + name};
    rest.remove_prefix(std::min(n + 1, rest.size()));
  }
  return std::nullopt;
}

std::string quoteCell(const std::string &Text) {
  if (Text.find_first_of(",\"") == std::string::npos)
    return Text;
  std::string out = "\"";
  for (char it : Text) {
    if (it == '"')
      out += '"';
    out += it;
  }
  return out + '"';
}

std::string formatNumber(uint64_t Value) {
  return Value == 0 ? std::string() : std::to_string(Value);
}

std::string formatCell(const TableRow &Row, Column Id) {
  switch (Id) {
  case Column::Kind:
    return std::string(nameOfKind(Row.kind()));
  case Column::Name:
    return Row.name();
  case Column::Base:
    return Row.base();
  case Column::MemoryMb:
    return formatNumber(Row.memory_mb());
  case Column::MaxReplicas:
    return formatNumber(Row.max_replicas());
  case Column::Weight:
    return formatNumber(Row.weight());
  case Column::Rate:
    return formatNumber(Row.rate());
  case Column::Burst:
    return formatNumber(Row.burst());
  case Column::LongestWaitS:
    return formatNumber(Row.longest_wait_ms() / MsPerSecond);
  case Column::Path:
    return Row.path();
  case Column::Open:
    return Row.open() ? "yes" : "";
  case Column::Repeatable:
    return Row.repeatable() ? "yes" : "";
  case Column::RepeatWindowS:
    return formatNumber(Row.repeat_window_ms() / MsPerSecond);
  case Column::Tenants:
    return Row.tenants();
  }
  return {};
}

} // namespace

std::string describe(const TableProblem &Problem) {
  std::string text = Problem.Row == 0 ? std::string("heading")
                                      : "row " + std::to_string(Problem.Row);
  if (!Problem.Column.empty())
    text += ", column " + Problem.Column;
  return text + ": " + Problem.Reason;
}

std::optional<std::vector<TableRow>> parseTable(std::string_view Csv,
                                                TableProblem &Problem) {
  std::vector<TableRow> rows;
  std::optional<std::vector<Column>> heading;
  size_t number = 0;
  while (!Csv.empty()) {
    size_t n = std::min(Csv.find('\n'), Csv.size());
    std::string_view line = Csv.substr(0, n);
    Csv.remove_prefix(std::min(n + 1, Csv.size()));
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (line.empty())
      continue;
    auto cells = splitLine(line);
    if (!cells) {
      Problem = {number + 1, "", "unterminated quote"};
      return std::nullopt;
    }
    if (!heading) {
      heading = parseHeading(*cells, Problem);
      if (!heading)
        return std::nullopt;
      continue;
    }
    ++number;
    if (cells->size() != heading->size()) {
      Problem = {number, "",
                 "has " + std::to_string(cells->size()) +
                     " cells, heading has " + std::to_string(heading->size())};
      return std::nullopt;
    }
    TableRow row;
    for (size_t i = 0; i < cells->size(); ++i) {
      std::string_view reason = storeCell(row, (*heading)[i], (*cells)[i]);
      if (reason.empty())
        continue;
      auto column = static_cast<size_t>((*heading)[i]);
      Problem = {number, std::string(Columns[column].Name),
                 std::string(reason)};
      return std::nullopt;
    }
    fillDefaults(row);
    rows.push_back(std::move(row));
  }
  if (!heading) {
    Problem = {0, "", "missing"};
    return std::nullopt;
  }
  return rows;
}

std::optional<TableProblem> checkTable(const std::vector<TableRow> &Rows) {
  std::map<std::string, const TableRow *> byName;
  for (size_t i = 0; i < Rows.size(); ++i)
    if (!byName.emplace(Rows[i].name(), &Rows[i]).second)
      return TableProblem{i + 1, "name", Rows[i].name() + " is used twice"};
  for (size_t i = 0; i < Rows.size(); ++i) {
    if (auto problem = checkRow(Rows[i], i + 1, byName))
      return problem;
    if (auto problem = checkOrganisations(Rows[i], i + 1, byName))
      return problem;
  }
  return std::nullopt;
}

std::string formatTable(const std::vector<TableRow> &Rows) {
  std::string out;
  for (const ColumnName &it : Columns)
    out += (out.empty() ? "" : ",") + std::string(it.Name);
  out += '\n';
  for (const TableRow &row : Rows) {
    std::string line;
    for (const ColumnName &it : Columns) {
      if (it.Id != Column::Kind)
        line += ',';
      line += quoteCell(formatCell(row, it.Id));
    }
    out += line + '\n';
  }
  return out;
}

bool allowsOrganisation(const TableRow &Row, const std::string &Organisation) {
  if (Row.tenants().empty())
    return true;
  std::string list = "|" + Row.tenants() + "|";
  return list.find("|" + Organisation + "|") != std::string::npos;
}

} // namespace sassafras
