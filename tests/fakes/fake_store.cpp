/// \file
/// Fake weight store: a load takes a fixed time while at most
/// FullSpeedLoads loads are in progress, and proportionally longer beyond
/// that.
#include "core/metrics.h"
#include "http/server.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>

using namespace sassafras;

namespace {

/// Memory for requests and responses.
constexpr uint64_t MemoryBytes = 1'000'000'000;

struct Store {
  boost::asio::io_context Io;
  Metrics Counts;
  std::string Listen = "127.0.0.1:0";
  Millis LoadTime{1000};
  int FullSpeedLoads = 4;
  int LoadsInProgress = 0;
  int MaxLoadsInProgress = 0;
  int TotalLoads = 0;
  double LoadTimeFactor = 1; ///< Injected fault, set by /admin/slow/N.
};

void load(Store &Store, const std::shared_ptr<HttpExchange> &Exchange) {
  ++Store.LoadsInProgress;
  ++Store.TotalLoads;
  Store.MaxLoadsInProgress =
      std::max(Store.MaxLoadsInProgress, Store.LoadsInProgress);
  double contention = std::max(1.0, static_cast<double>(Store.LoadsInProgress) /
                                        Store.FullSpeedLoads);
  auto wait = std::chrono::duration_cast<Millis>(Store.LoadTime * contention *
                                                 Store.LoadTimeFactor);
  auto timer = std::make_shared<boost::asio::steady_timer>(Store.Io, wait);
  timer->async_wait([&Store, Exchange, timer](auto) {
    --Store.LoadsInProgress;
    Exchange->respond(200, {}, "weights\n");
  });
}

void handleRequest(Store &Store, const HttpRequest &Request,
                   const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target.starts_with("/weights/")) {
    load(Store, Exchange);
    return;
  }
  if (Request.Target.starts_with("/admin/slow/"))
    Store.LoadTimeFactor = std::atof(Request.Target.c_str() + 12);
  Exchange->respond(200, {},
                    "most_at_once " + std::to_string(Store.MaxLoadsInProgress) +
                        "\ntotal " + std::to_string(Store.TotalLoads) + "\n");
}

} // namespace

int main(int Count, char **Arguments) {
  Store store;
  int code = 0;
  while ((code = getopt(Count, Arguments, "l:t:")) != -1) {
    if (code == 'l')
      store.Listen = optarg;
    if (code == 't')
      store.LoadTime = Millis(std::atoi(optarg));
  }
  HttpServer::Handlers handlers;
  handlers.OnRequest = [&](const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
    handleRequest(store, Request, Exchange);
  };
  handlers.OnLoss = [](const HttpExchange *, HttpLoss) {};
  HttpServer server(store.Io, store.Listen, {}, store.Counts,
                    std::make_shared<MemoryBudget>(MemoryBytes), handlers);
  StartProblem problem;
  if (!server.start(problem)) {
    std::fprintf(stderr, "fake_store: %s\n", problem.Reason.c_str());
    return 1;
  }
  std::printf("listening %s\n", server.address().c_str());
  std::fflush(stdout);
  store.Io.run();
}
