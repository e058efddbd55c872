/// \file
/// The estimate of what an endpoint can still take, and of when a request of a
/// given size would have its first and its last piece there. All decisions that
/// choose an endpoint, wait, refuse or name a time to return use it.
///
/// Load pattern: engines of one service differ in speed, share their hosts with
/// others that slow them for parts of a second, and run out of memory before
/// they run out of slots when requests are large.
#ifndef SASSAFRAS_POLICY_ENDPOINT_ESTIMATE_H
#define SASSAFRAS_POLICY_ENDPOINT_ESTIMATE_H

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace sassafras {

/// Sizes of one request, in tokens. All are 0 for plain services.
struct RequestSize {
  uint64_t PromptTokens = 0;
  /// Of the prompt, as far as the endpoint is expected to have read before.
  uint64_t KeptTokens = 0;
  uint64_t ExpectedOutput = 0;
  uint64_t MaxOutput = 0;
};

/// What is known of one endpoint, from reports, own sends and outcomes. Figures
/// that nothing is known of keep their default.
struct EndpointFigures {
  double Slots = 1;
  double Held = 0; ///< Requests running or waiting there, of all fronts.
  double MemoryTokens = 0; ///< For running requests and kept prompts; 0: none.
  double HeldTokens = 0;   ///< Part of it that cannot be freed.
  /// Time that work takes there now against the mean endpoint of the service.
  double Pace = 1;
  Millis MeanServiceTime{0}; ///< Of a request of mean size at pace 1.
  Millis MeanFirstPiece{0};  ///< The same until its first piece.
  double MeanTokens = 0;     ///< Memory of a request of mean size.
  double MeanOutput = 0;     ///< Its expected output, in tokens; 0: unknown.
  Millis OneWayDelay{0};     ///< Network delay from this front.
};

/// What an endpoint can take and when it would serve one request.
struct EndpointEstimate {
  double FreeSlots = 0;  ///< Negative if requests wait for a slot there.
  double FreeTokens = 0; ///< Meaningful only with a known memory.
  bool HasRoom = false;  ///< A slot and the memory of this request are free.
  /// The request is larger than the endpoint's memory.
  bool IsTooLarge = false;
  bool HasMemory = false;   ///< Its memory is known.
  bool LacksMemory = false; ///< It has a known memory without enough room.
  /// Time that work takes there against the mean endpoint of the service.
  double Pace = 1;
  Millis Wait{0};       ///< Until it would begin.
  Millis FirstPiece{0}; ///< From now, the wait included.
  Millis LastPiece{0};
};

/// Output that a request is expected to have, of at most \p Most tokens, if its
/// caller guesses \p Hint. A guess is right at the median and often far off, so
/// that it counts as half, in the logarithm, against the usual part of the
/// most.
uint64_t expectedOutput(uint64_t Most, std::optional<uint64_t> Hint);
/// Memory that a request takes until its end, in tokens.
double memoryOf(const RequestSize &Size);
/// Estimates for one request of \p Size. Pure and thread safe.
EndpointEstimate estimateEndpoint(const EndpointFigures &Figures,
                                  const RequestSize &Size);

/// Takes \p Tokens from the free memory of \p Estimate, which was made for a
/// request of \p Size. Without a known memory nothing changes.
void withholdMemory(EndpointEstimate &Estimate, double Tokens,
                    const RequestSize &Size);

} // namespace sassafras

#endif
