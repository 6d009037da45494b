#ifndef LYCHEE_MEMBERS_REGIONTELLER_H
#define LYCHEE_MEMBERS_REGIONTELLER_H

#include "members/RegionUpdate.h"

#include <map>

namespace lychee::members {

/// Chooses what a region's speaker tells the other regions in its next news.
///
/// Load pattern: hosts x hosts. Where each host tells each host of other
/// regions that it is alive and what its customers ask, bytes between regions
/// grow with the square of the fleet and cost more than the requests. Two
/// speakers a region tell two of each other region what has changed, and the
/// rest in turn, so that what is lost is told again and no news is larger than
/// a part of what there is.
///
/// What changed is told more than once, since datagrams are lost; and
/// everything is told within Turns news, for those that missed all of them.
class RegionTeller {
public:
  /// Everything is told once in so many news.
  static constexpr std::uint64_t Turns = 8;
  /// What has changed is told in so many news.
  static constexpr int Repeats = 3;
  /// More would make a datagram of more than some kilobytes, which is cut into
  /// packets of which each may be lost; what is left over comes with the next.
  static constexpr std::size_t MostHosts = 120;
  static constexpr std::size_t MostDemands = 150;

  /// \returns what to tell of \p Known now.
  RegionSummary tell(const RegionSummary &Known);

private:
  struct ToldHost {
    HostLine Line_;
    int Left_ = 0;
  };
  struct ToldDemand {
    double PerSecond_ = 0;
    int Left_ = 0;
  };

  bool isInTurn(const std::string &Name) const;
  std::vector<HostLine> tellHosts(std::span<const HostLine> Known);
  std::vector<CustomerDemand>
  tellDemands(std::span<const CustomerDemand> Known);

  std::uint64_t Turn_ = 0;
  std::map<base::HostId, ToldHost> Hosts_;
  std::map<base::CustomerId, ToldDemand> Demands_;
};

} // namespace lychee::members

#endif
