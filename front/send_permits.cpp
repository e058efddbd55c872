#include "front/send_permits.h"

#include "core/hash.h"
#include "core/logging.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr uint64_t PhaseSteps = 1'000;

bool isLeaderReachable(const FrontState &State, TimePoint Now) {
  return hasLeader(State, Now) && isPast(State.Permits.LeaderAskableAt, Now);
}

FrontPlace placeOf(const FrontState &State, const std::string &Endpoint,
                   TimePoint Now) {
  uint64_t draw = checksumOf(State.Self.name() + '/' + Endpoint) % PhaseSteps;
  // Without a leader, fronts out of view may still send.
  return {static_cast<double>(draw) / PhaseSteps,
          std::max(countServingFronts(State, Now),
                   State.Permits.FrontsUnderLeader)};
}

bool isValid(const SendPermit &Permit, TimePoint Now) {
  return isPast(Permit.ValidFrom, Now) && !isPast(Permit.ExpiresAt, Now);
}

/// Gives up the permits for \p Endpoint, also those that are on their way, if
/// it has become cold and takes fewer requests since then.
EndpointPermits &updatePermits(FrontState &State, const KnownEndpoint &Endpoint,
                               TimePoint Now) {
  EndpointPermits &out = State.Permits.Endpoints[Endpoint.Id];
  auto cold = coldLimitOf(State, Endpoint, Now);
  auto stated = statedLimitOf(State, Endpoint);
  bool isColdPaced = cold && (!stated || *cold < *stated);
  if (isColdPaced && !out.IsColdPaced) {
    out.LastWarmNumber = State.Permits.LastNumber;
    if (!out.Held.empty())
      logEvent(LogLevel::Info, "permits_given_up",
               {{"endpoint", Endpoint.Id},
                {"count", std::to_string(out.Held.size())},
                {"cold_requests_per_s", std::to_string(*cold)}});
    out.Held.clear();
  }
  out.IsColdPaced = isColdPaced;
  return out;
}

} // namespace

bool holdsPermit(const FrontState &State, const std::string &Endpoint,
                 TimePoint Now) {
  auto it = State.Permits.Endpoints.find(Endpoint);
  return it != State.Permits.Endpoints.end() &&
         std::any_of(
             it->second.Held.begin(), it->second.Held.end(),
             [&](const SendPermit &Held) { return isValid(Held, Now); });
}

SendPermission checkPermission(FrontState &State, const KnownEndpoint &Endpoint,
                               TimePoint Now) {
  auto limit = requestLimitOf(State, Endpoint, Now);
  if (!limit)
    return SendPermission::Open;
  EndpointPermits &permits = updatePermits(State, Endpoint, Now);
  if (holdsPermit(State, Endpoint.Id, Now))
    return SendPermission::Open;
  if (isLeaderReachable(State, Now)) {
    permits.Leaderless = {};
    return isPast(permits.ClosedUntil, Now) ? SendPermission::Asking
                                            : SendPermission::Closed;
  }
  // A front that has just started does not know who else uses the limit.
  if (!knowsFrontCount(State, Now) && State.Permits.FrontsUnderLeader == 0)
    return SendPermission::Closed;
  Millis lifetime = coldLimitOf(State, Endpoint, Now) ? ColdSlotLifetime
                                                      : LeaderlessSlotLifetime;
  TimePoint slot =
      nextLeaderlessSlot(permits.Leaderless, *limit,
                         placeOf(State, Endpoint.Id, Now), lifetime, Now);
  return isPast(slot, Now) ? SendPermission::Open : SendPermission::Closed;
}

Millis timeUntilPermission(const FrontState &State, const std::string &Endpoint,
                           TimePoint Now) {
  auto it = State.Permits.Endpoints.find(Endpoint);
  if (it == State.Permits.Endpoints.end())
    return Millis(0);
  TimePoint at = isLeaderReachable(State, Now) ? it->second.ClosedUntil
                                               : it->second.Leaderless.NextSlot;
  return Millis(toMillis(at - Now));
}

void takePermit(FrontState &State, const std::string &Endpoint, TimePoint Now) {
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return;
  auto limit = requestLimitOf(State, known->second, Now);
  if (!limit)
    return;
  EndpointPermits &permits = updatePermits(State, known->second, Now);
  auto held = std::find_if(
      permits.Held.begin(), permits.Held.end(),
      [&](const SendPermit &Permit) { return isValid(Permit, Now); });
  if (held != permits.Held.end())
    permits.Held.erase(held);
  else if (!isLeaderReachable(State, Now))
    takeLeaderlessSlot(permits.Leaderless, *limit,
                       placeOf(State, Endpoint, Now));
}

std::optional<wire::SendPermitRequest>
requestPermits(FrontState &State,
               const std::vector<const KnownEndpoint *> &Endpoints,
               size_t Count, TimePoint Latest, TimePoint Now) {
  SendPermits &all = State.Permits;
  size_t held = 0;
  for (const KnownEndpoint *it : Endpoints) {
    const EndpointPermits &permits = updatePermits(State, *it, Now);
    if (permits.AskedWith != 0)
      return std::nullopt;
    held += permits.Held.size();
  }
  if (held >= Count)
    return std::nullopt;
  wire::SendPermitRequest out;
  out.set_number(++all.LastNumber);
  for (const KnownEndpoint *it : Endpoints) {
    all.Endpoints[it->Id].AskedWith = out.number();
    wire::EndpointStatement &statement = *out.add_endpoints();
    statement.set_endpoint(it->Id);
    statement.set_born_ms(it->BornMs);
    statement.set_has_limit(true);
    statement.set_requests_per_s(requestLimitOf(State, *it, Now).value_or(0));
  }
  out.set_count(static_cast<uint32_t>(
      std::min<size_t>(Count - held, MaxPermitsPerRequest)));
  out.set_horizon_ms(static_cast<uint32_t>(toMillis(Latest - Now)));
  all.Unanswered[out.number()] = Now;
  return out;
}

void applyPermits(FrontState &State, const wire::SendPermitReply &Reply,
                  TimePoint Now) {
  SendPermits &all = State.Permits;
  if (Reply.term() < all.Term)
    return;
  // The slots of two leaders may coincide.
  if (Reply.term() > all.Term)
    for (auto &[id, it] : all.Endpoints)
      it.Held.clear();
  all.Term = Reply.term();
  all.FrontsUnderLeader = countFronts(State, Now);
  bool isAwaited = all.Unanswered.erase(Reply.number()) > 0;
  TimePoint closedUntil = Now + Millis(Reply.wait_ms());
  for (auto &[id, it] : all.Endpoints) {
    if (it.AskedWith != Reply.number() || !isAwaited)
      continue;
    it.AskedWith = 0;
    if (Reply.permits().empty())
      it.ClosedUntil = closedUntil;
  }
  if (!isAwaited)
    return;
  for (const wire::SendPermit &it : Reply.permits()) {
    TimePoint from = Now + Millis(it.in_ms());
    auto known = State.Directory.Endpoints.find(it.endpoint());
    if (known != State.Directory.Endpoints.end() &&
        Reply.number() <=
            updatePermits(State, known->second, Now).LastWarmNumber)
      continue;
    all.Endpoints[it.endpoint()].Held.push_back({from, from + PermitLifetime});
  }
}

bool hasNewPermit(FrontState &State, TimePoint Now) {
  bool isNew = false;
  for (auto &[id, it] : State.Permits.Endpoints)
    for (SendPermit &permit : it.Held) {
      isNew = isNew || (!permit.IsSeen && isValid(permit, Now));
      permit.IsSeen = permit.IsSeen || isValid(permit, Now);
    }
  return isNew;
}

size_t expirePermits(FrontState &State, TimePoint Now) {
  SendPermits &all = State.Permits;
  size_t unused = 0;
  for (auto &[id, it] : all.Endpoints)
    unused += std::erase_if(it.Held, [&](const SendPermit &Permit) {
      return isPast(Permit.ExpiresAt, Now);
    });
  for (auto it = all.Unanswered.begin(); it != all.Unanswered.end();) {
    if (Now - it->second < PermitRequestTimeout) {
      ++it;
      continue;
    }
    for (auto &[id, permits] : all.Endpoints)
      if (permits.AskedWith == it->first)
        permits.AskedWith = 0;
    all.LeaderAskableAt = Now + PermitBackoff;
    logEvent(
        LogLevel::Warning, "permit_request_unanswered",
        {{"leader", State.Leader.Node}, {"number", std::to_string(it->first)}});
    it = all.Unanswered.erase(it);
  }
  std::erase_if(all.Endpoints, [&](const auto &it) {
    auto known = State.Directory.Endpoints.find(it.first);
    bool isLimited = known != State.Directory.Endpoints.end() &&
                     requestLimitOf(State, known->second, Now);
    return !State.Statements.contains(it.first) && !isLimited &&
           it.second.Held.empty();
  });
  return unused;
}

} // namespace sassafras
