#include "core/guard.h"

#include "core/logging.h"
#include "core/metrics.h"

#include <string>

namespace sassafras {

void reportHandlerFailure(Metrics &Counts, std::string_view Handler,
                          std::string_view Reason) {
  Counts.count("handler_failures_total",
               "handler=\"" + std::string(Handler) + "\"");
  logEvent(
      LogLevel::Error, "handler_failed",
      {{"handler", std::string(Handler)}, {"reason", std::string(Reason)}});
}

} // namespace sassafras
