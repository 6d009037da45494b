#include "live/ObjectMirror.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::live::ObjectBatch;
using lychee::live::ObjectMirror;
using lychee::live::StoredObject;
using namespace std::chrono_literals;

namespace {

StoredObject changed(const char *Name, std::uint64_t Revision) {
  return {Name, Revision, {}, false};
}
StoredObject deleted(const char *Name, std::uint64_t Revision) {
  return {Name, Revision, {}, true};
}

} // namespace

TEST_GROUP(ObjectMirror) {
  base::TimePoint Now_ = base::TimePoint(100s);
  ObjectMirror Mirror_;

  void setup() override {
    Mirror_.replaceAll({{changed("a", 3), changed("b", 5)}, 10}, Now_);
  }
};

TEST(ObjectMirror, listIsReportedAsChanges) {
  const auto Changes =
      Mirror_.replaceAll({{changed("a", 12), changed("c", 11)}, 15}, Now_);
  LONGS_EQUAL(3, Changes.size());
  CHECK(Changes[0].Deleted_);
  STRCMP_EQUAL("b", Changes[0].Name_.c_str());
  CHECK(Mirror_.replaceAll({{changed("a", 12), changed("c", 11)}, 16}, Now_)
            .empty());
}

TEST(ObjectMirror, eachChangeIsReportedOnce) {
  const ObjectBatch Batch{{changed("a", 11), deleted("b", 12)}, 12};
  LONGS_EQUAL(2, Mirror_.apply(Batch, Now_).size());
  CHECK(Mirror_.apply(Batch, Now_).empty());
}

// Two hosts send the same deletion in different batches. An earlier change of
// the object arrives after the deletion and must not restore it.
TEST(ObjectMirror, changeBeforeADeletionDoesNotRestoreTheObject) {
  Mirror_.apply({{changed("b", 11), deleted("b", 12)}, 12}, Now_);
  CHECK(Mirror_.apply({{changed("b", 11)}, 14}, Now_).empty());
  LONGS_EQUAL(1, Mirror_.apply({{changed("b", 15)}, 15}, Now_).size());
}

// A watch ends without a change but names a later revision, because the store
// has stopped delivering changes. The next list shows a change from before that
// revision. Hosts that were sent the later revision must get this change, too.
TEST(ObjectMirror, changeWithheldByAWatchIsSentToOtherHosts) {
  ObjectMirror OtherHost;
  OtherHost.replaceAll({{changed("a", 3), changed("b", 5)}, 10}, Now_);
  Mirror_.apply({{}, 20}, Now_);
  OtherHost.apply({{}, 20}, Now_);
  Mirror_.replaceAll({{changed("a", 15), changed("b", 5)}, 30}, Now_);
  const auto Missed = Mirror_.changesSince(20);
  CHECK(Missed.has_value());
  LONGS_EQUAL(1, OtherHost.apply(Missed.value_or(ObjectBatch()), Now_).size());
}

// As above, but the host polls one that never received the change either. It
// must not accept that host's state as the newest.
TEST(ObjectMirror, unknownChangeIsNotCovered) {
  Mirror_.apply({{}, 20}, Now_);
  CHECK_FALSE(Mirror_.covers(15));
  Mirror_.replaceAll({{changed("a", 3), changed("b", 5)}, 21}, Now_);
  CHECK(Mirror_.covers(15));
}

TEST(ObjectMirror, trimmedHistoryIsNotReturned) {
  Mirror_.apply({{changed("a", 11)}, 11}, Now_);
  CHECK(Mirror_.changesSince(10).has_value());
  Mirror_.apply({{changed("a", 12)}, 12}, Now_ + 11s);
  CHECK_FALSE(Mirror_.changesSince(10).has_value());
  LONGS_EQUAL(1,
              Mirror_.changesSince(11).value_or(ObjectBatch()).Objects_.size());
  CHECK_FALSE(Mirror_.changesSince(9).has_value());
}

TEST(ObjectMirror, sizeOfChangesIsKnownInAdvance) {
  StoredObject Large = changed("a", 11);
  Large.Bytes_ = 300;
  StoredObject Small = changed("b", 12);
  Small.Bytes_ = 20;
  Mirror_.apply({{Large}, 11}, Now_);
  Mirror_.apply({{Small}, 12}, Now_);
  LONGS_EQUAL(320, Mirror_.changeBytesSince(10));
  LONGS_EQUAL(20, Mirror_.changeBytesSince(11));
  LONGS_EQUAL(0, Mirror_.changeBytesSince(12));
}

TEST(ObjectMirror, trimmedHistoryHasNoSize) {
  StoredObject Large = changed("a", 11);
  Large.Bytes_ = 300;
  Mirror_.apply({{Large}, 11}, Now_);
  CHECK_FALSE(Mirror_.changesSince(9).has_value());
  LONGS_EQUAL(0, Mirror_.changeBytesSince(9));
}

TEST(ObjectMirror, listOlderThanTheStateIsIgnored) {
  Mirror_.apply({{changed("a", 11)}, 11}, Now_);
  CHECK(Mirror_.replaceAll({{changed("a", 3)}, 9}, Now_).empty());
}
