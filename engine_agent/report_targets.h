/// \file
/// Selects the fronts that an engine agent sends a report to.
///
/// Load pattern: 120 agents and 70 fronts in six zones. Every front needs the
/// models of every engine at once when they change, but the load only of
/// engines that it is likely to use: those of its own zone. The fronts of other
/// zones learn the load from summaries, and changes from fronts of their zone
/// that pass them on. Each agent has its own such fronts, so that none has to
/// pass on much.
#ifndef SASSAFRAS_ENGINE_AGENT_REPORT_TARGETS_H
#define SASSAFRAS_ENGINE_AGENT_REPORT_TARGETS_H

#include "core/time.h"
#include "fleet/roster.h"

#include <string>
#include <vector>

namespace sassafras {

enum class ReportScope {
  Zone,  ///< Only the own zone and the front that places models need it.
  Fleet, ///< All fronts need it.
};

struct ReportTarget {
  std::string Address;
  bool PassesOn = false;     ///< To the other fronts of its zone.
  bool PlacesModels = false; ///< It sent the latest order.
};

/// Lists the fronts in view that a report of \p Self goes to. \p Placer is the
/// name of the front that sent the latest order, or empty. A fleet without
/// relays (fleet/zone_relays.h) ignores \p Scope. Pure and thread safe.
std::vector<ReportTarget> chooseReportTargets(const Roster &Fronts,
                                              const wire::NodeEntry &Self,
                                              const std::string &Placer,
                                              ReportScope Scope, TimePoint Now);

} // namespace sassafras

#endif
