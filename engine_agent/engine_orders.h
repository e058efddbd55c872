/// \file
/// Order handling of an engine agent: chooses the next command for its model
/// engine. The agent is the only process that sends commands to that engine.
/// Not thread safe.
///
/// Each command carries the number of commands that the engine has accepted so
/// far. The engine rejects a command with another number, so an unanswered
/// command that arrives late has no effect once another was accepted.
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

/// Lifetime of an adapter request. The inference request behind it waits no
/// longer than this.
inline constexpr Millis AdapterRequestLifetime{1'000};
/// Maximum number of adapters being loaded by one engine; it accepts no more.
inline constexpr size_t MaxIncomingAdapters = 4;

/// The model that an order wants loaded, and the models that may be evicted
/// for it.
struct ModelGoal {
  uint64_t Number = 0;
  std::string Endpoint;
  std::string Load;
  std::vector<std::string> Evict;
  /// The weights may come from the model store; else only from the engine's own
  /// memory or disk.
  bool MayUseStore = false;
  TimePoint Expires;
};

/// An adapter that a front has requested.
struct AdapterGoal {
  std::string Endpoint;
  std::string Model;
  std::string Adapter;
  TimePoint Expires;
};

struct EngineAgentState {
  wire::EngineReport Report; ///< Latest state that the engine returned.
  bool HasReport = false;
  std::optional<ModelGoal> Goal;
  uint64_t HighestOrder = 0;
  uint64_t OrderDone = 0; ///< Highest number of an order that has ended.
  wire::EngineSizes Sizes;
  std::list<AdapterGoal> Adapters;
  std::map<std::string, TimePoint> AdapterLastUse; ///< By MODEL/ADAPTER.
};

/// A load or unload command for the engine.
struct PlannedCommand {
  bool IsLoad = true;
  std::string Model;
  std::string Adapter; ///< Empty for the model itself.
  std::string Endpoint;
  uint64_t ExpectedSequence = 0; ///< Commands accepted by the engine so far.
};

/// Accepts an order of the leader, or an order without a number (0) from a
/// front that has no leader, and makes it the goal. A numbered order replaces
/// the current goal. False when its number is not higher than all before. An
/// order without a number is also rejected while a goal exists, the engine's
/// state is unknown or the engine is busy, and when it lists evictions.
bool acceptOrder(EngineAgentState &State, const wire::EngineOrder &Order,
                 TimePoint Now);
/// Records the use of an adapter and requests its load. Repeating a request
/// renews its lifetime.
void acceptAdapterRequest(EngineAgentState &State,
                          const wire::AdapterRequest &Request, TimePoint Now);
/// Stores the engine's state. A changed start time means a new engine process
/// and ends the goal.
void applyEngineReport(EngineAgentState &State,
                       const wire::EngineReport &Report);
/// The engine's state is unknown, as it does not answer or its answer cannot be
/// read. Ends the goal and drops all adapter requests.
void clearEngineReport(EngineAgentState &State);
/// Chooses the next command. Ends goals that are reached, expired or cannot be
/// reached. Returns nothing while the engine's state is unknown or it is busy.
std::optional<PlannedCommand> chooseCommand(EngineAgentState &State,
                                            TimePoint Now);
/// Memory in MB used on the engine, including adapters that are being loaded.
/// Returns nothing when the engine holds a model of unknown size.
std::optional<uint64_t> computeUsedMemory(const EngineAgentState &State);
/// Models that the goal may evict; they accept no new work.
std::set<std::string> listEvictingModels(const EngineAgentState &State);

} // namespace sassafras

#endif
