#include "front/instance_reply.h"

namespace sassafras {

std::string_view nameOf(InstanceReply Reply) {
  switch (Reply) {
  case InstanceReply::Instance:
    return "instance";
  case InstanceReply::Other:
    return "other";
  case InstanceReply::Invalid:
    return "invalid";
  case InstanceReply::Refused:
    return "refused";
  case InstanceReply::Reset:
    return "reset";
  case InstanceReply::Silent:
    return "silent";
  }
  return "";
}

} // namespace sassafras
