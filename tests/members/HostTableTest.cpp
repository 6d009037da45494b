#include "members/HostTable.h"

#include "members/EntryPolicy.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using members::HostTable;
using namespace std::chrono_literals;

namespace {

members::HostDescriptor descriptorOf(const std::string &Name,
                                     const std::string &Region) {
  members::HostDescriptor Result;
  Result.Host_ = base::HostId(Name);
  Result.Region_ = base::RegionId(Region);
  Result.Zone_ = base::ZoneId(Region + "-a");
  Result.Address_ = Name + "-ip";
  Result.CallerAddress_ = Name + ":80";
  Result.Incarnation_ = 1;
  return Result;
}

} // namespace

TEST_GROUP(HostTable) {
  HostTable Hosts_{descriptorOf("self", "north")};
  base::TimePoint Now_ = base::TimePoint(100s);
  std::uint64_t Sequence_ = 0;

  bool receive(const std::string &Name, bool Ready = true, bool Leaving = false,
               const std::string &Region = "north") {
    members::Heartbeat Message;
    Message.Sender_ = descriptorOf(Name, Region);
    Message.Sequence_ = ++Sequence_;
    Message.Ready_ = Ready;
    Message.Leaving_ = Leaving;
    return Hosts_.receive(Message, Now_);
  }
  std::string entries(members::LocalHostState Local = {true, false, false}) {
    std::string Text;
    members::EntryQuery Query;
    Query.Region_ = base::RegionId("north");
    Query.Zone_ = base::ZoneId("north-a");
    for (const std::string &Entry : members::chooseEntries(
             Query, Hosts_.self(), Local, Hosts_.others(Now_)))
      Text += Entry + " ";
    return Text;
  }
};

// Callers sent to a dead host wait for a connect that fails, so look-ups drop a
// host after four missing heartbeats.
TEST(HostTable, silentHostIsDroppedFromLookups) {
  receive("h1");
  STRCMP_EQUAL("self:80 h1:80 ", entries().c_str());
  Now_ += HostTable::AliveFor;
  STRCMP_EQUAL("self:80 ", entries().c_str());
}

// A silent host may only be cut off and go on spending its share of a rate for
// some seconds. Its share stays reserved until it can no longer spend it.
TEST(HostTable, silentHostKeepsItsShareLonger) {
  receive("h1");
  Now_ += HostTable::AliveFor;
  LONGS_EQUAL(2, Hosts_.shareHolders(Now_));
  Now_ += HostTable::ReservedFor;
  LONGS_EQUAL(1, Hosts_.shareHolders(Now_));
}

TEST(HostTable, leavingHostIsDroppedImmediately) {
  receive("h1");
  CHECK(receive("h1", true, true));
  STRCMP_EQUAL("self:80 ", entries().c_str());
}

TEST(HostTable, lateOlderHeartbeatIsIgnored) {
  receive("h1", true, true);
  Sequence_ = 0;
  CHECK_FALSE(receive("h1"));
  STRCMP_EQUAL("self:80 ", entries().c_str());
}

// If all others fall silent at the same moment, they are not dead: this host is
// cut off. If it took over their shares, each would be spent twice.
TEST(HostTable, allHostsSilentAtOnceMeansCutOff) {
  for (const char *Name : {"h1", "h2", "h3", "h4"})
    receive(Name);
  CHECK_FALSE(Hosts_.isCutOff(Now_));
  Now_ += HostTable::AliveFor;
  CHECK(Hosts_.isCutOff(Now_));
}

TEST(HostTable, oneSilentHostOfFourDoesNotMeanCutOff) {
  for (const char *Name : {"h1", "h2", "h3", "h4"})
    receive(Name);
  Now_ += 1500ms;
  for (const char *Name : {"h2", "h3", "h4"})
    receive(Name);
  Now_ += 1s;
  CHECK_FALSE(Hosts_.isCutOff(Now_));
}

// Between full heartbeats only changes are sent. The other demands stay as they
// are, unless the host has restarted since.
TEST(HostTable, deltaIsMergedIntoKnownDemands) {
  members::Heartbeat Message;
  Message.Sender_ = descriptorOf("h1", "north");
  Message.Sequence_ = 1;
  Message.Demands_ = {{base::CustomerId("a"), 3}, {base::CustomerId("b"), 1}};
  Message.LivePeers_ = {"h2-ip"};
  Hosts_.receive(Message, Now_);
  Message.Sequence_ = 2;
  Message.IsFull_ = false;
  Message.Demands_ = {{base::CustomerId("a"), 7}};
  Message.LivePeers_.clear();
  Hosts_.receive(Message, Now_);
  double Sum = 0;
  for (const auto &Entry : Hosts_.others(Now_)[0].Demands_)
    Sum += Entry.RequestsPerSecond_;
  DOUBLES_EQUAL(8, Sum, 0.01);
  LONGS_EQUAL(2, Hosts_.recipients(Now_).size());
  Message.Sender_.Incarnation_ = 2;
  Message.Sequence_ = 1;
  Hosts_.receive(Message, Now_);
  LONGS_EQUAL(1, Hosts_.others(Now_)[0].Demands_.size());
}

TEST(HostTable, livePeersOfOthersGetHeartbeats) {
  members::Heartbeat Message;
  Message.Sender_ = descriptorOf("h1", "north");
  Message.Sequence_ = 1;
  Message.LivePeers_ = {"h2-ip", "self-ip"};
  Hosts_.receive(Message, Now_);
  const std::vector<std::string> Recipients = Hosts_.recipients(Now_);
  LONGS_EQUAL(2, Recipients.size());
  STRCMP_EQUAL("h1-ip", Recipients[0].c_str());
  STRCMP_EQUAL("h2-ip", Recipients[1].c_str());
}

TEST(HostTable, otherRegionsAreUsedIfTheCallersRegionHasNoHost) {
  members::RegionUpdate Message;
  Message.Region_ = base::RegionId("south");
  Message.Summary_.Hosts_ = {
      {descriptorOf("far", "south"), true, false, false}};
  CHECK(Hosts_.receiveUpdate(Message, Now_));
  STRCMP_EQUAL("self:80 ", entries().c_str());
  STRCMP_EQUAL("far:80 ", entries({false, false, false}).c_str());
}

// The host has lost the store and all other hosts. Callers that it accepted
// would be refused; the other hosts were fine when last seen.
TEST(HostTable, hostThatIsCutOffReturnsTheOthers) {
  receive("h1");
  Now_ += 5s;
  STRCMP_EQUAL("h1:80 ", entries({false, false, true}).c_str());
}
