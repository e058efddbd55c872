#include "tests/fakes/fake_platform_engine.h"

#include "tests/harness/process_fleet.h"

#include <boost/json.hpp>

namespace sassafras {

namespace {

namespace json = boost::json;

constexpr int EventCount = 10;
/// Memory for requests and responses.
constexpr uint64_t MemoryBytes = 1'000'000'000;
constexpr uint64_t BornMs = 1'700'000'000'000;

json::array namesOf(const std::set<std::string> &Names) {
  json::array out;
  for (const std::string &it : Names)
    out.push_back(json::string(it));
  return out;
}

json::array modelsOf(const std::set<std::string> &Names) {
  json::array out;
  for (const std::string &it : Names)
    out.push_back(json::object{
        {"name", it}, {"version", 1}, {"adapters", json::array()}});
  return out;
}

} // namespace

FakePlatformEngine::FakePlatformEngine(std::string Id, std::string Service,
                                       std::string Address,
                                       std::set<std::string> Models,
                                       std::set<std::string> OnDisk)
    : Id(std::move(Id)), Service(std::move(Service)),
      Address(std::move(Address)), Models(std::move(Models)),
      OnDisk(std::move(OnDisk)) {
  HttpServer::Handlers handlers;
  handlers.OnRequest = [this](const HttpRequest &Request,
                              const std::shared_ptr<HttpExchange> &Exchange) {
    handleRequest(Request, Exchange);
  };
  handlers.OnLoss = [](const HttpExchange *, HttpLoss) {};
  HttpLimits limits;
  limits.HeadBytes = 256 * 1024;
  Server = std::make_unique<HttpServer>(
      Io, this->Address, limits, Counts,
      std::make_shared<MemoryBudget>(MemoryBytes), std::move(handlers));
  StartProblem problem;
  Server->start(problem);
  IoThread = std::thread([this] { Io.run(); });
}

FakePlatformEngine::~FakePlatformEngine() {
  Io.stop();
  if (IoThread.joinable())
    IoThread.join();
}

bool FakePlatformEngine::announce(const std::string &Control, bool IsDraining) {
  json::object body{
      {"service", Service},
      {"address", AnnouncedAddress.empty() ? Address : AnnouncedAddress},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", IsDraining ? "draining" : "ready"},
      {"born", BornMs},
      {"seq", ++Heartbeats}};
  return callHttp(
             Control,
             {"POST", "/Instances.Heartbeat/" + Id, {}, json::serialize(body)},
             std::chrono::seconds(2))
             .Status == 200;
}

void FakePlatformEngine::stopServer() {
  Io.stop();
  IoThread.join();
  Server.reset();
}

std::vector<ReceivedRequest> FakePlatformEngine::receivedRequests() const {
  std::lock_guard guard(Mutex);
  return Received;
}

std::string FakePlatformEngine::serializeState() const {
  std::lock_guard guard(Mutex);
  return json::serialize(
      json::object{{"models", modelsOf(Models)},
                   {"busy", !Loading.empty()},
                   {"seq", Sequence},
                   {"born", BornMs},
                   {"available", json::object{{"in-memory", json::array()},
                                              {"on-disk", namesOf(OnDisk)}}}});
}

void FakePlatformEngine::beginLoad(const std::string &Model) {
  if (LoadTime.load() == Millis(0)) {
    Models.insert(Model);
    return;
  }
  Loading = Model;
  auto timer = std::make_shared<boost::asio::steady_timer>(Io, LoadTime.load());
  timer->async_wait([this, timer](auto) {
    std::lock_guard guard(Mutex);
    Models.insert(Loading);
    Loading.clear();
    ++Sequence;
  });
}

void FakePlatformEngine::handleOrder(const HttpRequest &Request,
                                     HttpExchange &Exchange) {
  json::object order = json::parse(Request.Body).as_object();
  std::lock_guard guard(Mutex);
  ++Orders;
  if (order.at("precondition").to_number<uint64_t>() != Sequence) {
    Exchange.respond(409, {}, "");
    return;
  }
  ++Sequence;
  std::string model(order.at("model").as_string());
  if (order.at("op").as_string() == "load")
    beginLoad(model);
  else
    Models.erase(model);
  Exchange.respond(202, {}, "");
}

void FakePlatformEngine::handleRequest(
    const HttpRequest &Request, const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target == "/report") {
    Exchange->respond(200, {}, serializeState());
    return;
  }
  if (Request.Target == "/order") {
    handleOrder(Request, *Exchange);
    return;
  }
  std::string id(fieldOf(Request.Fields, "sassafrasseam-attempt-id"));
  {
    std::lock_guard guard(Mutex);
    Received.push_back({id, Request.Fields, Request.Body});
  }
  if (AbortsResponses) {
    Exchange->abort();
    return;
  }
  Exchange->start(200, {{"content-type", "text/event-stream"},
                        {"sassafrasseam-attempt-id", id},
                        {"sassafrasseam-response-seal", "seal"}});
  stream(Exchange, 1);
}

void FakePlatformEngine::stream(const std::shared_ptr<HttpExchange> &Exchange,
                                int Next) {
  if (Next > EventCount) {
    Exchange->finish();
    return;
  }
  Exchange->write("id: " + std::to_string(Next) + "\ndata: x\n\n");
  auto timer =
      std::make_shared<boost::asio::steady_timer>(Io, EventInterval.load());
  timer->async_wait(
      [this, Exchange, Next, timer](auto) { stream(Exchange, Next + 1); });
}

} // namespace sassafras
