#include "front/caller_attributes.h"

#include "core/hash.h"
#include "platform/caller_codec.h"

namespace sassafras {

RequestAttributes extractAttributes(HttpRequest &Request) {
  platform::CallerFields fields = platform::extractCallerFields(Request);
  RequestAttributes out;
  out.Id = fields.RequestId;
  out.Method = Request.Method;
  out.Host = fields.Host;
  out.Path = Request.Target;
  out.Key = fields.Key;
  out.TimeLeft = fields.TimeLeft;
  out.Model = fields.Model;
  out.Adapter = fields.Adapter;
  out.HasTokenCounts = fields.HasTokenCounts;
  out.PromptTokens = fields.PromptTokens;
  out.OutputTokens = fields.OutputTokens;
  out.LengthHint = fields.LengthHint;
  out.PromptHead = fields.PromptHead;
  out.SharedParts = std::move(fields.SharedParts);
  out.BodyDigest = std::to_string(checksumOf(Request.Body));
  out.LastEvent = fields.LastEvent;
  out.ResumedRequest = std::move(fields.ResumedRequest);
  return out;
}

} // namespace sassafras
