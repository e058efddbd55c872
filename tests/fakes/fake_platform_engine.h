/// \file
/// Stand-in for a model engine on the users' platform: models, orders, state,
/// announcements and streams, in a thread of the test.
#ifndef SASSAFRAS_TESTS_FAKES_FAKE_PLATFORM_ENGINE_H
#define SASSAFRAS_TESTS_FAKES_FAKE_PLATFORM_ENGINE_H

#include "core/metrics.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sassafras {

/// What the engine saw of one request.
struct ReceivedRequest {
  std::string Id;
  std::vector<HttpField> Fields;
  std::string Body;
};

class FakePlatformEngine {
public:
  FakePlatformEngine(std::string Id, std::string Service, std::string Address,
                     std::set<std::string> Models,
                     std::set<std::string> OnDisk);
  ~FakePlatformEngine();
  FakePlatformEngine(const FakePlatformEngine &) = delete;
  FakePlatformEngine &operator=(const FakePlatformEngine &) = delete;

  /// Announces itself to \p Control once.
  bool announce(const std::string &Control, bool IsDraining = false);
  /// The address that announcements name in place of its own.
  void setAnnouncedAddress(const std::string &Proxy) { Announced = Proxy; }
  std::vector<ReceivedRequest> receivedRequests() const;
  size_t countOrders() const { return Orders; }
  /// Time between the events of a stream.
  void setEventInterval(Millis Pace) { this->Pace = Pace; }
  /// Time from an accepted load to the loaded model.
  void setLoadTime(Millis Time) { LoadTime = Time; }
  /// Requests that run get a connection closed midway in place of an answer.
  void abortResponses(bool AreBroken) { BreaksAnswers = AreBroken; }
  /// Closes the server: nothing is answered any more.
  void stopServer();

private:
  void take(const HttpRequest &Request,
            const std::shared_ptr<HttpExchange> &Exchange);
  void takeOrder(const HttpRequest &Request, HttpExchange &Exchange);
  /// Precondition: the lock is held.
  void beginLoad(const std::string &Model);
  void stream(const std::shared_ptr<HttpExchange> &Exchange, int Next);
  std::string printState() const;

  std::string Id;
  std::string Service;
  std::string Address;
  std::string Announced; ///< In place of Address, where set.
  boost::asio::io_context Io;
  Metrics Counts;
  std::unique_ptr<HttpServer> Server;
  std::thread Runner;
  mutable std::mutex Lock;
  std::set<std::string> Models;
  std::set<std::string> OnDisk;
  std::vector<ReceivedRequest> Seen;
  uint64_t Sequence = 0;
  uint64_t Beats = 0;
  std::atomic<size_t> Orders{0};
  std::atomic<Millis> Pace{Millis(5)};
  std::atomic<Millis> LoadTime{Millis(0)};
  std::atomic<bool> BreaksAnswers{false};
  std::string Loading; ///< Model on its way, or empty.
};

} // namespace sassafras

#endif
