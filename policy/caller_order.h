/// \file
/// The one order in which callers get scarce room: slots and memory of engines,
/// tokens of a quota, places at the weight store.
///
/// Load pattern: more requests wait than can be served before their callers
/// give up. Urgent requests go first; among equals, those that lose most by
/// waiting longer, and no organisation takes the room of the others.
#ifndef SASSAFRAS_POLICY_CALLER_ORDER_H
#define SASSAFRAS_POLICY_CALLER_ORDER_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sassafras {

/// A request that is late already goes behind those that are not for this long;
/// then it goes first in its rank. Otherwise requests with short objectives
/// would get nothing while others with long ones arrive.
inline constexpr Millis LongestPutBack{1'000};

/// A request that waits for room.
struct CallerPosition {
  uint32_t Rank = 0; ///< 0 is the most urgent.
  /// Steps by which the requests of its organisation that are served or go
  /// before it exceed the organisation's even part of the room.
  uint32_t ExcessOfOrganisation = 0;
  /// Latest time at which it must begin for its caller to be served on time.
  TimePoint LatestStart;
  uint64_t Number = 0; ///< Order of arrival.
};

/// True if \p A is served before \p B. A strict weak order. Pure and thread
/// safe.
bool isServedBefore(const CallerPosition &A, const CallerPosition &B,
                    TimePoint Now);

/// A caller and the organisation whose part of the room it takes. Its excess is
/// filled in by orderCallers().
struct WaitingCaller {
  CallerPosition Position;
  std::string Organisation;
};

/// Sorts callers that wait for the same room. \p Served: requests in progress
/// there, by organisation. Pure and thread safe.
std::vector<WaitingCaller>
orderCallers(std::vector<WaitingCaller> Callers,
             const std::map<std::string, uint32_t> &Served, TimePoint Now);

/// Returns how many of \p Others orderCallers() puts before \p It, which is not
/// one of them. All have the same rank. Takes linear time, for decisions on
/// each of many waiting requests. Pure and thread safe.
uint32_t countServedBefore(const WaitingCaller &It,
                           const std::vector<const WaitingCaller *> &Others,
                           const std::map<std::string, uint32_t> &Served,
                           TimePoint Now);

} // namespace sassafras

#endif
