#include "front/instance_check.h"

#include "platform/caller_codec.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

/// Limit of the body of a health check's answer, in bytes.
constexpr uint64_t MaxHealthBytes = 64ULL * 1024;

InstanceReply replyOf(const HttpFailure &Failure) {
  if (Failure.IsRefused)
    return InstanceReply::Refused;
  if (Failure.IsReset)
    return InstanceReply::Reset;
  if (Failure.IsTimeout || !Failure.WasSent)
    return InstanceReply::Silent;
  return InstanceReply::Invalid;
}

} // namespace

std::shared_ptr<HttpCall>
startInstanceCheck(HttpClient &Client, const InstanceCheck &Check,
                   std::function<void(const InstanceAnswer &)> Done,
                   std::function<void()> Accepted) {
  Millis left = std::max(
      std::chrono::duration_cast<Millis>(Check.Deadline - Clock::now()),
      Millis(1));
  HttpCallOptions options;
  options.ConnectTimeout = left;
  options.ReadTimeout = left;
  options.NeedsNewConnection = true;
  options.Deadline = Check.Deadline;
  options.MaxBodyBytes = MaxHealthBytes;
  auto answer = std::make_shared<InstanceAnswer>();
  auto hasHead = std::make_shared<bool>(false);
  auto done = std::make_shared<std::function<void(const InstanceAnswer &)>>(
      std::move(Done));
  HttpCallbacks callbacks;
  callbacks.OnHead = [answer, hasHead,
                      it = Check.Instance](const HttpResponseHead &Head) {
    *hasHead = true;
    answer->IsRunning = platform::isFromInstance(Head.Status, Head.Fields, it);
    answer->Reply =
        answer->IsRunning ? InstanceReply::Instance : InstanceReply::Other;
    if (answer->IsRunning)
      answer->ColdLeft = platform::readColdTime(Head.Fields).Left;
  };
  callbacks.OnBody = [](std::string_view) {};
  callbacks.OnEnd = [answer, done] { (*done)(*answer); };
  // The head tells enough.
  callbacks.OnFailure = [answer, hasHead, done](HttpFailure Failure) {
    if (!*hasHead)
      answer->Reply = replyOf(Failure);
    (*done)(*answer);
  };
  callbacks.MaySend = [it = std::move(Accepted)] {
    if (it)
      it();
    return true;
  };
  return Client.start(
      Check.Address,
      platform::makeHealthRequest(Check.HealthPath, Check.Instance), options,
      std::move(callbacks));
}

} // namespace sassafras
