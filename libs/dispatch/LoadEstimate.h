#ifndef LYCHEE_DISPATCH_LOADESTIMATE_H
#define LYCHEE_DISPATCH_LOADESTIMATE_H

#include "base/Time.h"
#include "steering/Steering.h"

#include <cstdint>
#include <optional>

namespace lychee::dispatch {

/// How many requests a target works on or holds, as far as one of many hosts
/// can tell.
///
/// Load pattern: targets with 3 or 4 slots, used by a dozen hosts, each of
/// which sends to it less than once a second. A host's own count says next to
/// nothing; what the target reported with its last answer is exact, but old
/// after a few times the work of one request. So the others' part is what was
/// reported, fading to the mean of reports; the own part is counted.
class LoadEstimate {
public:
  /// A report is half forgotten after this: about the mean work of a request
  /// (150 to 200 ms where the target is warm), after which others' requests
  /// have been replaced by new ones.
  static constexpr base::Duration FadeTime = std::chrono::milliseconds(200);

  void sent() noexcept { ++Own_; }
  void ended() noexcept { Own_ -= Own_ > 0 ? 1 : 0; }

  /// The target told its load; own requests, but for the one just answered,
  /// are in it.
  void reported(const steering::TargetLoad &Told, base::TimePoint Now) noexcept;

  /// The target refused since it is full: \p Slots and its queue are taken.
  void refused(std::uint32_t Slots, base::TimePoint Now) noexcept;

  /// \returns the requests at the target now.
  double at(base::TimePoint Now) const noexcept;

  /// \returns the age of the target's last word on its load, where it said any.
  std::optional<base::Duration> age(base::TimePoint Now) const noexcept {
    if (Reported_ == base::TimePoint())
      return std::nullopt;
    return Now - Reported_;
  }

  std::uint32_t own() const noexcept { return Own_; }

private:
  std::uint32_t Own_ = 0;
  double Others_ = 0;
  double Mean_ = 0;
  base::TimePoint Reported_;
};

} // namespace lychee::dispatch

#endif
