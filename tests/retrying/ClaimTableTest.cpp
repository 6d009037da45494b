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

/// The object in the store: writes are conditional on its version.
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
  std::vector<ClaimResult> Results_;

  void setup() override { CHECK(Table_.load(Store_.Value_, 1)); }

  ClaimResult claim(std::uint64_t Number, std::uint64_t Fingerprint = 5) {
    return Table_.claim(keyOf(Number), Fingerprint, Now_);
  }

  /// Plans a write that takes effect.
  void write() {
    const auto Planned = Table_.planWrite(Now_);
    CHECK(Planned.has_value());
    if (Planned && Store_.put(*Planned))
      Table_.written(Store_.Value_.Version_, Results_);
  }

  /// Claims and writes. \returns the grant number.
  std::uint64_t granted(std::uint64_t Number) {
    claim(Number);
    write();
    CHECK_FALSE(Results_.empty());
    CHECK(ClaimOutcome::Granted == Results_.back().Outcome_);
    return Results_.back().Grant_;
  }

  void expectResults(std::initializer_list<ClaimOutcome> Outcomes) const {
    LONGS_EQUAL(Outcomes.size(), Results_.size());
    for (const ClaimOutcome Outcome : Outcomes)
      CHECK(std::any_of(
          Results_.begin(), Results_.end(),
          [Outcome](const auto &One) { return One.Outcome_ == Outcome; }));
  }
};

TEST(ClaimTable, nothingIsGrantedBeforeItsClaimIsStored) {
  CHECK(ClaimOutcome::Pending == claim(1).Outcome_);
  LONGS_EQUAL(0, Results_.size());
  write();
  expectResults({ClaimOutcome::Granted});
  LONGS_EQUAL(1, Store_.Value_.Records_.size());
}

TEST(ClaimTable, claimsDuringAWriteShareTheNextOne) {
  claim(1);
  const ClaimObject First = Table_.planWrite(Now_).value_or(ClaimObject());
  for (std::uint64_t Number = 2; Number < 50; ++Number)
    claim(Number);
  CHECK_FALSE(Table_.planWrite(Now_).has_value());
  CHECK(Store_.put(First));
  Table_.written(Store_.Value_.Version_, Results_);
  LONGS_EQUAL(1, Results_.size());
  write();
  LONGS_EQUAL(49, Results_.size());
}

TEST(ClaimTable, aSecondClaimGetsTheOutcomeOfTheFirst) {
  const std::uint64_t Grant = granted(1);
  CHECK(ClaimOutcome::MayHaveRun == claim(1).Outcome_);
  CHECK(ClaimOutcome::KeyReused == claim(1, 6).Outcome_);
  Table_.finish(keyOf(1), Grant, Ran::Yes, 201, Now_);
  const ClaimResult Again = claim(1);
  CHECK(ClaimOutcome::AlreadyRun == Again.Outcome_);
  LONGS_EQUAL(201, Again.Status_);
}

// A target sheds a booking, and the holder of its grant reports that it did not
// run. The caller retries and must be granted. The first holder's report then
// arrives a second time, late: it must not release the second grant.
TEST(ClaimTable, aProvenNotRunReleasesTheClaimOnce) {
  const std::uint64_t First = granted(1);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  const std::uint64_t Second = granted(1);
  CHECK(First != Second);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  CHECK(ClaimOutcome::MayHaveRun == claim(1).Outcome_);
}

// The owner is paused, its lease expires, and another host takes the partition.
// The paused owner resumes with its planned write, which meets a newer version.
// All claims that wait for the write get "not owner", which means not run.
TEST(ClaimTable, aReplacedOwnerGrantsNothing) {
  claim(1);
  const ClaimObject Late = Table_.planWrite(Now_).value_or(ClaimObject());
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  Successor.claim(keyOf(1), 5, Now_);
  CHECK(Store_.put(Successor.planWrite(Now_).value_or(ClaimObject())));
  CHECK_FALSE(Store_.put(Late));
  Table_.inDoubt();
  Table_.readBack(Store_.Value_, Results_);
  expectResults({ClaimOutcome::NotOwner});
  CHECK_FALSE(Table_.isLoaded());
  CHECK(ClaimOutcome::NotOwner == claim(2).Outcome_);
}

TEST(ClaimTable, anOwnerOfAnEarlierEpochMayNotLoad) {
  Store_.Value_.Epoch_ = 7;
  ClaimTable Behind(3);
  CHECK_FALSE(Behind.load(Store_.Value_, 6));
}

// The owner dies after granting a booking. Its successor reads the claim and
// cannot know whether the booking ran: it answers "may have run" and never
// grants it again.
TEST(ClaimTable, aSuccessorNeverGrantsWhatWasGranted) {
  granted(1);
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  CHECK(ClaimOutcome::MayHaveRun ==
        Successor.claim(keyOf(1), 5, Now_).Outcome_);
}

TEST(ClaimTable, aLostResponseIsResolvedByReadingBack) {
  claim(1);
  CHECK(Store_.put(Table_.planWrite(Now_).value_or(ClaimObject())));
  Table_.inDoubt();
  claim(2);
  CHECK_FALSE(Table_.planWrite(Now_).has_value());
  Table_.readBack(Store_.Value_, Results_);
  expectResults({ClaimOutcome::Granted});
  write();
  expectResults({ClaimOutcome::Granted, ClaimOutcome::Granted});
}

// The response to a write is lost before the write takes effect, and reading
// back shows the old version. The write then takes effect before the next one,
// which conflicts; the object shows which claims are stored.
TEST(ClaimTable, aWriteThatTakesEffectLateIsDetected) {
  claim(1);
  const ClaimObject Slow = Table_.planWrite(Now_).value_or(ClaimObject());
  Table_.inDoubt();
  Table_.readBack(Store_.Value_, Results_);
  LONGS_EQUAL(0, Results_.size());
  claim(2);
  const ClaimObject Next = Table_.planWrite(Now_).value_or(ClaimObject());
  CHECK(Store_.put(Slow));
  CHECK_FALSE(Store_.put(Next));
  Table_.inDoubt();
  Table_.readBack(Store_.Value_, Results_);
  expectResults({ClaimOutcome::Granted});
  write();
  expectResults({ClaimOutcome::Granted, ClaimOutcome::Granted});
}

TEST(ClaimTable, anUnavailableStoreRejectsAllPendingClaims) {
  claim(1);
  CHECK(Table_.planWrite(Now_).has_value());
  claim(2);
  Table_.failed(Results_);
  expectResults(
      {ClaimOutcome::StoreUnavailable, ClaimOutcome::StoreUnavailable});
  LONGS_EQUAL(0, Table_.size());
}

TEST(ClaimTable, aCancelledClaimCanBeGrantedAgain) {
  const ClaimResult Claimed = claim(1);
  const ClaimObject Planned = Table_.planWrite(Now_).value_or(ClaimObject());
  Table_.cancel(keyOf(1), Claimed.Grant_);
  CHECK(Store_.put(Planned));
  Table_.written(Store_.Value_.Version_, Results_);
  LONGS_EQUAL(0, Results_.size());
  granted(1);
}

TEST(ClaimTable, aFullTableRefusesAndRemovesOnlyExpiredClaims) {
  ClaimTable::Limits Small;
  Small.MaxClaims_ = 2;
  ClaimTable Table(9, Small);
  CHECK(Table.load({}, 1));
  Table.claim(keyOf(1), 5, Now_);
  Table.claim(keyOf(2), 5, Now_);
  CHECK(ClaimOutcome::Full == Table.claim(keyOf(3), 5, Now_).Outcome_);
  Table.planWrite(Now_);
  Table.written(1, Results_);
  CHECK(ClaimOutcome::Full == Table.claim(keyOf(3), 5, Now_).Outcome_);
  Now_ += Small.Retention_ + 1s;
  CHECK(ClaimOutcome::Pending == Table.claim(keyOf(3), 5, Now_).Outcome_);
}

// A first grant is proven not to have run, its claim is cancelled and leaves
// the store, and a successor grants the booking. The first holder's report "not
// run" then arrives at the successor. If the grant number were reused, the
// report would release the claim while the second run is in progress, and a
// third run would be granted.
TEST(ClaimTable, grantNumbersOfAKeyAreNeverReused) {
  const std::uint64_t First = granted(1);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  Table_.cancel(keyOf(1), claim(1).Grant_);
  granted(2);
  LONGS_EQUAL(1, Store_.Value_.Records_.size());
  ClaimTable Successor(2);
  CHECK(Successor.load(Store_.Value_, 2));
  Successor.claim(keyOf(1), 5, Now_);
  CHECK(Store_.put(Successor.planWrite(Now_).value_or(ClaimObject())));
  Successor.written(Store_.Value_.Version_, Results_);
  Successor.finish(keyOf(1), First, Ran::No, 0, Now_);
  CHECK(ClaimOutcome::MayHaveRun ==
        Successor.claim(keyOf(1), 5, Now_).Outcome_);
}

// A released claim is claimed again, and the response to its write is lost. The
// store still shows the record of the first grant. If it were taken for the
// second, a successor could grant the request as well.
TEST(ClaimTable, theRecordOfAnOlderGrantDoesNotConfirmANewOne) {
  const std::uint64_t First = granted(1);
  Table_.finish(keyOf(1), First, Ran::No, 0, Now_);
  claim(1);
  CHECK(Table_.planWrite(Now_).has_value());
  Table_.inDoubt();
  Results_.clear();
  Table_.readBack(Store_.Value_, Results_);
  LONGS_EQUAL(0, Results_.size());
}

TEST(ClaimTable, outcomesAreWrittenWithoutNewClaims) {
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

TEST(ClaimTable, keysOfDifferentCustomersAreDifferentClaims) {
  CHECK(ClaimKey::of(CustomerId("ab"), "c") !=
        ClaimKey::of(CustomerId("a"), "bc"));
}

namespace {

/// A random simulation: hosts own one partition in turn, or at the same time by
/// mistake; responses of the store are lost and writes take effect late;
/// callers repeatedly send the same few bookings through any host.
class ClaimSimulation {
public:
  explicit ClaimSimulation(std::uint64_t Seed) : Random_(Seed) {}

  void step() {
    Now_ += 10ms;
    switch (drawBelow(Random_, 8)) {
    case 0:
      return replaceOwner();
    case 1:
      return planWrite();
    case 2:
      return finishWrite();
    case 3:
      return reportRun();
    case 4:
      return applyDelayedWrite();
    default:
      return claim();
    }
  }

  int maxRuns() const {
    int Max = 0;
    for (const auto &[Key, Count] : Runs_)
      Max = std::max(Max, Count);
    return Max;
  }
  int totalRuns() const {
    int Total = 0;
    for (const auto &[Key, Count] : Runs_)
      Total += Count;
    return Total;
  }

private:
  struct Owner {
    explicit Owner(std::uint64_t Incarnation) : Table_(Incarnation) {}
    ClaimTable Table_;
    std::optional<ClaimObject> InFlight_;
  };
  struct Held {
    std::uint64_t Key_;
    std::uint64_t Grant_;
    bool Ran_;
  };

  Owner &randomOwner() {
    return *Owners_[drawBelow(Random_,
                              static_cast<std::uint32_t>(Owners_.size()))];
  }

  /// A new host takes over; the previous one may not have noticed and
  /// continues.
  void replaceOwner() {
    static constexpr std::uint32_t OneIn = 6;
    if (!Owners_.empty() && drawBelow(Random_, OneIn) != 0)
      return;
    auto Added = std::make_unique<Owner>(++LastIncarnation_);
    if (!Added->Table_.load(Store_.Value_, LastIncarnation_))
      return;
    Owners_.push_back(std::move(Added));
    if (Owners_.size() > 3)
      Owners_.erase(Owners_.begin());
  }

  void claim() {
    if (Owners_.empty())
      return;
    const ClaimResult Claimed =
        randomOwner().Table_.claim(keyOf(drawBelow(Random_, 20)), 5, Now_);
    if (Claimed.Outcome_ == ClaimOutcome::Granted)
      run(Claimed);
  }

  void planWrite() {
    if (Owners_.empty())
      return;
    Owner &One = randomOwner();
    if (auto Planned = One.Table_.planWrite(Now_))
      One.InFlight_ = std::move(Planned);
  }

  void finishWrite() {
    if (Owners_.empty())
      return;
    Owner &One = randomOwner();
    std::vector<ClaimResult> Results;
    if (One.Table_.needsReadBack()) {
      One.Table_.readBack(Store_.Value_, Results);
    } else if (One.InFlight_) {
      const ClaimObject Written = *One.InFlight_;
      One.InFlight_.reset();
      const std::uint32_t Fate = drawBelow(Random_, 4);
      if (Fate == 0) {
        DelayedWrite_ =
            Written; // the response is lost; the write may take effect later
        One.Table_.inDoubt();
      } else if (!Store_.put(Written) || Fate == 1) {
        One.Table_.inDoubt();
      } else {
        One.Table_.written(Store_.Value_.Version_, Results);
      }
    }
    for (const ClaimResult &Each : Results)
      if (Each.Outcome_ == ClaimOutcome::Granted)
        run(Each);
  }

  void run(const ClaimResult &Granted) {
    const bool Runs = drawBelow(Random_, 2) == 0; // otherwise shed: not run
    Runs_[Granted.Key_] += Runs ? 1 : 0;
    Held_.push_back({Granted.Key_.High_, Granted.Grant_, Runs});
  }

  /// A holder reports how its run ended, to any host that may be the owner, and
  /// possibly more than once.
  void reportRun() {
    if (Held_.empty() || Owners_.empty())
      return;
    const Held &One =
        Held_[drawBelow(Random_, static_cast<std::uint32_t>(Held_.size()))];
    randomOwner().Table_.finish(keyOf(One.Key_), One.Grant_,
                                One.Ran_ ? Ran::Yes : Ran::No, 200, Now_);
  }

  void applyDelayedWrite() {
    if (DelayedWrite_)
      Store_.put(*DelayedWrite_);
    DelayedWrite_.reset();
  }

  Random Random_;
  WallPoint Now_ = WallPoint(1000s);
  FakeObject Store_;
  std::uint64_t LastIncarnation_ = 0;
  std::vector<std::unique_ptr<Owner>> Owners_;
  std::optional<ClaimObject> DelayedWrite_;
  std::vector<Held> Held_;
  std::map<ClaimKey, int> Runs_;
};

} // namespace

// Owners are replaced without noticing, writes take effect late or lose their
// responses, holders report outcomes twice and to the wrong owner. Over many
// seeds no booking may run twice, and bookings must still be granted.
TEST(ClaimTable, noBookingRunsTwiceInRandomSimulations) {
  int Total = 0;
  for (std::uint64_t Seed = 0; Seed < 500; ++Seed) {
    ClaimSimulation Simulation(Seed);
    for (int Step = 0; Step < 400; ++Step)
      Simulation.step();
    CHECK_TEXT(Simulation.maxRuns() <= 1, std::to_string(Seed).c_str());
    Total += Simulation.totalRuns();
  }
  CHECK(Total > 2000);
}
