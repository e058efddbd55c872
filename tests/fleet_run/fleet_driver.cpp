#include "tests/fleet_run/fleet_driver.h"

#include "agent/agent_parts.h"
#include "core/hash.h"
#include "core/timing.h"
#include "fleet/table.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{25};
constexpr Millis AnnouncePeriod{200};
constexpr uint64_t EngineMemoryMb = 1000;
/// Upper bounds from the stated targets.
constexpr Millis WithdrawBound{5000};
constexpr Millis LeaveBound{5000};
constexpr const char *OperatorName = "operator";

std::string nodeName(const char *Kind, int Number) {
  return std::string(Kind) + "-" + std::to_string(Number);
}

/// Returns the tokens that the response uses, at most those charged for it.
uint64_t tokensUsedBy(const CallerRequest &Request) {
  return Request.Cost == 0 ? 0 : checksumOf(Request.Body) % Request.Cost + 1;
}

std::string responseTo(const CallerRequest &Request) {
  return "answer to " + Request.Body +
         " {\"total_tokens\":" + std::to_string(tokensUsedBy(Request)) + "}";
}

} // namespace

std::vector<wire::TableRow> testTableRows() {
  const char *csv = "kind,name,base,memory_mb,max_replicas,weight,rate,burst,"
                    "longest_wait_s,path,repeatable,repeat_window_s\n"
                    "organisation,alpha,,,,2,100,400,,,,\n"
                    "organisation,beta,,,,1,50,200,,,,\n"
                    "model,m1,,400,2,1,,,8,,,\n"
                    "model,m2,,500,1,1,,,8,,,\n"
                    "model,m3,,700,1,2,,,8,,,\n"
                    "adapter,a1,m1,100,2,1,,,8,,,\n"
                    "service,pay,,,,1,,,6,/pay,no,3600\n";
  TableProblem problem;
  return *parseTable(csv, problem);
}

FleetDriver::FleetDriver(RunOptions Options)
    : Options(Options), Random(Options.Seed),
      Now(TimePoint() + std::chrono::hours(1)) {
  std::vector<std::string> seeds{"control-1", "control-2", "control-3"};
  for (const std::string &it : seeds) {
    ControlNode &node = Controls[it];
    node.Name = it;
    node.Disk.Identity = Random();
    startControl(node);
  }
  for (int i = 1; i <= Options.Entries; ++i) {
    std::string name = nodeName("entry", i);
    Entries[name].Name = name;
    Processes[name] = {};
    restart(name);
  }
  for (int i = 1; i <= Options.Engines + 1; ++i) {
    std::string name = nodeName("engine", i);
    Agents[name].Name = name;
    Agents[name].IsService = i > Options.Engines;
    Processes[name] = {};
    restart(name);
    announce(name);
  }
  for (const auto &[name, process] : Processes)
    tick(name);
}

bool FleetDriver::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

Millis FleetDriver::randomMillis(int64_t Min, int64_t Max) {
  return Millis(std::uniform_int_distribution<int64_t>(Min, Max)(Random));
}

void FleetDriver::after(Millis Delay, std::function<void()> Action) {
  Queue.emplace(Now + Delay, std::move(Action));
}

void FleetDriver::run(Millis Duration) {
  TimePoint end = Now + Duration;
  while (Violation.empty() && !Queue.empty() && Queue.begin()->first <= end) {
    auto next = Queue.begin();
    Now = next->first;
    auto action = std::move(next->second);
    Queue.erase(next);
    action();
  }
  Now = end;
}

void FleetDriver::fail(const std::string &What) {
  if (Violation.empty())
    Violation =
        What + " at simulated time (ms) " +
        std::to_string(toMillis(Now - TimePoint() - std::chrono::hours(1)));
}

// ---- Processes ----

void FleetDriver::whenAwake(const std::string &Node,
                            std::function<void()> Action) {
  ProcessState &process = Processes[Node];
  if (!process.IsUp)
    return;
  process.Inbox.push_back(std::move(Action));
  drainInbox(Node);
}

/// Executes in order what a process received while it was frozen.
void FleetDriver::drainInbox(const std::string &Node) {
  ProcessState &process = Processes[Node];
  while (process.IsUp && process.FrozenUntil <= Now && !process.Inbox.empty()) {
    auto action = std::move(process.Inbox.front());
    process.Inbox.pop_front();
    action();
  }
}

void FleetDriver::startControl(ControlNode &Node) {
  RaftSelf self{Node.Name, Node.Disk.Identity, Node.Name};
  std::vector<std::string> seeds{"control-1", "control-2", "control-3"};
  RaftState raft =
      Node.Disk.IsBlank
          ? makeBlankRaft(self, seeds, Random(), Now)
          : restoreRaft(self, seeds, Node.Disk.Snapshot, Node.Disk.HardState,
                        Node.Disk.Entries, Random(), Now);
  ControlOptions options;
  options.Weights.LoadTime = Millis(500);
  options.Weights.Shortest = Millis(1000);
  options.SnapshotEntries = 40;
  Node.State = makeControl(options, std::move(raft),
                           Node.Disk.IsBlank ? nullptr : &Node.Disk.Snapshot);
  Processes[Node.Name].IsUp = true;
}

void FleetDriver::kill(const std::string &Node) {
  Processes[Node].IsUp = false;
  Processes[Node].FrozenUntil = TimePoint();
  Processes[Node].Inbox.clear();
  for (auto &[id, caller] : Callers)
    if (caller.Entry == Node && caller.OutcomeCount == 0)
      caller.IsLost = true;
}

void FleetDriver::restart(const std::string &Node) {
  ProcessState &process = Processes[Node];
  process.IsUp = true;
  ++process.Incarnation;
  NewestView.erase(Node);
  std::vector<std::string> controls{"control-1", "control-2", "control-3"};
  if (Controls.contains(Node)) {
    startControl(Controls[Node]);
  } else if (Entries.contains(Node)) {
    EntryState &state = Entries[Node].State = EntryState();
    state.Options = {Node, "zone"};
    state.View.ControlAddresses = controls;
    state.View.NextNumber = process.Incarnation << 32;
    state.Tokens.NextNumber = process.Incarnation << 32;
  } else {
    AgentState &state = Agents[Node].State = AgentState();
    state.Options = {Node, process.Incarnation,
                     Node, "zone",
                     4,    Agents[Node].IsService ? "pay" : ""};
    state.View.ControlAddresses = controls;
    state.View.NextNumber = process.Incarnation << 32;
  }
}

void FleetDriver::loseDisk(const std::string &Node) {
  Controls[Node].Disk = FakeDisk();
  Controls[Node].Disk.Identity = Random();
}

void FleetDriver::freeze(const std::string &Node, Millis Duration) {
  TimePoint &until = Processes[Node].FrozenUntil;
  until = std::max(until, Now + Duration);
}

void FleetDriver::cutLink(const std::string &From, const std::string &To,
                          Millis Duration) {
  CutLinks[{From, To}] = Now + Duration;
}

void FleetDriver::isolate(const std::string &Node, Millis Duration) {
  for (const auto &[name, process] : Processes) {
    cutLink(Node, name, Duration);
    cutLink(name, Node, Duration);
  }
}

void FleetDriver::crashEngine(const std::string &Node, Millis DownTime) {
  FakeEngine &engine = Agents[Node].Engine;
  engine.IsUp = false;
  engine.Rows.clear();
  engine.NewestFence = 0;
  ++engine.Incarnation;
  whenAwake(Node, [this, Node] { stepOf(Agents[Node], EndpointGone{}); });
  after(DownTime, [this, Node] { Agents[Node].Engine.IsUp = true; });
}

void FleetDriver::startLeaving(const std::string &Node) {
  Agents[Node].Engine.IsLeaving = true;
  LeavingSince[Node] = Now;
}

void FleetDriver::tick(const std::string &Node) {
  after(TickPeriod, [this, Node] { tick(Node); });
  drainInbox(Node);
  bool isAwake = Processes[Node].IsUp && Processes[Node].FrozenUntil <= Now;
  if (!isAwake)
    return;
  if (Controls.contains(Node))
    stepOf(Controls[Node], ControlTick{});
  else if (Entries.contains(Node))
    stepOf(Entries[Node], EntryTick{});
  else
    stepOf(Agents[Node], AgentTick{});
}

// ---- Network ----

bool FleetDriver::isReachable(const std::string &From,
                              const std::string &To) const {
  auto it = CutLinks.find({From, To});
  return it == CutLinks.end() || it->second <= Now;
}

void FleetDriver::transmit(const std::string &From, const std::string &To,
                           wire::Envelope Message) {
  Message.set_from(From);
  Message.set_reply_address(From);
  uint64_t incarnation =
      Processes.contains(From) ? Processes[From].Incarnation : 1;
  Message.set_incarnation(incarnation);
  int copies = !IsNetworkReliable && chance(Options.LossProbability) ? 0 : 1;
  copies += !IsNetworkReliable && chance(Options.DuplicationProbability);
  for (int i = 0; i < copies; ++i) {
    // A few messages are delayed by up to 4 s.
    Millis delay = !IsNetworkReliable && chance(0.003)
                       ? randomMillis(100, 4000)
                       : randomMillis(0, Options.MaxDelay.count());
    after(delay, [this, From, To, Message] { deliver(To, From, Message); });
  }
}

void FleetDriver::deliver(const std::string &To, const std::string &From,
                          wire::Envelope Message) {
  if (!isReachable(From, To))
    return;
  if (To == OperatorName) {
    handleOperatorReply(Message);
    return;
  }
  whenAwake(
      To, [this, To, message = std::move(Message)] { dispatch(To, message); });
}

void FleetDriver::dispatch(const std::string &Node,
                           const wire::Envelope &Message) {
  if (Controls.contains(Node))
    stepOf(Controls[Node], ControlReceived{Message});
  else if (Entries.contains(Node))
    stepOf(Entries[Node], EntryReceived{Message});
  else
    stepOf(Agents[Node], AgentReceived{Message});
}

// ---- Control ----

void FleetDriver::persist(FakeDisk &Disk, const ControlEffect &Effect) {
  if (const auto *snapshot = std::get_if<PersistSnapshot>(&Effect)) {
    Disk.IsBlank = false;
    Disk.Snapshot = snapshot->Snapshot;
    Disk.HardState = snapshot->HardState;
    Disk.Entries = snapshot->Entries;
    return;
  }
  const auto *record = std::get_if<PersistRecord>(&Effect);
  if (!record)
    return;
  if (record->Record.has_hard_state()) {
    Disk.HardState = record->Record.hard_state();
    return;
  }
  uint64_t first = Disk.Snapshot.index() + 1;
  const wire::LogEntry &entry = record->Record.entry();
  if (entry.index() < first)
    return;
  Disk.Entries.resize(entry.index() - first);
  Disk.Entries.push_back(entry);
}

void FleetDriver::stepOf(ControlNode &Node, const ControlEvent &Event) {
  ++StepCount;
  // A control member can crash between any two effects.
  bool isCrashing = !IsNetworkReliable && chance(0.00005);
  auto effects = stepControl(Node.State, Event, Now);
  updateNewestState(Node);
  for (ControlEffect &it : effects) {
    if (isCrashing && chance(0.3)) {
      kill(Node.Name);
      std::string name = Node.Name;
      after(randomMillis(100, 3000), [this, name] { restart(name); });
      return;
    }
    persist(Node.Disk, it);
    if (auto *message = std::get_if<RaftSend>(&it))
      transmit(Node.Name, message->Address, std::move(message->Message));
  }
  checkReplication(Node);
  check();
}

ControlNode *FleetDriver::leader() {
  for (auto &[name, node] : Controls)
    if (Processes[name].IsUp && Processes[name].FrozenUntil <= Now &&
        canPropose(node.State.Raft, Now))
      return &node;
  return nullptr;
}

const FleetState &FleetDriver::newestFleet() const { return NewestState; }

void FleetDriver::updateNewestState(const ControlNode &Node) {
  const FleetState &fleet = Node.State.Fleet;
  while (NewestState.Version < fleet.Version) {
    uint64_t index = NewestState.Version + 1;
    if (index <= Node.State.Raft.SnapshotIndex) {
      NewestState = fleet;
      return;
    }
    applyCommand(NewestState, entryAt(Node.State.Raft, index).command(), index);
  }
}

void FleetDriver::propose(const std::string &OperationId,
                          wire::Command Command) {
  Command.set_operation_id(OperationId);
  PendingOperations[OperationId] = Command;
  resend(OperationId);
}

void FleetDriver::resend(const std::string &OperationId) {
  auto pending = PendingOperations.find(OperationId);
  if (pending == PendingOperations.end())
    return;
  wire::Envelope message;
  message.mutable_proposal()->set_request_id(OperationId);
  *message.mutable_proposal()->mutable_command() = pending->second;
  for (const auto &[name, node] : Controls)
    transmit(OperatorName, name, message);
  after(Millis(400), [this, OperationId] { resend(OperationId); });
}

void FleetDriver::handleOperatorReply(const wire::Envelope &Message) {
  const wire::ProposalReply &reply = Message.proposal_reply();
  bool isRetryable = reply.status() == wire::PROPOSAL_NOT_LEADER ||
                     reply.status() == wire::PROPOSAL_OVERLOADED;
  auto it = PendingOperations.find(reply.request_id());
  if (isRetryable)
    return;
  auto known = OperationReplies.find(reply.request_id());
  if (known != OperationReplies.end()) {
    // A resent operation must get the same reply as the first one.
    if (known->second.status() != reply.status() ||
        known->second.version() != reply.version())
      fail("operation " + reply.request_id() + " got two different replies");
    return;
  }
  if (it == PendingOperations.end())
    return;
  OperationReplies[reply.request_id()] = reply;
  RepliedAt[reply.request_id()] = Now;
  if (it->second.has_key_withdraw() &&
      reply.status() == wire::PROPOSAL_ACCEPTED)
    WithdrawnAt[it->second.key_withdraw().key_id()] = Now;
  PendingOperations.erase(it);
}

void FleetDriver::putTable(const std::string &OperationId, uint64_t Base,
                           const std::vector<wire::TableRow> &Rows) {
  wire::Command command;
  command.mutable_table_edit()->set_base_version(Base);
  for (const wire::TableRow &it : Rows)
    *command.mutable_table_edit()->add_rows() = it;
  propose(OperationId, std::move(command));
}

void FleetDriver::grantKey(const std::string &Id,
                           const std::string &Organisation) {
  wire::Command command;
  command.mutable_key_grant()->set_key_id(Id);
  command.mutable_key_grant()->set_key_hash("hash of " + Id);
  command.mutable_key_grant()->set_tenant(Organisation);
  propose("grant " + Id, std::move(command));
}

void FleetDriver::withdrawKey(const std::string &Id) {
  wire::Command command;
  command.mutable_key_withdraw()->set_key_id(Id);
  propose("withdraw " + Id, std::move(command));
}

// ---- Entries and callers ----

std::string FleetDriver::send(const std::string &Entry,
                              const std::string &KeyId, const std::string &Row,
                              const std::string &Body, uint64_t Cost) {
  CallerRecord record;
  record.Request.Id = Entry + "-" + std::to_string(++Serial);
  record.Request.Method = "POST";
  record.Request.Target = Row.empty() ? "/pay" : "/v1/completions";
  record.Request.Path = record.Request.Target;
  record.Request.Body = Body;
  record.Request.KeyHash = "hash of " + KeyId;
  record.Request.Row = Row;
  record.Request.Cost = Cost;
  record.KeyId = KeyId;
  record.Organisation = KeyId.substr(0, KeyId.find(':'));
  record.Entry = Entry;
  record.Sent = Now;
  record.IsRepeatable = !Row.empty();
  std::string id = record.Request.Id;
  CallerRequest request = record.Request;
  Callers[id] = std::move(record);
  if (!Processes[Entry].IsUp) {
    Callers[id].IsLost = true;
    return id;
  }
  whenAwake(Entry, [this, Entry, request] {
    stepOf(Entries[Entry], CallerArrived{request});
  });
  return id;
}

void FleetDriver::sendCharge(const std::string &Entry, const std::string &KeyId,
                             const std::string &Body) {
  send(Entry, KeyId, "", Body, 0);
}

void FleetDriver::finish(const std::string &Id) {
  if (++Callers[Id].OutcomeCount > 1)
    fail("request " + Id + " has more than one outcome");
}

void FleetDriver::stepOf(EntryNode &Node, const EntryEvent &Event) {
  ++StepCount;
  auto effects = stepEntry(Node.State, Event, Now);
  for (EntryEffect &it : effects) {
    if (auto *message = std::get_if<EntrySend>(&it)) {
      transmit(Node.Name, message->Address, std::move(message->Message));
    } else if (auto *head = std::get_if<ResponseHead>(&it)) {
      Callers[head->Id].HasHead = true;
    } else if (auto *body = std::get_if<ResponseBody>(&it)) {
      Callers[body->Id].ReceivedBody += body->Bytes;
    } else if (auto *end = std::get_if<ResponseEnd>(&it)) {
      finish(end->Id);
      CallerRecord &caller = Callers[end->Id];
      caller.HasResponse = true;
      for (TokenCharge &charge : TokenCharges)
        if (charge.Request == end->Id)
          charge.Tokens = static_cast<double>(tokensUsedBy(caller.Request));
      if (caller.ReceivedBody != responseTo(caller.Request))
        fail("request " + end->Id +
             " got a wrong response body: " + caller.ReceivedBody);
    } else if (auto *refusal = std::get_if<RefusalResponse>(&it)) {
      finish(refusal->Id);
      CallerRecord &caller = Callers[refusal->Id];
      caller.ReceivedRefusal = refusal->Why;
      if (refusal->Why.Ran == RanState::NotRun && caller.Runs > 0)
        fail("request " + refusal->Id + " ran but was refused as not run");
    } else if (auto *broken = std::get_if<ResponseAbort>(&it)) {
      finish(broken->Id);
    }
  }
  checkEntry(Node);
  if (std::holds_alternative<EntryTick>(Event))
    checkWaiting(Node);
  check();
}

// ---- Agents and engines ----

void FleetDriver::announce(const std::string &Node) {
  after(AnnouncePeriod + randomMillis(0, 50), [this, Node] { announce(Node); });
  AgentNode &node = Agents[Node];
  if (!node.Engine.IsUp)
    return;
  EndpointReport report;
  report.Incarnation = node.Engine.Incarnation;
  report.MemoryMb = EngineMemoryMb;
  report.IsLeaving = node.Engine.IsLeaving;
  for (const auto &[name, row] : node.Engine.Rows)
    (row.IsLoading ? report.Loading : report.Loaded).insert(name);
  // Reports arrive delayed.
  after(randomMillis(0, 300), [this, Node, report] {
    if (Agents[Node].Engine.Incarnation == report.Incarnation)
      whenAwake(Node, [this, Node, report] {
        if (Agents[Node].Engine.Incarnation == report.Incarnation)
          stepOf(Agents[Node], EndpointAnnounced{report});
      });
  });
}

void FleetDriver::stepOf(AgentNode &Node, const AgentEvent &Event) {
  ++StepCount;
  auto effects = stepAgent(Node.State, Event, Now);
  for (AgentEffect &it : effects)
    perform(Node, it);
  check();
}

void FleetDriver::perform(AgentNode &Node, AgentEffect &Effect) {
  if (auto *message = std::get_if<AgentSend>(&Effect))
    transmit(Node.Name, message->Address, std::move(message->Message));
  else if (auto *start = std::get_if<StartExchange>(&Effect))
    startEngineRun(Node, *start);
  else if (auto *order = std::get_if<SendOrder>(&Effect))
    executeOrder(Node, *order);
}

void FleetDriver::startEngineRun(AgentNode &Node, const StartExchange &Start) {
  std::string name = Node.Name;
  AttemptKey key = Start.Key;
  if (!Node.Engine.IsUp) {
    after(Millis(1), [this, name, key] {
      whenAwake(name, [this, name, key] {
        stepOf(Agents[name], ExchangeFailed{key, false});
      });
    });
    return;
  }
  // A restarted engine responds with 404 until its agent knows the new
  // incarnation.
  bool isUnknownIncarnation =
      Node.State.Endpoint.Incarnation != Node.Engine.Incarnation;
  if (isUnknownIncarnation && !Node.IsService) {
    after(Millis(1), [this, name, key] {
      whenAwake(name, [this, name, key] {
        stepOf(Agents[name], EndpointHead{key, 404, {}});
      });
    });
    return;
  }
  CallerRecord &caller = Callers[key.RequestId];
  ++caller.Runs;
  if (!caller.IsRepeatable &&
      ++RunsByBody[caller.Organisation + " " + caller.Request.Body] > 1)
    fail("request that must not repeat ran twice: " + caller.Request.Body);
  auto withdrawn = WithdrawnAt.find(caller.KeyId);
  if (withdrawn != WithdrawnAt.end() && Now - withdrawn->second > WithdrawBound)
    fail("request ran more than 5 s after its key was withdrawn");
  auto left = LeavingSince.find(Node.Name);
  if (left != LeavingSince.end() && Now - left->second > LeaveBound)
    fail("request ran on an endpoint more than 5 s after it began to leave");
  if (!Node.IsService && !Node.Engine.Rows.contains(Start.Request.row()))
    fail("request reached an engine that does not hold its row");
  uint64_t engine = Node.Engine.Incarnation;
  uint64_t agent = Processes[name].Incarnation;
  std::string response = responseTo(caller.Request);
  auto pass = [this, name, engine, agent](const AgentEvent &Event) {
    whenAwake(name, [this, name, engine, agent, Event] {
      if (Processes[name].Incarnation != agent)
        return;
      bool isSame = Agents[name].Engine.Incarnation == engine;
      if (isSame)
        stepOf(Agents[name], Event);
    });
  };
  Millis first = randomMillis(10, 300);
  size_t half = response.size() / 2;
  after(first, [pass, key] { pass(EndpointHead{key, 200, {}}); });
  if (chance(FailureProbability)) {
    after(first + Millis(5), [pass, key] { pass(ExchangeFailed{key, true}); });
    return;
  }
  after(first + Millis(5), [pass, key, response, half] {
    pass(EndpointBody{key, response.substr(0, half)});
  });
  after(first + Millis(9), [pass, key, response, half] {
    pass(EndpointBody{key, response.substr(half)});
  });
  after(first + Millis(10), [pass, key] { pass(EndpointEnd{key}); });
}

void FleetDriver::executeOrder(AgentNode &Node, const SendOrder &Order) {
  std::string name = Node.Name;
  uint64_t engine = Node.Engine.Incarnation;
  uint64_t agent = Processes[name].Incarnation;
  auto sendReply = [this, name, engine, agent, Order](bool IsSuccess) {
    // The reply to an order can be lost with its connection.
    bool isAnswered = !chance(FailureProbability);
    whenAwake(name, [=, this] {
      if (Processes[name].Incarnation == agent &&
          Agents[name].Engine.Incarnation == engine)
        stepOf(Agents[name], OrderResult{Order.Row, Order.Fence,
                                         IsSuccess && isAnswered, isAnswered});
    });
  };
  after(randomMillis(0, 5), [this, name, engine, Order, sendReply] {
    FakeEngine &target = Agents[name].Engine;
    if (!target.IsUp || target.Incarnation != engine)
      return;
    bool isStale =
        Options.EnginesHonourFences && Order.Number < target.NewestFence;
    if (isStale) {
      sendReply(false);
      return;
    }
    target.NewestFence = std::max(target.NewestFence, Order.Number);
    const wire::Replica *replica =
        findReplica(newestFleet().Items, name, Order.Row);
    if (Order.Kind == OrderKind::Load &&
        (!replica || replica->fence() != Order.Fence))
      fail("load of " + Order.Row + " on " + name +
           " does not match the fleet state: order fence " +
           std::to_string(Order.Fence) + ", recorded fence " +
           std::to_string(replica ? replica->fence() : 0));
    if (Order.Kind == OrderKind::Unload) {
      target.Rows.erase(Order.Row);
      sendReply(true);
      return;
    }
    if (!target.Rows.contains(Order.Row))
      target.Rows[Order.Row] = {Order.MemoryMb, true};
    if (chance(FailureProbability)) {
      target.Rows.erase(Order.Row);
      sendReply(false);
      return;
    }
    after(randomMillis(50, 900), [this, name, engine, Order, sendReply] {
      FakeEngine &current = Agents[name].Engine;
      auto row = current.Rows.find(Order.Row);
      bool isHeld = current.Incarnation == engine && row != current.Rows.end();
      if (isHeld)
        row->second.IsLoading = false;
      sendReply(isHeld);
    });
  });
}

// ---- Invariants ----

void FleetDriver::check() { checkEngines(); }

void FleetDriver::checkEngines() {
  const FleetState &fleet = newestFleet();
  for (const auto &[name, node] : Agents) {
    uint64_t memory = 0;
    const wire::Endpoint *listed = findEndpoint(fleet.Items, name);
    for (const auto &[row, held] : node.Engine.Rows) {
      memory += held.MemoryMb;
      // Rows that an endpoint held when it was declared dead are a recorded
      // loss; once it is listed again, its agent knows which rows to unload.
      bool isListed =
          listed && listed->engine_incarnation() == node.Engine.Incarnation &&
          node.State.IsEndpointUp && isConfirmed(node.State.View, Now) &&
          listUnassignedRows(node.State).empty() && node.State.Orders.empty();
      bool isReported = node.State.Rows.contains(row);
      if (!isListed || !isReported || findReplica(fleet.Items, name, row))
        continue;
      std::string what = "row without a replica record on ";
      what += name;
      fail(what);
    }
    if (memory > EngineMemoryMb)
      fail("memory of " + name + " is overcommitted");
  }
  for (const wire::Item *it : fleet.Items.list("row/"))
    if (it->row().max_replicas() > 0 &&
        countReplicas(fleet.Items, it->row().name()) > it->row().max_replicas())
      fail("row " + it->row().name() + " has too many replicas");
}

void FleetDriver::checkEntry(const EntryNode &Node) {
  const OutcomeCounts &counts = Node.State.Counts;
  if (counts.Accepted != counts.Answered + counts.Refused + counts.Failed +
                             counts.Cancelled +
                             countPendingRequests(Node.State))
    fail("outcomes of " + Node.Name + " do not add up");
  for (const auto &[id, request] : Node.State.Requests)
    if (request.Charged > 0 && ChargedRequests.insert(id).second)
      TokenCharges.push_back({Now, request.Organisation, id,
                              static_cast<double>(request.Charged)});
  uint64_t &newest = NewestView[Node.Name];
  if (Node.State.View.Version < newest)
    fail("view of " + Node.Name + " went back to an older version");
  newest = Node.State.View.Version;
}

void FleetDriver::checkReplication(const ControlNode &Node) {
  const FleetState &fleet = Node.State.Fleet;
  if (CheckedVersion[Node.Name] == fleet.Version)
    return;
  CheckedVersion[Node.Name] = fleet.Version;
  auto known = AppliedDigests.find(fleet.Version);
  bool isSeen = known != AppliedDigests.end();
  // Members that have applied the same index must hold the same state; every
  // fourth index is checked.
  if (fleet.Version % 4 != 0)
    return;
  wire::Snapshot snapshot;
  saveFleet(fleet, snapshot);
  std::string digest = std::to_string(checksumOf(snapshot.SerializeAsString()));
  if (!isSeen)
    AppliedDigests[fleet.Version] = digest;
  else if (known->second != digest)
    fail("members differ at index " + std::to_string(fleet.Version));
}

/// Checks that a waiting request is started or refused by its deadline, and
/// that an attempt has received a response head by its deadline or has been
/// given up.
void FleetDriver::checkWaiting(const EntryNode &Node) {
  for (const auto &[id, request] : Node.State.Requests) {
    bool isWaiting = request.Stage == RequestStage::Queued ||
                     request.Stage == RequestStage::Claiming;
    bool isLate = isWaiting ? request.Deadline < Now
                            : request.Attempt && !request.HasHead &&
                                  request.Attempt->HeadDeadline < Now;
    if (isLate)
      fail("request " + id + " waits past its deadline");
  }
}

void FleetDriver::checkQuota(const std::string &Organisation, double Rate,
                             double Burst) {
  double level = Burst;
  TimePoint last;
  for (const TokenCharge &it : TokenCharges) {
    if (it.Organisation != Organisation)
      continue;
    std::chrono::duration<double> passed = it.At - last;
    level = std::min(Burst, level + Rate * passed.count());
    last = it.At;
    level -= it.Tokens;
    if (level < -0.001) {
      fail("organisation " + Organisation +
           " used more tokens than its rate and burst allow");
      return;
    }
  }
}

} // namespace sassafras
