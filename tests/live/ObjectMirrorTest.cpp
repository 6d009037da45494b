#include "live/ObjectMirror.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::live::ObjectBatch;
using lychee::live::ObjectMirror;
using lychee::live::StoredObject;
using lychee::live::StoreRevision;
using namespace std::chrono_literals;

namespace {

StoredObject changed(const char *Name, std::uint64_t Revision) {
  return {Name, Revision, {}, false};
}
StoredObject deleted(const char *Name, std::uint64_t Revision) {
  return {Name, Revision, {}, true};
}

StoredObject holding(const char *Name, StoreRevision Revision,
                     const char *Content) {
  return {Name, Revision, Content, false};
}

constexpr std::uint64_t Restored = 1;

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

/// A host that has read up to revision 20 before the store comes back from a
/// copy at revision 12, and another host that knows the same.
TEST_GROUP(RestoredObjectMirror) {
  base::TimePoint Now_ = base::TimePoint(100s);
  ObjectMirror Mirror_;
  ObjectMirror Other_;
  const ObjectBatch Before_{{holding("a", 3, "old"), holding("b", 18, "new"),
                             holding("c", 19, "late")},
                            20};
  const ObjectBatch Copy_{
      {holding("a", {3, Restored}, "old"), holding("b", {5, Restored}, "old")},
      {12, Restored}};

  void setup() override {
    Mirror_.replaceAll(Before_, Now_);
    Other_.replaceAll(Before_, Now_);
  }

  /// \returns names with their states, such as "b=old c-".
  static std::string describe(const std::vector<StoredObject> &Changes) {
    std::string Text;
    for (const StoredObject &Entry : Changes)
      Text += Entry.Name_ +
              (Entry.Deleted_ ? "-" : "=" + Entry.Content_.asString()) +
              (Entry.Restored_ ? "? " : " ");
    return Text;
  }
};

TEST(RestoredObjectMirror, listBelowTheKnownRevisionIsCompared) {
  STRCMP_EQUAL("b=old? c-? ",
               describe(Mirror_.replaceAll(Copy_, Now_)).c_str());
  CHECK(Mirror_.revision() == StoreRevision(12, Restored));
}

TEST(RestoredObjectMirror, changeUnderARevisionGivenOutAgainIsReported) {
  Mirror_.replaceAll(Copy_, Now_);
  const auto Changes = Mirror_.apply({{holding("b", {18, Restored}, "newer"),
                                       holding("d", {19, Restored}, "x")},
                                      {19, Restored}},
                                     Now_);
  STRCMP_EQUAL("b=newer d=x ", describe(Changes).c_str());
}

TEST(RestoredObjectMirror, newsOfTheEarlierEraAreIgnored) {
  const ObjectBatch Lost{{holding("b", 30, "lost"), holding("z", 31, "lost")},
                         31};
  Mirror_.replaceAll(Copy_, Now_);
  CHECK(Mirror_.apply(Lost, Now_).empty());
  CHECK(Mirror_.replaceAll(Lost, Now_).empty());
  CHECK_FALSE(Mirror_.covers({30, Restored}));
}

TEST(RestoredObjectMirror, otherHostLearnsTheDifferences) {
  // The other host heard of an object that this one never did.
  Other_.apply({{holding("e", 21, "unheard")}, 21}, Now_);
  Mirror_.replaceAll(Copy_, Now_);
  Mirror_.apply({{holding("c", {13, Restored}, "late")}, {13, Restored}}, Now_);
  const auto News = Mirror_.changesSince(Other_.revision());
  CHECK(News.has_value());
  const auto Changes = Other_.apply(News.value_or(ObjectBatch()), Now_);
  STRCMP_EQUAL("b=old? c-? c=late e-? ", describe(Changes).c_str());
  CHECK(Other_.revision() == Mirror_.revision());
  CHECK_FALSE(Other_.takeIncomplete());
}

// A change that only this host heard before the restore reaches the other one
// before the state of the copy does.
TEST(RestoredObjectMirror, otherHostLearnsWhatItMissedBefore) {
  Mirror_.apply({{holding("a", 21, "newest")}, 21}, Now_);
  Mirror_.replaceAll(Copy_, Now_);
  const auto News = Mirror_.changesSince(Other_.revision());
  STRCMP_EQUAL(
      "a=newest a=old? b=old? c-? ",
      describe(Other_.apply(News.value_or(ObjectBatch()), Now_)).c_str());
}

TEST(RestoredObjectMirror, unchangedContentsAreLeftOut) {
  Mirror_.replaceAll(Copy_, Now_);
  const auto News = Mirror_.changesSince(20).value_or(ObjectBatch());
  for (const StoredObject &Entry : News.Objects_)
    CHECK_EQUAL(Entry.Name_ == "a", Entry.ContentHash_.has_value());
}

// What is left out is not known to a host that knew another content.
TEST(RestoredObjectMirror, hostWithAnotherContentNeedsTheList) {
  Other_.apply({{holding("a", 21, "newest")}, 21}, Now_);
  Mirror_.replaceAll(Copy_, Now_);
  Other_.apply(Mirror_.changesSince(21).value_or(ObjectBatch()), Now_);
  CHECK(Other_.takeIncomplete());
  CHECK(Other_.revision() == StoreRevision(21));
  STRCMP_EQUAL("a=old? b=old? c-? ",
               describe(Other_.replaceAll(Copy_, Now_)).c_str());
}

TEST(RestoredObjectMirror, secondRestoreIsComparedWithTheFirst) {
  Mirror_.replaceAll(Copy_, Now_);
  Mirror_.apply({{holding("d", {13, Restored}, "x")}, {13, Restored}}, Now_);
  ObjectBatch Again{{holding("a", {3, 2}, "old"), holding("b", {5, 2}, "old")},
                    {12, 2}};
  STRCMP_EQUAL("d-? ", describe(Mirror_.replaceAll(Again, Now_)).c_str());
  const auto News = Mirror_.changesSince(Other_.revision());
  STRCMP_EQUAL(
      "b=old? c-? d=x d-? ",
      describe(Other_.apply(News.value_or(ObjectBatch()), Now_)).c_str());
}

// The copy is older than everything that the host has read.
TEST(RestoredObjectMirror, emptyCopyMissesAllObjects) {
  STRCMP_EQUAL("a-? b-? c-? ",
               describe(Mirror_.replaceAll({{}, {1, Restored}}, Now_)).c_str());
  const auto News = Mirror_.changesSince(Other_.revision());
  STRCMP_EQUAL(
      "a-? b-? c-? ",
      describe(Other_.apply(News.value_or(ObjectBatch()), Now_)).c_str());
}

TEST(RestoredObjectMirror, largeContentCountsAsChanged) {
  StoredObject Large = holding("a", 21, "large");
  Large.Bytes_ = ObjectMirror::MaxHashedBytes + 1;
  Mirror_.apply({{Large}, 21}, Now_);
  Large.Revision_ = {3, Restored};
  STRCMP_EQUAL(
      "a=large? b-? c-? ",
      describe(Mirror_.replaceAll({{Large}, {12, Restored}}, Now_)).c_str());
}
