#include "entry/caller_reader.h"

#include "core/hash.h"

#include <boost/json.hpp>

#include <algorithm>

namespace sassafras {

namespace {

namespace json = boost::json;

/// Assumed when estimating the tokens of a prompt from the size of the body.
constexpr uint64_t BytesPerToken = 4;
constexpr std::string_view BearerPrefix = "bearer ";

/// Headers in which clients commonly send keys; never forwarded.
constexpr std::string_view KeyHeaders[] = {
    "authorization",       "x-api-key",      "api-key",
    "proxy-authorization", "x-goog-api-key", "cookie",
};
/// Query parameters that may carry a key.
constexpr std::string_view KeyParameters[] = {"key", "api_key", "api-key",
                                              "access_token"};

bool isKeyHeader(std::string_view Name) {
  return std::find(std::begin(KeyHeaders), std::end(KeyHeaders), Name) !=
         std::end(KeyHeaders);
}

bool startsWithBearer(std::string_view Value) {
  if (Value.size() < BearerPrefix.size())
    return false;
  for (size_t i = 0; i < BearerPrefix.size(); ++i)
    if (std::tolower(static_cast<unsigned char>(Value[i])) != BearerPrefix[i])
      return false;
  return true;
}

std::string findKeyInHeaders(const std::vector<HttpField> &Fields) {
  for (std::string_view name : {"authorization", "x-api-key", "api-key"}) {
    std::string_view value = fieldOf(Fields, name);
    if (startsWithBearer(value))
      value.remove_prefix(BearerPrefix.size());
    if (!value.empty())
      return std::string(value);
  }
  return {};
}

/// Removes key parameters from \p Target and returns the value of the first.
std::string extractKeyParameter(std::string &Target) {
  size_t queryStart = Target.find('?');
  if (queryStart == std::string::npos)
    return {};
  std::string key;
  std::string kept;
  std::string_view rest = std::string_view(Target).substr(queryStart + 1);
  while (!rest.empty()) {
    size_t n = std::min(rest.find('&'), rest.size());
    std::string_view part = rest.substr(0, n);
    rest.remove_prefix(std::min(n + 1, rest.size()));
    size_t equals = std::min(part.find('='), part.size());
    bool isKey = std::find(std::begin(KeyParameters), std::end(KeyParameters),
                           part.substr(0, equals)) != std::end(KeyParameters);
    if (!isKey)
      kept += (kept.empty() ? "" : "&") + std::string(part);
    else if (key.empty() && equals < part.size())
      key = std::string(part.substr(equals + 1));
  }
  Target.resize(queryStart);
  if (!kept.empty())
    Target += "?" + kept;
  return key;
}

uint64_t positiveIntegerField(const json::object &Object,
                              std::string_view Name) {
  const json::value *it = Object.if_contains(Name);
  if (it && it->is_int64() && it->as_int64() > 0)
    return static_cast<uint64_t>(it->as_int64());
  return 0;
}

bool readCompletion(CallerRequest &Request, std::string &Problem) {
  boost::system::error_code ec;
  json::value value = json::parse(json::string_view(Request.Body), ec);
  if (ec || !value.is_object()) {
    Problem = "request body is not a JSON object";
    return false;
  }
  const json::object &object = value.as_object();
  const json::value *model = object.if_contains("model");
  if (!model || !model->is_string()) {
    Problem = "request body has no string field \"model\"";
    return false;
  }
  Request.Row = std::string(model->as_string());
  const json::value *stream = object.if_contains("stream");
  Request.IsStream = stream && stream->is_bool() && stream->as_bool();
  uint64_t output = positiveIntegerField(object, "max_tokens");
  output =
      std::max(output, positiveIntegerField(object, "max_completion_tokens"));
  if (output == 0)
    output = DefaultOutputTokens;
  Request.Prompt = Request.Body.size() / BytesPerToken + 1;
  Request.Cost = Request.Prompt + output;
  return true;
}

} // namespace

std::optional<CallerRequest> parseCallerRequest(HttpRequest Request,
                                                const std::string &Salt,
                                                std::string &Problem) {
  CallerRequest caller;
  caller.Method = std::move(Request.Method);
  caller.Target = std::move(Request.Target);
  caller.Body = std::move(Request.Body);
  if (!caller.Target.starts_with('/')) {
    Problem = "request target does not start with '/'";
    return std::nullopt;
  }
  std::string parameter = extractKeyParameter(caller.Target);
  std::string key = findKeyInHeaders(Request.Fields);
  if (key.empty())
    key = parameter;
  for (const HttpField &it : Request.Fields) {
    bool isKept = !isKeyHeader(it.Name) && !isHopByHopField(it.Name) &&
                  (key.empty() || it.Value.find(key) == std::string::npos);
    if (isKept)
      caller.Headers.push_back({it.Name, it.Value});
  }
  if (!key.empty() && (caller.Target.find(key) != std::string::npos ||
                       caller.Body.find(key) != std::string::npos)) {
    Problem = "request target or body contains the API key";
    return std::nullopt;
  }
  if (!key.empty())
    caller.KeyHash = hashKey(Salt, key);
  caller.IdempotencyKey =
      std::string(fieldOf(Request.Fields, "idempotency-key"));
  caller.Path = caller.Target.substr(0, caller.Target.find('?'));
  bool isCompletion =
      caller.Path == "/v1/completions" || caller.Path == "/v1/chat/completions";
  if (isCompletion && !readCompletion(caller, Problem))
    return std::nullopt;
  return caller;
}

std::string formatRefusal(const Refusal &Why, const std::string &RequestId) {
  json::object error;
  error["reason"] = nameOf(Why.Reason);
  error["ran"] = nameOf(Why.Ran);
  error["request_id"] = RequestId;
  if (!Why.Detail.empty())
    error["detail"] = Why.Detail;
  json::object object;
  object["error"] = std::move(error);
  return json::serialize(object) + "\n";
}

} // namespace sassafras
