/// \file
/// Fake model engine of the users' platform: serves orders, state reports and
/// event streams on a thread of the test process, and announces itself.
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

/// One caller request as the engine received it.
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

  /// Sends one heartbeat to \p Control and waits up to 2 s. Returns whether
  /// the response was 200. Must not be called concurrently with itself.
  bool announce(const std::string &Control, bool IsDraining = false);
  /// Sets the address that announcements contain instead of the engine's own.
  void setAnnouncedAddress(const std::string &Proxy) {
    AnnouncedAddress = Proxy;
  }
  /// Returns the caller requests received so far. Thread-safe.
  std::vector<ReceivedRequest> receivedRequests() const;
  size_t countOrders() const { return Orders; }
  /// Sets the time between two events of a stream.
  void setEventInterval(Millis Interval) { this->EventInterval = Interval; }
  /// Sets the time from the acceptance of a load order to the loaded model.
  void setLoadTime(Millis Time) { LoadTime = Time; }
  /// While \p AreAborted is set, received caller requests get an aborted
  /// connection instead of a response.
  void abortResponses(bool AreAborted) { AbortsResponses = AreAborted; }
  /// Stops the server; no request is served afterwards. Call at most once.
  void stopServer();

private:
  void handleRequest(const HttpRequest &Request,
                     const std::shared_ptr<HttpExchange> &Exchange);
  void handleOrder(const HttpRequest &Request, HttpExchange &Exchange);
  /// Precondition: Mutex is held.
  void beginLoad(const std::string &Model);
  void stream(const std::shared_ptr<HttpExchange> &Exchange, int Next);
  std::string serializeState() const;

  std::string Id;
  std::string Service;
  std::string Address;
  /// Replaces Address in announcements when not empty.
  std::string AnnouncedAddress;
  boost::asio::io_context Io;
  Metrics Counts;
  std::unique_ptr<HttpServer> Server;
  std::thread IoThread;
  mutable std::mutex Mutex;
  std::set<std::string> Models;
  std::set<std::string> OnDisk;
  std::vector<ReceivedRequest> Received;
  uint64_t Sequence = 0;
  uint64_t Heartbeats = 0;
  std::atomic<size_t> Orders{0};
  std::atomic<Millis> EventInterval{Millis(5)};
  std::atomic<Millis> LoadTime{Millis(0)};
  std::atomic<bool> AbortsResponses{false};
  std::string Loading; ///< Model being loaded, or empty.
};

} // namespace sassafras

#endif
