/// \file
/// Actor around the decisions of one role: it receives typed events one at a
/// time and a tick at a steady pace. In-process only.
#ifndef SASSAFRAS_CORE_ROLE_ACTOR_H
#define SASSAFRAS_CORE_ROLE_ACTOR_H

#include "core/time.h"

#include <caf/all.hpp>

#include <functional>
#include <memory>

namespace sassafras {

/// An event on its way to the actor; never copied, never serialised.
template <class Event> struct EventBox { std::shared_ptr<Event> Content; };

} // namespace sassafras

namespace caf {

template <class Event>
struct allowed_unsafe_message_type<sassafras::EventBox<Event>>
    : std::true_type {};

} // namespace caf

namespace sassafras {

using RoleTick = caf::atom_constant<caf::atom("roletick")>;

/// Behaviour that gives each event, and \p Tick every \p Period, to \p Step.
template <class Event>
caf::behavior makeRoleBehavior(caf::event_based_actor *Self,
                               std::function<void(Event &)> Step, Event Tick,
                               Millis Period) {
  Self->send(Self, RoleTick::value);
  return {
      [Step](const EventBox<Event> &Box) { Step(*Box.Content); },
      [Self, Step, Tick, Period](RoleTick) {
        Event tick = Tick;
        Step(tick);
        Self->delayed_send(Self, Period, RoleTick::value);
      },
  };
}

/// Sends \p Content to the role's actor. Thread safe.
template <class Event> void sendEvent(const caf::actor &Role, Event Content) {
  caf::anon_send(Role,
                 EventBox<Event>{std::make_shared<Event>(std::move(Content))});
}

} // namespace sassafras

#endif
