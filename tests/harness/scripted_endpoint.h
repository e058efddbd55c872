/// \file
/// Endpoint whose behaviour on the connection is a script of raw bytes.
#ifndef SASSAFRAS_TESTS_HARNESS_SCRIPTED_ENDPOINT_H
#define SASSAFRAS_TESTS_HARNESS_SCRIPTED_ENDPOINT_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sassafras {

/// Writes \p Text; errors are ignored, as the peer may have closed.
void sendText(boost::asio::ip::tcp::socket &Socket, const std::string &Text);
/// Head of a sealed response to the request \p Id.
std::string headOf(const std::string &Id, const std::string &Framing,
                   const std::string &Status = "200 OK");
/// \p Text as one chunk of a chunked body.
std::string chunkOf(const std::string &Text);

/// Path of the health check.
inline constexpr const char *ScriptedHealthPath = "/health";

/// What an endpoint does with a health check.
enum class HealthBehaviour {
  Answer,
  Wait,  ///< Does not answer, as without a free slot.
  Reset, ///< Resets the connection, as without a free connection.
};

/// Accepts connections and runs its script for every request but health checks,
/// with one thread for each connection.
class ScriptedEndpoint {
public:
  /// What the endpoint does on a connection after each request on it.
  using Script = std::function<void(boost::asio::ip::tcp::socket &,
                                    const std::string &Id)>;

  explicit ScriptedEndpoint(Script Reply);
  /// Waits for the scripts that are running.
  ~ScriptedEndpoint();
  ScriptedEndpoint(const ScriptedEndpoint &) = delete;
  ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

  /// Address and port on loopback. Thread safe.
  std::string address() const;
  /// Number of requests received. Thread safe.
  size_t countRequests() const { return Requests; }
  /// Heads of the requests received, in lower case. Thread safe.
  std::vector<std::string> heads() const;
  /// Answers health checks with \p Status and the expected instance's id if
  /// \p HasId, as refused otherwise; 0 closes their connections. Thread safe.
  void setHealthAnswer(unsigned Status, bool HasId) {
    HealthStatus = Status;
    HasHealthId = HasId;
  }
  /// Thread safe.
  void setHealthBehaviour(HealthBehaviour How) { Behaviour = How; }
  /// Number of health checks received. Thread safe.
  size_t countHealthChecks() const { return HealthChecks; }
  /// Refuses new connections from now on, as when the process is gone. Thread
  /// safe.
  void stopListening();

private:
  void run();
  void serve(boost::asio::ip::tcp::socket &Socket);
  void answerHealthCheck(boost::asio::ip::tcp::socket &Socket,
                         const std::string &Instance);

  boost::asio::io_context Io;
  Script Reply;
  std::atomic<size_t> Requests{0};
  std::atomic<size_t> HealthChecks{0};
  std::atomic<unsigned> HealthStatus{200};
  std::atomic<bool> HasHealthId{true};
  std::atomic<HealthBehaviour> Behaviour{HealthBehaviour::Answer};
  mutable std::mutex HeadsLock;
  std::vector<std::string> Heads; ///< Guarded by HeadsLock.
  std::atomic<bool> IsStopping{false};
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::thread> Connections;
  std::thread Runner;
};

} // namespace sassafras

#endif
