#include "live/TargetRegistry.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::live::TargetRecord;
using lychee::live::TargetRegistry;
using namespace std::chrono_literals;

TEST_GROUP(TargetRegistry) {
  TargetRegistry Book_{2500ms};
  base::TimePoint Now_ = base::TimePoint(100s);

  static TargetRecord recordOf(const char *Name, std::int64_t Started = 1) {
    TargetRecord Made;
    Made.Id_ = base::TargetId(Name);
    Made.Service_ = base::ServiceId("portal");
    Made.Address_ = "127.0.0.1:80";
    Made.Started_ = Started;
    return Made;
  }
};

TEST(TargetRegistry, aTargetThatLeavesIsGoneAtOnce) {
  Book_.put(recordOf("t1"), Now_);
  Book_.remove(base::TargetId("t1"), Now_ + 1s);
  LONGS_EQUAL(0, Book_.targets().size());
}

// A target's entry changes and is removed within one pause between two watches,
// so that both come together. Taken out of order, the change brings the target
// back for good, and it gets requests after it has ended.
TEST(TargetRegistry, aChangeAndItsEndInOneBatchEndTheTarget) {
  Book_.put(recordOf("t1", 1), Now_);
  lychee::live::TargetRecord Warm = recordOf("t1", 1);
  Warm.ColdLeft_ = 5ms;
  const std::vector<lychee::live::TargetChange> Batch = {
      {Warm.Id_, Warm}, {Warm.Id_, std::nullopt}};
  Book_.apply(Batch, Now_ + 1s);
  LONGS_EQUAL(0, Book_.targets().size());
}

// The store was away, the targets' entries expired meanwhile, and the first
// list after its return is empty. All targets are well and write again within
// two seconds; dropped, every caller would be refused until then.
TEST(TargetRegistry, anEmptyListAfterAnOutageKeepsTheTargets) {
  Book_.put(recordOf("t1"), Now_);
  Book_.noteTrouble(Now_ + 3s);
  Book_.remove(base::TargetId("t1"), Now_ + 4s);
  LONGS_EQUAL(1, Book_.targets().size());
  Book_.put(recordOf("t1"), Now_ + 5s);
  Book_.expire(Now_ + 20s);
  LONGS_EQUAL(1, Book_.targets().size());
}

// As above, but the target did end during the outage. It must get nothing more
// within 2.5 s of the list that it is missing from.
TEST(TargetRegistry, aTargetStillMissingAfterTheGraceIsGone) {
  Book_.put(recordOf("t1"), Now_);
  Book_.noteTrouble(Now_ + 3s);
  Book_.remove(base::TargetId("t1"), Now_ + 4s);
  Book_.expire(Now_ + 4s + 1299ms);
  LONGS_EQUAL(1, Book_.targets().size());
  Book_.expire(Now_ + 4s + 1300ms);
  LONGS_EQUAL(0, Book_.targets().size());
}

// A target leaves without a word, 4 s after trouble with the store. Kept for as
// long as live targets may take to write again, and heard of half a second
// late, it got a request 2,535 ms after it had left, over the bound of 2,500.
TEST(TargetRegistry, theGraceLeavesTimeToHearOfALeavingTarget) {
  const auto KeptFor = [&](lychee::base::Duration Bound) {
    TargetRegistry Book(Bound);
    Book.put(recordOf("t1"), Now_);
    Book.noteTrouble(Now_);
    Book.remove(base::TargetId("t1"), Now_ + 4s);
    lychee::base::Duration Kept{};
    for (; !Book.targets().empty() && Kept < 5s; Kept += 10ms)
      Book.expire(Now_ + 4s + Kept);
    return Kept;
  };
  for (const auto Bound : {1000ms, 2500ms, 3000ms})
    CHECK(KeptFor(Bound) + TargetRegistry::HearingTime <=
          std::max<lychee::base::Duration>(Bound, 1200ms) + 20ms);
  CHECK(KeptFor(10s) <= TargetRegistry::LongestGrace + 20ms);
}

TEST(TargetRegistry, aLeavingTargetGetsNoGrace) {
  TargetRecord Leaving = recordOf("t1");
  Leaving.Leaving_ = true;
  Book_.put(Leaving, Now_);
  Book_.noteTrouble(Now_ + 1s);
  Book_.remove(base::TargetId("t1"), Now_ + 2s);
  LONGS_EQUAL(0, Book_.targets().size());
}

TEST(TargetRegistry, aRecordThatSaysTheSameIsNoChange) {
  Book_.put(recordOf("t1"), Now_);
  CHECK(Book_.takeChanged());
  Book_.put(recordOf("t1"), Now_ + 1s);
  CHECK_FALSE(Book_.takeChanged());
  Book_.put(recordOf("t1", 2), Now_ + 2s);
  CHECK(Book_.takeChanged());
}

TEST(TargetRegistry, coldTimeCountsFromTheWord) {
  TargetRecord Cold = recordOf("t1");
  Cold.ColdLeft_ = 3s;
  Book_.put(Cold, Now_);
  CHECK(Book_.targets()[0].ColdUntil_ == Now_ + 3s);
}
