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
  static EntryQuery from(std::size_t Zone) {
    EntryQuery Asked;
    Asked.Region_ = base::RegionId("north");
    Asked.Zone_ = zone(Zone);
    Asked.Name_ = "name";
    return Asked;
  }
  std::vector<std::string> told(const EntryQuery &Asked,
                                const std::string &By = "by") const {
    members::HostDescriptor Self;
    Self.Host_ = base::HostId(By);
    return members::chooseEntries(Asked, Self, {}, Hosts_);
  }
};

TEST(EntryPolicy, asManyAsACallerTakesAreToldAll) {
  for (const std::size_t Count : {1U, 6U, 64U}) {
    Hosts_.clear();
    makeRegion(Count);
    LONGS_EQUAL(Count, told(from(1)).size());
  }
}

// More hosts than a caller takes. With the same first 64 told to everybody the
// others would serve nobody, also where a region has none and its callers are
// told of all others.
TEST(EntryPolicy, ofManyHostsAllAreUsedWithinAFactorOfTwo) {
  for (const std::size_t Count : {100U, 190U, 400U}) {
    Hosts_.clear();
    makeRegion(Count);
    std::map<std::string, double> Load;
    for (std::size_t Zone = 0; Zone < Zones; ++Zone)
      for (int By = 0; By < 60; ++By) {
        const auto Told = told(from(Zone), "by-" + std::to_string(By));
        CHECK(Told.size() <= 64);
        for (const std::string &Each : Told)
          Load[Each] += 1.0 / double(Told.size());
      }
    LONGS_EQUAL(Count, Load.size());
    const double Mean = 60.0 * Zones / double(Count);
    for (const auto &[Host, Part] : Load) {
      CHECK(Part <= 2 * Mean);
      CHECK(Part >= Mean / 2);
    }
  }
}

TEST(EntryPolicy, theSameCallerIsToldTheSameHosts) {
  makeRegion(200);
  const EntryQuery Asked = from(2);
  const auto First = told(Asked);
  Hosts_[0].Alive_ = false;
  const auto Second = told(Asked);
  std::size_t Same = 0;
  for (const std::string &Each : First)
    Same += std::count(Second.begin(), Second.end(), Each) > 0 ? 1U : 0U;
  CHECK(Same >= First.size() - 2);
}
