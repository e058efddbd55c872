/// \file
/// Finds out whether an endpoint has ended a stream, or was ended itself.
#ifndef SASSAFRAS_FRONT_STREAM_END_CHECK_H
#define SASSAFRAS_FRONT_STREAM_END_CHECK_H

#include "front/front_core.h"
#include "front/instance_check.h"
#include "front/stream_end.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace sassafras {

/// Sends health checks and looks for signs of the process until one decides.
/// Not thread safe: all methods run on the io_context's thread.
class StreamEndCheck : public std::enable_shared_from_this<StreamEndCheck> {
public:
  /// \p Check: the health check of the endpoint. \p Done is called once with
  /// the sign that decides, unless the check is cancelled before. \p Core must
  /// outlive this.
  StreamEndCheck(FrontCore &Core, StreamEnd End, InstanceCheck Check,
                 std::function<void(StreamEndSign)> Done);
  StreamEndCheck(const StreamEndCheck &) = delete;
  StreamEndCheck &operator=(const StreamEndCheck &) = delete;

  /// Does not call Done. Call once.
  void start();
  /// Ends the check; Done is not called afterwards.
  void cancel();
  const StreamEnd &end() const { return End; }
  const StreamEndEvidence &evidence() const { return Evidence; }
  /// Reply to the latest health check that got one.
  std::optional<InstanceReply> lastReply() const { return LastReply; }

private:
  void sendCheck();
  void handleAnswer(const InstanceAnswer &Answer);
  void look();
  void scheduleLook();

  FrontCore &Core;
  StreamEnd End;
  InstanceCheck Check;
  std::function<void(StreamEndSign)> Done;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpCall> Call; ///< The health check.
  StreamEndEvidence Evidence;
  std::optional<InstanceReply> LastReply;
  TimePoint LookedAt;
  TimePoint NextCheckAt; ///< Set after a reply that decides nothing.
  bool IsOver = false;
};

} // namespace sassafras

#endif
