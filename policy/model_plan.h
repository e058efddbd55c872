/// \file
/// Which model to load next on which engine, and what makes room for it.
///
/// Load patterns:
/// - many rare models asked for at once: a cold request goes to the engine that
///   has the weights nearest, at once, and a model that was just loaded stays
///   until those who wait for it were served;
/// - demand moving from the busy models to others: replicas follow the requests
///   under way;
/// - engines lost or added: their replicas are made up for elsewhere;
/// - loads slowing one another: few at once, within what the store allows;
/// - models whose weights were lost with an engine, while busy ones are short
/// of
///   replicas: most of the store's places are left to the former;
/// - a busy model that lies on one engine only, which a load from the store
/// keeps
///   under order for ten seconds: those go where little else lies;
/// - models of many sizes in engines that hold two or three of them: memory
/// that
///   no model fits any more is lost.
#ifndef SASSAFRAS_POLICY_MODEL_PLAN_H
#define SASSAFRAS_POLICY_MODEL_PLAN_H

#include "fleet/serving_table.h"
#include "policy/store_pace.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

/// Share of an engine's slots that one busy model should use; the rest takes
/// up bursts without queueing.
inline constexpr double TargetUse = 0.35;
/// Loads from the store at once that have another way: for models whose weights
/// lie at some engine.
inline constexpr size_t MostSpareStoreLoads = 1;
/// Share of the slots of all its replicas beyond which a model whose weights
/// lie at some engine may use the store for one more: below it nobody waits,
/// and the load keeps an engine for seconds from models that lie only there.
inline constexpr double HeavyUse = 0.7;
/// Loads for models that nobody waits for yet, so that engines stay free for
/// those that somebody does.
inline constexpr size_t MostPlannedLoads = 3;
/// Over this time a replica must pay for the load that it takes.
inline constexpr double PayBackSeconds = 8;
/// What a load costs, in units of worth; from the operators' price list.
inline constexpr double LoadCost = 1.4;

/// Demand for one model over all fronts.
struct ModelDemand {
  double WorthPerSecond = 0; ///< Larger of the short and the long average.
  double Busy = 0;           ///< Requests under way or waiting.
  uint32_t Waiting = 0;      ///< Nothing can take them now.
  double WaitingWorth = 0;
};

/// One engine as the plan sees it.
struct PlanEngine {
  std::string Endpoint;    ///< Identity.
  bool CanOrder = false;   ///< Its agent is there and nothing is under way.
  bool IsLeaving = false;  ///< What it holds does not count.
  double LoadShare = 0;    ///< Requests over slots.
  uint64_t ReservedMb = 0; ///< Adapters and loads under way.
  std::set<std::string> Models;
  /// Loaded just now: whoever waits for them has not been sent there yet, so
  /// they look idle. They give way to nothing.
  std::set<std::string> JustLoaded;
  std::map<std::string, uint32_t> Running; ///< Requests by model.
  std::string Loading;                     ///< Model on its way, or empty.
  Millis TimeUntilFree{
      0}; ///< Until it takes another order, as far as is known.
  std::set<std::string> InMemory;
  std::set<std::string> OnDisk;
};

struct PlanInput {
  const EngineSpec &Spec;
  const std::map<std::string, ModelDemand> &Demand;
  const std::vector<PlanEngine> &Engines;
  size_t LoadsUnderWay = 0;
  size_t StoreLoadsUnderWay = 0;
  uint32_t StoreLoadsAllowed = 0;        ///< May start now.
  size_t StorePlaces = FirstStorePlaces; ///< Loads from it at once.
};

struct PlannedLoad {
  size_t Engine = 0; ///< Position in the input.
  std::string Model;
  std::vector<std::string> Evict;
  bool IsFromStore = false;
  bool IsUrgent = false; ///< Requests wait for it.
};

/// Decides on the present state. Pure and thread safe.
std::vector<PlannedLoad> planModels(const PlanInput &Input);
/// Replicas that \p Busy requests under way ask for.
size_t wantedReplicas(double Busy, uint32_t Slots);
/// Time until \p Model is loaded at \p Engine once it is ordered.
Millis loadTime(const PlanEngine &Engine, const ModelSpec &Model);

} // namespace sassafras

#endif
