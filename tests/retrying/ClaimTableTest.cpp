#include "retrying/ClaimTable.h"
#include "base/Random.h"

#include <algorithm>
#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::base::CustomerId;
using lychee::base::drawBelow;
using lychee::base::HostId;
using lychee::base::Random;
using lychee::base::WallPoint;
using lychee::retrying::ClaimKey;
using lychee::retrying::ClaimObject;
using lychee::retrying::ClaimOutcome;
using lychee::retrying::ClaimResult;
using lychee::retrying::ClaimTable;
using lychee::retrying::ownerOf;
using lychee::retrying::Ran;
using namespace std::chrono_literals;

namespace {

ClaimKey keyOf(std::uint64_t Number) { return {Number, Number + 1}; }

/// The store's one object: writes are conditional on its version.
struct FakeObject {
  ClaimObject Value_;

  bool put(ClaimObject Written) {
    if (Written.Version_ != Value_.Version_)
      return false;
    ++Written.Version_;
    Value_ = Written;
    return true;
  }
};

} // namespace

TEST_GROUP(ClaimTable) {
  FakeObject Store_;
  ClaimTable Table_{1};
  WallPoint Now_ = WallPoint(1000s);
  std::vector<ClaimResult> Told_;

  void setup() override { CHECK(Table_.load(Store_.Value_, 1)); }

  ClaimResult claim(std::uint64_t Number, std::uint64_t Fingerprint = 5) {
    return Table_.claim(keyOf(Number), Fingerprint, Now_);
  }

  /// Plans a write and lets it take effect.
  void write() {
    const auto Planned = Table_.planWrite(Now_);
    CHECK(Planned.has_value());
    if (Planned && Store_.put(*Planned))
      Table_.written(Store_.Value_.Version_, Told_);
  }

  /// Claims, writes, and returns the permission.
  std::uint64_t granted(std::uint64_t Number) {
    claim(Number);
    write();
    CHECK_FALSE(Told_.empty());
    CHECK(ClaimOutcome::Granted == Told_.back().Outcome_);
    return Told_.back().Grant_;
  }

  void expectTold(std::initializer_list<ClaimOutcome> Answers) const {
    LONGS_EQUAL(Answers.size(), Told_.size());
    for (const ClaimOutcome Answer : Answers)
      CHECK(std::any_of(Told_.begin(), Told_.end(), [Answer](const auto &One) {
        return One.Outcome_ == Answer;
      }));
  }
};

TEST(ClaimTable, nothingRunsBeforeItsClaimStandsInTheStore) {
  CHECK(ClaimOutcome::Pending == claim(1).Outcome_);
  LONGS_EQUAL(0, Told_.size());
  write();
  expectTold({ClaimOutcome::Granted});
  LONGS_EQUAL(1, Store_.Value_.Records_.size());
}

TEST(ClaimTable, claimsThatComeDuringAWriteShareTheNext) {
  claim(1);
  const ClaimObject First = Table_.planWrite(Now_).value_or(ClaimObject());
  for (std::uint64_t Number = 2; Number < 50; ++Number)
    claim(Number);
  CHECK_FALSE(Table_.planWrite(Now_).has_value());
  CHECK(Store_.put(First));
  Table_.written(Store_.Value_.Version_, Told_);
  LONGS_EQUAL(1, Told_.size());
  write();
  LONGS_EQUAL(49, Told_.size());
}

TEST(ClaimTable, aSecondSendIsToldWhatBecameOfTheFirst) {
  const std::uint64_t Grant = granted(1);
  CHECK(ClaimOutcome::MayHaveRun == claim(1).Outcome_);
  CHECK(ClaimOutcome::KeyReused == claim(1, 6).Outcome_);
  Table_.finish(keyOf(1), Grant, Ran::Yes, 201, Now_);
  const ClaimResult Again = claim(1);
  CHECK(ClaimOutcome::AlreadyRun == Again.Outcome_);
  LONGS_EQUAL(201, Again.Status_);
}

// A booking's target sheds it, so it did not run, and its holder says so. The
// caller sends it again and must get through. The first holder's word arrives a
// second time, late: it must not free the second permission.
TEST(ClaimTable, aProvenNotRunFreesTheClaimOnce) {
  const std::uint64_t First = granted(1);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  const std::uint64_t Second = granted(1);
  CHECK(First != Second);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  CHECK(ClaimOutcome::MayHaveRun == claim(1).Outcome_);
}

// The owner is paused, its lease lapses, and another host takes the partition.
// The paused owner wakes and goes on with its group. Its write meets a newer
// version, and all that waited on it hear "not owner", not run.
TEST(ClaimTable, aReplacedOwnerGrantsNothing) {
  claim(1);
  const ClaimObject Late = Table_.planWrite(Now_).value_or(ClaimObject());
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  Successor.claim(keyOf(1), 5, Now_);
  CHECK(Store_.put(Successor.planWrite(Now_).value_or(ClaimObject())));
  CHECK_FALSE(Store_.put(Late));
  Table_.inDoubt();
  Table_.readBack(Store_.Value_, Told_);
  expectTold({ClaimOutcome::NotOwner});
  CHECK_FALSE(Table_.isLoaded());
  CHECK(ClaimOutcome::NotOwner == claim(2).Outcome_);
}

TEST(ClaimTable, anOwnerOfAnEarlierEpochMayNotLoad) {
  Store_.Value_.Epoch_ = 7;
  ClaimTable Behind(3);
  CHECK_FALSE(Behind.load(Store_.Value_, 6));
}

// The owner dies after it let a booking run. Its successor reads the claim and
// cannot know whether it ran: it says "may have run" and never runs it again.
TEST(ClaimTable, aSuccessorNeverGrantsWhatWasGranted) {
  granted(1);
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  CHECK(ClaimOutcome::MayHaveRun ==
        Successor.claim(keyOf(1), 5, Now_).Outcome_);
}

TEST(ClaimTable, aLostAnswerIsResolvedByReadingBack) {
  claim(1);
  CHECK(Store_.put(Table_.planWrite(Now_).value_or(ClaimObject())));
  Table_.inDoubt();
  claim(2);
  CHECK_FALSE(Table_.planWrite(Now_).has_value());
  Table_.readBack(Store_.Value_, Told_);
  expectTold({ClaimOutcome::Granted});
  write();
  expectTold({ClaimOutcome::Granted, ClaimOutcome::Granted});
}

// The answer to a write is lost before it took effect, and a read shows the old
// version. The write then takes effect after all, before the next group is
// written. That group conflicts; the object shows what stands.
TEST(ClaimTable, aWriteThatTakesEffectLateIsNoticed) {
  claim(1);
  const ClaimObject Slow = Table_.planWrite(Now_).value_or(ClaimObject());
  Table_.inDoubt();
  Table_.readBack(Store_.Value_, Told_);
  LONGS_EQUAL(0, Told_.size());
  claim(2);
  const ClaimObject Next = Table_.planWrite(Now_).value_or(ClaimObject());
  CHECK(Store_.put(Slow));
  CHECK_FALSE(Store_.put(Next));
  Table_.inDoubt();
  Table_.readBack(Store_.Value_, Told_);
  expectTold({ClaimOutcome::Granted});
  write();
  expectTold({ClaimOutcome::Granted, ClaimOutcome::Granted});
}

TEST(ClaimTable, aStoreThatIsDownRefusesAtOnceAndNotRun) {
  claim(1);
  CHECK(Table_.planWrite(Now_).has_value());
  claim(2);
  Table_.failed(Told_);
  expectTold({ClaimOutcome::StoreUnavailable, ClaimOutcome::StoreUnavailable});
  LONGS_EQUAL(0, Table_.size());
}

TEST(ClaimTable, aCancelledClaimIsFreeForTheNextTry) {
  const ClaimResult Asked = claim(1);
  const ClaimObject Planned = Table_.planWrite(Now_).value_or(ClaimObject());
  Table_.cancel(keyOf(1), Asked.Grant_);
  CHECK(Store_.put(Planned));
  Table_.written(Store_.Value_.Version_, Told_);
  LONGS_EQUAL(0, Told_.size());
  granted(1);
}

TEST(ClaimTable, whenFullItRefusesAndForgetsOnlyWhatIsOld) {
  ClaimTable::Limits Small;
  Small.Most_ = 2;
  ClaimTable Table(9, Small);
  CHECK(Table.load({}, 1));
  Table.claim(keyOf(1), 5, Now_);
  Table.claim(keyOf(2), 5, Now_);
  CHECK(ClaimOutcome::Full == Table.claim(keyOf(3), 5, Now_).Outcome_);
  Table.planWrite(Now_);
  Table.written(1, Told_);
  CHECK(ClaimOutcome::Full == Table.claim(keyOf(3), 5, Now_).Outcome_);
  Now_ += Small.Retention_ + 1s;
  CHECK(ClaimOutcome::Pending == Table.claim(keyOf(3), 5, Now_).Outcome_);
}

// A first run is proven not run, its claim is given up and leaves the store. A
// successor lets the booking run. The first holder's word "not run" arrives
// once more, at the successor. Were its grant's number used again, that word
// would free the claim while the second run is under way, and a third would
// run.
TEST(ClaimTable, noTwoGrantsOfAKeyHaveTheSameNumber) {
  const std::uint64_t First = granted(1);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  Table_.cancel(keyOf(1), claim(1).Grant_);
  granted(2);
  LONGS_EQUAL(1, Store_.Value_.Records_.size());
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  Successor.claim(keyOf(1), 5, Now_);
  CHECK(Store_.put(Successor.planWrite(Now_).value_or(ClaimObject())));
  Successor.written(Store_.Value_.Version_, Told_);
  Successor.finish(keyOf(1), First, Ran::No, 0, Now_);
  CHECK(ClaimOutcome::MayHaveRun ==
        Successor.claim(keyOf(1), 5, Now_).Outcome_);
}

// A freed claim is asked for again, and the answer to its write is lost. The
// store still shows the record of the first grant. Taken for the second, it
// would let run what a successor may let run as well.
TEST(ClaimTable, anOlderGrantsRecordDoesNotStandForTheNew) {
  const std::uint64_t First = granted(1);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  claim(1);
  CHECK(Table_.planWrite(Now_).has_value());
  Table_.inDoubt();
  Told_.clear();
  Table_.readBack(Store_.Value_, Told_);
  LONGS_EQUAL(0, Told_.size());
}

TEST(ClaimTable, outcomesAreWrittenAlsoWhenNoClaimComes) {
  const std::uint64_t Grant = granted(1);
  Table_.finish(keyOf(1), Grant, Ran::Yes, 200, Now_);
  CHECK_FALSE(Table_.planWrite(Now_).has_value());
  Now_ += 1s;
  write();
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  CHECK(ClaimOutcome::AlreadyRun ==
        Successor.claim(keyOf(1), 5, Now_).Outcome_);
}

TEST(ClaimTable, onlyTheLostHostsPartitionsMove) {
  std::vector<HostId> Hosts;
  for (const char *Name : {"a", "b", "c", "d", "e"})
    Hosts.emplace_back(Name);
  const std::vector<HostId> Fewer(Hosts.begin(), Hosts.end() - 1);
  for (std::uint32_t Partition = 0; Partition < 64; ++Partition) {
    const std::size_t Before = ownerOf(Partition, Hosts);
    if (Before < Fewer.size())
      LONGS_EQUAL(Before, ownerOf(Partition, Fewer));
  }
}

TEST(ClaimTable, theSameWordOfTwoCustomersIsTwoClaims) {
  CHECK(ClaimKey::of(CustomerId("ab"), "c") !=
        ClaimKey::of(CustomerId("a"), "bc"));
}

namespace {

/// Hosts that own one partition in turn, or at once by mistake; a store whose
/// answers get lost and whose writes take effect late; callers that send the
/// same few bookings again and again through whichever host.
class ClaimWorld {
public:
  explicit ClaimWorld(std::uint64_t Seed) : Numbers_(Seed) {}

  void step() {
    Now_ += 10ms;
    switch (drawBelow(Numbers_, 8)) {
    case 0:
      return replaceOwner();
    case 1:
      return planWrite();
    case 2:
      return endWrite();
    case 3:
      return endRun();
    case 4:
      return letSlowWriteLand();
    default:
      return claim();
    }
  }

  int mostRuns() const {
    int Most = 0;
    for (const auto &[Key, Count] : Runs_)
      Most = std::max(Most, Count);
    return Most;
  }
  int totalRuns() const {
    int Total = 0;
    for (const auto &[Key, Count] : Runs_)
      Total += Count;
    return Total;
  }

private:
  struct Owner {
    explicit Owner(std::uint64_t Name) : Table_(Name) {}
    ClaimTable Table_;
    std::optional<ClaimObject> Under_;
  };
  struct Held {
    std::uint64_t Key_;
    std::uint64_t Grant_;
    bool RanHere_;
  };

  Owner &anyOwner() {
    return *Owners_[drawBelow(Numbers_,
                              static_cast<std::uint32_t>(Owners_.size()))];
  }

  /// A new host takes over; the one before may not have noticed and goes on.
  void replaceOwner() {
    static constexpr std::uint32_t SeldomBy = 6;
    if (!Owners_.empty() && drawBelow(Numbers_, SeldomBy) != 0)
      return;
    auto Fresh = std::make_unique<Owner>(++LastOwner_);
    if (!Fresh->Table_.load(Store_.Value_, LastOwner_))
      return;
    Owners_.push_back(std::move(Fresh));
    if (Owners_.size() > 3)
      Owners_.erase(Owners_.begin());
  }

  void claim() {
    if (Owners_.empty())
      return;
    const ClaimResult Asked =
        anyOwner().Table_.claim(keyOf(drawBelow(Numbers_, 20)), 5, Now_);
    if (Asked.Outcome_ == ClaimOutcome::Granted)
      run(Asked);
  }

  void planWrite() {
    if (Owners_.empty())
      return;
    Owner &One = anyOwner();
    if (auto Planned = One.Table_.planWrite(Now_))
      One.Under_ = std::move(Planned);
  }

  void endWrite() {
    if (Owners_.empty())
      return;
    Owner &One = anyOwner();
    std::vector<ClaimResult> Told;
    if (One.Table_.needsReadBack()) {
      One.Table_.readBack(Store_.Value_, Told);
    } else if (One.Under_) {
      const ClaimObject Written = *One.Under_;
      One.Under_.reset();
      const std::uint32_t Fate = drawBelow(Numbers_, 4);
      if (Fate == 0) {
        Slow_ = Written; // the answer is lost; it may take effect later
        One.Table_.inDoubt();
      } else if (!Store_.put(Written) || Fate == 1) {
        One.Table_.inDoubt();
      } else {
        One.Table_.written(Store_.Value_.Version_, Told);
      }
    }
    for (const ClaimResult &Each : Told)
      if (Each.Outcome_ == ClaimOutcome::Granted)
        run(Each);
  }

  void run(const ClaimResult &Granted) {
    const bool RunsHere = drawBelow(Numbers_, 2) == 0; // else shed: not run
    Runs_[Granted.Key_] += RunsHere ? 1 : 0;
    Held_.push_back({Granted.Key_.High_, Granted.Grant_, RunsHere});
  }

  /// A holder tells the end, to each owner that it may believe in, and maybe
  /// twice.
  void endRun() {
    if (Held_.empty() || Owners_.empty())
      return;
    const Held &One =
        Held_[drawBelow(Numbers_, static_cast<std::uint32_t>(Held_.size()))];
    anyOwner().Table_.finish(keyOf(One.Key_), One.Grant_,
                             One.RanHere_ ? Ran::Yes : Ran::No, 200, Now_);
  }

  void letSlowWriteLand() {
    if (Slow_)
      Store_.put(*Slow_);
    Slow_.reset();
  }

  Random Numbers_;
  WallPoint Now_ = WallPoint(1000s);
  FakeObject Store_;
  std::uint64_t LastOwner_ = 0;
  std::vector<std::unique_ptr<Owner>> Owners_;
  std::optional<ClaimObject> Slow_;
  std::vector<Held> Held_;
  std::map<ClaimKey, int> Runs_;
};

} // namespace

// Owners are replaced without noticing, writes take effect late or lose their
// answers, holders tell their ends twice and to the wrong owner. Over many
// seeds, no booking may run twice, and the machinery must still let some run.
TEST(ClaimTable, noBookingRunsTwiceWhateverHappens) {
  int Total = 0;
  for (std::uint64_t Seed = 0; Seed < 500; ++Seed) {
    ClaimWorld World(Seed);
    for (int Step = 0; Step < 400; ++Step)
      World.step();
    CHECK_TEXT(World.mostRuns() <= 1, std::to_string(Seed).c_str());
    Total += World.totalRuns();
  }
  CHECK(Total > 2000);
}
