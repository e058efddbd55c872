/// \file
/// Actor that runs the state machine of one role: it handles typed events one
/// at a time and a periodic tick. In-process only.
#ifndef SASSAFRAS_CORE_ROLE_ACTOR_H
#define SASSAFRAS_CORE_ROLE_ACTOR_H

#include "core/logging.h"
#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/all.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

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
using RoleEnd = caf::atom_constant<caf::atom("roleend")>;

/// A process that stops waits for a running handler, which a disk may hold up,
/// for at most this long.
constexpr Millis HandlerTimeout{2'000};

/// Owner of a role's actor. What the handler uses must outlive the owner, whose
/// destructor waits for a running handler; isClosed() tells whether it has to.
template <class Event> class RoleActor {
public:
  using Handler = std::function<void(Event &)>;

  /// \p Name: the role, for the log.
  RoleActor(boost::asio::io_context &Io, caf::actor_system &System,
            std::string Name)
      : Io(Io), System(System), Name(std::move(Name)) {}

  /// Blocks until the running handler, if there is one, has returned.
  ~RoleActor() {
    if (!Actor)
      return;
    requestEnd();
    std::unique_lock guard(Shared->Lock);
    Shared->HasEnded.wait(guard, [&] { return Shared->IsEnded; });
  }
  RoleActor(const RoleActor &) = delete;
  RoleActor &operator=(const RoleActor &) = delete;

  /// Calls \p OnEvent with each event, and with \p Tick every \p Period, on the
  /// actor's thread; events that come after or are queued at close() go to
  /// \p OnDropped, if it is set, which must be thread safe. Call once, before
  /// the other methods.
  void start(Handler OnEvent, Event Tick, Millis Period,
             Handler OnDropped = {}) {
    this->OnDropped = OnDropped;
    Actor = System.spawn(makeBehavior, std::move(OnEvent), std::move(OnDropped),
                         std::move(Tick), Period, Shared);
  }

  /// Queues an event, or gives it to OnDropped on the caller's thread if the
  /// actor is ending. Thread safe once start() has returned.
  void post(Event Content) {
    if (!Actor)
      return;
    if (!Shared->IsEnding)
      caf::anon_send(Actor, EventMessage<Event>{
                                std::make_shared<Event>(std::move(Content))});
    else if (OnDropped)
      OnDropped(Content);
  }

  /// Ends the actor without blocking; a running handler is completed.
  /// \p OnClosed is called once on the I/O context's thread: with true, after
  /// everything that the last handler has posted to the context, or with false
  /// if that handler still runs at \p Deadline. Call at most once, on the I/O
  /// context's thread.
  void close(TimePoint Deadline, std::function<void(bool)> OnClosed) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        Io, std::max(Deadline - Clock::now(), Clock::duration::zero()));
    timer->async_wait([&io = Io, name = Name, shared = Shared, timer,
                       isStarted = static_cast<bool>(Actor),
                       onClosed = std::move(OnClosed)](auto) {
      bool isClosed = !isStarted || shared->isEnded();
      if (!isClosed)
        logEvent(LogLevel::Error, "handler_abandoned", {{"role", name}});
      boost::asio::post(io, [onClosed, isClosed] { onClosed(isClosed); });
    });
    auto finish = [&io = Io, timer] {
      boost::asio::post(io, [timer] { timer->cancel(); });
    };
    if (!Actor) {
      finish();
      return;
    }
    Shared->callAtEnd(finish);
    requestEnd();
  }

  /// True when no handler runs or will run. Thread safe once start() has
  /// returned.
  bool isClosed() const { return !Actor || Shared->isEnded(); }

private:
  /// State that the actor shares with its owner. All methods are thread safe.
  struct State {
    std::atomic<bool> IsEnding{false}; ///< Queued events are dropped.
    std::mutex Lock;                   ///< Guards the members below.
    std::condition_variable HasEnded;
    bool IsEnded = false;
    std::function<void()> OnEnded;

    bool isEnded() {
      std::lock_guard guard(Lock);
      return IsEnded;
    }

    void callAtEnd(std::function<void()> Act) {
      std::lock_guard guard(Lock);
      if (IsEnded)
        Act();
      else
        OnEnded = std::move(Act);
    }

    void end() {
      std::lock_guard guard(Lock);
      IsEnded = true;
      if (OnEnded)
        OnEnded();
      OnEnded = nullptr;
      HasEnded.notify_all();
    }
  };

  static caf::behavior makeBehavior(caf::event_based_actor *Self,
                                    Handler OnEvent, Handler OnDropped,
                                    Event Tick, Millis Period,
                                    std::shared_ptr<State> Shared) {
    // However the actor ends, its owner is told.
    Self->attach_functor([Shared] { Shared->end(); });
    Self->send(Self, RoleTick::value);
    return {
        [OnEvent, OnDropped, Shared](const EventMessage<Event> &Message) {
          if (!Shared->IsEnding)
            OnEvent(*Message.Content);
          else if (OnDropped)
            OnDropped(*Message.Content);
        },
        [Self, OnEvent, Tick, Period, Shared](RoleTick) {
          if (Shared->IsEnding)
            return;
          Event tick = Tick;
          OnEvent(tick);
          Self->delayed_send(Self, Period, RoleTick::value);
        },
        [Self](RoleEnd) { Self->quit(); },
    };
  }

  void requestEnd() {
    if (!Shared->IsEnding.exchange(true))
      caf::anon_send(Actor, RoleEnd::value);
  }

  boost::asio::io_context &Io;
  caf::actor_system &System;
  std::string Name;
  Handler OnDropped;
  std::shared_ptr<State> Shared = std::make_shared<State>();
  caf::actor Actor;
};

} // namespace sassafras

#endif
