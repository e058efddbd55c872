/// \file
/// Decisions of the process beside a model engine: which command to give its
/// engine next. It is the only one that gives commands to that engine.
///
/// A command names the number of commands that the engine has accepted so
/// far, so that one that was left unanswered and is carried out late changes
/// nothing once another was accepted.
#ifndef SASSAFRAS_ENGINE_AGENT_ENGINE_ORDERS_H
#define SASSAFRAS_ENGINE_AGENT_ENGINE_ORDERS_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sassafras {

/// A wish for an adapter is given up after this; its request waits no longer.
inline constexpr Millis AdapterWishLife{1'000};
/// Adapters on their way to one engine at once; the engine takes no more.
inline constexpr size_t MostIncoming = 4;

struct ModelGoal {
  uint64_t Number = 0;
  std::string Endpoint;
  std::string Load;
  std::vector<std::string> Evict;
  bool MayUseStore = false;
  TimePoint Expires;
};

struct AdapterGoal {
  std::string Endpoint;
  std::string Model;
  std::string Adapter;
  TimePoint Expires;
};

struct EngineAgentState {
  wire::EngineReport Reading; ///< Newest answer of the engine.
  bool HasReading = false;
  std::optional<ModelGoal> Goal;
  uint64_t HighestOrder = 0;
  uint64_t OrderDone = 0;
  wire::EngineSizes Sizes;
  std::list<AdapterGoal> Adapters;
  std::map<std::string, TimePoint> AdapterUse; ///< By model/adapter.
};

/// One command to the engine.
struct EngineDecision {
  bool IsLoad = true;
  std::string Model;
  std::string Adapter;
  std::string Endpoint;
  uint64_t ExpectedSequence = 0;
};

/// Takes an order of the leader, or one without a number of a front that hears
/// no leader. False when it is old, and when one without a number finds
/// another order or would make other models give way.
bool takeOrder(EngineAgentState &State, const wire::EngineOrder &Order,
               TimePoint Now);
void takeAdapterWish(EngineAgentState &State, const wire::AdapterWish &Wish,
                     TimePoint Now);
/// The engine answered.
void takeReading(EngineAgentState &State, const wire::EngineReport &Reading);
/// The engine cannot be reached, or is another process than before.
void loseReading(EngineAgentState &State);
/// What to order next. Ends goals that are reached or cannot be.
std::optional<EngineDecision> decideOrder(EngineAgentState &State,
                                          TimePoint Now);
/// Memory in use at the engine, adapters on their way included; nothing when
/// it holds a model of unknown size.
std::optional<uint64_t> usedMemory(const EngineAgentState &State);
/// Models that take no new work: they make way for another.
std::set<std::string> leavingModels(const EngineAgentState &State);

} // namespace sassafras

#endif
