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
                   std::function<void(bool IsRunning)> Done) {
  Millis left = std::max(
      std::chrono::duration_cast<Millis>(Check.Deadline - Clock::now()),
      Millis(1));
  HttpCallOptions options;
  options.ConnectTimeout = left;
  options.ReadTimeout = left;
  options.NeedsNewConnection = true;
  options.Deadline = Check.Deadline;
  options.MaxBodyBytes = MaxHealthBytes;
  auto isRunning = std::make_shared<bool>(false);
  auto done = std::make_shared<std::function<void(bool)>>(std::move(Done));
  HttpCallbacks callbacks;
  callbacks.OnHead = [isRunning,
                      it = Check.Instance](const HttpResponseHead &Head) {
    *isRunning = platform::isFromInstance(Head.Status, Head.Fields, it);
  };
  callbacks.OnBody = [](std::string_view) {};
  callbacks.OnEnd = [isRunning, done] { (*done)(*isRunning); };
  // The head tells enough.
  callbacks.OnFailure = [isRunning, done](HttpFailure) { (*done)(*isRunning); };
  return Client.start(
      Check.Address,
      platform::makeHealthRequest(Check.HealthPath, Check.Instance), options,
      std::move(callbacks));
}

} // namespace sassafras
