#ifndef LYCHEE_MEMBERS_HOSTBOOK_H
#define LYCHEE_MEMBERS_HOSTBOOK_H

#include "members/Heartbeat.h"

#include <map>
#include <mutex>
#include <set>
#include <span>
#include <vector>

namespace lychee::members {

/// A host as others see it.
struct HostView {
  HostCard Card_;
  bool Ready_ = false;
  bool Leaving_ = false;
  /// Heard lately; look-ups may name it.
  bool Alive_ = false;
  /// It may still be spending its part of what all hosts share.
  bool HoldsShare_ = false;
  /// A call of it to the store failed lately.
  bool StoreTrouble_ = false;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
};

/// Knows the other hosts by their heartbeats, at two speeds: look-ups drop a
/// silent host fast, since callers sent to it wait in vain; what it may still
/// be spending goes to others only after it can no longer spend it.
///
/// Not silent hosts alone: where most known hosts fall silent together, this
/// host is the one that was cut off, and it must not take over what the others
/// hold. \see isCutOff
///
/// Thread-safe.
class HostBook {
public:
  /// Four heartbeats of 500 ms: datagrams are lost now and then, four in a row
  /// of 3% lossy ones once in a million.
  static constexpr base::Duration AliveFor = std::chrono::seconds(2);
  /// The same for hosts of other regions, which may get every second heartbeat
  /// only: bytes between regions cost most, and few callers are sent there.
  static constexpr base::Duration FarAliveFor = std::chrono::seconds(3);
  /// A silent host's share stays reserved for so long: its keys go stale 4.7 s
  /// after its last sound contact with the store, and then it spends nothing.
  static constexpr base::Duration ReservedFor = std::chrono::seconds(7);
  /// A host that was silent for so long is forgotten, and no heartbeat goes to
  /// it but where the store's list still names it.
  static constexpr base::Duration RememberedFor = std::chrono::seconds(30);

  explicit HostBook(HostCard Self) : Self_(std::move(Self)) {}

  /// Takes a heartbeat. \returns whether a host was heard for the first time,
  /// or anew after silence, or changed its readiness.
  bool heard(const Heartbeat &Said, base::TimePoint Now);

  /// Hosts that the store lists; heartbeats go to them, too.
  void setListed(std::span<const std::string> Addresses);
  void addSeeds(std::span<const std::string> Addresses);

  /// \returns the addresses to send heartbeats to.
  /// \param AlsoFar  also to hosts that are known to be in other regions.
  std::vector<std::string> recipients(bool AlsoFar, base::TimePoint Now) const;

  /// \returns every remembered host but this one.
  std::vector<HostView> others(base::TimePoint Now) const;

  /// \returns whether most of the hosts that were heard within ReservedFor are
  /// silent now, so that this host must not take their part over.
  bool isCutOff(base::TimePoint Now) const;

  /// \returns how many hosts hold a share: this one, those that are heard, and
  /// silent ones until ReservedFor.
  std::size_t shareHolders(base::TimePoint Now) const;

  /// \returns whether this host is the one that all hosts pick for \p Matter,
  /// by highest hash among the hosts that are alive and serve.
  bool isPickedFor(std::uint64_t Matter, base::TimePoint Now) const;

  const HostCard &self() const noexcept { return Self_; }

private:
  struct Known {
    Heartbeat Last_;
    base::TimePoint HeardAt_;
  };

  bool isAlive(const Known &Each, base::TimePoint Now) const noexcept;
  /// Takes what changed since the last whole heartbeat into what is known.
  static void take(const Heartbeat &Said, Heartbeat &Into);

  const HostCard Self_;
  mutable std::mutex Lock_;
  std::map<base::HostId, Known> Known_;
  std::set<std::string> Listed_;
  std::set<std::string> Seeds_;
};

} // namespace lychee::members

#endif
