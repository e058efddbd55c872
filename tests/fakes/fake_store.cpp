/// \file
/// Stand-in for the weight store: a load takes a fixed time while at most so
/// many are under way, and proportionally longer beyond that.
#include "core/metrics.h"
#include "http/server.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>

using namespace sassafras;

namespace {

struct Store {
  boost::asio::io_context Io;
  Metrics Counts;
  std::string Listen = "127.0.0.1:0";
  Millis LoadTime{1000};
  int FullSpeed = 4;
  int UnderWay = 0;
  int Most = 0;
  int Total = 0;
  double Slowness = 1; ///< Fault switch: /admin/slow/N.
};

void load(Store &Store, const std::shared_ptr<HttpExchange> &Exchange) {
  ++Store.UnderWay;
  ++Store.Total;
  Store.Most = std::max(Store.Most, Store.UnderWay);
  double crowd =
      std::max(1.0, static_cast<double>(Store.UnderWay) / Store.FullSpeed);
  auto wait = std::chrono::duration_cast<Millis>(Store.LoadTime * crowd *
                                                 Store.Slowness);
  auto timer = std::make_shared<boost::asio::steady_timer>(Store.Io, wait);
  timer->async_wait([&Store, Exchange, timer](auto) {
    --Store.UnderWay;
    Exchange->respond(200, {}, "weights\n");
  });
}

void serve(Store &Store, const HttpRequest &Request,
           const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target.starts_with("/weights/")) {
    load(Store, Exchange);
    return;
  }
  if (Request.Target.starts_with("/admin/slow/"))
    Store.Slowness = std::atof(Request.Target.c_str() + 12);
  Exchange->respond(200, {},
                    "most_at_once " + std::to_string(Store.Most) + "\ntotal " +
                        std::to_string(Store.Total) + "\n");
}

} // namespace

int main(int Count, char **Words) {
  Store store;
  int code = 0;
  while ((code = getopt(Count, Words, "l:t:")) != -1) {
    if (code == 'l')
      store.Listen = optarg;
    if (code == 't')
      store.LoadTime = Millis(std::atoi(optarg));
  }
  HttpServer::Handlers calls;
  calls.OnRequest = [&](const HttpRequest &Request,
                        const std::shared_ptr<HttpExchange> &Exchange) {
    serve(store, Request, Exchange);
  };
  calls.OnLoss = [](const HttpExchange *, HttpLoss) {};
  HttpServer server(store.Io, store.Listen, {}, store.Counts, calls);
  std::string problem;
  if (!server.start(problem)) {
    std::fprintf(stderr, "fake_store: %s\n", problem.c_str());
    return 1;
  }
  std::printf("listening %s\n", server.address().c_str());
  std::fflush(stdout);
  store.Io.run();
}
