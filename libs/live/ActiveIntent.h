#ifndef LYCHEE_LIVE_ACTIVEINTENT_H
#define LYCHEE_LIVE_ACTIVEINTENT_H

#include "gateway/Authenticator.h"
#include "gateway/RequestRouter.h"
#include "live/Intent.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lychee::live {

/// Holds the intent in force, and knows until when its keys may be trusted.
///
/// Versions only increase during the life of a process. An older intent that
/// arrives late, after a stale read or a lost response, is rejected.
///
/// Failure: an operator withdraws a key while this host is cut off from the
/// store or paused. Without a safeguard the key continues to work here. Each
/// confirmation states that the intent was the newest one at a point in time.
/// Keys are trusted for KeyTrust after that point, and this is checked again
/// immediately before each send, so that neither waiting nor a pause extends
/// it. This is sufficient, because an intent that is the newest at time C
/// cannot have been replaced before C.
///
/// Failure: the newest intent cannot be read. Without a safeguard the one
/// before it goes on being confirmed, and a key that was withdrawn works for
/// good. An unreadable intent ends the confirmations until one can be read
/// again, so that all keys become stale within KeyTrust. If only parts of it
/// cannot be read, the rest is in force, and requests that the unreadable parts
/// may concern are refused as not executed.
///
/// Failure: the store comes back from an older copy, and a host starts before
/// the operator has written the newest intent again. It knows nothing newer
/// than the copy, in which a withdrawn key is valid. Hosts that hold a newer
/// intent than the store therefore announce its version, and a host with an
/// older one trusts no keys meanwhile.
///
/// Thread-safe. \see gateway::RequestRouter, gateway::Authenticator
class ActiveIntent final : public gateway::RequestRouter,
                           public gateway::Authenticator {
public:
  /// A newer intent than the store's is announced for this long after the store
  /// showed the older one; operators write theirs again within 2 s.
  static constexpr base::Duration AnnouncementTime = std::chrono::seconds(5);
  /// An announcement counts for this long; heartbeats repeat it twice per
  /// second.
  static constexpr base::Duration AnnouncementMemory = std::chrono::seconds(2);

  /// \param KeyTrust how long keys are trusted after a confirmation. Must be
  /// less than the promised bound by the time that a send takes to reach its
  /// target.
  explicit ActiveIntent(base::Duration KeyTrust) : KeyTrust_(KeyTrust) {}

  /// Puts \p Candidate in force. It is the newest one that the store has.
  /// \returns false if it is not newer than the intent in force, which then
  /// stays.
  bool offer(std::shared_ptr<const Intent> Candidate, base::TimePoint Now);

  /// \returns the version in force if it is newer than the one that the store
  /// has shown within AnnouncementTime.
  std::optional<std::uint64_t> versionAheadOfStore(base::TimePoint Now) const;

  /// Records that another host announced its version as newer than the store's.
  void noteAnnouncedVersion(std::uint64_t Version, base::TimePoint Now);

  /// Records that the newest intent of the store cannot be read, or is gone.
  void noteUnreadable();

  /// Records that the store's newest intent at \p Time was the last one that
  /// was offered, or noted as unreadable.
  void confirm(base::TimePoint Time);

  std::shared_ptr<const Intent> current() const;

  /// \returns whether keys are trusted at \p Now.
  bool isTrusted(base::TimePoint Now) const;

  /// \returns the age of the last confirmation; nothing before the first one.
  std::optional<base::Duration> age(base::TimePoint Now) const;

  std::optional<gateway::Route>
  route(const gateway::RouteQuery &Query) override;
  std::uint64_t settingsVersion() const override;
  gateway::Identity check(std::string_view Presented,
                          base::TimePoint Now) override;
  steering::Refusal recheck(const gateway::Identity &Presented,
                            base::TimePoint Now) override;

private:
  /// Divides a rule's requests among its services in exact proportion to their
  /// weights (smooth weighted round robin): in each round every service gains
  /// its weight, and the one with the highest credit is chosen and pays the
  /// sum. Random choice would deviate from the proportion.
  struct WeightedRoundRobin {
    std::vector<double> Credit_;
  };

  struct KeyHolder {
    /// Nothing if the customer's settings cannot be read.
    std::optional<std::size_t> Customer_;
    /// Identifies the key in logs and later checks: a prefix of its hash, from
    /// which the key cannot be recovered.
    base::KeyId Id_;
  };

  struct Snapshot {
    std::shared_ptr<const Intent> Intent_;
    /// Rules of each host name, longest prefix first, as indices into the
    /// intent.
    std::unordered_map<std::string, std::vector<std::size_t>> ByHost_;
    std::unordered_map<std::string, KeyHolder> ByKey_;
    /// Customers by key ID.
    std::unordered_map<std::string, std::optional<std::size_t>> ById_;
  };

  const base::ServiceId &pickService(const RouteRule &Rule);
  static void addKey(Snapshot &Into, const std::string &Key,
                     std::optional<std::size_t> Customer);
  static Snapshot makeSnapshot(std::shared_ptr<const Intent> Source);

  const base::Duration KeyTrust_;
  mutable std::mutex Lock_;
  Snapshot Current_;
  std::unordered_map<std::string, WeightedRoundRobin> Balancers_;
  std::optional<base::TimePoint> ConfirmedAt_;
  /// The newest intent of the store cannot be read.
  bool Unreadable_ = false;
  /// Set while the store shows an older intent than the one in force.
  std::optional<base::TimePoint> AheadSince_;
  std::uint64_t AnnouncedVersion_ = 0;
  base::TimePoint AnnouncedAt_;
};

} // namespace lychee::live

#endif
