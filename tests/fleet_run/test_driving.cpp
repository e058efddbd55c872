/// \file
/// Runs the example of docs/DRIVING.md.
#include "control/control_state.h"
#include "entry/entry_state.h"

#include <catch2/catch.hpp>

using namespace sassafras;

TEST_CASE("example of docs/DRIVING.md confirms an entry's view") {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  ControlState control = makeControl(
      ControlOptions(),
      makeBlankRaft({"control", 1, "control"}, {"control"}, 1, now), nullptr);
  EntryState entry;
  entry.Options = {"entry", "zone"};
  entry.View.ControlAddresses = {"control"};
  std::deque<std::pair<std::string, wire::Envelope>> network;
  auto carry = [&](const std::string &From, const std::string &To,
                   wire::Envelope Message) {
    Message.set_from(From);
    Message.set_reply_address(From);
    Message.set_incarnation(1);
    network.emplace_back(To, std::move(Message));
  };
  auto carryControl = [&](ControlEffects Effects) {
    for (ControlEffect &it : Effects)
      if (auto *send = std::get_if<RaftSend>(&it))
        carry("control", send->Address, std::move(send->Message));
  };
  auto carryEntry = [&](EntryEffects Effects) {
    for (EntryEffect &it : Effects)
      if (auto *send = std::get_if<EntrySend>(&it))
        carry("entry", send->Address, std::move(send->Message));
  };
  for (int i = 0; i < 400; ++i) {
    now += Millis(25);
    carryControl(stepControl(control, ControlTick{}, now));
    carryEntry(stepEntry(entry, EntryTick{}, now));
    while (!network.empty()) {
      auto [to, message] = std::move(network.front());
      network.pop_front();
      if (to == "control")
        carryControl(stepControl(control, ControlReceived{message}, now));
      else
        carryEntry(stepEntry(entry, EntryReceived{message}, now));
    }
  }
  CHECK(isConfirmed(entry.View, now));
}
