#include "members/Heartbeat.h"

#include "members/HostTable.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using namespace std::chrono_literals;

TEST_GROUP(Heartbeat) {
  base::Error Last_;
  static members::Heartbeat sample() {
    members::Heartbeat Said;
    Said.Sender_.Host_ = base::HostId("h1");
    Said.Sender_.Region_ = base::RegionId("north");
    Said.Sender_.Zone_ = base::ZoneId("north-a");
    Said.Sender_.Address_ = "127.0.0.2";
    Said.Sender_.CallerAddress_ = "127.0.0.2:80";
    Said.Sender_.Incarnation_ = 1700000000000;
    Said.Sequence_ = 9;
    Said.Ready_ = true;
    Said.Demands_ = {{base::CustomerId("parish"), 2.5}};
    Said.Loads_ = {{base::ServiceId("portal"), 11.25, base::RegionId("north")}};
    Said.Evidence_ = {{0xffffffffffffffffULL, 7, 1500ms}};
    Said.Times_ = {{"rule", 0.25, 0.9, 0.4}};
    Said.LivePeers_ = {"127.0.0.3"};
    return Said;
  }
};

TEST(Heartbeat, comesBackAsItWasSaid) {
  const members::Heartbeat Said = sample();
  const auto Decoded =
      members::decodeHeartbeat(members::encodeHeartbeat(Said), Last_);
  CHECK(Decoded.has_value());
  const members::Heartbeat Read = Decoded.value_or(members::Heartbeat());
  CHECK(Read.Sender_ == Said.Sender_);
  LONGS_EQUAL(9, Read.Sequence_);
  CHECK(Read.Ready_);
  CHECK_FALSE(Read.Leaving_);
  DOUBLES_EQUAL(2.5, Read.Demands_[0].RequestsPerSecond_, 0.01);
  DOUBLES_EQUAL(11.25, Read.Loads_[0].Slots_, 0.01);
  STRCMP_EQUAL("north", Read.Loads_[0].BoundTo_.name().c_str());
  CHECK(Read.Evidence_[0] == Said.Evidence_[0]);
  STRCMP_EQUAL("rule", Read.Times_[0].Rule_.c_str());
  DOUBLES_EQUAL(0.25, Read.Times_[0].WarmSeconds_, 0.001);
  DOUBLES_EQUAL(0.9, Read.Times_[0].ColdSeconds_, 0.001);
  DOUBLES_EQUAL(0.4, Read.Times_[0].UsualSeconds_, 0.001);
  STRCMP_EQUAL("127.0.0.3", Read.LivePeers_[0].c_str());
}

// Anyone can send a datagram to the port. What is no heartbeat changes nothing
// and says why.
TEST(Heartbeat, anythingElseIsRefused) {
  for (const char *Text :
       {"", "no json", "[]", "{}", R"({"h":1})", R"({"h":"a","s":"1"})",
        R"({"h":"a","region":"r","zone":"z","at":"a","callers":"c",)"
        R"("s":1,"n":"1","f":1})",
        R"({"h":"a","region":"r","zone":"z","callers":"c",)"
        R"("s":1,"n":1,"f":1})",
        R"({"h":"a","s":1,"n":1,"f":"1"})",
        R"({"h":"a","region":"r","zone":"z","at":"a","callers":"c",)"
        R"("s":1,"n":1,"f":1,"d":[1]})"}) {
    CHECK_FALSE(members::decodeHeartbeat(Text, Last_).has_value());
    CHECK_FALSE(Last_.Reason_.empty());
  }
}

TEST(Heartbeat, fitsItsDatagramWithManyCustomers) {
  members::Heartbeat Said = sample();
  Said.Demands_.clear();
  for (int Each = 0; Each < 100; ++Each)
    Said.Demands_.push_back(
        {base::CustomerId("customer-" + std::to_string(Each)), 123.45});
  CHECK(members::encodeHeartbeat(Said).size() < 8192);
}

// Guards against hosts that take each other for dead since what they have to
// tell is longer than a datagram: they tell less, and are heard.
TEST(Heartbeat, whatIsTooLongIsCutAndNotUnsaid) {
  constexpr std::size_t MostBytes = 8192;
  members::Heartbeat Said = sample();
  Said.Evidence_.assign(400, Said.Evidence_[0]);
  std::string Text = members::encodeHeartbeat(Said, MostBytes);
  CHECK(Text.size() <= MostBytes);
  auto Read = members::decodeHeartbeat(Text, Last_);
  CHECK(Read && Read->Ready_ && Read->Demands_.size() == 1);
  CHECK(Read && Read->Evidence_.empty());
  Said.Demands_.assign(1000, Said.Demands_[0]);
  Text = members::encodeHeartbeat(Said, MostBytes);
  CHECK(Text.size() <= MostBytes);
  Read = members::decodeHeartbeat(Text, Last_);
  CHECK(Read && Read->Ready_ && Read->Loads_.size() == 1);
  CHECK(Read && Read->Demands_.empty() && !Read->IsFull_);
}

// Most heartbeats leave out where the host is. A host that missed the one that
// told it, or hears a new start, cannot place them and waits for the next.
TEST(Heartbeat, withoutItsCardItIsPlacedByWhatWasToldBefore) {
  members::HostTable Book({});
  members::Heartbeat Said = sample();
  const base::TimePoint Now(100s);
  const auto Hear = [&](bool WithCard) {
    Said.HasDescriptor_ = WithCard;
    ++Said.Sequence_;
    const auto Read =
        members::decodeHeartbeat(members::encodeHeartbeat(Said), Last_);
    return Read && Book.receive(*Read, Now);
  };
  CHECK_FALSE(Hear(false));
  CHECK(Hear(true));
  Said.Ready_ = false;
  CHECK(Hear(false));
  const auto Views = Book.recipients(Now);
  LONGS_EQUAL(2, Views.size());
  Said.Sender_.Incarnation_ += 1;
  Said.Ready_ = true;
  CHECK_FALSE(Hear(false));
  CHECK(Hear(true));
}
