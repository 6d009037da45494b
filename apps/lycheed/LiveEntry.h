#ifndef LYCHEE_APPS_LYCHEED_LIVEENTRY_H
#define LYCHEE_APPS_LYCHEED_LIVEENTRY_H

#include "gateway/HostDirectory.h"
#include "live/ActiveIntent.h"
#include "members/EntryPolicy.h"

#include <atomic>
#include <functional>

namespace lychee::daemon {

/// Tells callers which hosts to use, by what heartbeats tell of them.
/// \see members::chooseEntries
class LiveEntry final : public gateway::HostDirectory {
public:
  struct Parts {
    const members::HostTable &Hosts_;
    const live::ActiveIntent &Intents_;
    /// Whether this host knows all that a request needs.
    std::function<bool()> KnowsAll_;
    /// Whether this host reaches targets.
    std::function<bool()> ReachesTargets_;
    /// Called once, when this host begins to stop.
    std::function<void()> Leave_;
  };

  /// Callers keep an answer for so long, some of them three times: a host that
  /// stops must outlast them within its grace.
  static constexpr base::Duration TimeToLive = std::chrono::seconds(1);

  explicit LiveEntry(Parts Others) : Others_(std::move(Others)) {}

  /// \returns the caller addresses for \p Asked, of which homes are filled
  /// in here.
  std::vector<std::string> resolve(members::EntryQuery Asked,
                                   base::TimePoint Now) const;

  /// \returns whether requests can be served here.
  bool isReady() const;
  members::LocalHostState ownState(base::TimePoint Now) const;

  // gateway::HostDirectory
  std::optional<gateway::HostAnswer> lookUp(const base::ServiceId &Service,
                                            std::uint32_t CallerAddress,
                                            base::TimePoint Now) override;
  void announceLeaving(base::TimePoint Now) override;

  bool leaving() const noexcept { return Leaving_; }

private:
  std::vector<base::RegionId> homesOf(const std::string &HostName) const;

  const Parts Others_;
  std::atomic<bool> Leaving_ = false;
};

} // namespace lychee::daemon

#endif
