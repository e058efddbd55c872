#include "front/instance_check.h"

#include "platform/caller_codec.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

/// Limit of the body of a health check's answer, in bytes.
constexpr uint64_t MaxHealthBytes = 64ULL * 1024;

} // namespace

std::shared_ptr<HttpCall>
startInstanceCheck(HttpClient &Client, const InstanceCheck &Check,
                   std::function<void(const InstanceAnswer &)> Done) {
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
  auto done = std::make_shared<std::function<void(const InstanceAnswer &)>>(
      std::move(Done));
  HttpCallbacks callbacks;
  callbacks.OnHead = [answer,
                      it = Check.Instance](const HttpResponseHead &Head) {
    answer->IsRunning = platform::isFromInstance(Head.Status, Head.Fields, it);
    if (answer->IsRunning)
      answer->ColdLeft = platform::readColdTime(Head.Fields).Left;
  };
  callbacks.OnBody = [](std::string_view) {};
  callbacks.OnEnd = [answer, done] { (*done)(*answer); };
  // The head tells enough.
  callbacks.OnFailure = [answer, done](HttpFailure) { (*done)(*answer); };
  return Client.start(
      Check.Address,
      platform::makeHealthRequest(Check.HealthPath, Check.Instance), options,
      std::move(callbacks));
}

} // namespace sassafras
