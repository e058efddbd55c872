/// \file
/// Actor that runs the state machine of one role: it handles typed events one
/// at a time and a periodic tick. In-process only.
#ifndef SASSAFRAS_CORE_ROLE_ACTOR_H
#define SASSAFRAS_CORE_ROLE_ACTOR_H

#include "core/time.h"

#include <caf/all.hpp>

#include <functional>
#include <memory>

namespace sassafras {

/// Message that carries an event to the actor by pointer; the event is neither
/// copied nor serialised.
template <class Event> struct EventMessage { std::shared_ptr<Event> Content; };

} // namespace sassafras

namespace caf {

template <class Event>
struct allowed_unsafe_message_type<sassafras::EventMessage<Event>>
    : std::true_type {};

} // namespace caf

namespace sassafras {

using RoleTick = caf::atom_constant<caf::atom("roletick")>;

/// Behaviour that calls \p Handler with each event, and with \p Tick every
/// \p Period.
template <class Event>
caf::behavior makeRoleBehavior(caf::event_based_actor *Self,
                               std::function<void(Event &)> Handler, Event Tick,
                               Millis Period) {
  Self->send(Self, RoleTick::value);
  return {
      [Handler](const EventMessage<Event> &Message) {
        Handler(*Message.Content);
      },
      [Self, Handler, Tick, Period](RoleTick) {
        Event tick = Tick;
        Handler(tick);
        Self->delayed_send(Self, Period, RoleTick::value);
      },
  };
}

/// Sends \p Content to the actor \p Role. Thread safe.
template <class Event> void sendEvent(const caf::actor &Role, Event Content) {
  caf::anon_send(
      Role, EventMessage<Event>{std::make_shared<Event>(std::move(Content))});
}

} // namespace sassafras

#endif
