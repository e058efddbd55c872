/// \file
/// Lasting speed of endpoints, learned from the streams that they brought.
///
/// Load pattern: engines of one service run on machines of different speed,
/// models of one service take different times for the same work, and a front
/// has few requests at each engine. The time per event is taken apart into a
/// mean of the service, a factor of the model and a factor of the endpoint.
#ifndef SASSAFRAS_POLICY_ENDPOINT_SPEED_H
#define SASSAFRAS_POLICY_ENDPOINT_SPEED_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace sassafras {

/// A factor is forgotten when nothing was measured for this long.
inline constexpr Millis SpeedRetention{600'000};
/// Limit of the endpoints, and of the models, that factors are kept of. The one
/// that was measured the longest ago is forgotten first.
inline constexpr size_t MaxSpeedFactors = 1'024;

/// Smoothed logarithm of a factor of the time that work takes.
struct SpeedFactor {
  double Log = 0;
  uint32_t Samples = 0;
  TimePoint MeasuredAt;
};

struct SpeedBook {
  std::map<std::string, SpeedFactor> Services;  ///< Of milliseconds an event.
  std::map<std::string, SpeedFactor> Models;    ///< By "service/model".
  std::map<std::string, SpeedFactor> Endpoints; ///< By id.
};

/// Time between the events of one stream at one endpoint.
struct SpeedSample {
  std::string Service;
  std::string Model;
  std::string Endpoint;
  std::chrono::duration<double> PerEvent{0};
  /// Requests at the endpoint when it began, as a share of its slots.
  double LoadShare = 0;
};

/// Records a measurement. Samples without a positive time are ignored. Not
/// thread safe.
void recordSpeed(SpeedBook &Book, const SpeedSample &Sample, TimePoint Now);
/// Time that work takes at \p Endpoint against the mean of its service, 1 if
/// nothing is known. Thread safe while \p Book does not change.
double learnedPace(const SpeedBook &Book, const std::string &Endpoint);
/// The same of a model.
double learnedModelPace(const SpeedBook &Book, const std::string &Service,
                        const std::string &Model);
/// Forgets factors after SpeedRetention. Not thread safe.
void expireSpeeds(SpeedBook &Book, TimePoint Now);

} // namespace sassafras

#endif
