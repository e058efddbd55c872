/// \file
/// Pages that every process serves: metrics, health and readiness.
#ifndef SASSAFRAS_HTTP_STATUS_PAGES_H
#define SASSAFRAS_HTTP_STATUS_PAGES_H

#include "http/server.h"

namespace sassafras {

/// Responds to \p Request when it is for one of the pages. Returns false,
/// without responding, otherwise. Thread safe.
bool serveStatusPage(const HttpRequest &Request, HttpExchange &Exchange,
                     const Metrics &Counts, bool IsReady);

} // namespace sassafras

#endif
