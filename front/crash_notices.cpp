#include "front/crash_notices.h"

#include "core/logging.h"

#include <algorithm>

namespace sassafras {

namespace {

/// More accusations in one notice are left out: an event that breaks so many
/// requests has another cause.
constexpr size_t MaxPendingAccusations = 256;

void logQuarantine(const std::string &Feature, const char *Source,
                   const std::string &Endpoint) {
  logEvent(LogLevel::Warning, "feature_quarantined",
           {{"feature", Feature}, {"source", Source}, {"endpoint", Endpoint}});
}

void logRelease(const std::string &Feature, const char *Source,
                const std::string &Endpoint) {
  logEvent(LogLevel::Info, "feature_released",
           {{"feature", Feature}, {"source", Source}, {"endpoint", Endpoint}});
}

/// Returns the features against which the crash counts.
std::vector<std::string>
accuse(FrontState &State, const PendingCrashNotices::Accusation &Accusation,
       TimePoint Now) {
  AccusationEffect effect = recordAccusation(
      State.Quarantine, Accusation.Features, Accusation.Crash, Now);
  for (const std::string &it : effect.Quarantined)
    logQuarantine(it, "crashes", Accusation.Crash.Endpoint);
  State.CrashNotices.Cleared.merge(effect.Disputed);
  return std::move(effect.Counted);
}

/// Milliseconds from \p At to \p Now as text; empty for no time.
std::string textOfAge(TimePoint At, TimePoint Now) {
  return At == TimePoint() ? std::string() : std::to_string(toMillis(Now - At));
}

uint64_t ageOf(TimePoint At, TimePoint Now) {
  return static_cast<uint64_t>(toMillis(Now - At));
}

/// A time span from another front; longer ones have no meaning.
Millis limited(uint64_t Milliseconds) {
  return std::min(Millis(static_cast<uint32_t>(
                      std::min<uint64_t>(Milliseconds, UINT32_MAX))),
                  LongestQuarantine);
}

TimePoint agoOf(uint64_t Milliseconds, TimePoint Now) {
  return Now - limited(Milliseconds);
}

/// Ages, not times, as the clocks of fronts differ. An age of 0 means none.
void writeTimes(const CrashAccusation &Crash, TimePoint Now,
                wire::CrashAccusation &Out) {
  Out.set_crash_age_ms(ageOf(Crash.At, Now));
  if (Crash.AnsweredAt != TimePoint())
    Out.set_answered_age_ms(
        std::max<uint64_t>(1, ageOf(Crash.AnsweredAt, Now)));
  if (Crash.AliveAfter != TimePoint())
    Out.set_alive_age_ms(std::max<uint64_t>(1, ageOf(Crash.AliveAfter, Now)));
}

std::string join(const std::vector<std::string> &Names) {
  std::string out;
  for (const std::string &it : Names)
    out += (out.empty() ? "" : ",") + it;
  return out;
}

} // namespace

void recordBrokenRun(FrontState &State, const FrontRequest &Request,
                     const EndpointRun &Run, TimePoint Now) {
  if (Run.AnsweredAt != TimePoint() && Now - Run.AnsweredAt >= ProvenRunTime)
    return;
  std::vector<std::string> accused =
      selectAccused(State.Quarantine, Request.Service, Request.Features, Now);
  if (accused.empty())
    return;
  PendingCrashNotices::Accusation accusation{
      std::move(accused), {Run.Endpoint, Now, Run.AnsweredAt, Run.AliveAfter}};
  std::vector<std::string> counted = accuse(State, accusation, Now);
  logEvent(LogLevel::Info, "crash_suspected",
           {{"id", Request.Attributes.Id},
            {"endpoint", Run.Endpoint},
            {"features", join(accusation.Features)},
            {"counted", join(counted)},
            {"answered_ms", textOfAge(Run.AnsweredAt, Now)},
            {"alive_ms", textOfAge(Run.AliveAfter, Now)}});
  if (State.CrashNotices.Accusations.size() < MaxPendingAccusations)
    State.CrashNotices.Accusations.push_back(std::move(accusation));
}

void recordProvenRun(FrontState &State, const FrontRequest &Request,
                     const EndpointRun &Run, TimePoint Now) {
  ProofEffect effect = recordProof(State.Quarantine, Request.Service,
                                   Request.Features, Run.AnsweredAt, Now);
  for (const std::string &it : effect.Cleared)
    State.CrashNotices.Cleared[it] = Run.AnsweredAt;
  for (const std::string &it : effect.Released)
    logRelease(it, "run", Run.Endpoint);
}

std::optional<FrontRefusal> checkQuarantine(const FrontState &State,
                                            const FrontRequest &Request,
                                            TimePoint Now) {
  auto found = findQuarantined(State.Quarantine, Request.Features, Now);
  if (!found)
    return std::nullopt;
  return FrontRefusal{RefusalReason::CrashesEndpoints,
                      std::chrono::ceil<Millis>(found->second - Now)};
}

void flushCrashNotices(FrontState &State, TimePoint Now, NodeMessages &Out) {
  PendingCrashNotices &pending = State.CrashNotices;
  if (pending.Accusations.empty() && pending.Cleared.empty())
    return;
  wire::Envelope message;
  wire::CrashNotice &notice = *message.mutable_crash_notice();
  for (const auto &it : pending.Accusations) {
    wire::CrashAccusation &accusation = *notice.add_accusations();
    accusation.mutable_features()->Add(it.Features.begin(), it.Features.end());
    accusation.set_endpoint(it.Crash.Endpoint);
    writeTimes(it.Crash, Now, accusation);
  }
  for (const auto &[feature, begunAt] : pending.Cleared) {
    wire::ProvenFeature &cleared = *notice.add_cleared();
    cleared.set_feature(feature);
    cleared.set_age_ms(ageOf(begunAt, Now));
  }
  pending = {};
  wire::Envelope relayed = message;
  relayed.mutable_crash_notice()->set_pass_on(true);
  broadcast(State, message, relayed, State.Self.name(), Now, Out);
}

void handleCrashNotice(FrontState &State, const wire::CrashNotice &Notice,
                       TimePoint Now, NodeMessages &Out) {
  for (const wire::CrashAccusation &it : Notice.accusations()) {
    CrashAccusation crash{it.endpoint(), agoOf(it.crash_age_ms(), Now),
                          TimePoint(), TimePoint()};
    if (it.answered_age_ms() > 0)
      crash.AnsweredAt = agoOf(it.answered_age_ms(), Now);
    if (it.alive_age_ms() > 0)
      crash.AliveAfter = agoOf(it.alive_age_ms(), Now);
    accuse(State,
           {{it.features().begin(), it.features().end()}, std::move(crash)},
           Now);
  }
  for (const wire::ProvenFeature &it : Notice.cleared())
    if (clearFeature(State.Quarantine, it.feature(), agoOf(it.age_ms(), Now),
                     Now))
      logRelease(it.feature(), "front", "");
  for (const wire::QuarantinedFeature &it : Notice.quarantined()) {
    QuarantineAdoption adoption =
        adoptQuarantine(State.Quarantine,
                        {it.feature(), agoOf(it.age_ms(), Now),
                         Now + limited(it.left_ms()), it.quarantines()},
                        Now);
    if (adoption == QuarantineAdoption::Adopted)
      logQuarantine(it.feature(), "front", "");
    else if (adoption == QuarantineAdoption::Disproved)
      State.CrashNotices.Cleared[it.feature()] =
          State.Quarantine.Features.at(it.feature()).ProvenAt;
  }
  if (!Notice.pass_on())
    return;
  wire::Envelope message;
  *message.mutable_crash_notice() = Notice;
  message.mutable_crash_notice()->set_pass_on(false);
  sendWithinZone(State, message, Now, Out);
}

wire::CrashNotice makeAccusationNotice(const FrontState &State, TimePoint Now) {
  wire::CrashNotice out;
  // Features of one crash together, as none of them explains it for another.
  std::map<std::pair<TimePoint, std::string>, wire::CrashAccusation *> crashes;
  for (const auto &[feature, record] : State.Quarantine.Features) {
    if (!isPast(record.QuarantinedUntil, Now))
      continue;
    for (const CrashAccusation &it : record.Accusations) {
      if (Now - it.At >= AccusationRetention)
        continue;
      wire::CrashAccusation *&crash = crashes[{it.At, it.Endpoint}];
      if (!crash) {
        if (crashes.size() > MaxPendingAccusations)
          return out;
        crash = out.add_accusations();
        crash->set_endpoint(it.Endpoint);
        writeTimes(it, Now, *crash);
      }
      crash->add_features(feature);
    }
    if (record.Accusations.empty() || record.ProvenAt == TimePoint())
      continue;
    wire::ProvenFeature &proven = *out.add_cleared();
    proven.set_feature(feature);
    proven.set_age_ms(ageOf(record.ProvenAt, Now));
  }
  return out;
}

wire::CrashNotice makeQuarantineNotice(const FrontState &State, TimePoint Now) {
  wire::CrashNotice out;
  for (const KnownQuarantine &it : listQuarantined(State.Quarantine, Now)) {
    wire::QuarantinedFeature &feature = *out.add_quarantined();
    feature.set_feature(it.Feature);
    feature.set_age_ms(ageOf(it.QuarantinedAt, Now));
    feature.set_left_ms(ageOf(Now, it.Until));
    feature.set_quarantines(it.Quarantines);
  }
  return out;
}

} // namespace sassafras
