/// \file
/// Decides which features of requests crash endpoints.
///
/// Load pattern: requests with a certain part in their prompt, or one request
/// that is sent again and again, crash each endpoint that begins to answer
/// them. No two may be alike, and sound requests share their key and their
/// other parts. A crash ends many requests at once, so it accuses the features
/// of all requests that had just begun. A feature is quarantined when several
/// separate crashes accuse it and no request with it has run well in between;
/// those crashes then no longer count against features with which requests ran
/// well before. Crashes with other causes accuse different features each time.
#ifndef SASSAFRAS_POLICY_CRASH_QUARANTINE_H
#define SASSAFRAS_POLICY_CRASH_QUARANTINE_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Crashes that quarantine a feature; one with which requests ran well within
/// ProofRetention; and one that was in quarantine before.
inline constexpr size_t CrashLimit = 3;
inline constexpr size_t ProvenCrashLimit = 4;
inline constexpr size_t RepeatedCrashLimit = 1;
/// Endpoints that end within this time of each other, with requests that they
/// answered or queued before, have a common cause, such as the loss of a rack
/// or of a link, and count as one crash.
inline constexpr Millis CrashSeparation{250};
/// Accusations of one crash arrive within this time of each other.
inline constexpr Millis CrashReportTime{1'000};
/// A request that an endpoint has been answering for this long did not crash
/// it.
inline constexpr Millis ProvenRunTime{500};
/// A feature is not accused while a request with it that began this recently
/// ran well.
inline constexpr Millis FreshProof{1'000};
/// How long proofs and accusations are remembered.
inline constexpr Millis ProofRetention{60'000};
inline constexpr Millis AccusationRetention{60'000};
/// While no request of a service runs well, the service has failed as a whole
/// and its crashes accuse nothing.
inline constexpr Millis ServiceProofLifetime{10'000};
/// A quarantine ends by itself, as requests that are refused can not show that
/// they are sound. It is doubled each time until a request runs well.
inline constexpr Millis FirstQuarantine{30'000};
inline constexpr Millis LongestQuarantine{600'000};
/// After a quarantine the fronts release the feature one after another within
/// this time, so that one crash shows all of them that it must begin again.
inline constexpr Millis ReleaseTime{20'000};
/// A front then admits one request with the feature and waits this long for its
/// outcome before it admits the next.
inline constexpr Millis TrialTime{3'000};
/// Limit of features that are remembered at once.
inline constexpr size_t MaxTrackedFeatures = 4'096;

/// What a crash may be due to in a request.
struct RequestFeatures {
  /// Shared parts of its prompt, which other requests have as well.
  std::vector<std::string> Parts; ///< The most general first.
  std::string Digest; ///< Of the whole request; empty if it has none.
};

struct CrashAccusation {
  std::string Endpoint;
  TimePoint At; ///< Time of the crash.
  /// When the endpoint began to answer the request; zero if it had not.
  TimePoint AnsweredAt;
  /// The process that crashed ran then or later; zero when nothing but the
  /// answer shows that.
  TimePoint AliveAfter = {};
};

struct FeatureRecord {
  /// Later than ProvenAt.
  std::vector<CrashAccusation> Accusations;
  /// Start of the latest request with the feature that ran well, at any front;
  /// zero for none.
  TimePoint ProvenAt;
  TimePoint QuarantinedAt;
  TimePoint QuarantinedUntil; ///< Zero when it never was or was disproved.
  /// End of the trial by a request that was sent after a quarantine.
  TimePoint TrialUntil;
  uint32_t Quarantines = 0; ///< Since a request with it last ran well.
  TimePoint UsedAt;
};

/// Plain data; not thread safe. A digest is recorded only once it is accused.
struct CrashQuarantine {
  std::map<std::string, FeatureRecord> Features;    ///< By part or digest.
  std::map<std::string, TimePoint> ServiceProvenAt; ///< By service.
  /// Added to each quarantine by this front; differs between fronts, up to
  /// ReleaseTime.
  Millis ReleaseDelay{0};
};

/// The first of \p Features that is quarantined or on trial, with the end of
/// that, which is later than \p Now. Pure and thread safe.
std::optional<std::pair<std::string, TimePoint>>
findQuarantined(const CrashQuarantine &State, const RequestFeatures &Features,
                TimePoint Now);

/// Records that a request with \p Features is sent to an endpoint, and returns
/// those that it is a trial of. Not thread safe.
std::vector<std::string> beginTrial(CrashQuarantine &State,
                                    const RequestFeatures &Features,
                                    TimePoint Now);

/// Selects those of \p Features that the crash of an endpoint of \p Service
/// accuses, by what this front knows. Call for a request that ran there for
/// less than ProvenRunTime. Pure and thread safe.
std::vector<std::string> selectAccused(const CrashQuarantine &State,
                                       const std::string &Service,
                                       const RequestFeatures &Features,
                                       TimePoint Now);
struct AccusationEffect {
  std::vector<std::string> Counted; ///< Features that the crash counts against.
  std::vector<std::string> Quarantined;
  /// Features that fronts without this front's proof now quarantine, with the
  /// start of the request that ran well here.
  std::map<std::string, TimePoint> Disputed;
};
/// Records that a crash accuses \p Features, all of one request. Not thread
/// safe.
AccusationEffect recordAccusation(CrashQuarantine &State,
                                  const std::vector<std::string> &Features,
                                  const CrashAccusation &Accusation,
                                  TimePoint Now);
struct ProofEffect {
  /// Features that were accused or quarantined, which the other fronts must be
  /// told.
  std::vector<std::string> Cleared;
  std::vector<std::string> Released; ///< No longer in quarantine or on trial.
};
/// Records that a request of this front with \p Features, which an endpoint
/// began to answer at \p BegunAt, ran well. Crashes after that moment still
/// count, as a feature may become harmful at any time. Not thread safe.
ProofEffect recordProof(CrashQuarantine &State, const std::string &Service,
                        const RequestFeatures &Features, TimePoint BegunAt,
                        TimePoint Now);
/// Records the same of a request with \p Feature at another front. True when
/// that releases it. Not thread safe.
bool clearFeature(CrashQuarantine &State, const std::string &Feature,
                  TimePoint BegunAt, TimePoint Now);
/// Effect of a quarantine that another front decided.
enum class QuarantineAdoption {
  Adopted,
  Unchanged, ///< Known already, or over.
  Disproved, ///< A request with the feature ran well after the decision.
};
/// A quarantine as it is told to other fronts.
struct KnownQuarantine {
  std::string Feature;
  TimePoint QuarantinedAt;
  TimePoint Until;
  uint32_t Quarantines = 0;
};
/// Adopts a quarantine that another front decided. Not thread safe.
QuarantineAdoption adoptQuarantine(CrashQuarantine &State,
                                   const KnownQuarantine &Known, TimePoint Now);
/// All quarantines, by feature, without those in their ReleaseTime. Pure and
/// thread safe.
std::vector<KnownQuarantine> listQuarantined(const CrashQuarantine &State,
                                             TimePoint Now);
/// Digest over the features in quarantine; equal at fronts that know the same
/// ones. Pure and thread safe.
uint64_t digestQuarantine(const CrashQuarantine &State, TimePoint Now);
/// Forgets what is older than its retention, and the features that were unused
/// for longest beyond MaxTrackedFeatures. Not thread safe.
void expireFeatures(CrashQuarantine &State, TimePoint Now);

} // namespace sassafras

#endif
