/// \file
/// Limit of an organisation over all fronts, their restarts, changes of leader,
/// cuts and late messages. Fronts run their real decisions against a simulated
/// clock and network; one seed determines a run.
#include "front/dispatch.h"
#include "front/fleet_view.h"
#include "front/leader_work.h"
#include "front/quota_loans.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr size_t VoterCount = 3;
constexpr Millis Step{5};
constexpr Millis RunTime{30'000};
/// The leader's lease, and the time until another one is elected.
constexpr Millis Lease{450};
constexpr Millis ElectionTime{750};
/// Requests and faults begin once the fleet has a leader.
constexpr Millis Warmup{3'000};

struct FleetFaults {
  bool HasRestarts = false;      ///< Most fronts, several times in series.
  bool HasCuts = false;          ///< The fleet in two parts.
  bool HasLeaderChanges = false; ///< The leader is killed, again and again.
  /// The voters lose sight of each other from the first request on; the other
  /// fronts see each other.
  bool HasNoLeader = false;
  /// The same now and then, for some seconds, with voters killed and back.
  bool HasLeaderlessTimes = false;
  double LateShare = 0;  ///< Part of the messages that are late.
  double TwiceShare = 0; ///< Part of the messages that arrive twice.
  size_t MaxFaults = 100;
};

struct FleetLoad {
  size_t FrontCount = 9;
  double Rate = 80'000;    ///< Tokens per second; the burst is one second's.
  double DemandFactor = 1; ///< Demand as a multiple of the rate.
  double MeanCost = 1'400;
  /// Part of the requests that come to one of the fronts that are not voters.
  double OneFrontShare = 0;
  /// Part of the run at the beginning without requests, so that everything is
  /// full when they come.
  Millis QuietTime{0};
};

struct FleetRun {
  double MostInWindow = 0;
  uint64_t Requests = 0;
  uint64_t Served = 0;
  size_t Restarts = 0;
  size_t Leaders = 0;
};

QuotaTolerance tolerance() { return {Millis(8'000), 0.1, 17'000}; }

double windowBound(const FleetLoad &Load) {
  return (Load.Rate * 8 + Load.Rate) * 1.1 + 17'000;
}

ServingTablePtr makeTable(const FleetLoad &Load) {
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  table->Services["desk"].Name = "desk";
  ServingRoute route;
  route.Name = "safe";
  route.Host = "h";
  route.PathPrefix = "/safe/";
  route.Kind = RequestKind::Idempotent;
  route.Timeout = Millis(4'000);
  route.Objective = Millis(1'000);
  route.MaxAttempts = 2;
  route.Services = {{"desk", 1}};
  table->Routes.push_back(route);
  OrganisationSpec organisation;
  organisation.Name = "first";
  organisation.Keys = {"key"};
  organisation.RatePerSecond = Load.Rate;
  organisation.Burst = Load.Rate;
  table->Organisations.push_back(organisation);
  indexServingTable(*table);
  return table;
}

struct WaitingRequest {
  FrontRequest Request;
  TimePoint CheckAt;
};

struct SimulatedFront {
  FrontState State;
  GossipState Gossip;
  LeaderState Leader;
  std::deque<WaitingRequest> Waiting;
  TimePoint NextHeartbeat;
  TimePoint NextSweep;
  TimePoint StartsAt; ///< It does not run before.
  bool IsLeading = false;
};

struct Letter {
  TimePoint At;
  size_t To = 0;
  wire::Envelope Message;
};

class QuotaFleet {
public:
  QuotaFleet(const FleetLoad &Load, const FleetFaults &Faults, unsigned Seed)
      : Load(Load), Faults(Faults), Random(Seed), Table(makeTable(Load)),
        Fronts(Load.FrontCount), Part(Load.FrontCount, 0) {
    for (size_t i = 0; i < Fronts.size(); ++i)
      start(i, Start);
    NextFault = Start + Warmup + Load.QuietTime + drawTime(0, 1'000);
    if (Faults.HasNoLeader)
      NextFault = Start + Warmup + Load.QuietTime;
  }

  FleetRun run() {
    TimePoint end = Start + Warmup + Load.QuietTime + RunTime;
    for (Now = Start; Now < end; Now += Step) {
      if (isPast(NextFault, Now))
        inject();
      if (isPast(CutEnd, Now))
        std::fill(Part.begin(), Part.end(), 0);
      updateLeader();
      deliver();
      for (size_t i = 0; i < Fronts.size(); ++i)
        if (isRunning(i))
          tick(i);
      if (Now >= Start + Warmup + Load.QuietTime)
        arrive();
    }
    return Result;
  }

private:
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }
  Millis drawTime(int64_t Least, int64_t Most) {
    return Millis(std::uniform_int_distribution<int64_t>(Least, Most)(Random));
  }
  bool isRunning(size_t I) const { return Now >= Fronts[I]->StartsAt; }

  void start(size_t I, TimePoint At) {
    Fronts[I] = std::make_unique<SimulatedFront>();
    SimulatedFront &front = *Fronts[I];
    front.StartsAt = At;
    FrontState &state = front.State;
    state.Self.set_name("f" + std::to_string(I));
    state.Self.set_address(std::to_string(I));
    state.Self.set_kind(wire::NODE_FRONT);
    state.Self.set_zone("a");
    state.Self.set_is_voter(I < VoterCount);
    state.Self.set_incarnation(++Incarnation * 1'000'000);
    state.StartedAt = At;
    state.LastQuotaRequest = state.Self.incarnation();
    state.Limits.Tolerance = tolerance();
    state.Table = Table;
    for (size_t i = 0; i < VoterCount; ++i)
      front.Gossip.Seeds.push_back(std::to_string(i));
  }

  void kill(size_t I) {
    ++Result.Restarts;
    start(I, Now + drawTime(300, 700));
  }

  void inject() {
    NextFault = Now + drawTime(1'500, 3'500);
    if (++FaultCount > Faults.MaxFaults)
      return;
    if (Faults.HasNoLeader || (Faults.HasLeaderlessTimes && draw() < 0.5)) {
      separateVoters();
      return;
    }
    double choice = draw();
    if (Faults.HasCuts && (choice < 0.4 || !Faults.HasRestarts)) {
      for (int &it : Part)
        it = draw() < 0.5;
      CutEnd = Now + drawTime(1'000, 6'000);
    }
    if (Faults.HasRestarts && (choice >= 0.4 || !Faults.HasCuts))
      for (size_t i = 0; i < Fronts.size(); ++i)
        if (isRunning(i) && draw() < 0.8)
          kill(i);
    if (Faults.HasLeaderChanges && LeaderIndex)
      kill(*LeaderIndex);
  }

  void separateVoters() {
    std::fill(Part.begin(), Part.end(), 0);
    for (size_t i = 1; i < VoterCount; ++i)
      Part[i] = static_cast<int>(i);
    CutEnd = Now + (Faults.HasNoLeader ? RunTime : drawTime(1'000, 6'000));
    if (Faults.HasNoLeader)
      return;
    for (size_t i = 0; i < VoterCount; ++i)
      if (isRunning(i) && draw() < 0.3)
        kill(i);
  }

  bool reachesQuorum(size_t I) const {
    size_t n = 0;
    for (size_t i = 0; i < VoterCount; ++i)
      n += isRunning(i) && Part[i] == Part[I];
    return n > VoterCount / 2;
  }

  /// Exactly one voter with a quorum leads. It stops when its lease has ended;
  /// another one follows after an election.
  void updateLeader() {
    if (LeaderIndex) {
      if (!isRunning(*LeaderIndex) || !Fronts[*LeaderIndex]->IsLeading) {
        LeaderIndex.reset();
      } else if (reachesQuorum(*LeaderIndex)) {
        LastQuorum = Now;
      } else if (Now - LastQuorum > Lease) {
        Fronts[*LeaderIndex]->IsLeading = false;
        Fronts[*LeaderIndex]->State.IsLeading = false;
        LeaderIndex.reset();
      }
    }
    if (LeaderIndex || Now - LastQuorum < ElectionTime)
      return;
    for (size_t i = 0; i < VoterCount && !LeaderIndex; ++i)
      if (isRunning(i) && reachesQuorum(i) &&
          Now - Fronts[i]->StartsAt > ElectionTime)
        LeaderIndex = i;
    if (!LeaderIndex)
      return;
    SimulatedFront &front = *Fronts[*LeaderIndex];
    front.IsLeading = true;
    front.State.IsLeading = true;
    front.NextHeartbeat = TimePoint();
    front.Gossip.NextBroadcast = TimePoint();
    LastQuorum = Now;
    ++Result.Leaders;
    startLeaderTerm(front.Leader, ++Term, Now);
  }

  void send(size_t From, NodeMessages Messages) {
    for (NodeMessage &it : Messages) {
      size_t to = std::stoul(it.Address);
      if (Part[From] != Part[to])
        continue;
      Millis delay =
          draw() < Faults.LateShare ? drawTime(100, 3'000) : drawTime(1, 10);
      it.Message.set_reply_address(std::to_string(From));
      if (Faults.TwiceShare > 0 && draw() < Faults.TwiceShare)
        Letters.push_back({Now + drawTime(1, 600), to, it.Message});
      Letters.push_back({Now + delay, to, std::move(it.Message)});
    }
  }

  void deliver() {
    std::vector<Letter> due;
    std::erase_if(Letters, [&](Letter &it) {
      if (!isPast(it.At, Now))
        return false;
      due.push_back(std::move(it));
      return true;
    });
    for (const Letter &it : due)
      if (isRunning(it.To))
        receive(it.To, it.Message);
  }

  void receive(size_t I, const wire::Envelope &Message) {
    SimulatedFront &front = *Fronts[I];
    NodeMessages out;
    switch (Message.body_case()) {
    case wire::Envelope::kNodeHeartbeat:
      handleNodeHeartbeat(front.State, front.Gossip, front.Leader.Demand,
                          Message.node_heartbeat(), Now, out);
      break;
    case wire::Envelope::kRosterUpdate:
      applyRosterUpdate(front.State, Message.roster_update(), Now);
      break;
    case wire::Envelope::kRateShares:
      if (applyRateShares(front.State, Message.rate_shares(), Now))
        front.NextHeartbeat = TimePoint();
      break;
    case wire::Envelope::kQuotaWish:
      if (auto grant = answer(front, Message.quota_wish())) {
        wire::Envelope answer;
        *answer.mutable_quota_grant() = std::move(*grant);
        out.push_back({Message.reply_address(), std::move(answer)});
      }
      break;
    case wire::Envelope::kQuotaGrant:
      applyQuotaGrant(front.State, Message.quota_grant(), Now);
      for (WaitingRequest &it : front.Waiting)
        it.CheckAt = Now;
      break;
    default:
      break;
    }
    send(I, std::move(out));
  }

  std::optional<wire::QuotaGrant> answer(SimulatedFront &Front,
                                         const wire::QuotaRequest &Wish) {
    if (isLoanRequest(Wish))
      return lendQuota(Front.State, Wish, Now);
    if (!Front.IsLeading)
      return std::nullopt;
    return grantQuota(Front.Leader, Front.State, Wish, Now);
  }

  void tick(size_t I) {
    SimulatedFront &front = *Fronts[I];
    NodeMessages out;
    if (isPast(front.NextHeartbeat, Now)) {
      front.NextHeartbeat = Now + HeartbeatPeriod;
      if (front.IsLeading) {
        wire::NodeHeartbeat own;
        collectOwnDemand(front.State, own, Now);
        recordFrontDemand(front.Leader.Demand, front.State.Self.name(), own,
                          Now);
      }
      sendHeartbeats(front.State, front.Gossip, front.IsLeading, Term, Now,
                     out);
    }
    if (front.IsLeading)
      divideRates(front.Leader, front.State, Now, out);
    if (isPast(front.NextSweep, Now)) {
      front.NextSweep = Now + Millis(1'000);
      expireNodes(front.State.Roster, Now);
    }
    send(I, std::move(out));
    std::deque<WaitingRequest> due;
    due.swap(front.Waiting);
    for (WaitingRequest &it : due)
      if (isPast(it.CheckAt, Now))
        decide(I, std::move(it.Request));
      else
        front.Waiting.push_back(std::move(it));
  }

  void arrive() {
    double perStep = Load.Rate * Load.DemandFactor / Load.MeanCost *
                     std::chrono::duration<double>(Step).count();
    int n = std::poisson_distribution<int>(perStep)(Random);
    for (int i = 0; i < n; ++i) {
      size_t at =
          std::uniform_int_distribution<size_t>(0, Fronts.size() - 1)(Random);
      if (Load.OneFrontShare > 0 && draw() < Load.OneFrontShare)
        at = Fronts.size() - 1;
      if (!isRunning(at))
        continue;
      RequestAttributes attributes;
      attributes.Id = std::to_string(NextNumber);
      attributes.Host = "h";
      attributes.Path = "/safe/x";
      attributes.Key = "key";
      FrontState &state = Fronts[at]->State;
      auto admitted = admitRequest(state, attributes, Now);
      auto &request = std::get<FrontRequest>(admitted);
      request.Number = NextNumber++;
      request.Cost = Load.MeanCost *
                     std::uniform_real_distribution<double>(0.2, 1.8)(Random);
      recordDemand(state.Quotas[request.Organisation],
                   {request.Cost, request.Worth}, Now);
      ++Result.Requests;
      decide(at, std::move(request));
    }
  }

  void decide(size_t I, FrontRequest Request) {
    SimulatedFront &front = *Fronts[I];
    DispatchResult result = decideDispatch(front.State, Request, Now);
    if (result.PoolQuotaRequest)
      requestTokens(I, *result.PoolQuotaRequest);
    if (Request.IsCharged) {
      removeWaitingRequest(front.State, Request);
      recordCharge(Request.Cost);
    } else if (auto *wait = std::get_if<WaitUntil>(&result.Decision)) {
      front.Waiting.push_back({std::move(Request), wait->Until});
    } else {
      removeWaitingRequest(front.State, Request);
    }
  }

  void requestTokens(size_t I, const wire::QuotaRequest &Wish) {
    SimulatedFront &front = *Fronts[I];
    if (front.IsLeading && !isLoanRequest(Wish)) {
      auto grant = grantQuota(front.Leader, front.State, Wish, Now);
      if (grant)
        applyQuotaGrant(front.State, *grant, Now);
      return;
    }
    send(I, makeQuotaMessages(front.State, Wish, Now));
  }

  void recordCharge(double Cost) {
    ++Result.Served;
    Window.emplace_back(Now, Cost);
    Sum += Cost;
    while (Now - Window.front().first > tolerance().Window) {
      Sum -= Window.front().second;
      Window.pop_front();
    }
    Result.MostInWindow = std::max(Result.MostInWindow, Sum);
  }

  FleetLoad Load;
  FleetFaults Faults;
  std::mt19937 Random;
  ServingTablePtr Table;
  std::vector<std::unique_ptr<SimulatedFront>> Fronts;
  std::vector<int> Part; ///< Side of the cut, by front.
  std::vector<Letter> Letters;
  TimePoint Now;
  TimePoint NextFault;
  TimePoint CutEnd;
  TimePoint LastQuorum;
  std::optional<size_t> LeaderIndex;
  size_t FaultCount = 0;
  uint64_t Term = 0;
  uint64_t Incarnation = 0;
  uint64_t NextNumber = 1;
  std::deque<std::pair<TimePoint, double>> Window;
  double Sum = 0;
  FleetRun Result;
};

/// Runs organisations well over their rates, large and small, busy all the time
/// and after a quiet time.
void checkLimitHolds(const FleetFaults &Faults, double OneFrontShare = 0) {
  for (double rate : {4'200.0, 80'000.0})
    for (size_t fronts : {size_t(9), size_t(31)})
      for (int64_t quietMs : {0, 12'000})
        for (unsigned seed = 1; seed <= 4; ++seed) {
          FleetLoad load;
          load.FrontCount = fronts;
          load.Rate = rate;
          load.DemandFactor = 8;
          load.OneFrontShare = OneFrontShare;
          load.QuietTime = Millis(quietMs);
          FleetRun run = QuotaFleet(load, Faults, seed).run();
          INFO("rate " << rate << " fronts " << fronts << " quiet " << quietMs
                       << " seed " << seed << " restarts " << run.Restarts
                       << " leaders " << run.Leaders << " served " << run.Served
                       << " of " << run.Requests);
          CHECK(run.MostInWindow <= windowBound(load));
        }
}

} // namespace

TEST_CASE("quota holds over fronts that restart in series") {
  FleetFaults faults;
  faults.HasRestarts = true;
  checkLimitHolds(faults);
}

TEST_CASE("quota holds while fronts are cut off from the leader") {
  FleetFaults faults;
  faults.HasCuts = true;
  checkLimitHolds(faults);
}

TEST_CASE("quota holds over changes of the leader in series") {
  FleetFaults faults;
  faults.HasLeaderChanges = true;
  checkLimitHolds(faults);
}

TEST_CASE("quota holds with late messages, restarts, cuts and new leaders") {
  FleetFaults faults;
  faults.HasRestarts = true;
  faults.HasCuts = true;
  faults.HasLeaderChanges = true;
  faults.LateShare = 0.05;
  checkLimitHolds(faults);
}

TEST_CASE("quota holds over times without a leader, voters killed and back") {
  FleetFaults faults;
  faults.HasLeaderlessTimes = true;
  faults.HasCuts = true;
  faults.HasRestarts = true;
  checkLimitHolds(faults);
}

TEST_CASE("quota holds without a leader, with late and repeated messages") {
  FleetFaults faults;
  faults.HasLeaderlessTimes = true;
  faults.HasLeaderChanges = true;
  faults.LateShare = 0.1;
  faults.TwiceShare = 0.1;
  checkLimitHolds(faults);
}

// All callers come to one front. The others lend it what they have, also twice
// for one message.
TEST_CASE("quota holds while idle fronts lend to a busy one") {
  FleetFaults faults;
  faults.HasNoLeader = true;
  faults.LateShare = 0.1;
  faults.TwiceShare = 0.3;
  checkLimitHolds(faults, 1);
  faults.HasNoLeader = false;
  faults.HasLeaderlessTimes = true;
  faults.HasCuts = true;
  faults.HasRestarts = true;
  checkLimitHolds(faults, 1);
}

// The callers of an organisation at half its rate come mostly to one front. Its
// part was one of nine while there was no leader, and the others' were unused.
TEST_CASE("organisation within its rate is served while there is no leader") {
  FleetFaults faults;
  faults.HasNoLeader = true;
  for (unsigned seed = 1; seed <= 4; ++seed) {
    FleetLoad load;
    load.DemandFactor = 0.4;
    load.OneFrontShare = 0.8;
    FleetRun run = QuotaFleet(load, faults, seed).run();
    INFO("seed " << seed << " served " << run.Served << " of " << run.Requests);
    CHECK(static_cast<double>(run.Served) >
          0.85 * static_cast<double>(run.Requests));
  }
}

TEST_CASE("organisation within its rate is served beside restarts in series") {
  FleetFaults faults;
  faults.HasRestarts = true;
  faults.MaxFaults = 2;
  for (double rate : {4'200.0, 80'000.0})
    for (unsigned seed = 1; seed <= 6; ++seed) {
      FleetLoad load;
      load.Rate = rate;
      load.DemandFactor = 0.55;
      FleetRun run = QuotaFleet(load, faults, seed).run();
      INFO("rate " << rate << " seed " << seed << " restarts " << run.Restarts
                   << " served " << run.Served << " of " << run.Requests);
      CHECK(static_cast<double>(run.Served) >
            0.9 * static_cast<double>(run.Requests));
    }
}

TEST_CASE("organisation within its rate is served while fronts restart") {
  FleetFaults faults;
  faults.HasRestarts = true;
  for (unsigned seed = 1; seed <= 4; ++seed) {
    FleetLoad load;
    load.DemandFactor = 0.55;
    FleetRun run = QuotaFleet(load, faults, seed).run();
    INFO("seed " << seed << " restarts " << run.Restarts << " served "
                 << run.Served << " of " << run.Requests);
    CHECK(static_cast<double>(run.Served) >
          0.75 * static_cast<double>(run.Requests));
  }
}
