#include "members/RegionUpdate.h"

#include "members/RegionBook.h"
#include "members/RegionTeller.h"

#include <algorithm>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using members::RegionBook;
using members::RegionTeller;
using members::RegionUpdate;
using namespace std::chrono_literals;

namespace {

members::HostLine lineOf(const std::string &Name) {
  members::HostLine Made;
  Made.Card_.Host_ = base::HostId(Name);
  Made.Card_.Region_ = base::RegionId("north");
  Made.Card_.Zone_ = base::ZoneId("north-a");
  Made.Card_.Address_ = Name + "-ip";
  Made.Card_.CallerAddress_ = Name + ":80";
  Made.Card_.Incarnation_ = 7;
  Made.Ready_ = true;
  return Made;
}

RegionUpdate newsOf(const char *Speaker, std::uint64_t Sequence) {
  RegionUpdate Made;
  Made.Region_ = base::RegionId("north");
  Made.Speaker_ = base::HostId(Speaker);
  Made.Sequence_ = Sequence;
  return Made;
}

} // namespace

TEST_GROUP(RegionUpdate) {
  base::TimePoint Now_ = base::TimePoint(100s);
  RegionBook Book_;

  double told(const char *Customer) const {
    for (const members::RegionView &Each : Book_.regions(7s, Now_))
      for (const members::CustomerDemand &One : Each.Demands_)
        if (One.Customer_ == base::CustomerId(Customer))
          return One.RequestsPerSecond_;
    return -1;
  }
};

TEST(RegionUpdate, newsComeBackAsTheyWere) {
  RegionUpdate Said = newsOf("s1", 9);
  Said.Start_ = 4;
  Said.Summary_.Hosts_ = {lineOf("h1"), lineOf("h2")};
  Said.Summary_.Hosts_[1].Leaving_ = true;
  Said.Summary_.Hosts_[1].Gone_ = true;
  Said.Summary_.Demands_ = {{base::CustomerId("a"), 2.5}};
  Said.Summary_.Loads_ = {{base::ServiceId("s"), 3, base::RegionId("north")}};
  Said.Summary_.Evidence_ = {{1, 2, 3s}};
  base::Error Last;
  const auto Read =
      members::decodeRegionNews(members::encodeRegionNews(Said), Last);
  CHECK(Read.has_value());
  const RegionUpdate Back = Read.value_or(RegionUpdate());
  CHECK(Back.Region_ == Said.Region_);
  CHECK(Back.Speaker_ == Said.Speaker_);
  LONGS_EQUAL(4, Back.Start_);
  LONGS_EQUAL(9, Back.Sequence_);
  CHECK(Back.Summary_.Hosts_ == Said.Summary_.Hosts_);
  DOUBLES_EQUAL(2.5, Back.Summary_.Demands_.at(0).RequestsPerSecond_, 0.01);
  CHECK(Back.Summary_.Loads_.at(0).BoundTo_ == base::RegionId("north"));
  CHECK(Back.Summary_.Evidence_ == Said.Summary_.Evidence_);
}

TEST(RegionUpdate, whatIsNoNewsIsRefusedWithAReason) {
  for (const char *Text :
       {"", "[]", "{}", R"({"region":"a","speaker":"b","start":1})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"hosts":[[1]]})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"demands":[["c"]]})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"loads":["c"]})",
        R"({"region":"a","speaker":"b","start":1,"n":1,"crashes":[[1]]})"}) {
    base::Error Last;
    CHECK_FALSE(members::decodeRegionNews(Text, Last).has_value());
    CHECK_FALSE(Last.Reason_.empty());
  }
}

TEST(RegionUpdate, changesAreToldMoreThanOnceAndTheRestInTurn) {
  RegionTeller Teller;
  members::RegionSummary Known;
  for (int Number = 0; Number < 30; ++Number) {
    Known.Hosts_.push_back(lineOf("h" + std::to_string(Number)));
    Known.Demands_.push_back(
        {base::CustomerId("c" + std::to_string(Number)), 5});
  }
  for (int Each = 0; Each < RegionTeller::Repeats; ++Each)
    LONGS_EQUAL(30, Teller.tell(Known).Hosts_.size());
  std::set<base::HostId> Hosts;
  std::set<base::CustomerId> Customers;
  for (std::uint64_t Turn = 0; Turn < RegionTeller::Turns; ++Turn) {
    const members::RegionSummary Told = Teller.tell(Known);
    CHECK(Told.Hosts_.size() < 15);
    for (const auto &Each : Told.Hosts_)
      Hosts.insert(Each.Card_.Host_);
    for (const auto &Each : Told.Demands_)
      Customers.insert(Each.Customer_);
  }
  LONGS_EQUAL(30, Hosts.size());
  LONGS_EQUAL(30, Customers.size());
  Known.Hosts_[3].Leaving_ = true;
  const members::RegionSummary Told = Teller.tell(Known);
  CHECK(std::find(Told.Hosts_.begin(), Told.Hosts_.end(), Known.Hosts_[3]) !=
        Told.Hosts_.end());
}

// A customer stops asking. Its demand must not go on counting elsewhere, where
// it would keep a part of the rate away from those who serve it now.
TEST(RegionUpdate, aCustomerThatAsksNoMoreIsToldAsSuch) {
  RegionTeller Teller;
  members::RegionSummary Known;
  Known.Demands_ = {{base::CustomerId("a"), 20}};
  RegionUpdate Said = newsOf("s1", 1);
  Said.Summary_ = Teller.tell(Known);
  Book_.heard(Said, Now_);
  DOUBLES_EQUAL(20, told("a"), 0.01);
  Known.Demands_.clear();
  Said.Sequence_ = 2;
  Said.Summary_ = Teller.tell(Known);
  Book_.heard(Said, Now_);
  DOUBLES_EQUAL(0, told("a"), 0.01);
}

// A region's news come from two speakers, by two ways each. The first of them
// is followed; a copy that comes late or by the other way changes nothing, and
// the other speaker is followed only while the first is silent.
TEST(RegionUpdate, theFirstSpeakerIsFollowedUntilItFallsSilent) {
  const bool Ordered = members::speakerRank(base::HostId("s1")) >
                       members::speakerRank(base::HostId("s2"));
  RegionUpdate First = newsOf(Ordered ? "s1" : "s2", 5);
  First.Summary_.Demands_ = {{base::CustomerId("a"), 1}};
  RegionUpdate Other = newsOf(Ordered ? "s2" : "s1", 50);
  Other.Summary_.Demands_ = {{base::CustomerId("a"), 2}};
  CHECK(Book_.heard(Other, Now_));
  CHECK(Book_.heard(First, Now_));
  CHECK_FALSE(Book_.heard(First, Now_));
  CHECK_FALSE(Book_.heard(Other, Now_));
  DOUBLES_EQUAL(1, told("a"), 0.01);
  Now_ += RegionBook::SpeakerPatience;
  CHECK(Book_.heard(Other, Now_));
  DOUBLES_EQUAL(2, told("a"), 0.01);
}

// A whole region falls silent: it is cut off, or down. Look-ups name its hosts
// no more, and its part of the rates stays its own while it may spend it.
TEST(RegionUpdate, aSilentRegionKeepsItsShareLonger) {
  RegionUpdate Said = newsOf("s1", 1);
  Said.Summary_.Hosts_ = {lineOf("h1")};
  Book_.heard(Said, Now_);
  Now_ += RegionBook::AliveFor;
  CHECK_FALSE(Book_.regions(7s, Now_).at(0).Alive_);
  CHECK(Book_.regions(7s, Now_).at(0).HoldsShare_);
  CHECK_FALSE(Book_.hosts(7s, Now_).at(0).Alive_);
  Now_ += 7s;
  CHECK_FALSE(Book_.regions(7s, Now_).at(0).HoldsShare_);
}

TEST(RegionUpdate, aHostThatIsToldToBeGoneIsNotAlive) {
  RegionUpdate Said = newsOf("s1", 1);
  Said.Summary_.Hosts_ = {lineOf("h1")};
  Book_.heard(Said, Now_);
  CHECK(Book_.hosts(7s, Now_).at(0).Alive_);
  Said.Sequence_ = 2;
  Said.Summary_.Hosts_[0].Gone_ = true;
  Book_.heard(Said, Now_);
  CHECK_FALSE(Book_.hosts(7s, Now_).at(0).Alive_);
}
