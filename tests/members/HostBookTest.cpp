#include "members/HostTable.h"

#include "members/EntryPolicy.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using members::HostTable;
using namespace std::chrono_literals;

namespace {

members::HostDescriptor cardOf(const std::string &Name,
                               const std::string &Region) {
  members::HostDescriptor Card;
  Card.Host_ = base::HostId(Name);
  Card.Region_ = base::RegionId(Region);
  Card.Zone_ = base::ZoneId(Region + "-a");
  Card.Address_ = Name + "-ip";
  Card.CallerAddress_ = Name + ":80";
  Card.Incarnation_ = 1;
  return Card;
}

} // namespace

TEST_GROUP(HostTable) {
  HostTable Book_{cardOf("self", "north")};
  base::TimePoint Now_ = base::TimePoint(100s);
  std::uint64_t Sequence_ = 0;

  bool hear(const std::string &Name, bool Ready = true, bool Leaving = false,
            const std::string &Region = "north") {
    members::Heartbeat Said;
    Said.Sender_ = cardOf(Name, Region);
    Said.Sequence_ = ++Sequence_;
    Said.Ready_ = Ready;
    Said.Leaving_ = Leaving;
    return Book_.receive(Said, Now_);
  }
  std::string entries(members::LocalHostState Own = {true, false, false}) {
    std::string Text;
    members::EntryQuery Asked;
    Asked.Region_ = base::RegionId("north");
    Asked.Zone_ = base::ZoneId("north-a");
    for (const std::string &Each :
         members::chooseEntries(Asked, Book_.self(), Own, Book_.others(Now_)))
      Text += Each + " ";
    return Text;
  }
};

// A host dies. Callers that are still sent to it wait in vain for a connection
// each, so look-ups leave it out after four heartbeats that did not come.
TEST(HostTable, aSilentHostIsLeftOutOfLookups) {
  hear("h1");
  STRCMP_EQUAL("self:80 h1:80 ", entries().c_str());
  Now_ += HostTable::AliveFor;
  STRCMP_EQUAL("self:80 ", entries().c_str());
}

// The same host may only be cut off and go on spending its part of a rate for
// some seconds. Its part stays its own until it can no longer spend it.
TEST(HostTable, aSilentHostHoldsItsShareLonger) {
  hear("h1");
  Now_ += HostTable::AliveFor;
  LONGS_EQUAL(2, Book_.shareHolders(Now_));
  Now_ += HostTable::ReservedFor;
  LONGS_EQUAL(1, Book_.shareHolders(Now_));
}

TEST(HostTable, aLeavingHostIsLeftOutAtOnce) {
  hear("h1");
  CHECK(hear("h1", true, true));
  STRCMP_EQUAL("self:80 ", entries().c_str());
}

TEST(HostTable, anOlderHeartbeatThatComesLateChangesNothing) {
  hear("h1", true, true);
  Sequence_ = 0;
  CHECK_FALSE(hear("h1"));
  STRCMP_EQUAL("self:80 ", entries().c_str());
}

// All others fall silent at the same moment: they are not dead, this host is
// cut off. Taking their parts over would spend each twice.
TEST(HostTable, allSilentTogetherMeansCutOff) {
  for (const char *Name : {"h1", "h2", "h3", "h4"})
    hear(Name);
  CHECK_FALSE(Book_.isCutOff(Now_));
  Now_ += HostTable::AliveFor;
  CHECK(Book_.isCutOff(Now_));
}

TEST(HostTable, oneSilentHostOfFourIsNoCut) {
  for (const char *Name : {"h1", "h2", "h3", "h4"})
    hear(Name);
  Now_ += 1500ms;
  for (const char *Name : {"h2", "h3", "h4"})
    hear(Name);
  Now_ += 1s;
  CHECK_FALSE(Book_.isCutOff(Now_));
}

TEST(HostTable, oneHostIsPickedForEachMatter) {
  HostTable Other(cardOf("h1", "north"));
  hear("h1");
  members::Heartbeat Said;
  Said.Sender_ = Book_.self();
  Said.Sequence_ = 1;
  Said.Ready_ = true;
  Other.receive(Said, Now_);
  for (std::uint64_t Matter = 0; Matter < 50; ++Matter)
    CHECK(Book_.isElectedFor(Matter, Now_) != Other.isElectedFor(Matter, Now_));
}

// Between whole heartbeats only what changed is told. What was told before
// stands, but for a host that started anew since.
TEST(HostTable, aChangeIsTakenIntoWhatWasTold) {
  members::Heartbeat Said;
  Said.Sender_ = cardOf("h1", "north");
  Said.Sequence_ = 1;
  Said.Demands_ = {{base::CustomerId("a"), 3}, {base::CustomerId("b"), 1}};
  Said.LivePeers_ = {"h2-ip"};
  Book_.receive(Said, Now_);
  Said.Sequence_ = 2;
  Said.IsFull_ = false;
  Said.Demands_ = {{base::CustomerId("a"), 7}};
  Said.LivePeers_.clear();
  Book_.receive(Said, Now_);
  double Sum = 0;
  for (const auto &Each : Book_.others(Now_)[0].Demands_)
    Sum += Each.RequestsPerSecond_;
  DOUBLES_EQUAL(8, Sum, 0.01);
  LONGS_EQUAL(2, Book_.recipients(Now_).size());
  Said.Sender_.Incarnation_ = 2;
  Said.Sequence_ = 1;
  Book_.receive(Said, Now_);
  LONGS_EQUAL(1, Book_.others(Now_)[0].Demands_.size());
}

TEST(HostTable, hostsThatOthersHearGetHeartbeats) {
  members::Heartbeat Said;
  Said.Sender_ = cardOf("h1", "north");
  Said.Sequence_ = 1;
  Said.LivePeers_ = {"h2-ip", "self-ip"};
  Book_.receive(Said, Now_);
  const std::vector<std::string> To = Book_.recipients(Now_);
  LONGS_EQUAL(2, To.size());
  STRCMP_EQUAL("h1-ip", To[0].c_str());
  STRCMP_EQUAL("h2-ip", To[1].c_str());
}

TEST(HostTable, otherRegionsAreNamedWhereTheCallersOwnHasNone) {
  members::RegionUpdate Said;
  Said.Region_ = base::RegionId("south");
  Said.Summary_.Hosts_ = {{cardOf("far", "south"), true, false, false}};
  CHECK(Book_.heardNews(Said, Now_));
  STRCMP_EQUAL("self:80 ", entries().c_str());
  STRCMP_EQUAL("far:80 ", entries({false, false, false}).c_str());
}

// The host lost the store and all other hosts. Callers that it names itself to
// would be refused; the others it heard last were well.
TEST(HostTable, aHostThatIsCutOffNamesTheOthers) {
  hear("h1");
  Now_ += 5s;
  STRCMP_EQUAL("h1:80 ", entries({false, false, true}).c_str());
}
