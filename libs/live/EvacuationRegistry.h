#ifndef LYCHEE_LIVE_EVACUATIONREGISTRY_H
#define LYCHEE_LIVE_EVACUATIONREGISTRY_H

#include "base/Id.h"
#include "base/Time.h"
#include "live/StoreRevision.h"

#include <map>
#include <set>
#include <utility>

namespace lychee::live {

/// Tracks the availability zones whose targets get no requests.
///
/// Failure: the store comes back from an older copy, from which an evacuation
/// is missing, or in which one that was lifted is there again. Without a
/// safeguard an evacuated zone gets requests, or a healthy zone gets none,
/// until operators have written their orders again. What is known therefore
/// outlasts the copy for DoubtTime; after that the store's state counts.
///
/// Not thread-safe; used on the control loop's thread. \see TargetRegistry
class EvacuationRegistry {
public:
  /// Time after which the state of a restored store counts.
  static constexpr base::Duration DoubtTime = RewriteTime + RewriteLearningTime;
  /// Lifted evacuations are remembered for longer than copies are old.
  static constexpr base::Duration LiftedMemory = std::chrono::seconds(60);

  /// Records an order, or that it was lifted.
  /// \param Restored the state is that of a restored store.
  /// \returns whether what is known outlasts the store's state.
  bool set(const base::ZoneId &Zone, bool Evacuated, bool Restored,
           base::TimePoint Now);

  /// Records that the store came back from a copy, perhaps again.
  void noteRestore(base::TimePoint Now);

  /// Lets the store's state count where it was not written again. To be called
  /// every 200 ms.
  void expire(base::TimePoint Now);

  /// \returns whether zones() changed since the last call.
  bool takeChanged() noexcept { return std::exchange(Changed_, false); }

  const std::set<base::ZoneId> &zones() const noexcept { return Zones_; }

private:
  /// State of a restored store that does not count yet.
  struct Doubted {
    bool Evacuated_ = false;
    base::TimePoint CountsAt_;
  };

  void change(const base::ZoneId &Zone, bool Evacuated, base::TimePoint Now);

  std::set<base::ZoneId> Zones_;
  std::map<base::ZoneId, base::TimePoint> LiftedAt_;
  std::map<base::ZoneId, Doubted> Doubted_;
  bool Changed_ = false;
};

} // namespace lychee::live

#endif
