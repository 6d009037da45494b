#include "members/RegionUpdate.h"

#include "members/RegionAnnouncer.h"
#include "members/RegionTable.h"

#include <algorithm>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using members::RegionAnnouncer;
using members::RegionTable;
using members::RegionUpdate;
using namespace std::chrono_literals;

namespace {

members::HostStatus statusOf(const std::string &Name) {
  members::HostStatus Result;
  Result.Descriptor_.Host_ = base::HostId(Name);
  Result.Descriptor_.Region_ = base::RegionId("north");
  Result.Descriptor_.Zone_ = base::ZoneId("north-a");
  Result.Descriptor_.Address_ = Name + "-ip";
  Result.Descriptor_.CallerAddress_ = Name + ":80";
  Result.Descriptor_.Incarnation_ = 7;
  Result.Ready_ = true;
  return Result;
}

RegionUpdate updateOf(const char *Representative, std::uint64_t Sequence) {
  RegionUpdate Result;
  Result.Region_ = base::RegionId("north");
  Result.Representative_ = base::HostId(Representative);
  Result.Sequence_ = Sequence;
  return Result;
}

} // namespace

TEST_GROUP(RegionUpdate) {
  base::TimePoint Now_ = base::TimePoint(100s);
  RegionTable Regions_;

  double knownDemand(const char *Customer) const {
    for (const members::RegionView &Entry : Regions_.regions(7s, Now_))
      for (const members::CustomerDemand &Demand : Entry.Demands_)
        if (Demand.Customer_ == base::CustomerId(Customer))
          return Demand.RequestsPerSecond_;
    return -1;
  }
};

TEST(RegionUpdate, decodingRestoresTheEncodedUpdate) {
  RegionUpdate Update = updateOf("s1", 9);
  Update.Incarnation_ = 4;
  Update.Summary_.Hosts_ = {statusOf("h1"), statusOf("h2")};
  Update.Summary_.Hosts_[1].Leaving_ = true;
  Update.Summary_.Hosts_[1].Gone_ = true;
  Update.Summary_.Hosts_[0].TargetsUnreached_ = true;
  Update.Summary_.Demands_ = {{base::CustomerId("a"), 2.5}};
  Update.Summary_.Loads_ = {{base::ServiceId("s"), 3, base::RegionId("north")}};
  Update.Summary_.Evidence_ = {{1, 2, 3s}};
  Update.Summary_.TargetRates_ = {{4, 2.1, 1s}};
  Update.Summary_.TargetLeavings_ = {{5, 250ms}};
  base::Error Last;
  const auto Read =
      members::decodeRegionUpdate(members::encodeRegionUpdate(Update), Last);
  CHECK(Read.has_value());
  const RegionUpdate Decoded = Read.value_or(RegionUpdate());
  CHECK(Decoded.Region_ == Update.Region_);
  CHECK(Decoded.Representative_ == Update.Representative_);
  LONGS_EQUAL(4, Decoded.Incarnation_);
  LONGS_EQUAL(9, Decoded.Sequence_);
  CHECK(Decoded.Summary_.Hosts_ == Update.Summary_.Hosts_);
  DOUBLES_EQUAL(2.5, Decoded.Summary_.Demands_.at(0).RequestsPerSecond_, 0.01);
  CHECK(Decoded.Summary_.Loads_.at(0).BoundTo_ == base::RegionId("north"));
  CHECK(Decoded.Summary_.Evidence_ == Update.Summary_.Evidence_);
  CHECK(Decoded.Summary_.TargetRates_ == Update.Summary_.TargetRates_);
  CHECK(Decoded.Summary_.TargetLeavings_ == Update.Summary_.TargetLeavings_);
}

TEST(RegionUpdate, otherTextsAreRejectedWithAReason) {
  for (const char *Text :
       {"", "[]", "{}", R"({"region":"a","speaker":"b","start":1})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"hosts":[[1]]})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"demands":[["c"]]})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"loads":["c"]})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"crashes":[[1]]})"}) {
    base::Error Last;
    CHECK_FALSE(members::decodeRegionUpdate(Text, Last).has_value());
    CHECK_FALSE(Last.Reason_.empty());
  }
}

TEST(RegionUpdate, changesAreRepeatedAndTheRestRotates) {
  RegionAnnouncer Announcer;
  members::RegionSummary Known;
  for (int Number = 0; Number < 30; ++Number) {
    Known.Hosts_.push_back(statusOf("h" + std::to_string(Number)));
    Known.Demands_.push_back(
        {base::CustomerId("c" + std::to_string(Number)), 5});
  }
  for (int Entry = 0; Entry < RegionAnnouncer::Repeats; ++Entry)
    LONGS_EQUAL(30, Announcer.select(Known).Hosts_.size());
  std::set<base::HostId> Hosts;
  std::set<base::CustomerId> Customers;
  for (std::uint64_t Turn = 0; Turn < RegionAnnouncer::CycleLength; ++Turn) {
    const members::RegionSummary Selected = Announcer.select(Known);
    CHECK(Selected.Hosts_.size() < 15);
    for (const auto &Entry : Selected.Hosts_)
      Hosts.insert(Entry.Descriptor_.Host_);
    for (const auto &Entry : Selected.Demands_)
      Customers.insert(Entry.Customer_);
  }
  LONGS_EQUAL(30, Hosts.size());
  LONGS_EQUAL(30, Customers.size());
  Known.Hosts_[3].Leaving_ = true;
  const members::RegionSummary Selected = Announcer.select(Known);
  CHECK(std::find(Selected.Hosts_.begin(), Selected.Hosts_.end(),
                  Known.Hosts_[3]) != Selected.Hosts_.end());
}

// A customer stops sending requests. If its demand continued to count in other
// regions, it would withhold a part of the rate from the hosts that serve the
// customer now.
TEST(RegionUpdate, customerThatStoppedIsSentWithZeroDemand) {
  RegionAnnouncer Announcer;
  members::RegionSummary Known;
  Known.Demands_ = {{base::CustomerId("a"), 20}};
  RegionUpdate Update = updateOf("s1", 1);
  Update.Summary_ = Announcer.select(Known);
  Regions_.receive(Update, Now_);
  DOUBLES_EQUAL(20, knownDemand("a"), 0.01);
  Known.Demands_.clear();
  Update.Sequence_ = 2;
  Update.Summary_ = Announcer.select(Known);
  Regions_.receive(Update, Now_);
  DOUBLES_EQUAL(0, knownDemand("a"), 0.01);
}

// A region's updates come from two representatives, over two paths each. The
// first one is followed: a late or duplicate copy changes nothing, and the
// other one is followed only while the first is silent.
TEST(RegionUpdate, firstRepresentativeIsFollowedUntilItFallsSilent) {
  const bool Ordered = members::representativeRank(base::HostId("s1")) >
                       members::representativeRank(base::HostId("s2"));
  RegionUpdate First = updateOf(Ordered ? "s1" : "s2", 5);
  First.Summary_.Demands_ = {{base::CustomerId("a"), 1}};
  RegionUpdate Other = updateOf(Ordered ? "s2" : "s1", 50);
  Other.Summary_.Demands_ = {{base::CustomerId("a"), 2}};
  CHECK(Regions_.receive(Other, Now_));
  CHECK(Regions_.receive(First, Now_));
  CHECK_FALSE(Regions_.receive(First, Now_));
  CHECK_FALSE(Regions_.receive(Other, Now_));
  DOUBLES_EQUAL(1, knownDemand("a"), 0.01);
  Now_ += RegionTable::RepresentativeTimeout;
  CHECK(Regions_.receive(Other, Now_));
  DOUBLES_EQUAL(2, knownDemand("a"), 0.01);
}

// A whole region falls silent because it is cut off or down. Look-ups no longer
// return its hosts, but its share of rates stays reserved while it may spend
// it.
TEST(RegionUpdate, silentRegionKeepsItsShareLonger) {
  RegionUpdate Update = updateOf("s1", 1);
  Update.Summary_.Hosts_ = {statusOf("h1")};
  Regions_.receive(Update, Now_);
  Now_ += RegionTable::AliveFor;
  CHECK_FALSE(Regions_.regions(7s, Now_).at(0).Alive_);
  CHECK(Regions_.regions(7s, Now_).at(0).HoldsShare_);
  CHECK_FALSE(Regions_.hosts(7s, Now_).at(0).Alive_);
  Now_ += 7s;
  CHECK_FALSE(Regions_.regions(7s, Now_).at(0).HoldsShare_);
}

TEST(RegionUpdate, hostReportedAsGoneIsNotAlive) {
  RegionUpdate Update = updateOf("s1", 1);
  Update.Summary_.Hosts_ = {statusOf("h1")};
  Regions_.receive(Update, Now_);
  CHECK(Regions_.hosts(7s, Now_).at(0).Alive_);
  Update.Sequence_ = 2;
  Update.Summary_.Hosts_[0].Gone_ = true;
  Regions_.receive(Update, Now_);
  CHECK_FALSE(Regions_.hosts(7s, Now_).at(0).Alive_);
}
