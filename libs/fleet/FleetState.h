#ifndef LYCHEE_FLEET_FLEETSTATE_H
#define LYCHEE_FLEET_FLEETSTATE_H

#include "fleet/Directory.h"
#include "fleet/FreshnessVote.h"
#include "fleet/LeaseGuard.h"
#include "fleet/LeaseHolder.h"
#include "fleet/SettingsReplica.h"
#include "fleet/ZoneRecordPlanner.h"

#include <json/json.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::fleet {

/// What hosts compare first: newer versions are fetched from who has them.
struct Versions {
  std::uint64_t Record_ = 0;
  std::uint64_t Directory_ = 0;
  std::uint64_t Settings_ = 0;
};

/// All that a host knows of the fleet, and the messages in which hosts tell it
/// each other: heartbeats up to the zone's relay, and down with the answers the
/// zone's record, the directory and how fresh the settings are. A record comes
/// from the store or from a peer alike, as its store version orders it.
///
/// No I/O, no clock; safe to use from several threads, under one lock that is
/// held for microseconds. \see FleetNode, which makes the calls
class FleetState {
public:
  FleetState(const LeaseTiming &Terms, const base::ZoneId &Zone,
             const Member &Self, base::TimePoint Now);
  FleetState(const FleetState &) = delete;
  FleetState &operator=(const FleetState &) = delete;

  // Heartbeats.

  /// \returns the next heartbeat as JSON: this host's and those it passes on.
  Json::Value beat(base::TimePoint Now);
  /// \returns the answer to a peer's heartbeat.
  Json::Value answerBeat(const Json::Value &Request, base::TimePoint Now);
  /// \param AskedAt  when the heartbeat went out.
  /// \returns true where the peer has a newer settings root than this host.
  bool beatAnswered(const Json::Value &Answer, base::TimePoint AskedAt,
                    base::TimePoint Now);

  /// \param Admitted  the asker's admission as it knows it. One that was
  /// removed and admitted anew without hearing of it gets no pledge: its lease
  /// would come back with shares that others have had since.
  bool pledge(const base::HostId &Host, std::uint64_t Admitted,
              base::TimePoint Now);
  void pledged(const base::HostId &Host, base::TimePoint AskedAt,
               base::TimePoint Now);
  void goodbye(const base::HostId &Host);
  void platformGone(const base::HostId &Host);
  void setLeaving();

  // Freshness by all hosts' word.

  Json::Value views(base::TimePoint Now) const;
  void viewsAnswered(const Json::Value &Answer, base::TimePoint AskedAt);
  /// Takes what all hosts say together, if they do.
  void vote(base::TimePoint Now);

  // The store.

  void sawRecord(const ZoneRecord &Record, std::uint64_t Version,
                 base::TimePoint Now);
  /// \returns a record to be written now; it counts as on its way from here.
  std::optional<RecordPlan> beginWrite(base::TimePoint Now);
  /// Each write begun so far certainly failed.
  void abandonWrite();
  void sawDirectory(const Directory &Seen, std::uint64_t Version);
  /// \returns the directory to be written over \p Version, if it must change.
  std::optional<Directory> directoryPlan(std::uint64_t &Version) const;

  // What is known.

  LeaseGuard &guard() noexcept { return Guard_; }
  const LeaseGuard &guard() const noexcept { return Guard_; }
  Versions versions() const;
  Directory directory() const;
  ZoneRecord record() const;
  /// The store's version of the settings in force.
  std::uint64_t inForce() const;
  bool isOwnZone(std::string_view Zone) const noexcept {
    return Zone == Zone_.name();
  }
  const std::string &selfAddress() const noexcept { return Address_; }
  /// The admission under which the newest record names this start of this
  /// host; 0 where it does not. Another one than before tells that this host
  /// was removed in between.
  std::uint64_t admitted() const;
  bool isRelay() const;
  /// Relay or standby: these talk to the store.
  bool talksToStore() const;
  /// \returns whom to send heartbeats to, best first.
  std::vector<Member> superiors() const;
  /// \returns the other members of this host's zone.
  std::vector<Member> zonePeers() const;
  /// \returns true where the lease needs pledges, as no record renews it.
  bool needsPledges(base::TimePoint Now) const;

  /// Calls \p Use with the replica, under the lock.
  template <typename User> auto withSettings(User Use) {
    const std::lock_guard Guard(Lock_);
    return Use(Replica_);
  }
  template <typename User> auto withSettings(User Use) const {
    const std::lock_guard Guard(Lock_);
    return Use(Replica_);
  }

private:
  void hearAll(const Json::Value &Request, base::TimePoint Now);
  void takeRecord(const Json::Value &Answer, base::TimePoint Now);
  void observe(const ZoneRecord &Record, std::uint64_t Version,
               base::TimePoint Now);
  void extend(base::TimePoint Now);
  void enterDirectory(const Directory &Seen, std::uint64_t Version);
  std::vector<base::HostId> voters(base::TimePoint Now) const;
  std::optional<Freshness> zoneFreshness(base::TimePoint Now) const;

  const LeaseTiming Terms_;
  const base::ZoneId Zone_;
  const std::string Address_;
  mutable std::mutex Lock_;
  Member Self_;
  LeaseHolder Holder_;
  ZoneRecordPlanner Keeper_;
  LeaseGuard Guard_;
  Directory Directory_;
  std::uint64_t DirectoryVersion_ = 0;
  SettingsReplica Replica_;
  FreshnessVote Vote_;
  /// Heartbeats of others to pass on with the next own one.
  std::map<base::HostId, Member> PassOn_;
  /// The newest clock reading each superior told, to be told back: what this
  /// host says with it was said after it.
  std::map<std::string, std::int64_t> Echoes_;
};

} // namespace lychee::fleet

#endif
