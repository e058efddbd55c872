#include "front/caller_limits.h"

namespace sassafras {

HttpLimits makeCallerLimits(const ServingTable *Table) {
  HttpLimits out;
  out.CancelsOnDisconnect = true;
  if (Table) {
    out.HeadBytes = Table->Limits.HeadBytes;
    out.BodyBytes = Table->Limits.BodyBytes;
    out.HeadTimeout = Table->Limits.HeadTime;
    out.IdleTimeout = Table->Limits.IdleTime;
  }
  return out;
}

} // namespace sassafras
