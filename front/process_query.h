/// \file
/// Asks the process at an endpoint's address for the time of its start.
#ifndef SASSAFRAS_FRONT_PROCESS_QUERY_H
#define SASSAFRAS_FRONT_PROCESS_QUERY_H

#include "front/process_proof.h"
#include "http/client.h"

#include <functional>
#include <memory>
#include <string>

namespace sassafras {

/// Calls \p Done once, at \p Deadline at the latest. The call may be cancelled;
/// then \p Done is not called. Only for endpoints with a state report: others
/// may run the call as a request. Call on the thread that runs the client.
std::shared_ptr<HttpCall>
startProcessQuery(HttpClient &Client, const std::string &Address,
                  const std::string &Instance, TimePoint Deadline,
                  std::function<void(ProcessAnswer)> Done);

} // namespace sassafras

#endif
