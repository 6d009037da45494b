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
/// Versions only rise while a process lives: an older intent that comes late,
/// from a stale read or a lost answer, is refused.
///
/// Failure that the trust guards against: an operator withdraws a key while
/// this host is cut off from the store, or paused. Symptom without it: the key
/// goes on working here. Each confirmation says that the intent was the newest
/// at a moment; keys hold for KeyTrust after it, and the question is asked
/// again right before each send, so that neither a wait nor a pause outlives
/// it. That is enough, since an intent that is the newest at a moment C cannot
/// have been replaced before C.
///
/// Thread-safe. \see gateway::RequestRouter, gateway::Authenticator
class ActiveIntent final : public gateway::RequestRouter,
                           public gateway::Authenticator {
public:
  /// \param KeyTrust  how long after a confirmation keys hold; below the bound
  /// that was promised by what a send takes to reach its target.
  explicit ActiveIntent(base::Duration KeyTrust) : KeyTrust_(KeyTrust) {}

  /// Puts \p Fresh in force. \returns false where it is not newer than what
  /// is in force; equal versions keep what stands.
  bool offer(std::shared_ptr<const Intent> Fresh);

  /// The intent in force was the newest at \p Moment.
  void confirm(base::TimePoint Moment);

  std::shared_ptr<const Intent> current() const;

  /// \returns whether keys may be trusted at \p Now.
  bool isTrusted(base::TimePoint Now) const;

  /// \returns the age of the last confirmation; nothing before the first.
  std::optional<base::Duration> age(base::TimePoint Now) const;

  std::optional<gateway::Route>
  route(const gateway::RouteQuery &Query) override;
  gateway::Identity check(std::string_view Presented,
                          base::TimePoint Now) override;
  steering::Refusal recheck(const gateway::Identity &Found,
                            base::TimePoint Now) override;

private:
  /// Divides a rule's requests among its services in exact proportion: each
  /// turn all gain their weight, and the one with the most pays the sum
  /// (smooth weighted round robin). Random draws would stray by chance.
  struct Division {
    std::vector<std::int64_t> Credit_;
  };

  struct KeyHolder {
    std::size_t Customer_ = 0;
    /// Stands for the key in logs and later checks: the beginning of its hash,
    /// from which nobody gets the key.
    base::KeyId Id_;
  };

  struct Snapshot {
    std::shared_ptr<const Intent> Intent_;
    /// Rules of each host, longest prefix first; indices into the intent.
    std::unordered_map<std::string, std::vector<std::size_t>> ByHost_;
    std::unordered_map<std::string, KeyHolder> ByKey_;
    /// Customers by the id of a key.
    std::unordered_map<std::string, std::size_t> ById_;
  };

  const base::ServiceId &divide(const RouteRule &Rule);
  static Snapshot snapshotOf(std::shared_ptr<const Intent> From);

  const base::Duration KeyTrust_;
  mutable std::mutex Lock_;
  Snapshot Current_;
  std::unordered_map<std::string, Division> Divisions_;
  std::optional<base::TimePoint> Confirmed_;
};

} // namespace lychee::live

#endif
