#include "policy/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

/// Least weight of the newest measurement. Until enough were made, each has the
/// same weight.
constexpr double LeastWeight = 0.1;
/// Measurements that the assumption of an average factor counts for.
constexpr double PriorSamples = 1;
/// Factors of fewer measurements, or that differ from 1 by less, may come from
/// chance and are read as 1.
constexpr uint32_t MinSamples = 3;
constexpr double LeastFactor = 1.3;
/// Bounds of one measurement against what was expected; a stream that stood
/// still says little of the speed.
constexpr double MaxLogDeviation = 1.5;
/// Time per event at a full endpoint, as a multiple of an idle one's, less 1.
constexpr double FullSlowdown = 1.0;

double weightOf(const SpeedFactor &Factor) {
  return std::max(LeastWeight,
                  1 / (static_cast<double>(Factor.Samples) + 1 + PriorSamples));
}

void adjust(SpeedFactor &Factor, double Deviation, TimePoint Now) {
  Factor.Log += Deviation * weightOf(Factor);
  ++Factor.Samples;
  Factor.MeasuredAt = Now;
}

SpeedFactor &factorOf(std::map<std::string, SpeedFactor> &Factors,
                      const std::string &Key) {
  if (Factors.size() >= MaxSpeedFactors && !Factors.contains(Key))
    Factors.erase(std::min_element(
        Factors.begin(), Factors.end(), [](const auto &A, const auto &B) {
          return A.second.MeasuredAt < B.second.MeasuredAt;
        }));
  return Factors[Key];
}

double readFactor(const std::map<std::string, SpeedFactor> &Factors,
                  const std::string &Key) {
  auto it = Factors.find(Key);
  if (it == Factors.end() || it->second.Samples < MinSamples)
    return 1;
  double factor = std::exp(it->second.Log);
  return std::max(factor, 1 / factor) < LeastFactor ? 1 : factor;
}

} // namespace

void recordSpeed(SpeedBook &Book, const SpeedSample &Sample, TimePoint Now) {
  double ms = 1'000 * Sample.PerEvent.count() /
              (1 + FullSlowdown * std::max(0.0, Sample.LoadShare));
  if (!(ms > 0) || !std::isfinite(ms))
    return;
  SpeedFactor &service = factorOf(Book.Services, Sample.Service);
  SpeedFactor &model =
      factorOf(Book.Models, Sample.Service + '/' + Sample.Model);
  SpeedFactor &endpoint = factorOf(Book.Endpoints, Sample.Endpoint);
  if (service.Samples == 0)
    service.Log = std::log(ms);
  double deviation = std::log(ms) - service.Log - model.Log - endpoint.Log;
  deviation = std::clamp(deviation, -MaxLogDeviation, MaxLogDeviation);
  // The mean of the service covers many samples, so that it takes up what all
  // endpoints have in common; the rest is divided by how little is known.
  double ofModel = weightOf(model);
  double ofEndpoint = weightOf(endpoint);
  double all = ofModel + ofEndpoint;
  adjust(service, deviation, Now);
  double fixed = deviation;
  adjust(model, fixed * ofModel / all, Now);
  adjust(endpoint, fixed * ofEndpoint / all, Now);
}

double learnedPace(const SpeedBook &Book, const std::string &Endpoint) {
  return readFactor(Book.Endpoints, Endpoint);
}

double learnedModelPace(const SpeedBook &Book, const std::string &Service,
                        const std::string &Model) {
  return readFactor(Book.Models, Service + '/' + Model);
}

void expireSpeeds(SpeedBook &Book, TimePoint Now) {
  for (auto *it : {&Book.Services, &Book.Models, &Book.Endpoints})
    std::erase_if(*it, [&](const auto &Entry) {
      return Now - Entry.second.MeasuredAt >= SpeedRetention;
    });
}

} // namespace sassafras
