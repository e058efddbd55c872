#include "front/process_proof.h"

namespace sassafras {

namespace {

/// An endpoint states its start without a wait for a slot.
constexpr Millis ProcessQueryTimeout{1'000};
/// The first announcement of another process reaches all fronts within this
/// time, unless it is delayed.
constexpr Millis AnnouncementTime{300};
/// The same where a connection to the endpoint has ended: its next announcement
/// is due after an interval, and is passed on.
constexpr Millis NextAnnouncementTime{1'500};

/// True if an endpoint whose process is not proved must not be used.
bool needsProof(const FrontState &State, const KnownEndpoint &Endpoint) {
  // Endpoints are being replaced by others of another version.
  auto versions = State.Directory.Versions.find(Endpoint.Service);
  bool hasSeveralVersions =
      versions != State.Directory.Versions.end() && versions->second.size() > 1;
  return hasSeveralVersions || mayHaveEnded(State, Endpoint);
}

} // namespace

std::string_view nameOf(ProcessVerdict Verdict) {
  switch (Verdict) {
  case ProcessVerdict::Pending:
    return "pending";
  case ProcessVerdict::Same:
    return "same";
  case ProcessVerdict::Ended:
    return "ended";
  case ProcessVerdict::Unproven:
    return "unproven";
  }
  return "";
}

ProcessClaim makeClaim(const FrontState &State, const std::string &Endpoint,
                       bool IsQueried) {
  ProcessClaim out;
  out.Endpoint = Endpoint;
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return out;
  out.BornMs = known->second.BornMs;
  out.Sequence = known->second.Sequence;
  out.IsQueried = IsQueried;
  return out;
}

void beginProof(const FrontState &State, ProcessClaim &Claim,
                TimePoint ConnectedAt, bool HasWaited, TimePoint Now) {
  auto known = State.Directory.Endpoints.find(Claim.Endpoint);
  bool isInDoubt = known != State.Directory.Endpoints.end() &&
                   needsProof(State, known->second);
  Claim.ConnectedAt = ConnectedAt;
  Claim.HeadAt = Now;
  Claim.QueryDeadline = Now + ProcessQueryTimeout;
  Claim.AnnouncementEnd = Now;
  if (isInDoubt)
    Claim.AnnouncementEnd += NextAnnouncementTime;
  else if (!HasWaited)
    Claim.AnnouncementEnd += AnnouncementTime;
}

ProcessVerdict judgeProcess(const FrontState &State, const ProcessClaim &Claim,
                            const std::optional<ProcessAnswer> &Answer,
                            TimePoint Now) {
  auto known = State.Directory.Endpoints.find(Claim.Endpoint);
  if (known == State.Directory.Endpoints.end())
    return ProcessVerdict::Unproven;
  const KnownEndpoint &it = known->second;
  if (it.BornMs != Claim.BornMs || hasNewerProcess(State.Directory, it))
    return ProcessVerdict::Ended;
  if (Claim.BornMs == 0)
    return ProcessVerdict::Unproven;
  // A full endpoint resets connections above its limit.
  if (Claim.IsQueried && (!Answer || Answer->IsReset))
    return isPast(Claim.QueryDeadline, Now) ? ProcessVerdict::Ended
                                            : ProcessVerdict::Pending;
  if (Answer && (!Answer->IsAnswered || !Answer->IsInstance))
    return ProcessVerdict::Ended;
  // It was known before the request was sent and lives after the head was read.
  if (Answer && Answer->StatedBornMs != 0)
    return Answer->StatedBornMs == Claim.BornMs ? ProcessVerdict::Same
                                                : ProcessVerdict::Ended;
  if (it.Sequence > Claim.Sequence && it.HeardAt > Claim.HeadAt)
    return ProcessVerdict::Same;
  // The process on the connection lived when the announcement was sent.
  if (Claim.ConnectedAt != TimePoint() &&
      Claim.ConnectedAt + AnnouncementAge < it.HeardAt)
    return ProcessVerdict::Same;
  if (!isPast(Claim.AnnouncementEnd, Now))
    return ProcessVerdict::Pending;
  return needsProof(State, it) ? ProcessVerdict::Ended
                               : ProcessVerdict::Unproven;
}

void recordConnectionLoss(FrontState &State, const std::string &Endpoint,
                          TimePoint Now) {
  EndpointRecord &record = State.Records[Endpoint];
  record.ConnectionLostAt = Now;
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return;
  record.MaybeColdSince = Now;
  record.MaybeColdBornMs = known->second.BornMs;
}

void recordLifeSign(FrontState &State, const std::string &Endpoint,
                    TimePoint ConnectedAt, TimePoint Now) {
  auto record = State.Records.find(Endpoint);
  if (record == State.Records.end() || ConnectedAt == TimePoint())
    return;
  TimePoint &lostAt = record->second.ConnectionLostAt;
  if (ConnectedAt < lostAt && lostAt + LastBytesTime < Now)
    lostAt = TimePoint();
  TimePoint &since = record->second.MaybeColdSince;
  if (ConnectedAt < since && since + LastBytesTime < Now)
    since = TimePoint();
}

void recordSameProcess(FrontState &State, const std::string &Endpoint) {
  State.Records[Endpoint].ConnectionLostAt = TimePoint();
}

bool mayHaveEnded(const FrontState &State, const KnownEndpoint &Endpoint) {
  if (hasNewerProcess(State.Directory, Endpoint))
    return true;
  auto record = State.Records.find(Endpoint.Id);
  return record != State.Records.end() &&
         record->second.ConnectionLostAt != TimePoint() &&
         Endpoint.HeardAt <= record->second.ConnectionLostAt;
}

} // namespace sassafras
