/// \file
/// Caller on a connection that it keeps for several requests.
#ifndef SASSAFRAS_TESTS_SOAK_SOAK_CALLER_H
#define SASSAFRAS_TESTS_SOAK_SOAK_CALLER_H

#include "tests/soak/soak_records.h"

#include <memory>
#include <string>

namespace sassafras {

/// How a caller sends its request and reads the response.
struct CallerManner {
  Millis PauseBeforeBody{0}; ///< Pause within the request.
  Millis PauseBetweenReads{0};
};

/// Not thread-safe.
class SoakCaller {
public:
  SoakCaller();
  ~SoakCaller();
  SoakCaller(const SoakCaller &) = delete;
  SoakCaller &operator=(const SoakCaller &) = delete;

  /// Returns false if the connection cannot be opened within a second.
  bool connect(const std::string &Address);
  /// False if the peer has closed the connection or stated that it will.
  bool isOpen() const;
  void close();
  /// Sends the request that \p Record describes and fills in what came of it.
  /// Closes the connection unless it may be used again. Precondition: connect
  /// has returned true.
  void send(CallerRecord &Record, const CallerManner &Manner);

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sassafras

#endif
