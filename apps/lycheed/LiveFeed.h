#ifndef LYCHEE_APPS_LYCHEED_LIVEFEED_H
#define LYCHEE_APPS_LYCHEED_LIVEFEED_H

#include "dispatch/DispatchSteering.h"
#include "gateway/Gateway.h"
#include "live/ActiveIntent.h"
#include "live/EvacuationRegistry.h"
#include "live/ObjectFollower.h"
#include "live/TargetRegistry.h"
#include "lycheed/LiveGauges.h"
#include "members/HostTable.h"
#include "relaying/RelayCopyLimiter.h"
#include "relaying/RelayMessages.h"
#include "relaying/RelayRole.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace lychee::daemon {

/// Whom a feed tells what it learned. All outlive it.
struct LiveFeedParts {
  live::ObjectSource &Source_;
  live::ActiveIntent &Intents_;
  dispatch::DispatchSteering &Steering_;
  gateway::Gateway &Gateway_;
  members::HostTable &Hosts_;
  relaying::RelayRole &Role_;
  LiveGauges &Gauges_;
  const std::map<base::ZoneId, base::RegionId> &Zones_;
  /// After this a leaving target must get nothing more.
  base::Duration DrainBound_{};
  relaying::FreshnessTimeouts Pace_;
  /// Called when a restored store does not list this host.
  std::function<void()> OnUnlisted_;
};

/// Keeps the host's knowledge of intent, targets, zones to keep clear and
/// listed hosts up with the store, and hands each change on. Of the control
/// loop's thread. \see live::ObjectFollower
class LiveFeed {
public:
  /// \param Seed  of the pauses after trouble.
  LiveFeed(const LiveFeedParts &Parts, std::uint64_t Seed);
  LiveFeed(const LiveFeed &) = delete;
  LiveFeed &operator=(const LiveFeed &) = delete;

  void start(const boost::asio::any_io_executor &Executor);

  /// Drops what has been missing for too long. To be called every 200 ms.
  void expire(base::TimePoint Now);

  // What is passed on between hosts.
  relaying::RelayRequest question(base::TimePoint Now) const;
  relaying::RelayResponse answer(const relaying::RelayRequest &Asked,
                                 base::TimePoint Now);
  void take(const relaying::RelayResponse &Told, base::TimePoint AskedAt,
            base::TimePoint Now);

  std::size_t targetCount() const noexcept { return Targets_.size(); }
  std::size_t evacuatedCount() const noexcept {
    return Evacuations_.zones().size();
  }
  /// \returns the latest era of the store that anything known is of; 0: the
  /// store states none.
  std::uint64_t storeEra() const noexcept;

  /// \returns whether everything that a request needs has been heard once.
  bool knowsAll() const noexcept {
    return HasTargets_ && HasEvacuations_ && Intents_.current() != nullptr;
  }

private:
  std::unique_ptr<live::ObjectFollower>
  follow(std::string_view Kind, const live::FollowerTimings &Pace,
         live::FollowerCallbacks Heard);
  void noteTrouble(std::string_view Kind, const base::Error &Why);
  void noteRejection(std::string_view Kind, const base::Error &Why);
  void noteWatchCut(std::string_view Kind, const base::Error &Why);
  /// Has all kinds compared with the store once it is known to have come back
  /// from an older copy, from whomever that is heard.
  void noteEra(std::uint64_t Era, base::TimePoint Now);
  static void logRestore(std::string_view Kind,
                         const live::RestoreReport &Done);
  static void logList(std::string_view Kind, const live::ObjectBatch &List);
  void noteUnreadable(std::string_view Kind,
                      const live::UnreadableEntries &Entries,
                      base::TimePoint Now);
  void noteIgnoredList(std::string_view Kind, const live::ObjectBatch &List,
                       live::StoreRevision Known, base::TimePoint Now);
  void takeIntent(std::span<const live::StoredObject> Heard);
  /// Hands an intent that is in force to those who act by it.
  void applyIntent(const std::shared_ptr<const live::Intent> &Fresh);
  /// \param Refused  the store does not answer the host that asks.
  live::ObjectUpdate newsFor(const live::ObjectFollower &Told,
                             live::StoreRevision Since, bool Refused,
                             base::TimePoint Now);
  /// \param SeenAge  time since an entry that is missing now was surely there.
  static live::TargetChange readTarget(const live::StoredObject &Entry,
                                       base::Duration SeenAge);
  void takeTargets(std::span<const live::StoredObject> Heard);
  void takeEvacuations(std::span<const live::StoredObject> Heard);
  void takeHosts(std::span<const live::StoredObject> Heard);
  void pushTargets(base::TimePoint Now);
  void pushEvacuations(base::TimePoint Now);

  const LiveFeedParts Parts_;
  live::ActiveIntent &Intents_;
  live::TargetRegistry Targets_;
  relaying::RelayCopyLimiter Copies_;
  live::EvacuationRegistry Evacuations_;
  std::map<std::string, members::ListedHost> Listed_;
  std::atomic<bool> HasTargets_ = false;
  std::atomic<bool> HasEvacuations_ = false;
  base::Random Random_;
  live::RecoverySignal Recovered_;
  std::map<std::string, base::TimePoint> IgnoredListLoggedAt_;
  std::map<std::string, base::TimePoint> UnreadableLoggedAt_;
  std::uint64_t NotedEra_ = 0;
  std::vector<std::unique_ptr<live::ObjectFollower>> Followers_;
};

} // namespace lychee::daemon

#endif
