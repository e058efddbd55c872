/// \file
/// Plans which model to load next on which engine and which models to evict for
/// it.
///
/// Handles these load patterns:
/// - Many rare models are requested at once. A cold model is loaded immediately
///   on the engine with the fastest access to its weights, and a model that was
///   just loaded is not evicted before the waiting requests were served.
/// - Demand moves from busy models to others. The number of replicas follows
///   the requests in progress.
/// - Engines are lost or added. Lost replicas are loaded on other engines.
/// - Concurrent loads slow each other down. Few run at once, within the limit
///   of the weight store.
/// - Weights were lost with an engine while busy models need more replicas.
///   Most loads from the store are left to the models that are on no engine.
/// - A model becomes busy that only one or two engines have, while rare models
///   that no engine has are requested all the time and keep the store in use.
///   One place at the store is for models whose replicas are overloaded.
/// - A busy model is on one engine only, which a load from the store blocks for
///   ten seconds. Loads from the store go to engines that hold few other
///   weights.
/// - Engines in need state a request limit. Replicas there count for what the
///   limit leaves of them, so that a busy model gets replicas elsewhere, also
///   while its requests are refused and none are in progress.
/// - Streams go on only at the software version that began them. A model that
///   streams wait for at one version is loaded on an engine of that version,
///   also while engines of another one have it.
/// - Engines hold two or three models of many sizes. Memory into which no model
///   fits any more counts as lost.
#ifndef SASSAFRAS_POLICY_MODEL_PLAN_H
#define SASSAFRAS_POLICY_MODEL_PLAN_H

#include "fleet/serving_table.h"
#include "policy/store_pace.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

/// Target share of an engine's slots for one busy model. The rest absorbs
/// bursts without queueing.
inline constexpr double TargetUtilisation = 0.35;
/// Limit on concurrent loads from the store for models whose weights are also
/// on some engine.
inline constexpr size_t MaxExtraStoreLoads = 1;
/// Share of the slots of all its replicas above which a model whose weights are
/// on some engine may load a further replica from the store. Below it no
/// request waits, and the load would block an engine for seconds for models
/// whose weights are only there.
inline constexpr double OverloadUtilisation = 0.7;
/// Limit on loads in progress beyond which no load is started for a model that
/// no request waits for, so that engines stay free for urgent loads.
inline constexpr size_t MaxProactiveLoads = 3;
/// Time in seconds within which a replica must be worth the cost of its load.
inline constexpr double PaybackSeconds = 8;
/// Cost of a load in units of worth, from the operators' price list.
inline constexpr double LoadCost = 1.4;

/// Demand for one model over all fronts. The worth of a request weighs it
/// against others when resources are scarce.
struct ModelDemand {
  double WorthPerSecond = 0; ///< The larger of the short and the long average.
  double Busy = 0;           ///< Requests in progress or waiting.
  uint32_t Waiting = 0;      ///< Requests that no replica can take now.
  double WaitingWorth = 0;
  /// Requests that would be in progress if none were refused.
  double Offered = 0;
  /// Software versions at which streams wait that go on nowhere else.
  std::set<std::string> Versions = {};
};

/// State of one engine as input of the plan.
struct PlanEngine {
  std::string Endpoint; ///< Identity of the endpoint.
  std::string SoftwareVersion;
  /// Its agent is connected and no order is in progress.
  bool AcceptsOrders = false;
  /// The engine is leaving: its models are not counted as replicas.
  bool IsLeaving = false;
  double LoadShare = 0; ///< Requests divided by slots.
  /// Requests in progress that the limit it states allows; nothing without one.
  std::optional<double> MaxBusy;
  uint64_t ReservedMb = 0; ///< Memory for adapters and loads in progress.
  std::set<std::string> Models;
  /// Models that were just loaded. The requests that wait for them have not
  /// been sent yet, so they look idle; they must not be evicted.
  std::set<std::string> JustLoaded;
  std::map<std::string, uint32_t> Running; ///< Requests by model.
  std::string Loading;     ///< Model that is being loaded, or empty.
  Millis TimeUntilFree{0}; ///< Estimated time until it accepts another order.
  std::set<std::string> InMemory;
  std::set<std::string> OnDisk;
};

struct PlanInput {
  const EngineSpec &Spec;
  const std::map<std::string, ModelDemand> &Demand;
  const std::vector<PlanEngine> &Engines;
  size_t LoadsInProgress = 0;
  size_t StoreLoadsInProgress = 0;
  uint32_t StoreLoadsAllowed = 0; ///< Loads from the store that may start now.
  /// Limit on concurrent loads from the store.
  size_t StoreLoadLimit = InitialStoreLoadLimit;
};

struct PlannedLoad {
  size_t Engine = 0; ///< Index in PlanInput::Engines.
  std::string Model;
  std::vector<std::string> Evict;
  bool IsFromStore = false;
  bool IsUrgent = false; ///< Requests wait for it.
};

/// Plans loads for the current state. Pure and thread safe.
std::vector<PlannedLoad> planModels(const PlanInput &Input);
/// Returns the number of replicas needed for \p Busy requests in progress or
/// waiting.
size_t wantedReplicas(double Busy, uint32_t Slots);
/// Returns the time from the order until \p Model is loaded on \p Engine.
Millis loadTime(const PlanEngine &Engine, const ModelSpec &Model);

} // namespace sassafras

#endif
