#include "bench/site.h"

#include "core/hash.h"
#include "fleet/table.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

constexpr int EngineCount = 20;
constexpr int EntryCount = 4;
constexpr int ModelCount = 100;
constexpr int OrganisationCount = 5;
constexpr uint64_t EngineMemoryMb = 24'000;
constexpr Millis TickPeriod{100};
constexpr Millis LinkDelay{2};
constexpr Millis TokenTime{26};
constexpr Millis ColdLoad{6000};
constexpr Millis CachedLoad{1500};
constexpr Millis AdapterLoad{8};
constexpr int FullSpeedLoads = 4;
/// One organisation sends this many times its rate.
constexpr double OverloadFactor = 4;
constexpr int OverloadedOrganisation = 3;

struct OrganisationSpec {
  std::string Name;
  uint64_t Rate;
  uint64_t Burst;
  uint32_t Weight;
};

const OrganisationSpec Organisations[OrganisationCount] = {
    {"t0", 900, 9000, 8}, {"t1", 600, 6000, 4}, {"t2", 150, 3000, 2},
    {"t3", 150, 3000, 2}, {"t4", 100, 2000, 1},
};

/// One request of the generated arrivals.
struct Arrival {
  TimePoint At;
  int Entry = 0;
  int Organisation = 0;
  std::string Row;
  uint64_t Prompt = 0;
  uint64_t Output = 0;
  Millis LongestWait{0};
};

struct EngineRow {
  uint64_t MemoryMb = 0;
  bool IsLoading = false;
};

struct Engine {
  std::map<std::string, EngineRow> Rows;
  std::set<std::string> Cached;
  std::map<std::string, int> RunningOfRow;
};

struct Outcome {
  bool IsServed = false;
  bool IsRateRefused = false;
  double Wait = 0;
};

class Simulation {
public:
  explicit Simulation(const SimulationOptions &Options);
  SimulationResult run();

private:
  void schedule(Millis Wait, std::function<void()> Action) {
    Queue.emplace(std::make_pair(Now + Wait, Serial++), std::move(Action));
  }
  void transmit(const std::string &From, const std::string &To,
                wire::Envelope Message);
  void step(const ControlEvent &Event);
  void step(int Entry, const EntryEvent &Event);
  void step(const std::string &Agent, const AgentEvent &Event);
  void executeOrder(const std::string &Agent, const SendOrder &Order);
  void simulateResponse(const std::string &Agent, const StartExchange &Start);
  void grantLocally(int Entry, const wire::GrantRequest &Request);
  void tick();
  void reportEndpoints();
  void buildTable();
  void generateArrivals();
  void addSession(TimePoint At, int Organisation, double LoadFactor);
  void addIdleTime();
  SimulationResult computeResult();

  SimulationOptions Options;
  std::mt19937_64 Random;
  TimePoint Start = TimePoint() + std::chrono::hours(1);
  TimePoint Now = Start;
  uint64_t Serial = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> Queue;
  ControlState Control;
  std::vector<EntryState> Entries;
  std::vector<TokenBuckets> LocalBuckets;
  std::map<std::string, AgentState> Agents;
  std::map<std::string, Engine> Engines;
  std::vector<wire::TableRow> Rows;
  std::vector<Arrival> Arrivals;
  std::map<std::string, size_t> ArrivalOf;
  std::vector<Outcome> Outcomes;
  int LoadsInProgress = 0;
  SimulationResult Result;
};

Simulation::Simulation(const SimulationOptions &Options)
    : Options(Options), Random(Options.Seed) {
  ControlOptions control;
  control.Store.LoadsPerSecond = Options.LoadsPerSecond;
  control.Weights.LoadTime = ColdLoad;
  control.Weights.ColdStartPrice = Options.ColdStartPrice;
  if (Options.Policy.IsFixedIdle)
    control.Weights.Shortest = control.Weights.Longest = Millis(600'000);
  Control = makeControl(
      control, makeBlankRaft({"control", 1, "control"}, {"control"}, 1, Now),
      nullptr);
  Entries.resize(EntryCount);
  LocalBuckets.resize(EntryCount);
  for (int i = 0; i < EntryCount; ++i) {
    Entries[i].Options = {"entry-" + std::to_string(i), "zone"};
    Entries[i].View.ControlAddresses = {"control"};
  }
  for (int i = 0; i < EngineCount; ++i) {
    std::string name = "engine-" + std::to_string(i);
    Agents[name].Options = {name, 1, name, "zone", 16, ""};
    Agents[name].View.ControlAddresses = {"control"};
    Engines[name];
  }
  buildTable();
  generateArrivals();
}

void Simulation::buildTable() {
  for (const OrganisationSpec &it : Organisations) {
    wire::TableRow row;
    row.set_kind(wire::ROW_TENANT);
    row.set_name(it.Name);
    row.set_rate(it.Rate);
    row.set_burst(it.Burst);
    row.set_weight(it.Weight);
    Rows.push_back(row);
  }
  for (int i = 0; i < ModelCount + Options.Adapters; ++i) {
    bool isModel = i < ModelCount;
    wire::TableRow row;
    row.set_kind(isModel ? wire::ROW_MODEL : wire::ROW_ADAPTER);
    row.set_name((isModel ? "m" : "a") +
                 std::to_string(isModel ? i : i - ModelCount));
    if (!isModel)
      row.set_base("m" + std::to_string((i - ModelCount) % 30));
    row.set_memory_mb(isModel ? 4000 + 1000 * static_cast<uint64_t>(i % 8)
                              : 200);
    row.set_max_replicas(2);
    row.set_weight(1);
    row.set_longest_wait_ms(i % 3 == 0 ? 120'000 : 30'000);
    row.set_repeatable(true);
    Rows.push_back(row);
  }
}

/// Adds the session of a caller: an initial burst of requests over many
/// entries, then a few more with pauses.
void Simulation::addSession(TimePoint At, int Organisation, double LoadFactor) {
  std::uniform_real_distribution<double> draw(0, 1);
  int total = ModelCount + Options.Adapters;
  // A few rows are requested often, most rarely.
  int rank = static_cast<int>(std::pow(draw(Random), 2.2) * total);
  const wire::TableRow &row =
      Rows[OrganisationCount + static_cast<size_t>(rank * 37 % total)];
  int first = 1 + static_cast<int>(Random() % 4);
  int later = static_cast<int>(Random() % 6);
  if (LoadFactor > 1)
    first = 6;
  TimePoint at = At;
  for (int i = 0; i < first + later; ++i) {
    at += i < first ? Millis(Random() % 400) : Millis(2000 + Random() % 40'000);
    Arrival arrival;
    arrival.At = at;
    arrival.Entry = static_cast<int>(Random() % EntryCount);
    arrival.Organisation = Organisation;
    arrival.Row = row.name();
    arrival.Prompt = 20 + Random() % 200;
    arrival.Output = 20 + Random() % 180;
    arrival.LongestWait = Millis(row.longest_wait_ms());
    Arrivals.push_back(arrival);
  }
}

void Simulation::generateArrivals() {
  for (int organisation = 0; organisation < OrganisationCount; ++organisation) {
    double load = organisation == OverloadedOrganisation ? OverloadFactor : 0.5;
    // A session consists of about 6 requests of 220 tokens.
    double perSecond = load *
                       static_cast<double>(Organisations[organisation].Rate) /
                       (6 * 220.0);
    std::exponential_distribution<double> gap(perSecond);
    double at = gap(Random);
    while (at < static_cast<double>(Options.Length.count())) {
      addSession(Start + std::chrono::seconds(10) +
                     Millis(static_cast<int64_t>(at * 1000)),
                 organisation, load);
      at += gap(Random);
    }
  }
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  Outcomes.resize(Arrivals.size());
}

void Simulation::transmit(const std::string &From, const std::string &To,
                          wire::Envelope Message) {
  Message.set_from(From);
  Message.set_reply_address(From);
  Message.set_incarnation(1);
  schedule(LinkDelay, [this, To, message = std::move(Message)] {
    if (To == "control")
      step(ControlReceived{message});
    else if (To.starts_with("entry-"))
      step(std::stoi(To.substr(6)), EntryReceived{message});
    else
      step(To, AgentReceived{message});
  });
}

void Simulation::step(const ControlEvent &Event) {
  for (ControlEffect &it : stepControl(Control, Event, Now))
    if (auto *message = std::get_if<RaftSend>(&it))
      transmit("control", message->Address, std::move(message->Message));
}

void Simulation::step(int Entry, const EntryEvent &Event) {
  EntryState &state = Entries[static_cast<size_t>(Entry)];
  for (EntryEffect &it : stepEntry(state, Event, Now)) {
    if (auto *message = std::get_if<EntrySend>(&it)) {
      if (Options.Policy.IsLocalBucket && message->Message.has_grant_request())
        grantLocally(Entry, message->Message.grant_request());
      else
        transmit(state.Options.Name, message->Address,
                 std::move(message->Message));
    } else if (auto *head = std::get_if<ResponseHead>(&it)) {
      size_t index = ArrivalOf.at(head->Id);
      std::chrono::duration<double> wait = Now - Arrivals[index].At;
      Outcomes[index].Wait = wait.count();
      Outcomes[index].IsServed = true;
    } else if (auto *cold = std::get_if<ObserveColdStart>(&it)) {
      std::chrono::duration<double> wait = cold->Wait;
      Result.ColdSeconds.push_back(wait.count());
    } else if (auto *refusal = std::get_if<RefusalResponse>(&it)) {
      Outcomes[ArrivalOf.at(refusal->Id)].IsRateRefused =
          refusal->Why.Reason == RefusalReason::RateExceeded;
    }
  }
}

/// Simple quota policy: every entry spends its own part of the rate.
void Simulation::grantLocally(int Entry, const wire::GrantRequest &Request) {
  TokenBuckets &buckets = LocalBuckets[static_cast<size_t>(Entry)];
  wire::Envelope message;
  wire::GrantReply &reply = *message.mutable_grant_reply();
  reply.set_number(Request.number());
  auto rateOf = [](const std::string &Organisation) {
    for (const OrganisationSpec &it : Organisations)
      if (it.Name == Organisation)
        return OrganisationRate{it.Rate / EntryCount, it.Burst / EntryCount};
    return OrganisationRate{};
  };
  for (const wire::GrantReturn &it : Request.returned())
    if (it.grant() != 0)
      returnGrant(buckets, it.tenant(), it.grant(), it.unspent(),
                  rateOf(it.tenant()), Now);
    else
      refundCharge(buckets, it.tenant(), it.unspent(),
                   Now - Millis(it.charged_ago_ms()), rateOf(it.tenant()), Now);
  for (const wire::OrganisationGrantRequest &it : Request.wanted()) {
    auto grant = issueGrant(buckets, it.tenant(), rateOf(it.tenant()),
                            {"e", it.tokens(), it.least()}, Now);
    if (!grant)
      continue;
    wire::Grant &given = *reply.add_grants();
    given.set_id(grant->Id);
    given.set_tenant(it.tenant());
    given.set_tokens(grant->Tokens);
  }
  transmit("control", "entry-" + std::to_string(Entry), std::move(message));
}

void Simulation::step(const std::string &Agent, const AgentEvent &Event) {
  for (AgentEffect &it : stepAgent(Agents[Agent], Event, Now)) {
    if (auto *message = std::get_if<AgentSend>(&it)) {
      if (Options.Policy.IgnoresCaches && message->Message.has_heartbeat())
        message->Message.mutable_heartbeat()->clear_cached_rows();
      transmit(Agent, message->Address, std::move(message->Message));
    } else if (auto *order = std::get_if<SendOrder>(&it)) {
      executeOrder(Agent, *order);
    } else if (auto *start = std::get_if<StartExchange>(&it)) {
      simulateResponse(Agent, *start);
    }
  }
}

void Simulation::executeOrder(const std::string &Agent,
                              const SendOrder &Order) {
  Engine &engine = Engines[Agent];
  if (Order.Kind == OrderKind::Unload) {
    schedule(Millis(50), [this, Agent, Order] {
      Engines[Agent].Rows.erase(Order.Row);
      step(Agent, OrderResult{Order.Row, Order.Fence, true});
    });
    return;
  }
  bool isCached = engine.Cached.contains(Order.Row);
  Millis wait = Order.IsAdapter ? AdapterLoad
                : isCached      ? CachedLoad
                                : ColdLoad;
  bool usesStore = !Order.IsAdapter && !isCached;
  LoadsInProgress += usesStore;
  if (usesStore && LoadsInProgress > FullSpeedLoads)
    wait = wait * LoadsInProgress / FullSpeedLoads;
  engine.Rows[Order.Row] = {Order.MemoryMb, true};
  schedule(wait, [this, Agent, Order, usesStore] {
    LoadsInProgress -= usesStore;
    Engine &held = Engines[Agent];
    held.Rows[Order.Row].IsLoading = false;
    held.Cached.insert(Order.Row);
    step(Agent, OrderResult{Order.Row, Order.Fence, true});
  });
}

void Simulation::simulateResponse(const std::string &Agent,
                                  const StartExchange &Start) {
  const Arrival &arrival = Arrivals[ArrivalOf.at(Start.Key.RequestId)];
  ++Engines[Agent].RunningOfRow[arrival.Row];
  AttemptKey key = Start.Key;
  Millis first = Millis(80) + Millis(arrival.Prompt);
  Millis untilEnd = first + TokenTime * static_cast<int64_t>(arrival.Output);
  std::string body =
      "{\"total_tokens\":" + std::to_string(arrival.Prompt + arrival.Output) +
      "} data: [DONE]";
  schedule(first, [this, Agent, key, body] {
    step(Agent, EndpointHead{key, 200, {}});
    step(Agent, EndpointBody{key, body});
  });
  std::string row = arrival.Row;
  schedule(untilEnd, [this, Agent, key, row] {
    --Engines[Agent].RunningOfRow[row];
    step(Agent, EndpointEnd{key});
  });
}

void Simulation::reportEndpoints() {
  for (auto &[name, engine] : Engines) {
    EndpointReport report;
    report.Incarnation = 1;
    report.MemoryMb = EngineMemoryMb;
    for (const auto &[row, held] : engine.Rows)
      (held.IsLoading ? report.Loading : report.Loaded).insert(row);
    report.Cached = engine.Cached;
    step(name, EndpointAnnounced{report});
  }
  schedule(Millis(500), [this] { reportEndpoints(); });
}

void Simulation::addIdleTime() {
  double hours =
      std::chrono::duration<double, std::ratio<3600>>(TickPeriod).count();
  for (auto &[name, engine] : Engines)
    for (const auto &[row, held] : engine.Rows)
      if (!held.IsLoading && engine.RunningOfRow[row] == 0)
        Result.IdleHours += hours * static_cast<double>(held.MemoryMb) /
                            static_cast<double>(EngineMemoryMb);
}

void Simulation::tick() {
  step(ControlTick{});
  for (int i = 0; i < EntryCount; ++i)
    step(i, EntryTick{});
  for (auto &[name, agent] : Agents)
    step(name, AgentTick{});
  addIdleTime();
  schedule(TickPeriod, [this] { tick(); });
}

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto index =
      static_cast<size_t>(Fraction * static_cast<double>(Values.size()));
  return Values[std::min(index, Values.size() - 1)];
}

SimulationResult Simulation::computeResult() {
  std::string trace;
  for (int organisation = 0; organisation < OrganisationCount; ++organisation) {
    // The ideal is a single bucket for all entries, served first in, first out.
    double level = static_cast<double>(Organisations[organisation].Burst);
    TimePoint last = Start;
    std::vector<double> waits;
    double served = 0;
    double idealTokens = 0;
    uint64_t idealRefusals = 0;
    uint64_t refusals = 0;
    uint64_t withinRate = 0;
    for (size_t i = 0; i < Arrivals.size(); ++i) {
      const Arrival &it = Arrivals[i];
      if (it.Organisation != organisation)
        continue;
      auto rate = static_cast<double>(Organisations[organisation].Rate);
      std::chrono::duration<double> passed = it.At - last;
      level = std::min(static_cast<double>(Organisations[organisation].Burst),
                       level + rate * passed.count());
      last = it.At;
      auto cost = static_cast<double>(it.Prompt + it.Output);
      std::chrono::duration<double> longest = it.LongestWait;
      bool isServedIdeally = level - cost >= -rate * longest.count();
      if (isServedIdeally) {
        level -= cost;
        idealTokens += cost;
      }
      const Outcome &outcome = Outcomes[i];
      if (outcome.IsServed) {
        served += cost;
        waits.push_back(outcome.Wait);
      }
      idealRefusals += !isServedIdeally;
      refusals += outcome.IsRateRefused;
      withinRate += isServedIdeally && outcome.IsRateRefused;
      Result.Served += outcome.IsServed;
      trace += outcome.IsServed ? 's' : outcome.IsRateRefused ? 'r' : 'x';
    }
    // An organisation above its rate may have other requests refused than under
    // the ideal, but not more of them.
    if (idealRefusals > 0)
      withinRate = refusals > idealRefusals ? refusals - idealRefusals : 0;
    Result.WithinRateRefusals += withinRate;
    if (idealTokens > 0)
      Result.WorstShare = std::min(Result.WorstShare, served / idealTokens);
    Result.WorstP95 = std::max(Result.WorstP95, percentile(waits, 0.95));
  }
  Result.Requests = Arrivals.size();
  Result.Checksum = checksumOf(trace);
  return Result;
}

SimulationResult Simulation::run() {
  reportEndpoints();
  tick();
  schedule(Millis(5000), [this] {
    wire::Command edit;
    for (const wire::TableRow &it : Rows)
      *edit.mutable_table_edit()->add_rows() = it;
    wire::Envelope message;
    *message.mutable_proposal()->mutable_command() = edit;
    transmit("operator", "control", message);
    for (const OrganisationSpec &it : Organisations) {
      wire::Envelope grant;
      wire::KeyGrant &key =
          *grant.mutable_proposal()->mutable_command()->mutable_key_grant();
      key.set_key_id(it.Name);
      key.set_key_hash(it.Name);
      key.set_tenant(it.Name);
      transmit("operator", "control", grant);
    }
  });
  for (size_t i = 0; i < Arrivals.size(); ++i)
    Queue.emplace(std::make_pair(Arrivals[i].At, Serial++), [this, i] {
      const Arrival &arrival = Arrivals[i];
      CallerRequest request;
      request.Id = "r" + std::to_string(i);
      request.Method = "POST";
      request.Target = request.Path = "/v1/completions";
      request.Body = request.Id;
      request.KeyHash = Organisations[arrival.Organisation].Name;
      request.Row = arrival.Row;
      request.IsStream = true;
      request.Prompt = arrival.Prompt;
      request.Cost = arrival.Prompt + arrival.Output;
      ArrivalOf[request.Id] = i;
      step(arrival.Entry, CallerArrived{request});
    });
  TimePoint end = Start + Options.Length + std::chrono::seconds(180);
  while (!Queue.empty() && Queue.begin()->first.first <= end) {
    auto next = Queue.begin();
    Now = next->first.first;
    auto action = std::move(next->second);
    Queue.erase(next);
    action();
  }
  return computeResult();
}

} // namespace

SimulationResult runSimulation(const SimulationOptions &Options) {
  return Simulation(Options).run();
}

} // namespace sassafras
