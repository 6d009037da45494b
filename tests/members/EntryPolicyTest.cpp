#include "members/EntryPolicy.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using members::EntryQuery;
using members::HostView;

TEST_GROUP(EntryPolicy) {
  static constexpr std::size_t Zones = 3;
  std::vector<HostView> Hosts_;

  void makeRegion(std::size_t Count, const char *Region = "north") {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      HostView View;
      View.Descriptor_.Host_ =
          base::HostId(std::string(Region) + std::to_string(Number));
      View.Descriptor_.Region_ = base::RegionId(Region);
      View.Descriptor_.Zone_ = zone(Number % Zones);
      View.Descriptor_.CallerAddress_ = View.Descriptor_.Host_.name();
      View.Alive_ = View.Ready_ = true;
      Hosts_.push_back(View);
    }
  }
  static base::ZoneId zone(std::size_t Number) {
    return base::ZoneId("zone-" + std::to_string(Number));
  }
  static EntryQuery queryFrom(std::size_t Zone) {
    EntryQuery Query;
    Query.Region_ = base::RegionId("north");
    Query.Zone_ = zone(Zone);
    Query.Name_ = "name";
    return Query;
  }
  std::vector<std::string> entriesFor(
      const EntryQuery &Query, const std::string &Answering = "by") const {
    members::HostDescriptor Self;
    Self.Host_ = base::HostId(Answering);
    return members::chooseEntries(Query, Self, {}, Hosts_);
  }
};

TEST(EntryPolicy, allHostsAreReturnedUpToTheLimit) {
  for (const std::size_t Count : {1U, 6U, 64U}) {
    Hosts_.clear();
    makeRegion(Count);
    LONGS_EQUAL(Count, entriesFor(queryFrom(1)).size());
  }
}

// There are more hosts than a caller takes. If all callers got the same first
// 64, the other hosts would serve nobody. The same holds if a region has no
// hosts and its callers get all others.
TEST(EntryPolicy, manyHostsAreAllUsedWithinAFactorOfTwo) {
  for (const std::size_t Count : {100U, 190U, 400U}) {
    Hosts_.clear();
    makeRegion(Count);
    std::map<std::string, double> Load;
    for (std::size_t Zone = 0; Zone < Zones; ++Zone)
      for (int Answering = 0; Answering < 60; ++Answering) {
        const auto Entries =
            entriesFor(queryFrom(Zone), "by-" + std::to_string(Answering));
        CHECK(Entries.size() <= 64);
        for (const std::string &Host : Entries)
          Load[Host] += 1.0 / double(Entries.size());
      }
    LONGS_EQUAL(Count, Load.size());
    const double Mean = 60.0 * Zones / double(Count);
    for (const auto &[Host, Share] : Load) {
      CHECK(Share <= 2 * Mean);
      CHECK(Share >= Mean / 2);
    }
  }
}

TEST(EntryPolicy, sameCallerGetsTheSameHosts) {
  makeRegion(200);
  const EntryQuery Query = queryFrom(2);
  const auto First = entriesFor(Query);
  Hosts_[0].Alive_ = false;
  const auto Second = entriesFor(Query);
  std::size_t Same = 0;
  for (const std::string &Host : First)
    Same += std::count(Second.begin(), Second.end(), Host) > 0 ? 1U : 0U;
  CHECK(Same >= First.size() - 2);
}

// Guards against look-ups that go on naming hosts whose requests have to be
// forwarded, and against naming a few hosts to all callers.
TEST(EntryPolicy, hostsThatReachNoTargetsAreLeftOutWhileHalfRemain) {
  makeRegion(6);
  for (std::size_t Cut = 0; Cut <= Hosts_.size(); ++Cut) {
    for (std::size_t Number = 0; Number < Hosts_.size(); ++Number)
      Hosts_[Number].TargetsUnreached_ = Number < Cut;
    LONGS_EQUAL(Cut <= 3 ? 6 - Cut : 6, entriesFor(queryFrom(0)).size());
  }
}
