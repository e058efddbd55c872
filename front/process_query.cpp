#include "front/process_query.h"

#include "platform/caller_codec.h"
#include "platform/engine_codec.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

/// Limit of the body of an endpoint's report, in bytes.
constexpr uint64_t MaxReportBytes = 256ULL * 1024;
constexpr unsigned StatusOk = 200;

struct Reply {
  ProcessAnswer Answer;
  bool IsReport = false;
  std::string Body;
};

} // namespace

std::shared_ptr<HttpCall>
startProcessQuery(HttpClient &Client, const std::string &Address,
                  const std::string &Instance, TimePoint Deadline,
                  std::function<void(ProcessAnswer)> Done) {
  Millis left = std::max(
      std::chrono::duration_cast<Millis>(Deadline - Clock::now()), Millis(1));
  HttpCallOptions options;
  options.ConnectTimeout = left;
  options.ReadTimeout = left;
  // On a pooled one, bytes of a process that has ended may be waiting.
  options.NeedsNewConnection = true;
  options.Deadline = Deadline;
  options.MaxBodyBytes = MaxReportBytes;
  auto reply = std::make_shared<Reply>();
  auto done =
      std::make_shared<std::function<void(ProcessAnswer)>>(std::move(Done));
  HttpCallbacks callbacks;
  callbacks.OnHead = [reply, Instance](const HttpResponseHead &Head) {
    reply->Answer.IsAnswered = true;
    // Reports do not name the instance.
    reply->Answer.IsInstance =
        !platform::isFromOtherInstance(Head.Status, Head.Fields, Instance);
    reply->IsReport = Head.Status == StatusOk;
  };
  callbacks.OnBody = [reply](std::string_view Bytes) { reply->Body += Bytes; };
  callbacks.OnEnd = [reply, done] {
    if (reply->IsReport)
      reply->Answer.StatedBornMs = platform::readBornMs(reply->Body);
    (*done)(reply->Answer);
  };
  callbacks.OnFailure = [reply, done](HttpFailure Failure) {
    reply->Answer.IsAnswered = false;
    reply->Answer.IsReset = Failure.IsReset;
    (*done)(reply->Answer);
  };
  return Client.start(Address, platform::makeStateRequest(Instance), options,
                      std::move(callbacks));
}

} // namespace sassafras
