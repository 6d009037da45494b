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
StoredObject ended(const char *Name, std::uint64_t Revision) {
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

TEST(ObjectMirror, aListIsToldAsWhatChanged) {
  const auto News =
      Mirror_.replaceAll({{changed("a", 12), changed("c", 11)}, 15}, Now_);
  LONGS_EQUAL(3, News.size());
  CHECK(News[0].Deleted_);
  STRCMP_EQUAL("b", News[0].Name_.c_str());
  CHECK(Mirror_.replaceAll({{changed("a", 12), changed("c", 11)}, 16}, Now_)
            .empty());
}

TEST(ObjectMirror, whatIsKnownIsToldOnce) {
  const ObjectBatch Portion{{changed("a", 11), ended("b", 12)}, 12};
  LONGS_EQUAL(2, Mirror_.apply(Portion, Now_).size());
  CHECK(Mirror_.apply(Portion, Now_).empty());
}

// Two hosts told of the same end in other portions: an earlier change of the
// object comes after its end, and must not bring it back.
TEST(ObjectMirror, aChangeFromBeforeAnEndDoesNotBringTheObjectBack) {
  Mirror_.apply({{changed("b", 11), ended("b", 12)}, 12}, Now_);
  CHECK(Mirror_.apply({{changed("b", 11)}, 14}, Now_).empty());
  LONGS_EQUAL(1, Mirror_.apply({{changed("b", 15)}, 15}, Now_).size());
}

// A watch went deaf: it ended without a change and named a later revision. The
// list that follows shows a change from before that revision, and hosts that
// were told the later one are told of the change, too.
TEST(ObjectMirror, aChangeThatAWatchKeptBackIsPassedOn) {
  ObjectMirror Told;
  Told.replaceAll({{changed("a", 3), changed("b", 5)}, 10}, Now_);
  Mirror_.apply({{}, 20}, Now_);
  Told.apply({{}, 20}, Now_);
  Mirror_.replaceAll({{changed("a", 15), changed("b", 5)}, 30}, Now_);
  const auto Missed = Mirror_.since(20);
  CHECK(Missed.has_value());
  LONGS_EQUAL(1, Told.apply(Missed.value_or(ObjectBatch()), Now_).size());
}

// The same, but the later host asks one that never heard the change either. It
// must not take that host's word for what is the newest.
TEST(ObjectMirror, aChangeThatIsNotKnownHereIsNotCovered) {
  Mirror_.apply({{}, 20}, Now_);
  CHECK_FALSE(Mirror_.covers(15));
  Mirror_.replaceAll({{changed("a", 3), changed("b", 5)}, 21}, Now_);
  CHECK(Mirror_.covers(15));
}

TEST(ObjectMirror, whatIsForgottenIsNotTold) {
  Mirror_.apply({{changed("a", 11)}, 11}, Now_);
  CHECK(Mirror_.since(10).has_value());
  Mirror_.apply({{changed("a", 12)}, 12}, Now_ + 11s);
  CHECK_FALSE(Mirror_.since(10).has_value());
  LONGS_EQUAL(1, Mirror_.since(11).value_or(ObjectBatch()).Objects_.size());
  CHECK_FALSE(Mirror_.since(9).has_value());
}

TEST(ObjectMirror, theLengthOfWhatIsToldIsKnownBefore) {
  StoredObject Large = changed("a", 11);
  Large.Bytes_ = 300;
  StoredObject Small = changed("b", 12);
  Small.Bytes_ = 20;
  Mirror_.apply({{Large}, 11}, Now_);
  Mirror_.apply({{Small}, 12}, Now_);
  LONGS_EQUAL(320, Mirror_.bytesSince(10));
  LONGS_EQUAL(20, Mirror_.bytesSince(11));
  LONGS_EQUAL(0, Mirror_.bytesSince(12));
}

TEST(ObjectMirror, whatIsForgottenHasNoLength) {
  StoredObject Large = changed("a", 11);
  Large.Bytes_ = 300;
  Mirror_.apply({{Large}, 11}, Now_);
  CHECK_FALSE(Mirror_.since(9).has_value());
  LONGS_EQUAL(0, Mirror_.bytesSince(9));
}

TEST(ObjectMirror, aListThatIsOlderThanWhatIsKnownChangesNothing) {
  Mirror_.apply({{changed("a", 11)}, 11}, Now_);
  CHECK(Mirror_.replaceAll({{changed("a", 3)}, 9}, Now_).empty());
}
