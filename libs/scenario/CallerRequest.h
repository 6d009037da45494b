#ifndef LYCHEE_SCENARIO_CALLERREQUEST_H
#define LYCHEE_SCENARIO_CALLERREQUEST_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::scenario {

/// One request of a played caller, from its send to its answer.
struct CallerRequest {
  /// Numbers requests in the order of their sends; the same in each run of a
  /// seed, whichever strategy is played.
  std::uint64_t Serial_ = 0;
  std::size_t Load_ = 0;
  std::size_t Caller_ = 0;
  base::TimePoint Began_;
  base::TimePoint Deadline_;
  base::Duration Work_{};
  bool Idempotent_ = true;
  /// Takes down each target that runs it.
  bool Poison_ = false;
  /// Began after the warm-up.
  bool Counted_ = false;
  /// Within the customer's rate and burst when it came.
  bool Conforming_ = false;
  bool Cold_ = false;
  std::uint32_t Sends_ = 0;
  /// Times that a target began to run it.
  std::uint32_t Runs_ = 0;
  /// Counted against its customer's rate.
  bool LetIn_ = false;
  bool Ended_ = false;
};

} // namespace lychee::scenario

#endif
