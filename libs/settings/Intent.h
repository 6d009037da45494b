#ifndef LYCHEE_SETTINGS_INTENT_H
#define LYCHEE_SETTINGS_INTENT_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lychee::settings {

/// A place where targets stand, made of availability zones.
struct Region {
  base::RegionId Id_;
  std::vector<base::ZoneId> Zones_;
};

/// The line between two regions, the same each way.
struct Link {
  base::LinkId Id_;
  base::RegionId Left_;
  base::RegionId Right_;
  /// Bits a second each way that steering may use, summed over all hosts.
  std::uint64_t BitsPerSecond_ = 0;
  base::Duration OneWayDelay_{};
};

/// One back end of a service.
struct Target {
  base::TargetId Id_;
  base::ZoneId Zone_;
  /// IP:PORT.
  std::string Address_;
  /// Requests it works on at once; more wait inside it or are shed.
  std::uint32_t Slots_ = 1;
  /// Connections it accepts, over all hosts together.
  std::uint32_t Connections_ = 1;
  /// A leaving target gets no new work; what runs there ends.
  bool Leaving_ = false;
};

/// What callers ask for by name.
struct Service {
  base::ServiceId Id_;
  base::TeamId Team_;
  /// Requests whose path begins with this belong to the service.
  std::string PathPrefix_;
  /// Host header names, lower case, that belong to the service.
  std::vector<std::string> HostNames_;
  /// Methods that may be sent again when the first send may have run.
  std::vector<std::string> IdempotentMethods_;
  /// Time a request may take where the caller names none.
  base::Duration Deadline_ = std::chrono::seconds(10);
  /// Work of one ordinary request, for the first estimate of a wait.
  base::Duration ExpectedWork_ = std::chrono::milliseconds(20);
  /// Bytes that one ordinary request moves, the larger of the two ways.
  std::uint64_t ExpectedBytes_ = std::uint64_t{32} * 1024;
  std::vector<Target> Targets_;
};

/// Who owns keys and pays for a rate.
struct Customer {
  base::CustomerId Id_;
  base::TeamId Team_;
  /// Requests a second over all hosts together.
  double RatePerSecond_ = 0;
  /// Requests that may come at once after a quiet time, over all hosts.
  double Burst_ = 0;
  /// Share of slot time under contention, relative to the others.
  std::uint32_t Weight_ = 1;
};

/// A caller's key, as a salted hash: the key itself is shown once to the
/// operator who made it and stands nowhere.
struct Key {
  base::KeyId Id_;
  base::CustomerId Customer_;
  /// Hexadecimal.
  std::string Salt_;
  /// SHA-256 of Salt_ (its hexadecimal text) followed by the whole key as a
  /// caller shows it, "ID.SECRET"; hexadecimal. \see hashKey
  std::string Hash_;
  bool Withdrawn_ = false;
};

/// Callers' addresses and the site that serves them best. Eight bytes, as
/// there may be millions: a site's name in each would take five times that.
struct ClientBlock {
  /// IPv4 network in host byte order and its length, such as 10.1.0.0/16.
  std::uint32_t Network_ = 0;
  std::uint8_t PrefixLength_ = 0;
  /// Position in Intent::SiteOrder_.
  std::uint16_t SiteIndex_ = 0;

  auto operator<=>(const ClientBlock &) const = default;
};

/// A named nearness: regions in order of preference for its callers.
struct Site {
  base::SiteId Id_;
  std::vector<base::RegionId> Regions_;
};

/// An operator's wish to move callers of a service between regions.
struct ShiftPlan {
  enum class State { Running, Held, Aborted };

  base::PlanId Id_;
  base::ServiceId Service_;
  base::RegionId From_;
  base::RegionId To_;
  /// Largest share of From's callers that may be moved, 0 to 1.
  double Cap_ = 0;
  /// Share moved at each step, 0 to 1.
  double Step_ = 0;
  /// Time between two steps.
  base::Duration Pace_{};
  State State_ = State::Running;
  /// When the state began, and the share moved by then: the plan's start and 0
  /// until an operator pauses, starts or aborts it.
  base::WallPoint Start_;
  double Reached_ = 0;
};

/// All that operators want, checked as a whole: what hosts steer by. Made only
/// by parseIntent, immutable once made. \see parseIntent
struct Intent {
  /// Rises with each accepted change; a host never goes back.
  std::uint64_t Version_ = 0;
  std::map<base::RegionId, Region> Regions_;
  std::vector<Link> Links_;
  std::map<base::SiteId, Site> Sites_;
  /// The sites' names in order; client blocks name a site by position.
  std::vector<base::SiteId> SiteOrder_;
  /// Sorted by network and length, each once.
  std::vector<ClientBlock> ClientBlocks_;
  std::map<base::ServiceId, Service> Services_;
  std::map<base::CustomerId, Customer> Customers_;
  std::map<base::KeyId, Key> Keys_;
  std::map<base::PlanId, ShiftPlan> Plans_;
  /// Hosts that operators drain: look-ups stop naming them.
  std::set<base::HostId> LeavingHosts_;
  /// SHA-256 of the token that opens each team's subtree, hexadecimal.
  std::map<base::TeamId, std::string> TeamTokenHashes_;
};

} // namespace lychee::settings

#endif
