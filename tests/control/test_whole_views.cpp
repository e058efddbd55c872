/// \file
/// Views of nodes that start again while the fleet state changes.
#include "control/control_state.h"
#include "fleet/node_view.h"
#include "tests/fleet_run/fleet_driver.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

constexpr Millis Step{25};

/// A control member that is alone in its group.
class LoneControl {
public:
  LoneControl();
  void receive(const std::string &From, wire::Envelope Message);
  void propose(const std::string &Id, wire::Command Command);
  /// The newest reply to \p Heartbeat.
  wire::HeartbeatReply ask(const wire::Heartbeat &Heartbeat);

  TimePoint Now = TimePoint() + std::chrono::hours(1);

private:
  void perform(ControlEffects Effects);

  ControlState State;
  std::optional<wire::HeartbeatReply> Newest;
};

LoneControl::LoneControl()
    : State(makeControl(
          ControlOptions(),
          makeBlankRaft({"control", 1, "control"}, {"control"}, 1, Now),
          nullptr)) {
  for (int i = 0; i < 400; ++i, Now += Step)
    perform(stepControl(State, ControlTick{}, Now));
}

void LoneControl::receive(const std::string &From, wire::Envelope Message) {
  Message.set_from(From);
  Message.set_reply_address(From);
  Message.set_incarnation(1);
  perform(stepControl(State, ControlReceived{std::move(Message)}, Now));
}

void LoneControl::propose(const std::string &Id, wire::Command Command) {
  Command.set_operation_id(Id);
  wire::Envelope message;
  message.mutable_proposal()->set_request_id(Id);
  *message.mutable_proposal()->mutable_command() = std::move(Command);
  receive("operator", std::move(message));
  for (int i = 0; i < 40; ++i, Now += Step)
    perform(stepControl(State, ControlTick{}, Now));
}

wire::HeartbeatReply LoneControl::ask(const wire::Heartbeat &Heartbeat) {
  Newest.reset();
  wire::Envelope message;
  *message.mutable_heartbeat() = Heartbeat;
  receive("entry", std::move(message));
  REQUIRE(Newest);
  return *Newest;
}

void LoneControl::perform(ControlEffects Effects) {
  for (ControlEffect &it : Effects) {
    auto *send = std::get_if<RaftSend>(&it);
    if (!send)
      continue;
    if (send->Address == "control") {
      receive("control", std::move(send->Message));
    } else if (send->Address == "entry" &&
               send->Message.has_heartbeat_reply()) {
      Newest = send->Message.heartbeat_reply();
    }
  }
}

} // namespace

TEST_CASE("withdrawn key is gone from a view that was received whole twice") {
  LoneControl control;
  wire::Command table;
  for (const wire::TableRow &it : testTableRows())
    *table.mutable_table_edit()->add_rows() = it;
  control.propose("table", table);
  wire::Command grant;
  grant.mutable_key_grant()->set_key_id("beta:2");
  grant.mutable_key_grant()->set_key_hash("hash");
  grant.mutable_key_grant()->set_tenant("beta");
  control.propose("grant", grant);

  NodeView view;
  view.ControlAddresses = {"control"};
  wire::Heartbeat heartbeat;
  prepareHeartbeat(view, heartbeat, control.Now);
  applyHeartbeatReply(view, control.ask(heartbeat), control.Now);
  REQUIRE(view.Items.find(keyItemName("beta:2")));

  wire::Command withdrawal;
  withdrawal.mutable_key_withdraw()->set_key_id("beta:2");
  control.propose("withdraw", withdrawal);
  // The network delivers the heartbeat a second time.
  applyHeartbeatReply(view, control.ask(heartbeat), control.Now);
  CHECK_FALSE(view.Items.find(keyItemName("beta:2")));
}
