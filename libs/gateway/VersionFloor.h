#ifndef LYCHEE_GATEWAY_VERSIONFLOOR_H
#define LYCHEE_GATEWAY_VERSIONFLOOR_H

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>

namespace lychee::gateway {

/// The oldest version of the settings by which another host may decide on a
/// request that this one forwards.
///
/// Failure: hosts hear of new settings at different times, and one that has
/// lost the store seconds late. Symptom without this: a caller's requests,
/// forwarded to one host and then to another, run by the new rule and then by
/// the old one. A version binds only some time after it was seen, so that the
/// usual differences between hosts refuse nothing.
///
/// Thread-safe.
class VersionFloor {
public:
  /// After this long all hosts that reach the store have a version that this
  /// host has.
  static constexpr base::Duration OwnGrace = std::chrono::seconds(1);
  /// A request may have run by the version of another host's answer.
  static constexpr base::Duration AnswerGrace = std::chrono::milliseconds(200);

  /// This host decided by \p Version.
  void noteOwn(std::uint64_t Version, base::TimePoint Now) {
    note(Version, Now + OwnGrace);
  }
  /// Another host answered by \p Version.
  void noteAnswer(std::uint64_t Version, base::TimePoint Now) {
    note(Version, Now + AnswerGrace);
  }

  /// \returns the oldest version that will do; 0: any.
  std::uint64_t floor(base::TimePoint Now) {
    const std::lock_guard Guard(Lock_);
    for (const auto &[Version, BindsAt] : Pending_)
      if (BindsAt <= Now)
        Floor_ = Version;
    Pending_.erase(Pending_.begin(), Pending_.upper_bound(Floor_));
    return Floor_;
  }

private:
  void note(std::uint64_t Version, base::TimePoint BindsAt) {
    const std::lock_guard Guard(Lock_);
    if (Version <= Floor_)
      return;
    const auto [Entry, IsNew] = Pending_.try_emplace(Version, BindsAt);
    if (!IsNew)
      Entry->second = std::min(Entry->second, BindsAt);
  }

  std::mutex Lock_;
  std::uint64_t Floor_ = 0;
  /// By version: from when on it binds.
  std::map<std::uint64_t, base::TimePoint> Pending_;
};

} // namespace lychee::gateway

#endif
