#include "tests/harness/tested_front.h"

#include "front/caller_attributes.h"
#include "front/caller_limits.h"
#include "front/relay.h"
#include "front/send_permits.h"
#include "http/address.h"
#include "tests/harness/scripted_endpoint.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>

#include <future>
#include <stdexcept>

namespace sassafras {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Waiting requests are dispatched again at this interval.
constexpr Millis DispatchPeriod{20};

ServingTablePtr makeTable() {
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  table->Services["desk"].Name = "desk";
  table->Services["desk"].HealthPath = ScriptedHealthPath;
  auto add = [&](const char *Name, RequestKind Kind, uint32_t MaxAttempts) {
    ServingRoute route;
    route.Name = Name;
    route.Host = "h";
    route.PathPrefix = std::string("/") + Name + "/";
    route.Kind = Kind;
    route.Timeout = CallerDeadline;
    route.Objective = Millis(300);
    route.MaxAttempts = MaxAttempts;
    route.Services = {{"desk", 1}};
    table->Routes.push_back(route);
  };
  add("stream", RequestKind::Streaming, 1);
  add("resume", RequestKind::Streaming, 3);
  table->Routes.back().IsResumable = true;
  add("once", RequestKind::NonIdempotent, 1);
  add("many", RequestKind::Idempotent, 3);
  indexServingTable(*table);
  return table;
}

} // namespace

TestedFront::TestedFront(const std::string &Endpoint)
    : Core(
          Io, Counts, std::make_shared<MemoryBudget>(TestMemoryBytes),
          [](const NodeMessages &) {}, [](const wire::RowDemand &) {},
          [](const wire::QuotaRequest &) {},
          [](const wire::SendPermitRequest &) {}) {
  Core.State.Self.set_name("front");
  Core.State.Self.set_zone("a");
  Core.State.Table = makeTable();
  Core.State.EndpointDiscoveryEnd = Clock::now() + Millis(1'000);
  // As a leader states it.
  Core.State.FrontCountTold = 1;
  Core.State.FrontCountToldAt = Clock::now();
  if (!Endpoint.empty())
    addEndpoint(Endpoint);
  HttpServer::Handlers handlers;
  handlers.OnRequest = [this](HttpRequest Request,
                              const std::shared_ptr<HttpExchange> &Exchange) {
    handleRequest(std::move(Request), Exchange);
  };
  handlers.OnLoss = [this](const HttpExchange *Exchange, HttpLoss Loss) {
    auto number = Core.ByExchange.find(Exchange);
    if (number != Core.ByExchange.end())
      std::shared_ptr<Relay>(Core.Relays.at(number->second))
          ->handleCallerLoss(Loss);
  };
  handlers.OnRoom = [this](const HttpExchange *Exchange) {
    auto number = Core.ByExchange.find(Exchange);
    if (number != Core.ByExchange.end())
      Core.Relays.at(number->second)->handleRoom();
  };
  Server =
      std::make_unique<HttpServer>(Io, "127.0.0.1:0", makeCallerLimits(nullptr),
                                   Counts, Core.Memory, std::move(handlers));
  StartProblem problem;
  if (!Server->start(problem))
    throw std::runtime_error("no server: " + problem.Reason);
  scheduleDispatch();
  Runner = std::thread([this] { Io.run(); });
}

TestedFront::~TestedFront() {
  Io.stop();
  Runner.join();
}

Tcp::socket TestedFront::connect() {
  auto address = parseAddress(Server->address());
  Tcp::socket socket(CallerIo);
  socket.connect({asio::ip::make_address(address->Ip), address->Port});
  return socket;
}

std::string TestedFront::requestText(const std::string &Route,
                                     const std::string &Id,
                                     const std::string &Fields) {
  return "GET /" + Route + "/x HTTP/1.1\r\nHost: h\r\n" +
         "Sassafrasseam-Attempt-Id: " + Id + "\r\n" + Fields + "\r\n";
}

std::string TestedFront::call(const std::string &Route, const std::string &Id,
                              const std::string &Fields) {
  Tcp::socket socket = connect();
  std::string text = requestText(Route, Id, Fields);
  text.insert(text.size() - 2, "Connection: close\r\n");
  sendText(socket, text);
  std::string response;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(response), ec);
  return response;
}

void TestedFront::occupy(const std::function<void()> &Act) {
  std::promise<void> done;
  asio::post(Io, [&] {
    Act();
    done.set_value();
  });
  done.get_future().wait();
}

void TestedFront::addEndpoint(const std::string &Endpoint) {
  applyAnnouncement(
      "i-" + std::to_string(Core.State.Directory.Endpoints.size() + 1),
      Endpoint, 1, 1);
  dispatchWaiting();
}

void TestedFront::announce(const std::string &Endpoint, uint64_t Sequence,
                           uint64_t BornMs) {
  std::string id;
  for (const auto &[key, it] : Core.State.Directory.Endpoints)
    if (it.Address == Endpoint)
      id = key;
  applyAnnouncement(id, Endpoint, Sequence, BornMs);
}

void TestedFront::applyAnnouncement(const std::string &Id,
                                    const std::string &Endpoint,
                                    uint64_t Sequence, uint64_t BornMs) {
  wire::EndpointObservation endpoint;
  endpoint.set_id(Id);
  endpoint.set_service("desk");
  endpoint.set_address(Endpoint);
  endpoint.set_zone("a");
  endpoint.set_born_ms(BornMs);
  endpoint.set_sequence(Sequence);
  endpoint.set_slots(8);
  applyObservation(Core.State.Directory, endpoint, Clock::now());
}

void TestedFront::removeEndpoints() { Core.State.Directory = {}; }

void TestedFront::setSoftwareVersion(const std::string &Endpoint,
                                     const std::string &Version) {
  for (auto &[id, it] : Core.State.Directory.Endpoints)
    if (it.Address == Endpoint)
      it.SoftwareVersion = Version;
}

void TestedFront::stop(StopStage Stage) {
  Core.State.IsStopping = true;
  auto relays = Core.Relays;
  for (const auto &[number, it] : relays)
    it->stop(Stage);
}

void TestedFront::handleRequest(HttpRequest Request,
                                const std::shared_ptr<HttpExchange> &Exchange) {
  auto admitted =
      admitRequest(Core.State, extractAttributes(Request), Clock::now());
  auto &request = std::get<FrontRequest>(admitted);
  request.Number = Core.NextNumber++;
  std::make_shared<Relay>(Core, std::move(request), std::move(Request),
                          Exchange)
      ->start();
}

void TestedFront::dispatchWaiting() {
  auto relays = Core.Relays;
  for (const auto &[number, it] : relays)
    it->dispatch();
}

void TestedFront::scheduleDispatch() {
  expirePermits(Core.State, Clock::now());
  dispatchWaiting();
  Timer.expires_after(DispatchPeriod);
  Timer.async_wait([this](auto ec) {
    if (!ec)
      scheduleDispatch();
  });
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

bool isCompleteSuccess(const std::string &Response) {
  if (!Response.starts_with("HTTP/1.1 200"))
    return false;
  // A chunked response is complete only with its last chunk.
  if (has(Response, "chunked"))
    return Response.ends_with("0\r\n\r\n");
  size_t at = Response.find("Content-Length: ");
  size_t body = Response.find("\r\n\r\n");
  return at != std::string::npos &&
         Response.size() - body - 4 == std::stoul(Response.substr(at + 16));
}

} // namespace sassafras
