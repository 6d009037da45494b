#ifndef LYCHEE_GATEWAY_TARGETOBSERVER_H
#define LYCHEE_GATEWAY_TARGETOBSERVER_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace lychee::gateway {

/// A target that the gateway may send to and polls.
struct TargetEntry {
  base::TargetId Target_;
  base::ServiceId Service_;
  /// IP:PORT.
  std::string Address_;
  /// Connections this host may hold to it, working and idle.
  std::uint32_t ConnectionLimit_ = 1;
};

/// What one poll of a target found.
struct TargetObservation {
  base::TargetId Target_;
  base::ServiceId Service_;
  /// It answered its health path with 200 in time.
  bool Healthy_ = false;
  /// The load fields below were told; they may lag or lie.
  bool HasLoad_ = false;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  base::Duration Took_{};
  /// What went wrong, where it is not healthy.
  std::string Reason_;
};

/// Hears the result of each poll, and says which targets may be polled; called
/// from one thread. \see TargetPoller
class TargetObserver {
public:
  TargetObserver() = default;
  TargetObserver(const TargetObserver &) = delete;
  TargetObserver &operator=(const TargetObserver &) = delete;
  virtual ~TargetObserver() = default;

  virtual void observed(const TargetObservation &Seen, base::TimePoint Now) = 0;

  /// \returns whether the target may be polled now; a target that rests from
  /// this host wants no polls either.
  virtual bool mayPoll(const TargetEntry &Entry, base::TimePoint Now) {
    (void)Entry;
    (void)Now;
    return true;
  }
};

} // namespace lychee::gateway

#endif
