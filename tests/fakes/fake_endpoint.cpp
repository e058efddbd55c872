/// \file
/// Fake model engine or plain service with injectable faults.
///
/// Markers in a request body select a fault: CRASH ends the process, STALL
/// never responds, CUT aborts a streamed response after two tokens, SLOW makes
/// a plain service respond after 1 s. Counts events that must not happen and
/// reports them at /admin/state.
#include "core/hash.h"
#include "core/metrics.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <map>
#include <set>
#include <unistd.h>

using namespace sassafras;
namespace json = boost::json;

namespace {

constexpr Millis AnnouncePeriod{200};
/// Memory for requests and responses.
constexpr uint64_t MemoryBytes = 1'000'000'000;

struct Weights {
  uint64_t MemoryMb = 0;
  bool IsAdapter = false;
};

struct FakeEndpoint {
  boost::asio::io_context Io;
  MemoryBudgetPtr Memory = std::make_shared<MemoryBudget>(MemoryBytes);
  Metrics Counts;
  std::string Listen = "127.0.0.1:0";
  std::string Agent;
  std::string Store; ///< When empty, loads do not fetch weights.
  uint64_t MemoryMb = 0;
  Millis TokenTime{5};
  bool IgnoresFences = false;
  bool IsService = false;
  bool IsLeaving = false;
  uint64_t Incarnation = makeIncarnation();
  uint64_t NewestFence = 0;
  std::string Address;
  std::map<std::string, Weights> Loaded;
  std::map<std::string, Weights> Loading;
  std::set<std::string> Cached;
  int Running = 0;
  int Overcommits = 0; ///< Loads that exceeded MemoryMb.
  int KeysSeen = 0;    ///< API keys found in header fields and targets.
  int Strays = 0;      ///< Completion requests for models not loaded.
  std::map<std::string, int> RunsByBody;
  std::vector<std::shared_ptr<HttpExchange>> Stalled;
};

using Exchange = std::shared_ptr<HttpExchange>;

void after(FakeEndpoint &Endpoint, Millis Delay, std::function<void()> Action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(Endpoint.Io, Delay);
  timer->async_wait([timer, action = std::move(Action)](auto) { action(); });
}

json::array namesOf(const std::map<std::string, Weights> &Rows,
                    bool OnlyAdapters) {
  json::array names;
  for (const auto &[name, weights] : Rows)
    if (weights.IsAdapter || !OnlyAdapters)
      names.push_back(json::string(name));
  return names;
}

HttpCallbacks ignoreResponse() {
  return {[](const HttpResponseHead &) {}, [](std::string_view) {}, [] {},
          [](HttpFailure) {}};
}

void announce(FakeEndpoint &Endpoint) {
  json::object object{{"address", Endpoint.Address},
                      {"incarnation", Endpoint.Incarnation},
                      {"memory_mb", Endpoint.MemoryMb},
                      {"running", Endpoint.Running},
                      {"leaving", Endpoint.IsLeaving}};
  object["loaded"] = namesOf(Endpoint.Loaded, false);
  object["loading"] = namesOf(Endpoint.Loading, false);
  object["adapters"] = namesOf(Endpoint.Loaded, true);
  json::array cached;
  for (const std::string &it : Endpoint.Cached)
    cached.push_back(json::string(it));
  object["cached"] = std::move(cached);
  startHttpCall(Endpoint.Io, Endpoint.Agent,
                {"POST", "/announce", {}, json::serialize(object)},
                Millis(1000), ignoreResponse(), Endpoint.Memory);
  after(Endpoint, AnnouncePeriod, [&Endpoint] { announce(Endpoint); });
}

uint64_t memoryInUse(const FakeEndpoint &Endpoint) {
  uint64_t sum = 0;
  for (const auto &[name, weights] : Endpoint.Loaded)
    sum += weights.MemoryMb;
  for (const auto &[name, weights] : Endpoint.Loading)
    sum += weights.MemoryMb;
  return sum;
}

bool isFenced(FakeEndpoint &Endpoint, uint64_t Fence) {
  if (Endpoint.IgnoresFences)
    return false;
  if (Fence < Endpoint.NewestFence)
    return true;
  Endpoint.NewestFence = Fence;
  return false;
}

void finishLoad(FakeEndpoint &Endpoint, const std::string &Name,
                const Exchange &Exchange, bool IsSuccess) {
  auto it = Endpoint.Loading.find(Name);
  if (it == Endpoint.Loading.end()) {
    Exchange->respond(409, {}, "{}");
    return;
  }
  if (IsSuccess) {
    Endpoint.Loaded[Name] = it->second;
    Endpoint.Cached.insert(Name);
  }
  Endpoint.Loading.erase(it);
  Exchange->respond(IsSuccess ? 200 : 500, {}, "{}");
}

void load(FakeEndpoint &Endpoint, const json::object &Order,
          const Exchange &Exchange) {
  std::string name(Order.at("name").as_string());
  if (isFenced(Endpoint, Order.at("fence").to_number<uint64_t>())) {
    Exchange->respond(409, {}, "{\"error\":\"stale fencing token\"}");
    return;
  }
  if (Endpoint.Loaded.contains(name) || Endpoint.Loading.contains(name)) {
    Exchange->respond(Endpoint.Loaded.contains(name) ? 200 : 409, {}, "{}");
    return;
  }
  Endpoint.Loading[name] = {Order.at("memory_mb").to_number<uint64_t>(),
                            Order.at("kind").as_string() == "adapter"};
  if (memoryInUse(Endpoint) > Endpoint.MemoryMb)
    ++Endpoint.Overcommits;
  if (Endpoint.Store.empty() || Endpoint.Cached.contains(name)) {
    after(Endpoint, Millis(20), [&Endpoint, name, Exchange] {
      finishLoad(Endpoint, name, Exchange, true);
    });
    return;
  }
  HttpCallbacks callbacks = ignoreResponse();
  callbacks.OnEnd = [&Endpoint, name, Exchange] {
    finishLoad(Endpoint, name, Exchange, true);
  };
  callbacks.OnFailure = [&Endpoint, name, Exchange](HttpFailure) {
    finishLoad(Endpoint, name, Exchange, false);
  };
  startHttpCall(Endpoint.Io, Endpoint.Store,
                {"GET", "/weights/" + name, {}, {}}, Millis(600'000),
                std::move(callbacks), Endpoint.Memory);
}

void unload(FakeEndpoint &Endpoint, const json::object &Order,
            const Exchange &Exchange) {
  if (isFenced(Endpoint, Order.at("fence").to_number<uint64_t>())) {
    Exchange->respond(409, {}, "{\"error\":\"stale fencing token\"}");
    return;
  }
  std::string name(Order.at("name").as_string());
  Endpoint.Loaded.erase(name);
  Endpoint.Loading.erase(name);
  Exchange->respond(200, {}, "{}");
}

void sendState(FakeEndpoint &Endpoint, const Exchange &Exchange) {
  json::object object{{"overcommits", Endpoint.Overcommits},
                      {"keys_seen", Endpoint.KeysSeen},
                      {"strays", Endpoint.Strays},
                      {"running", Endpoint.Running}};
  object["loaded"] = namesOf(Endpoint.Loaded, false);
  json::object runs;
  for (const auto &[body, n] : Endpoint.RunsByBody)
    runs[body] = n;
  object["runs"] = std::move(runs);
  Exchange->respond(200, {{"content-type", "application/json"}},
                    json::serialize(object) + "\n");
}

std::string tokenText(const std::string &RequestDigest, int64_t Index) {
  return "t" + std::to_string(Index) + "-" + RequestDigest + " ";
}

void streamToken(FakeEndpoint &Endpoint, const Exchange &Exchange,
                 const std::string &RequestDigest, int64_t Index, int64_t Count,
                 bool IsTruncated) {
  if (IsTruncated && Index == 2) {
    --Endpoint.Running;
    Exchange->abort();
    return;
  }
  if (Index == Count) {
    --Endpoint.Running;
    Exchange->write("data: [DONE]\n\n");
    Exchange->finish();
    return;
  }
  json::object chunk{
      {"choices", {{{"index", 0}, {"text", tokenText(RequestDigest, Index)}}}}};
  Exchange->write("data: " + json::serialize(chunk) + "\n\n");
  after(Endpoint, Endpoint.TokenTime,
        [&Endpoint, Exchange, RequestDigest, Index, Count, IsTruncated] {
          streamToken(Endpoint, Exchange, RequestDigest, Index + 1, Count,
                      IsTruncated);
        });
}

void respondWithCompletion(FakeEndpoint &Endpoint, const Exchange &Exchange,
                           const std::string &RequestDigest, int64_t Count,
                           size_t PromptBytes) {
  std::string text;
  for (int64_t i = 0; i < Count; ++i)
    text += tokenText(RequestDigest, i);
  json::object response{{"choices", {{{"index", 0}, {"text", text}}}}};
  int64_t prompt = static_cast<int64_t>(PromptBytes / 4 + 1);
  response["usage"] = {{"completion_tokens", Count},
                       {"total_tokens", prompt + Count}};
  after(Endpoint, Endpoint.TokenTime * Count, [&Endpoint, Exchange, response] {
    --Endpoint.Running;
    Exchange->respond(200, {{"content-type", "application/json"}},
                      json::serialize(response) + "\n");
  });
}

void handleCompletion(FakeEndpoint &Endpoint, const HttpRequest &Request,
                      const Exchange &Exchange) {
  json::object body = json::parse(Request.Body).as_object();
  std::string model(body.at("model").as_string());
  if (!Endpoint.Loaded.contains(model)) {
    ++Endpoint.Strays;
    Exchange->respond(404, {}, "{\"error\":\"not loaded\"}");
    return;
  }
  bool isTruncated = Request.Body.find("CUT") != std::string::npos;
  int64_t count = 8;
  if (const json::value *maxTokens = body.if_contains("max_tokens"))
    count = std::min<int64_t>(maxTokens->to_number<int64_t>(), 2000);
  const json::value *stream = body.if_contains("stream");
  std::string requestDigest = digestOf({Request.Body}).substr(0, 8);
  ++Endpoint.Running;
  if (stream && stream->is_bool() && stream->as_bool()) {
    Exchange->start(200, {{"content-type", "text/event-stream"}});
    streamToken(Endpoint, Exchange, requestDigest, 0, count, isTruncated);
    return;
  }
  respondWithCompletion(Endpoint, Exchange, requestDigest, count,
                        Request.Body.size());
}

void handleCallerRequest(FakeEndpoint &Endpoint, const HttpRequest &Request,
                         const Exchange &Exchange) {
  for (const HttpField &it : Request.Fields)
    Endpoint.KeysSeen += it.Value.find("sk-") != std::string::npos;
  Endpoint.KeysSeen += Request.Target.find("sk-") != std::string::npos;
  ++Endpoint.RunsByBody[Request.Body];
  if (Request.Body.find("CRASH") != std::string::npos)
    _exit(1);
  if (Request.Body.find("STALL") != std::string::npos) {
    Endpoint.Stalled.push_back(Exchange);
    return;
  }
  if (!Endpoint.IsService) {
    handleCompletion(Endpoint, Request, Exchange);
    return;
  }
  bool isSlow = Request.Body.find("SLOW") != std::string::npos;
  ++Endpoint.Running;
  after(Endpoint, Millis(isSlow ? 1000 : 2), [&Endpoint, Request, Exchange] {
    --Endpoint.Running;
    int n = Endpoint.RunsByBody[Request.Body];
    Exchange->respond(200, {{"content-type", "application/json"}},
                      "{\"done\":true,\"path\":\"" + Request.Target +
                          "\",\"runs\":" + std::to_string(n) + "}\n");
  });
}

void handleRequest(FakeEndpoint &Endpoint, const HttpRequest &Request,
                   const Exchange &Exchange) {
  if (Request.Target == "/healthz")
    Exchange->respond(200, {}, "ok\n");
  else if (Request.Target == "/admin/state")
    sendState(Endpoint, Exchange);
  else if (Request.Target == "/admin/load")
    load(Endpoint, json::parse(Request.Body).as_object(), Exchange);
  else if (Request.Target == "/admin/unload")
    unload(Endpoint, json::parse(Request.Body).as_object(), Exchange);
  else
    handleCallerRequest(Endpoint, Request, Exchange);
}

void parseOptions(FakeEndpoint &Endpoint, int Count, char **Arguments) {
  int code = 0;
  while ((code = getopt(Count, Arguments, "l:a:s:m:t:ip")) != -1) {
    if (code == 'l')
      Endpoint.Listen = optarg;
    if (code == 'a')
      Endpoint.Agent = optarg;
    if (code == 's')
      Endpoint.Store = optarg;
    if (code == 'm')
      Endpoint.MemoryMb = std::strtoull(optarg, nullptr, 10);
    if (code == 't')
      Endpoint.TokenTime = Millis(std::atoi(optarg));
    Endpoint.IgnoresFences |= code == 'i';
    Endpoint.IsService |= code == 'p';
  }
}

} // namespace

int main(int Count, char **Arguments) {
  FakeEndpoint endpoint;
  parseOptions(endpoint, Count, Arguments);
  std::signal(SIGPIPE, SIG_IGN);
  HttpServer::Handlers handlers;
  handlers.OnRequest = [&](const HttpRequest &Request,
                           const Exchange &Exchange) {
    handleRequest(endpoint, Request, Exchange);
  };
  handlers.OnLoss = [](const HttpExchange *, HttpLoss) {};
  HttpServer server(endpoint.Io, endpoint.Listen, {}, endpoint.Counts,
                    endpoint.Memory, handlers);
  StartProblem problem;
  if (!server.start(problem)) {
    std::fprintf(stderr, "fake_endpoint: %s\n", problem.Reason.c_str());
    return 1;
  }
  endpoint.Address = server.address();
  std::printf("listening %s\n", server.address().c_str());
  std::fflush(stdout);
  boost::asio::signal_set signals(endpoint.Io, SIGTERM);
  signals.async_wait([&](auto, int) { endpoint.Io.stop(); });
  announce(endpoint);
  endpoint.Io.run();
}
