#ifndef LYCHEE_MEMBERS_REGIONANNOUNCER_H
#define LYCHEE_MEMBERS_REGIONANNOUNCER_H

#include "members/RegionUpdate.h"

#include <map>

namespace lychee::members {

/// Selects what a region's representative sends to other regions in its next
/// update.
///
/// Load pattern: hosts x hosts. If each host told each host of other regions
/// that it is alive and what its customers demand, traffic between regions
/// would grow with the square of the fleet and cost more than the requests.
/// Instead, two representatives of each region send changes, and the rest in
/// rotation, to the two of each other region. Lost updates are thus repeated,
/// and each update holds only a part of the state.
///
/// Changes are sent several times because datagrams get lost; everything is
/// sent within CycleLength updates, for receivers that missed all repeats.
class RegionAnnouncer {
public:
  /// Everything is sent once within this number of updates.
  static constexpr std::uint64_t CycleLength = 8;
  /// A change is sent in this number of updates.
  static constexpr int Repeats = 3;
  /// More would make a datagram of more than several kilobytes, which is split
  /// into packets that may each be lost. What does not fit goes into the next
  /// update.
  static constexpr std::size_t MaxHosts = 120;
  static constexpr std::size_t MaxDemands = 150;

  /// \returns the part of \p Known to send now.
  RegionSummary select(const RegionSummary &Known);

private:
  struct AnnouncedHost {
    HostStatus Status_;
    int RepeatsLeft_ = 0;
  };
  struct AnnouncedDemand {
    double PerSecond_ = 0;
    int RepeatsLeft_ = 0;
  };

  bool isScheduled(const std::string &Name) const;
  std::vector<HostStatus> selectHosts(std::span<const HostStatus> Known);
  std::vector<CustomerDemand>
  selectDemands(std::span<const CustomerDemand> Known);

  std::uint64_t Round_ = 0;
  std::map<base::HostId, AnnouncedHost> Hosts_;
  std::map<base::CustomerId, AnnouncedDemand> Demands_;
};

} // namespace lychee::members

#endif
