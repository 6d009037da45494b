#ifndef LYCHEE_MEMBERS_REGIONTABLE_H
#define LYCHEE_MEMBERS_REGIONTABLE_H

#include "members/RegionUpdate.h"

#include <map>

namespace lychee::members {

/// Another region as described by its representatives.
struct RegionView {
  base::RegionId Region_;
  /// Updates of the region arrive.
  bool Alive_ = false;
  /// The region's hosts may still be spending their share of limits that all
  /// hosts divide among themselves.
  bool HoldsShare_ = false;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
};

/// A host of another region.
struct RemoteHost {
  HostStatus Status_;
  /// The host was not reported as gone, and its region is not silent.
  bool Alive_ = false;
  /// The host was not reported as gone, and its region may still be spending
  /// its share.
  bool HoldsShare_ = false;
};

/// \returns the rank of a host as a representative of its region; the hosts
/// with the highest ranks represent it.
std::uint64_t representativeRank(const base::HostId &Host) noexcept;

/// Tracks the other regions by the updates of their representatives.
///
/// Both representatives send the same state, slightly apart in time. Only one
/// of them is followed, and the other once the first has fallen silent: sums
/// that alternate between the two would fluctuate without a real change.
///
/// Not thread-safe. \see HostTable, which owns it
class RegionTable {
public:
  /// If both representatives of a region die together, the region sends nothing
  /// until its other hosts notice (HostTable::AliveFor) and take over: 3 s at
  /// most, plus a lost datagram or two.
  static constexpr base::Duration AliveFor = std::chrono::seconds(4);
  /// Three updates of a representative.
  static constexpr base::Duration RepresentativeTimeout =
      std::chrono::milliseconds(1500);
  /// Hosts and demands that no update has mentioned for this long are
  /// forgotten. A region that was cut off for less is known again with its
  /// first update.
  static constexpr base::Duration RetentionTime = std::chrono::seconds(30);

  /// Processes an update of a region.
  /// \returns whether it is to be forwarded: it was not known yet and comes
  /// from the representative that is followed.
  bool receive(const RegionUpdate &Update, base::TimePoint Now);

  /// \param ReservedFor how long a silent region may still spend its share.
  std::vector<RegionView> regions(base::Duration ReservedFor,
                                  base::TimePoint Now) const;
  std::vector<RemoteHost> hosts(base::Duration ReservedFor,
                                base::TimePoint Now) const;

private:
  struct Region {
    base::HostId Representative_;
    std::uint64_t Incarnation_ = 0;
    std::uint64_t Sequence_ = 0;
    base::TimePoint ReceivedAt_;
    std::map<base::HostId, std::pair<HostStatus, base::TimePoint>> Hosts_;
    std::map<base::CustomerId, std::pair<double, base::TimePoint>> Demands_;
    std::vector<ServiceDemand> Loads_;
  };

  static bool accepts(const Region &Known, const RegionUpdate &Update,
                      base::TimePoint Now);
  static void merge(const RegionSummary &Summary, Region &Stored,
                    base::TimePoint Now);

  std::map<base::RegionId, Region> Regions_;
};

} // namespace lychee::members

#endif
