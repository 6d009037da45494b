#ifndef LYCHEE_GATEWAY_CLAIMGATE_H
#define LYCHEE_GATEWAY_CLAIMGATE_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lychee::gateway {

/// Names one piece of work that must run at most once.
struct ClaimRequest {
  base::CustomerId Customer_;
  base::ServiceId Service_;
  /// Text of the caller's Idempotency-Key header.
  std::string IdempotencyKey_;
  /// Of method, path and body; another one under the same key is a mistake of
  /// the caller.
  std::uint64_t Fingerprint_ = 0;
  base::TimePoint Deadline_;
};

/// May the work run here?
struct ClaimAnswer {
  enum class Kind {
    Granted,
    /// It has run; Status_ tells how it ended, 0 where that is unknown.
    AlreadyRun,
    /// Another send of it is under way.
    HeldElsewhere,
    /// No claim can be recorded, so nothing may run.
    StoreDown,
  };

  Kind Kind_ = Kind::StoreDown;
  int Status_ = 0;
  base::Duration RetryAfter_{};
};

/// How granted work ended.
enum class ClaimEnd {
  /// Proven not to have run: it may be claimed again.
  NotRun,
  /// It ran and was answered.
  Answered,
  /// It may have run; nobody may run it again.
  Unknown,
};

/// Makes a non-idempotent request with an Idempotency-Key run at most once
/// over all hosts. Called from several threads. Once the gateway is destroyed
/// no answer may be given any more: end the gate's own threads before.
/// \see retrying
class ClaimGate {
public:
  ClaimGate() = default;
  ClaimGate(const ClaimGate &) = delete;
  ClaimGate &operator=(const ClaimGate &) = delete;
  virtual ~ClaimGate() = default;

  using Answered = std::function<void(ClaimAnswer)>;

  /// Asks for the right to run the work. \p Done is called once, from any
  /// thread, also before this call returns.
  virtual void acquire(const ClaimRequest &Asked, base::TimePoint Now,
                       Answered Done) = 0;

  /// Tells how granted work ended. \param Status  HTTP status, 0 if none.
  virtual void settle(const ClaimRequest &Granted, ClaimEnd End, int Status,
                      base::TimePoint Now) = 0;
};

} // namespace lychee::gateway

#endif
