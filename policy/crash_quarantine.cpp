#include "policy/crash_quarantine.h"

#include "core/hash.h"

#include <algorithm>

namespace sassafras {

namespace {

std::vector<std::string> listFeatures(const RequestFeatures &Features) {
  std::vector<std::string> out = Features.Parts;
  if (!Features.Digest.empty())
    out.push_back(Features.Digest);
  return out;
}

/// End of the time in which this front admits no request with the feature.
TimePoint endOf(const CrashQuarantine &State, const FeatureRecord &Record) {
  if (Record.QuarantinedUntil == TimePoint())
    return TimePoint();
  return std::max(Record.QuarantinedUntil + State.ReleaseDelay,
                  Record.TrialUntil);
}

bool isInForce(const CrashQuarantine &State, const FeatureRecord &Record,
               TimePoint Now) {
  return !isPast(endOf(State, Record), Now);
}

bool isWithin(TimePoint At, Millis Span, TimePoint Now) {
  return At != TimePoint() && Now - At < Span;
}

/// True when the feature is no longer in quarantine or on trial.
bool prove(FeatureRecord &Record, TimePoint BegunAt) {
  std::erase_if(Record.Accusations,
                [&](const CrashAccusation &it) { return it.At <= BegunAt; });
  Record.ProvenAt = std::max(Record.ProvenAt, BegunAt);
  // A front that did not know of the proof may have decided too early.
  bool isTooEarly =
      Record.Quarantines == 1 && Record.Accusations.size() < ProvenCrashLimit;
  if (Record.Quarantines == 0 ||
      (Record.QuarantinedAt > BegunAt && !isTooEarly))
    return false;
  Record.QuarantinedUntil = TimePoint();
  Record.Quarantines = 0;
  return true;
}

bool isSameCrash(const CrashAccusation &First, const CrashAccusation &Second) {
  return First.Endpoint == Second.Endpoint &&
         std::chrono::abs(First.At - Second.At) < CrashReportTime;
}

/// True when the endpoint of \p Later ended again after \p Earlier, since its
/// process still ran after that. Fronts report one crash at different times.
bool hasStartedAgain(const CrashAccusation &Earlier,
                     const CrashAccusation &Later) {
  if (Later.AliveAfter == TimePoint())
    return Later.AnsweredAt > Earlier.At + CrashReportTime;
  return Later.At > Earlier.At + CrashReportTime &&
         Later.AliveAfter > Earlier.At + CrashSeparation;
}

/// True when the crash is not part of one that is counted. Another endpoint
/// that began to answer after a crash was not part of it.
bool isSeparate(const FeatureRecord &Record,
                const CrashAccusation &Accusation) {
  return std::none_of(Record.Accusations.begin(), Record.Accusations.end(),
                      [&](const CrashAccusation &it) {
                        if (it.Endpoint == Accusation.Endpoint)
                          return !hasStartedAgain(it, Accusation);
                        return std::chrono::abs(Accusation.At - it.At) <
                                   CrashSeparation &&
                               Accusation.AnsweredAt <= it.At;
                      });
}

bool isProven(const FeatureRecord &Record, TimePoint Now) {
  return isWithin(Record.ProvenAt, ProofRetention, Now);
}

bool hasCrash(const FeatureRecord &Record, const CrashAccusation &Crash) {
  return std::any_of(
      Record.Accusations.begin(), Record.Accusations.end(),
      [&](const CrashAccusation &it) { return isSameCrash(it, Crash); });
}

/// True when another feature is quarantined for this crash, and either requests
/// with this one ran well or fewer crashes accuse it.
bool isExplained(const CrashQuarantine &State, const FeatureRecord &Record,
                 const CrashAccusation &Crash, TimePoint Now) {
  return std::any_of(
      State.Features.begin(), State.Features.end(), [&](const auto &it) {
        const FeatureRecord &other = it.second;
        return isInForce(State, other, Now) && hasCrash(other, Crash) &&
               (isProven(Record, Now) ||
                other.Accusations.size() > Record.Accusations.size());
      });
}

/// True when the crash counts against the feature.
bool doesCount(const CrashQuarantine &State, const FeatureRecord &Record,
               const CrashAccusation &Crash, TimePoint Now) {
  return Crash.At > Record.ProvenAt && isSeparate(Record, Crash) &&
         !isExplained(State, Record, Crash, Now);
}

/// The crashes of \p Cause no longer count against proven features.
void removeExplained(CrashQuarantine &State, const FeatureRecord &Cause,
                     TimePoint Now) {
  for (auto &[name, record] : State.Features)
    if (isProven(record, Now) && !isInForce(State, record, Now))
      std::erase_if(record.Accusations, [&](const CrashAccusation &it) {
        return hasCrash(Cause, it);
      });
}

size_t crashLimitOf(const FeatureRecord &Record, TimePoint Now) {
  if (Record.Quarantines > 0)
    return RepeatedCrashLimit;
  return isProven(Record, Now) ? ProvenCrashLimit : CrashLimit;
}

void quarantine(FeatureRecord &Record, TimePoint Now) {
  Millis length = FirstQuarantine;
  for (uint32_t i = 0; i < Record.Quarantines && length < LongestQuarantine;
       ++i)
    length *= 2;
  ++Record.Quarantines;
  Record.QuarantinedAt = Now;
  Record.QuarantinedUntil = Now + std::min(length, LongestQuarantine);
}

/// Removes the feature that was unused for longest and is not quarantined.
void evictFeature(CrashQuarantine &State, TimePoint Now) {
  auto oldest = State.Features.end();
  for (auto it = State.Features.begin(); it != State.Features.end(); ++it)
    if (!isInForce(State, it->second, Now) &&
        (oldest == State.Features.end() ||
         it->second.UsedAt < oldest->second.UsedAt))
      oldest = it;
  if (oldest != State.Features.end())
    State.Features.erase(oldest);
}

FeatureRecord &findOrAdd(CrashQuarantine &State, const std::string &Feature,
                         TimePoint Now) {
  auto found = State.Features.find(Feature);
  if (found == State.Features.end()) {
    if (State.Features.size() >= MaxTrackedFeatures)
      evictFeature(State, Now);
    found = State.Features.emplace(Feature, FeatureRecord()).first;
  }
  found->second.UsedAt = Now;
  return found->second;
}

} // namespace

std::optional<std::pair<std::string, TimePoint>>
findQuarantined(const CrashQuarantine &State, const RequestFeatures &Features,
                TimePoint Now) {
  for (const std::string &it : listFeatures(Features)) {
    auto found = State.Features.find(it);
    if (found != State.Features.end() && isInForce(State, found->second, Now))
      return std::pair(it, endOf(State, found->second));
  }
  return std::nullopt;
}

std::vector<std::string> beginTrial(CrashQuarantine &State,
                                    const RequestFeatures &Features,
                                    TimePoint Now) {
  std::vector<std::string> out;
  for (const std::string &it : listFeatures(Features)) {
    auto found = State.Features.find(it);
    if (found == State.Features.end() || found->second.Quarantines == 0)
      continue;
    found->second.TrialUntil = Now + TrialTime;
    out.push_back(it);
  }
  return out;
}

std::vector<std::string> selectAccused(const CrashQuarantine &State,
                                       const std::string &Service,
                                       const RequestFeatures &Features,
                                       TimePoint Now) {
  auto service = State.ServiceProvenAt.find(Service);
  if (service == State.ServiceProvenAt.end() ||
      !isWithin(service->second, ServiceProofLifetime, Now))
    return {};
  std::vector<std::string> out;
  for (const std::string &it : listFeatures(Features)) {
    auto found = State.Features.find(it);
    if (found == State.Features.end() ||
        !isWithin(found->second.ProvenAt, FreshProof, Now))
      out.push_back(it);
  }
  return out;
}

AccusationEffect recordAccusation(CrashQuarantine &State,
                                  const std::vector<std::string> &Features,
                                  const CrashAccusation &Accusation,
                                  TimePoint Now) {
  // All features of a request are equally suspect, so none of them explains the
  // crash for another.
  std::vector<std::string> counted;
  for (const std::string &it : Features) {
    FeatureRecord &record = findOrAdd(State, it, Now);
    std::erase_if(record.Accusations, [&](const CrashAccusation &Old) {
      return Now - Old.At >= AccusationRetention;
    });
    if (doesCount(State, record, Accusation, Now))
      counted.push_back(it);
  }
  AccusationEffect out;
  for (const std::string &it : counted) {
    FeatureRecord &record = findOrAdd(State, it, Now);
    record.Accusations.push_back(Accusation);
    if (!isPast(record.QuarantinedUntil, Now))
      continue;
    size_t n = record.Accusations.size();
    if (n >= crashLimitOf(record, Now)) {
      quarantine(record, Now);
      out.Quarantined.push_back(it);
    } else if (n >= CrashLimit) {
      out.Disputed.emplace(it, record.ProvenAt);
    }
  }
  out.Counted = counted;
  for (const std::string &it : counted) {
    const FeatureRecord &record = findOrAdd(State, it, Now);
    if (isInForce(State, record, Now))
      removeExplained(State, record, Now);
  }
  return out;
}

ProofEffect recordProof(CrashQuarantine &State, const std::string &Service,
                        const RequestFeatures &Features, TimePoint BegunAt,
                        TimePoint Now) {
  State.ServiceProvenAt[Service] = Now;
  std::vector<std::string> proven = Features.Parts;
  if (State.Features.contains(Features.Digest))
    proven.push_back(Features.Digest);
  ProofEffect out;
  for (const std::string &it : proven) {
    FeatureRecord &record = findOrAdd(State, it, Now);
    if (!record.Accusations.empty() || isInForce(State, record, Now))
      out.Cleared.push_back(it);
    if (prove(record, BegunAt))
      out.Released.push_back(it);
  }
  return out;
}

bool clearFeature(CrashQuarantine &State, const std::string &Feature,
                  TimePoint BegunAt, TimePoint Now) {
  return prove(findOrAdd(State, Feature, Now), BegunAt);
}

QuarantineAdoption adoptQuarantine(CrashQuarantine &State,
                                   const KnownQuarantine &Known,
                                   TimePoint Now) {
  FeatureRecord &record = findOrAdd(State, Known.Feature, Now);
  if (Known.Quarantines <= record.Quarantines || isPast(Known.Until, Now))
    return QuarantineAdoption::Unchanged;
  if (record.ProvenAt > Known.QuarantinedAt)
    return QuarantineAdoption::Disproved;
  record.QuarantinedAt = Known.QuarantinedAt;
  record.QuarantinedUntil = Known.Until;
  record.Quarantines = Known.Quarantines;
  return QuarantineAdoption::Adopted;
}

std::vector<KnownQuarantine> listQuarantined(const CrashQuarantine &State,
                                             TimePoint Now) {
  std::vector<KnownQuarantine> out;
  for (const auto &[feature, record] : State.Features)
    if (!isPast(record.QuarantinedUntil, Now))
      out.push_back({feature, record.QuarantinedAt, record.QuarantinedUntil,
                     record.Quarantines});
  return out;
}

uint64_t digestQuarantine(const CrashQuarantine &State, TimePoint Now) {
  uint64_t digest = 0;
  for (const auto &[feature, record] : State.Features)
    if (!isPast(record.QuarantinedUntil, Now))
      digest ^= checksumOf(feature);
  return digest;
}

void expireFeatures(CrashQuarantine &State, TimePoint Now) {
  std::erase_if(State.Features, [&](const auto &it) {
    return Now - std::max(it.second.UsedAt, it.second.QuarantinedUntil) >=
           std::max(ProofRetention, AccusationRetention);
  });
}

} // namespace sassafras
