/// \file
/// Limits of the server that callers' requests arrive at.
#ifndef SASSAFRAS_FRONT_CALLER_LIMITS_H
#define SASSAFRAS_FRONT_CALLER_LIMITS_H

#include "fleet/serving_table.h"
#include "http/server.h"

namespace sassafras {

/// Limits while \p Table is in force; null before the first table. Pure and
/// thread safe.
HttpLimits makeCallerLimits(const ServingTable *Table);

} // namespace sassafras

#endif
