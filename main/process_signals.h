/// \file
/// Signals that a process handles as events.
#ifndef SASSAFRAS_MAIN_PROCESS_SIGNALS_H
#define SASSAFRAS_MAIN_PROCESS_SIGNALS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>

namespace sassafras {

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and those that it
/// starts: from now on they neither end the process nor interrupt calls, and
/// are kept until they are read. Call before other threads start.
void blockSignals();

/// True if SIGTERM or SIGINT has arrived and has not been read. Thread safe.
bool isStopSignalPending();

/// Reads the signals that blockSignals blocks. Not thread safe.
class ProcessSignals {
public:
  using Handler = std::function<void(int Signal)>;

  /// Calls \p OnSignal with each signal on the thread that runs \p Io, also
  /// with those that arrived before. Throws std::system_error if the signals
  /// cannot be read.
  ProcessSignals(boost::asio::io_context &Io, Handler OnSignal);
  ProcessSignals(const ProcessSignals &) = delete;
  ProcessSignals &operator=(const ProcessSignals &) = delete;

private:
  void awaitSignal();
  void readSignals();

  Handler OnSignal;
  boost::asio::posix::stream_descriptor Descriptor;
};

} // namespace sassafras

#endif
