#include "agent/announcement.h"

#include "http/address.h"

#include <boost/json.hpp>

namespace sassafras {

namespace {

namespace json = boost::json;

bool readNumber(const json::object &Object, std::string_view Name,
                uint64_t &Value) {
  const json::value *it = Object.if_contains(Name);
  if (!it)
    return false;
  if (it->is_uint64())
    Value = it->as_uint64();
  else if (it->is_int64() && it->as_int64() >= 0)
    Value = static_cast<uint64_t>(it->as_int64());
  else
    return false;
  return true;
}

/// Reads a list of strings; a missing list is empty. False when the value is
/// anything else.
bool readNames(const json::object &Object, std::string_view Name,
               std::set<std::string> &Names) {
  const json::value *it = Object.if_contains(Name);
  if (!it)
    return true;
  if (!it->is_array())
    return false;
  for (const json::value &name : it->as_array()) {
    if (!name.is_string())
      return false;
    Names.insert(std::string(name.as_string()));
  }
  return true;
}

} // namespace

std::optional<Announcement> parseAnnouncement(std::string_view Json,
                                              std::string &Problem) {
  boost::system::error_code ec;
  json::value value = json::parse(json::string_view(Json), ec);
  if (ec || !value.is_object()) {
    Problem = "announcement is not a JSON object";
    return std::nullopt;
  }
  const json::object &object = value.as_object();
  Announcement announcement;
  const json::value *address = object.if_contains("address");
  if (address && address->is_string())
    announcement.Address = std::string(address->as_string());
  EndpointReport &report = announcement.Report;
  if (!parseAddress(announcement.Address)) {
    Problem = "address must be IP:port";
    return std::nullopt;
  }
  if (!readNumber(object, "incarnation", report.Incarnation) ||
      report.Incarnation == 0) {
    Problem = "incarnation must be an integer above zero";
    return std::nullopt;
  }
  if (object.contains("memory_mb") &&
      !readNumber(object, "memory_mb", report.MemoryMb)) {
    Problem = "memory_mb must be a non-negative integer";
    return std::nullopt;
  }
  if (const json::value *leaving = object.if_contains("leaving"))
    report.IsLeaving = leaving->is_bool() && leaving->as_bool();
  bool areListsValid = readNames(object, "loaded", report.Loaded) &&
                       readNames(object, "loading", report.Loading) &&
                       readNames(object, "adapters", report.Adapters) &&
                       readNames(object, "cached", report.Cached);
  if (!areListsValid) {
    Problem = "loaded, loading, adapters and cached must be lists of strings";
    return std::nullopt;
  }
  return announcement;
}

std::string serializeOrder(const SendOrder &Order) {
  json::object object;
  object["name"] = Order.Row;
  object["kind"] = Order.IsAdapter ? "adapter" : "model";
  object["base"] = Order.Base;
  object["memory_mb"] = Order.MemoryMb;
  object["fence"] = Order.Number;
  return json::serialize(object);
}

} // namespace sassafras
