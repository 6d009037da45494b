#ifndef LYCHEE_MEMBERS_REGIONBOOK_H
#define LYCHEE_MEMBERS_REGIONBOOK_H

#include "members/RegionUpdate.h"

#include <map>

namespace lychee::members {

/// Another region, as its speakers tell of it.
struct RegionView {
  base::RegionId Region_;
  /// Its news come.
  bool Alive_ = false;
  /// Its hosts may still be spending their part of what all hosts share.
  bool HoldsShare_ = false;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
};

/// A host of another region.
struct FarHost {
  HostLine Line_;
  /// Neither told to be gone, nor of a region that fell silent.
  bool Alive_ = false;
  /// The same of a region that may still be spending its part.
  bool HoldsShare_ = false;
};

/// \returns the place of a host among those that may speak for its region: the
/// highest do.
std::uint64_t speakerRank(const base::HostId &Host) noexcept;

/// Knows the other regions by the news of their speakers.
///
/// Two speakers tell the same, a little apart in time, so one of them is
/// followed and the other only once the first has fallen silent: sums that come
/// now from one and now from the other would move without a change.
///
/// Not thread-safe. \see HostTable, which owns it
class RegionBook {
public:
  /// A region whose two speakers die together tells nothing until others notice
  /// (HostTable::AliveFor) and speak: 3 s at most, with a lost datagram or two.
  static constexpr base::Duration AliveFor = std::chrono::seconds(4);
  /// Three news of a speaker.
  static constexpr base::Duration SpeakerPatience =
      std::chrono::milliseconds(1500);
  /// What nobody told for so long is forgotten. A region that was cut off for
  /// less is known again with the first news that come.
  static constexpr base::Duration RememberedFor = std::chrono::seconds(30);

  /// Takes news of a region. \returns whether they are to be passed on: they
  /// were not known, and their speaker is the one to follow.
  bool heard(const RegionUpdate &Said, base::TimePoint Now);

  /// \param ReservedFor  how long a silent region may still spend its part.
  std::vector<RegionView> regions(base::Duration ReservedFor,
                                  base::TimePoint Now) const;
  std::vector<FarHost> hosts(base::Duration ReservedFor,
                             base::TimePoint Now) const;

private:
  struct Region {
    base::HostId Speaker_;
    std::uint64_t Start_ = 0;
    std::uint64_t Sequence_ = 0;
    base::TimePoint HeardAt_;
    std::map<base::HostId, std::pair<HostLine, base::TimePoint>> Hosts_;
    std::map<base::CustomerId, std::pair<double, base::TimePoint>> Demands_;
    std::vector<ServiceDemand> Loads_;
  };

  static bool follows(const Region &Known, const RegionUpdate &Said,
                      base::TimePoint Now);
  static void take(const RegionSummary &Told, Region &Into,
                   base::TimePoint Now);

  std::map<base::RegionId, Region> Known_;
};

} // namespace lychee::members

#endif
