#include "live/TargetRegistry.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::live::TargetRecord;
using lychee::live::TargetRegistry;
using namespace std::chrono_literals;

TEST_GROUP(TargetRegistry) {
  TargetRegistry Targets_{2500ms};
  base::TimePoint Now_ = base::TimePoint(100s);

  static TargetRecord recordOf(const char *Name, std::int64_t Started = 1) {
    TargetRecord Result;
    Result.Id_ = base::TargetId(Name);
    Result.Service_ = base::ServiceId("portal");
    Result.Address_ = "127.0.0.1:80";
    Result.Started_ = Started;
    return Result;
  }
};

TEST(TargetRegistry, leftTargetIsRemovedImmediately) {
  Targets_.put(recordOf("t1"), Now_);
  Targets_.remove(base::TargetId("t1"), Now_ + 1s);
  LONGS_EQUAL(0, Targets_.targets().size());
}

// A target's entry changes and is deleted during one pause between two watches,
// so that both changes arrive together. Applied out of order, the change would
// restore the target permanently, and it would get requests after its end.
TEST(TargetRegistry, changeAndDeletionInOneBatchRemoveTheTarget) {
  Targets_.put(recordOf("t1", 1), Now_);
  lychee::live::TargetRecord Warm = recordOf("t1", 1);
  Warm.ColdLeft_ = 5ms;
  const std::vector<lychee::live::TargetChange> Batch = {
      {Warm.Id_, Warm}, {Warm.Id_, std::nullopt}};
  Targets_.apply(Batch, Now_ + 1s);
  LONGS_EQUAL(0, Targets_.targets().size());
}

// The targets' entries expired while the store was unavailable, and the first
// list after its recovery is empty. All targets are healthy and write their
// entries again within two seconds. If they were removed, every caller would be
// refused until then.
TEST(TargetRegistry, emptyListAfterAnOutageKeepsTheTargets) {
  Targets_.put(recordOf("t1"), Now_);
  Targets_.noteTrouble(Now_ + 3s);
  Targets_.remove(base::TargetId("t1"), Now_ + 4s);
  LONGS_EQUAL(1, Targets_.targets().size());
  Targets_.put(recordOf("t1"), Now_ + 5s);
  Targets_.expire(Now_ + 20s);
  LONGS_EQUAL(1, Targets_.targets().size());
}

// As above, but the target ended during the outage. It must get no more
// requests 2.5 s after the list from which it is missing.
TEST(TargetRegistry, targetMissingAfterTheGracePeriodIsRemoved) {
  Targets_.put(recordOf("t1"), Now_);
  Targets_.noteTrouble(Now_ + 3s);
  Targets_.remove(base::TargetId("t1"), Now_ + 4s);
  Targets_.expire(Now_ + 4s + 1299ms);
  LONGS_EQUAL(1, Targets_.targets().size());
  Targets_.expire(Now_ + 4s + 1300ms);
  LONGS_EQUAL(0, Targets_.targets().size());
}

// A target leaves without notice 4 s after a store failure. When it was kept
// for as long as live targets may take to write their entries again, and the
// deletion was learned of half a second late, it got a request 2,535 ms after
// it had left, over the bound of 2,500 ms.
TEST(TargetRegistry, gracePeriodLeavesTimeToLearnOfALeavingTarget) {
  const auto KeptFor = [&](lychee::base::Duration Bound) {
    TargetRegistry Targets(Bound);
    Targets.put(recordOf("t1"), Now_);
    Targets.noteTrouble(Now_);
    Targets.remove(base::TargetId("t1"), Now_ + 4s);
    lychee::base::Duration Kept{};
    for (; !Targets.targets().empty() && Kept < 5s; Kept += 10ms)
      Targets.expire(Now_ + 4s + Kept);
    return Kept;
  };
  for (const auto Bound : {1000ms, 2500ms, 3000ms})
    CHECK(KeptFor(Bound) + TargetRegistry::PropagationTime <=
          std::max<lychee::base::Duration>(Bound, 1200ms) + 20ms);
  CHECK(KeptFor(10s) <= TargetRegistry::MaxGrace + 20ms);
}

// A target leaves without notice once the store has been sound for 3 s, and the
// hosts that hear of it die. The others learned of it 1.4 s late and kept the
// target for 1.3 s more.
TEST(TargetRegistry, lateNewsOfARemovalDoesNotExtendTheGracePeriod) {
  constexpr base::Duration SoundTime = 3s;
  for (const base::Duration Bound : {1000ms, 2000ms, 2500ms, 3000ms, 10000ms})
    for (base::Duration Left = SoundTime; Left < 9s; Left += 50ms)
      for (base::Duration Late{}; Late < Bound; Late += 50ms) {
        TargetRegistry Targets(Bound);
        Targets.put(recordOf("t1"), Now_);
        Targets.noteTrouble(Now_);
        Targets.remove(base::TargetId("t1"), Now_ + Left + Late);
        Targets.expire(Now_ + Left + Bound);
        LONGS_EQUAL(0, Targets.size());
      }
}

// Entries may be missing until 2 s after the store's return, which is up to
// half a second after the last failed call.
TEST(TargetRegistry, gracePeriodCountsFromLearningWhileTargetsMayComeBack) {
  for (base::Duration Learned{}; Learned <= 1300ms; Learned += 50ms) {
    TargetRegistry Targets(2500ms);
    Targets.put(recordOf("t1"), Now_);
    Targets.noteTrouble(Now_);
    Targets.remove(base::TargetId("t1"), Now_ + Learned);
    Targets.expire(Now_ + Learned + 1250ms);
    LONGS_EQUAL(1, Targets.size());
  }
}

TEST(TargetRegistry, leavingTargetGetsNoGracePeriod) {
  TargetRecord Leaving = recordOf("t1");
  Leaving.Leaving_ = true;
  Targets_.put(Leaving, Now_);
  Targets_.noteTrouble(Now_ + 1s);
  Targets_.remove(base::TargetId("t1"), Now_ + 2s);
  LONGS_EQUAL(0, Targets_.targets().size());
}

TEST(TargetRegistry, equalRecordIsNoChange) {
  Targets_.put(recordOf("t1"), Now_);
  CHECK(Targets_.takeChanged());
  Targets_.put(recordOf("t1"), Now_ + 1s);
  CHECK_FALSE(Targets_.takeChanged());
  Targets_.put(recordOf("t1", 2), Now_ + 2s);
  CHECK(Targets_.takeChanged());
}

TEST(TargetRegistry, coldTimeCountsFromTheReport) {
  TargetRecord Cold = recordOf("t1");
  Cold.ColdLeft_ = 3s;
  Targets_.put(Cold, Now_);
  CHECK(Targets_.targets()[0].ColdUntil_ == Now_ + 3s);
}

/// A registry whose store comes back from an older copy at Now_.
TEST_GROUP(RestoredTargetRegistry) {
  TargetRegistry Targets_{2500ms};
  base::TimePoint Now_ = base::TimePoint(100s);

  static TargetRecord recordOf(std::int64_t Started, bool Leaving = false) {
    TargetRecord Result;
    Result.Id_ = base::TargetId("t1");
    Result.Address_ = "127.0.0.1:80";
    Result.Started_ = Started;
    Result.Leaving_ = Leaving;
    return Result;
  }
  void put(const TargetRecord &Record) { Targets_.put(Record, Now_); }
  /// The copy holds \p Record, or no entry.
  void restore(const std::optional<TargetRecord> &Record) {
    Targets_.noteTrouble(Now_);
    const lychee::live::TargetChange Change{base::TargetId("t1"), Record, true};
    Targets_.apply({&Change, 1}, Now_);
  }
  std::size_t countAfter(base::Duration Time) {
    Targets_.expire(Now_ + Time);
    return Targets_.size();
  }
};

TEST(RestoredTargetRegistry, leavingTargetIsNotReadyAgain) {
  put(recordOf(1, true));
  restore(recordOf(1));
  CHECK(Targets_.targets()[0].Record_.Leaving_);
  Targets_.noteRestore(Now_ + 1s);
  CHECK_EQUAL(1, countAfter(60s));
  CHECK(Targets_.targets()[0].Record_.Leaving_);
}

TEST(RestoredTargetRegistry, targetThatIsGoneDoesNotReturn) {
  put(recordOf(1));
  Targets_.remove(base::TargetId("t1"), Now_ - 5s);
  restore(recordOf(1));
  LONGS_EQUAL(0, countAfter(5900ms));
  // The store drops the entry of a dead target; a living one writes it again.
  Targets_.remove(base::TargetId("t1"), Now_ + 5900ms);
  LONGS_EQUAL(0, countAfter(10s));
  put(recordOf(1));
  LONGS_EQUAL(1, countAfter(10s));
}

TEST(RestoredTargetRegistry, entryThatStaysIsBelieved) {
  put(recordOf(1));
  Targets_.remove(base::TargetId("t1"), Now_ - 5s);
  restore(recordOf(1));
  LONGS_EQUAL(1, countAfter(6s));
}

TEST(RestoredTargetRegistry, newStartAtTheSameIdIsUsed) {
  put(recordOf(1, true));
  restore(recordOf(2));
  CHECK_FALSE(Targets_.targets()[0].Record_.Leaving_);
  Targets_.remove(base::TargetId("t1"), Now_ + 20s);
  restore(recordOf(3));
  LONGS_EQUAL(1, Targets_.size());
}

TEST(RestoredTargetRegistry, laterStartStaysUntilItShouldBeWrittenAgain) {
  put(recordOf(2));
  restore(recordOf(1));
  LONGS_EQUAL(2, Targets_.targets()[0].Record_.Started_);
  LONGS_EQUAL(1, countAfter(2800ms));
  LONGS_EQUAL(0, countAfter(3s));
}

TEST(RestoredTargetRegistry, missingTargetHasTimeToWriteItsEntryAgain) {
  put(recordOf(1));
  restore(std::nullopt);
  LONGS_EQUAL(1, countAfter(2800ms));
  put(recordOf(1));
  LONGS_EQUAL(1, countAfter(60s));
}

TEST(RestoredTargetRegistry, missingTargetThatIsNotWrittenAgainIsGone) {
  put(recordOf(1));
  restore(std::nullopt);
  LONGS_EQUAL(0, countAfter(3s));
}

TEST(RestoredTargetRegistry, secondRestoreGivesTheWholeTimeAgain) {
  put(recordOf(1));
  restore(std::nullopt);
  Targets_.noteRestore(Now_ + 2s);
  LONGS_EQUAL(1, countAfter(4800ms));
  LONGS_EQUAL(0, countAfter(5s));
}

// The target leaves without notice after the restore: the usual time counts,
// not the one for entries that the copy lacks.
TEST(RestoredTargetRegistry, deletionAfterTheRestoreCountsAsUsual) {
  put(recordOf(1));
  restore(std::nullopt);
  Targets_.remove(base::TargetId("t1"), Now_ + 100ms);
  LONGS_EQUAL(0, countAfter(1500ms));
}
