/// \file
/// Attributes of a caller's request, for the decisions on it.
#ifndef SASSAFRAS_FRONT_CALLER_ATTRIBUTES_H
#define SASSAFRAS_FRONT_CALLER_ATTRIBUTES_H

#include "front/admission.h"
#include "http/message.h"

namespace sassafras {

/// Reads the attributes and removes the fields that no endpoint may receive.
/// Thread safe.
RequestAttributes extractAttributes(HttpRequest &Request);

} // namespace sassafras

#endif
