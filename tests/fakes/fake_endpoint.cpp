/// \file
/// Stand-in for a model engine or a plain service, with fault switches.
///
/// Marks in a request's body: CRASH ends the process, STALL never answers,
/// CUT breaks the answer off, SLOW answers after a second. It keeps count of
/// what must not happen and tells it at /admin/state.
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

struct Weights {
  uint64_t MemoryMb = 0;
  bool IsAdapter = false;
};

struct Fake {
  boost::asio::io_context Io;
  Metrics Counts;
  std::string Listen = "127.0.0.1:0";
  std::string Agent;
  std::string Store; ///< Empty: weights are at hand.
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
  int Overcommits = 0; ///< Loads beyond the memory.
  int KeysSeen = 0;
  int Strays = 0; ///< Requests for rows that are not loaded.
  std::map<std::string, int> RunsByBody;
  std::vector<std::shared_ptr<HttpExchange>> Stalled;
};

using Exchange = std::shared_ptr<HttpExchange>;

void after(Fake &Fake, Millis Wait, std::function<void()> Action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(Fake.Io, Wait);
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

HttpCallbacks ignoreAnswer() {
  return {[](const HttpResponseHead &) {}, [](std::string_view) {}, [] {},
          [](HttpFailure) {}};
}

void announce(Fake &Fake) {
  json::object object{{"address", Fake.Address},
                      {"incarnation", Fake.Incarnation},
                      {"memory_mb", Fake.MemoryMb},
                      {"running", Fake.Running},
                      {"leaving", Fake.IsLeaving}};
  object["loaded"] = namesOf(Fake.Loaded, false);
  object["loading"] = namesOf(Fake.Loading, false);
  object["adapters"] = namesOf(Fake.Loaded, true);
  json::array cached;
  for (const std::string &it : Fake.Cached)
    cached.push_back(json::string(it));
  object["cached"] = std::move(cached);
  startHttpCall(Fake.Io, Fake.Agent,
                {"POST", "/announce", {}, json::serialize(object)},
                Millis(1000), ignoreAnswer());
  after(Fake, AnnouncePeriod, [&Fake] { announce(Fake); });
}

uint64_t memoryHeld(const Fake &Fake) {
  uint64_t sum = 0;
  for (const auto &[name, weights] : Fake.Loaded)
    sum += weights.MemoryMb;
  for (const auto &[name, weights] : Fake.Loading)
    sum += weights.MemoryMb;
  return sum;
}

bool isFenced(Fake &Fake, uint64_t Fence) {
  if (Fake.IgnoresFences)
    return false;
  if (Fence < Fake.NewestFence)
    return true;
  Fake.NewestFence = Fence;
  return false;
}

void finishLoad(Fake &Fake, const std::string &Name, const Exchange &Exchange,
                bool IsGood) {
  auto it = Fake.Loading.find(Name);
  if (it == Fake.Loading.end()) {
    Exchange->respond(409, {}, "{}");
    return;
  }
  if (IsGood) {
    Fake.Loaded[Name] = it->second;
    Fake.Cached.insert(Name);
  }
  Fake.Loading.erase(it);
  Exchange->respond(IsGood ? 200 : 500, {}, "{}");
}

void load(Fake &Fake, const json::object &Order, const Exchange &Exchange) {
  std::string name(Order.at("name").as_string());
  if (isFenced(Fake, Order.at("fence").to_number<uint64_t>())) {
    Exchange->respond(409, {}, "{\"error\":\"old fence\"}");
    return;
  }
  if (Fake.Loaded.contains(name) || Fake.Loading.contains(name)) {
    Exchange->respond(Fake.Loaded.contains(name) ? 200 : 409, {}, "{}");
    return;
  }
  Fake.Loading[name] = {Order.at("memory_mb").to_number<uint64_t>(),
                        Order.at("kind").as_string() == "adapter"};
  if (memoryHeld(Fake) > Fake.MemoryMb)
    ++Fake.Overcommits;
  if (Fake.Store.empty() || Fake.Cached.contains(name)) {
    after(Fake, Millis(20),
          [&Fake, name, Exchange] { finishLoad(Fake, name, Exchange, true); });
    return;
  }
  HttpCallbacks calls = ignoreAnswer();
  calls.OnEnd = [&Fake, name, Exchange] {
    finishLoad(Fake, name, Exchange, true);
  };
  calls.OnFailure = [&Fake, name, Exchange](HttpFailure) {
    finishLoad(Fake, name, Exchange, false);
  };
  startHttpCall(Fake.Io, Fake.Store, {"GET", "/weights/" + name, {}, {}},
                Millis(600'000), std::move(calls));
}

void unload(Fake &Fake, const json::object &Order, const Exchange &Exchange) {
  if (isFenced(Fake, Order.at("fence").to_number<uint64_t>())) {
    Exchange->respond(409, {}, "{\"error\":\"old fence\"}");
    return;
  }
  std::string name(Order.at("name").as_string());
  Fake.Loaded.erase(name);
  Fake.Loading.erase(name);
  Exchange->respond(200, {}, "{}");
}

void tellState(Fake &Fake, const Exchange &Exchange) {
  json::object object{{"overcommits", Fake.Overcommits},
                      {"keys_seen", Fake.KeysSeen},
                      {"strays", Fake.Strays},
                      {"running", Fake.Running}};
  object["loaded"] = namesOf(Fake.Loaded, false);
  json::object runs;
  for (const auto &[body, n] : Fake.RunsByBody)
    runs[body] = n;
  object["runs"] = std::move(runs);
  Exchange->respond(200, {{"content-type", "application/json"}},
                    json::serialize(object) + "\n");
}

std::string tokenText(const std::string &Mark, int64_t Index) {
  return "t" + std::to_string(Index) + "-" + Mark + " ";
}

void streamToken(Fake &Fake, const Exchange &Exchange, const std::string &Mark,
                 int64_t Index, int64_t Count, bool IsCut) {
  if (IsCut && Index == 2) {
    --Fake.Running;
    Exchange->abort();
    return;
  }
  if (Index == Count) {
    --Fake.Running;
    Exchange->write("data: [DONE]\n\n");
    Exchange->finish();
    return;
  }
  json::object piece{
      {"choices", {{{"index", 0}, {"text", tokenText(Mark, Index)}}}}};
  Exchange->write("data: " + json::serialize(piece) + "\n\n");
  after(Fake, Fake.TokenTime, [&Fake, Exchange, Mark, Index, Count, IsCut] {
    streamToken(Fake, Exchange, Mark, Index + 1, Count, IsCut);
  });
}

void answerWhole(Fake &Fake, const Exchange &Exchange, const std::string &Mark,
                 int64_t Count, size_t PromptBytes) {
  std::string text;
  for (int64_t i = 0; i < Count; ++i)
    text += tokenText(Mark, i);
  json::object answer{{"choices", {{{"index", 0}, {"text", text}}}}};
  int64_t prompt = static_cast<int64_t>(PromptBytes / 4 + 1);
  answer["usage"] = {{"completion_tokens", Count},
                     {"total_tokens", prompt + Count}};
  after(Fake, Fake.TokenTime * Count, [&Fake, Exchange, answer] {
    --Fake.Running;
    Exchange->respond(200, {{"content-type", "application/json"}},
                      json::serialize(answer) + "\n");
  });
}

void complete(Fake &Fake, const HttpRequest &Request,
              const Exchange &Exchange) {
  json::object body = json::parse(Request.Body).as_object();
  std::string model(body.at("model").as_string());
  if (!Fake.Loaded.contains(model)) {
    ++Fake.Strays;
    Exchange->respond(404, {}, "{\"error\":\"not loaded\"}");
    return;
  }
  bool isCut = Request.Body.find("CUT") != std::string::npos;
  int64_t count = 8;
  if (const json::value *most = body.if_contains("max_tokens"))
    count = std::min<int64_t>(most->to_number<int64_t>(), 2000);
  const json::value *stream = body.if_contains("stream");
  std::string mark = digestOf({Request.Body}).substr(0, 8);
  ++Fake.Running;
  if (stream && stream->is_bool() && stream->as_bool()) {
    Exchange->start(200, {{"content-type", "text/event-stream"}});
    streamToken(Fake, Exchange, mark, 0, count, isCut);
    return;
  }
  answerWhole(Fake, Exchange, mark, count, Request.Body.size());
}

void serveCaller(Fake &Fake, const HttpRequest &Request,
                 const Exchange &Exchange) {
  for (const HttpField &it : Request.Fields)
    Fake.KeysSeen += it.Value.find("sk-") != std::string::npos;
  Fake.KeysSeen += Request.Target.find("sk-") != std::string::npos;
  ++Fake.RunsByBody[Request.Body];
  if (Request.Body.find("CRASH") != std::string::npos)
    _exit(1);
  if (Request.Body.find("STALL") != std::string::npos) {
    Fake.Stalled.push_back(Exchange);
    return;
  }
  if (!Fake.IsService) {
    complete(Fake, Request, Exchange);
    return;
  }
  bool isSlow = Request.Body.find("SLOW") != std::string::npos;
  ++Fake.Running;
  after(Fake, Millis(isSlow ? 1000 : 2), [&Fake, Request, Exchange] {
    --Fake.Running;
    int n = Fake.RunsByBody[Request.Body];
    Exchange->respond(200, {{"content-type", "application/json"}},
                      "{\"done\":true,\"path\":\"" + Request.Target +
                          "\",\"runs\":" + std::to_string(n) + "}\n");
  });
}

void serve(Fake &Fake, const HttpRequest &Request, const Exchange &Exchange) {
  if (Request.Target == "/healthz")
    Exchange->respond(200, {}, "ok\n");
  else if (Request.Target == "/admin/state")
    tellState(Fake, Exchange);
  else if (Request.Target == "/admin/load")
    load(Fake, json::parse(Request.Body).as_object(), Exchange);
  else if (Request.Target == "/admin/unload")
    unload(Fake, json::parse(Request.Body).as_object(), Exchange);
  else
    serveCaller(Fake, Request, Exchange);
}

void readOptions(Fake &Fake, int Count, char **Words) {
  int code = 0;
  while ((code = getopt(Count, Words, "l:a:s:m:t:ip")) != -1) {
    if (code == 'l')
      Fake.Listen = optarg;
    if (code == 'a')
      Fake.Agent = optarg;
    if (code == 's')
      Fake.Store = optarg;
    if (code == 'm')
      Fake.MemoryMb = std::strtoull(optarg, nullptr, 10);
    if (code == 't')
      Fake.TokenTime = Millis(std::atoi(optarg));
    Fake.IgnoresFences |= code == 'i';
    Fake.IsService |= code == 'p';
  }
}

} // namespace

int main(int Count, char **Words) {
  Fake fake;
  readOptions(fake, Count, Words);
  std::signal(SIGPIPE, SIG_IGN);
  HttpServer::Handlers calls;
  calls.OnRequest = [&](const HttpRequest &Request, const Exchange &Exchange) {
    serve(fake, Request, Exchange);
  };
  calls.OnLoss = [](const HttpExchange *, HttpLoss) {};
  HttpServer server(fake.Io, fake.Listen, {}, fake.Counts, calls);
  std::string problem;
  if (!server.start(problem)) {
    std::fprintf(stderr, "fake_endpoint: %s\n", problem.c_str());
    return 1;
  }
  fake.Address = server.address();
  std::printf("listening %s\n", server.address().c_str());
  std::fflush(stdout);
  boost::asio::signal_set signals(fake.Io, SIGTERM);
  signals.async_wait([&](auto, int) { fake.Io.stop(); });
  announce(fake);
  fake.Io.run();
}
