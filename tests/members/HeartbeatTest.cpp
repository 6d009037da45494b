#include "members/Heartbeat.h"

#include "members/HostTable.h"
#include "members/RegionUpdate.h"
#include "members/TokenMessages.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using namespace std::chrono_literals;

TEST_GROUP(Heartbeat) {
  base::Error Last_;
  static members::Heartbeat sample() {
    members::Heartbeat Message;
    Message.Sender_.Host_ = base::HostId("h1");
    Message.Sender_.Region_ = base::RegionId("north");
    Message.Sender_.Zone_ = base::ZoneId("north-a");
    Message.Sender_.Address_ = "127.0.0.2";
    Message.Sender_.CallerAddress_ = "127.0.0.2:80";
    Message.Sender_.Incarnation_ = 1700000000000;
    Message.Sequence_ = 9;
    Message.Ready_ = true;
    Message.TargetsUnreached_ = true;
    Message.Demands_ = {{base::CustomerId("parish"), 2.5}};
    Message.Loads_ = {
        {base::ServiceId("portal"), 11.25, base::RegionId("north")}};
    Message.Evidence_ = {{0xffffffffffffffffULL, 7, 1500ms}};
    Message.TargetRates_ = {{0xfffffffffffffff0ULL, 0.29, 20ms},
                            {5, std::nullopt, 900ms}};
    Message.TargetLeavings_ = {{0xfffffffffffffff1ULL, 30ms}, {6, 2s}};
    Message.Times_ = {{"rule", 0.25, 0.9, 0.4}};
    Message.Pressures_ = {{base::ServiceId("portal"), base::RegionId("south"),
                           2, 10.5, 8.25, 1.5, 0.75}};
    Message.LivePeers_ = {"127.0.0.3"};
    return Message;
  }
};

TEST(Heartbeat, decodingRestoresTheEncodedHeartbeat) {
  const members::Heartbeat Message = sample();
  const auto Decoded =
      members::decodeHeartbeat(members::encodeHeartbeat(Message), Last_);
  CHECK(Decoded.has_value());
  const members::Heartbeat Read = Decoded.value_or(members::Heartbeat());
  CHECK(Read.Sender_ == Message.Sender_);
  LONGS_EQUAL(9, Read.Sequence_);
  CHECK(Read.Ready_);
  CHECK_FALSE(Read.Leaving_);
  CHECK(Read.TargetsUnreached_);
  DOUBLES_EQUAL(2.5, Read.Demands_[0].RequestsPerSecond_, 0.01);
  DOUBLES_EQUAL(11.25, Read.Loads_[0].Slots_, 0.01);
  STRCMP_EQUAL("north", Read.Loads_[0].BoundTo_.name().c_str());
  LONGS_EQUAL(1, Read.Pressures_.size());
  STRCMP_EQUAL("south", Read.Pressures_[0].BoundTo_.name().c_str());
  LONGS_EQUAL(2, Read.Pressures_[0].Priority_);
  DOUBLES_EQUAL(10.5, Read.Pressures_[0].AskedSlots_, 0.01);
  DOUBLES_EQUAL(8.25, Read.Pressures_[0].AdmittedSlots_, 0.01);
  DOUBLES_EQUAL(1.5, Read.Pressures_[0].LackingSlots_, 0.01);
  DOUBLES_EQUAL(0.75, Read.Pressures_[0].Share_, 0.01);
  CHECK(Read.Evidence_[0] == Message.Evidence_[0]);
  CHECK(Read.TargetRates_ == Message.TargetRates_);
  CHECK(Read.TargetLeavings_ == Message.TargetLeavings_);
  STRCMP_EQUAL("rule", Read.Times_[0].Rule_.c_str());
  DOUBLES_EQUAL(0.25, Read.Times_[0].WarmSeconds_, 0.001);
  DOUBLES_EQUAL(0.9, Read.Times_[0].ColdSeconds_, 0.001);
  DOUBLES_EQUAL(0.4, Read.Times_[0].UsualSeconds_, 0.001);
  STRCMP_EQUAL("127.0.0.3", Read.LivePeers_[0].c_str());
}

// Anyone can send a datagram to the port. A text that is not a heartbeat must
// be rejected with a reason.
TEST(Heartbeat, versionAheadOfTheStoreIsOptional) {
  members::Heartbeat Message = sample();
  const auto Decoded = [&] {
    return members::decodeHeartbeat(members::encodeHeartbeat(Message), Last_)
        .value_or(members::Heartbeat());
  };
  CHECK_FALSE(Decoded().VersionAhead_.has_value());
  Message.VersionAhead_ = 27;
  LONGS_EQUAL(27, Decoded().VersionAhead_.value_or(0));
}

TEST(Heartbeat, otherTextsAreRejected) {
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
  members::Heartbeat Message = sample();
  Message.Demands_.clear();
  for (int Number = 0; Number < 100; ++Number)
    Message.Demands_.push_back(
        {base::CustomerId("customer-" + std::to_string(Number)), 123.45});
  CHECK(members::encodeHeartbeat(Message).size() < 8192);
}

// Guards against hosts that consider each other dead because their state does
// not fit into a datagram: a shortened heartbeat must be sent instead.
TEST(Heartbeat, tooLongHeartbeatIsShortenedAndNotDropped) {
  constexpr std::size_t MaxBytes = 8192;
  members::Heartbeat Message = sample();
  Message.Evidence_.assign(400, Message.Evidence_[0]);
  std::string Text = members::encodeHeartbeat(Message, MaxBytes);
  CHECK(Text.size() <= MaxBytes);
  auto Read = members::decodeHeartbeat(Text, Last_);
  CHECK(Read && Read->Ready_ && Read->Demands_.size() == 1);
  CHECK(Read && Read->Evidence_.empty());
  Message.Demands_.assign(1000, Message.Demands_[0]);
  Text = members::encodeHeartbeat(Message, MaxBytes);
  CHECK(Text.size() <= MaxBytes);
  Read = members::decodeHeartbeat(Text, Last_);
  CHECK(Read && Read->Ready_ && Read->Loads_.size() == 1);
  CHECK(Read && Read->Demands_.empty() && !Read->IsFull_);
}

// Most heartbeats omit the host descriptor. A receiver that missed the one that
// carried it, or sees a new incarnation, ignores the heartbeat and waits for
// the next descriptor.
TEST(Heartbeat, heartbeatWithoutDescriptorUsesTheKnownOne) {
  members::HostTable Hosts({});
  members::Heartbeat Message = sample();
  const base::TimePoint Now(100s);
  const auto Receive = [&](bool WithDescriptor) {
    Message.HasDescriptor_ = WithDescriptor;
    ++Message.Sequence_;
    const auto Read =
        members::decodeHeartbeat(members::encodeHeartbeat(Message), Last_);
    return Read && Hosts.receive(*Read, Now);
  };
  CHECK_FALSE(Receive(false));
  CHECK(Receive(true));
  Message.Ready_ = false;
  CHECK(Receive(false));
  const auto Recipients = Hosts.recipients(Now);
  LONGS_EQUAL(2, Recipients.size());
  Message.Sender_.Incarnation_ += 1;
  Message.Ready_ = true;
  CHECK_FALSE(Receive(false));
  CHECK(Receive(true));
}

// The parser throws beyond a depth of its own, and the receiving loop ended.
TEST(Heartbeat, aDatagramOfNestedArraysIsRefused) {
  for (const std::size_t Depth : {300UL, 1100UL, 30'000UL}) {
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    for (const std::string &Text : {Nested, R"({"a":)" + Nested + "}"}) {
      CHECK_FALSE(members::decodeHeartbeat(Text, Last_).has_value());
      CHECK_FALSE(members::decodeRegionUpdate(Text, Last_).has_value());
      CHECK_FALSE(members::decodeTokenMessage(Text, Last_).has_value());
    }
  }
}
