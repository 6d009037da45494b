#include "dispatch/SharedRateOwners.h"
#include "dispatch/StatedRateLimiter.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
namespace members = lychee::members;
using dispatch::RateOwner;
using dispatch::SharedRateOwners;
using dispatch::StatedRateLimiter;
using namespace std::chrono_literals;

namespace {

members::HostDescriptor hostOf(int Number) {
  members::HostDescriptor Result;
  Result.Host_ = base::HostId("host-" + std::to_string(Number));
  Result.Region_ = base::RegionId(Number % 2 == 0 ? "north" : "south");
  Result.Address_ = std::to_string(Number);
  return Result;
}

constexpr int HostCount = 6;

} // namespace

/// The elections of six hosts in two regions.
TEST_GROUP(SharedRateOwners) {
  base::TimePoint Now_ = base::TimePoint(100s);
  SharedRateOwners Owners_[HostCount];

  /// \returns what a host knows while the others up to \p Heard are heard.
  static dispatch::FleetDemand viewOf(int Number, int Heard = HostCount) {
    dispatch::FleetDemand Result;
    Result.Self_ = hostOf(Number);
    for (int Other = 0; Other < Heard; ++Other) {
      if (Other == Number)
        continue;
      members::HostView View;
      View.Descriptor_ = hostOf(Other);
      View.Ready_ = true;
      View.Alive_ = true;
      Result.OtherHosts_.push_back(View);
    }
    return Result;
  }
  void updateAll(base::Duration During) {
    for (base::Duration Passed{}; Passed < During; Passed += 250ms) {
      Now_ += 250ms;
      for (int Number = 0; Number < HostCount; ++Number)
        Owners_[Number].update(viewOf(Number), Now_);
    }
  }
  int ownersOf(std::uint64_t Target, const char *Region) const {
    int Result = 0;
    for (const SharedRateOwners &Each : Owners_)
      Result += Each.ownerOf(Target, base::RegionId(Region), Now_).Kind_ ==
                        RateOwner::Kind::Self
                    ? 1
                    : 0;
    return Result;
  }
};

TEST(SharedRateOwners, exactlyOneHostOwnsEachRateAndAllAgree) {
  updateAll(5s);
  for (std::uint64_t Target = 1; Target <= 50; ++Target) {
    LONGS_EQUAL(1, ownersOf(Target, "north"));
    for (int Number = 0; Number < HostCount; ++Number) {
      const RateOwner Owner =
          Owners_[Number].ownerOf(Target, base::RegionId("north"), Now_);
      const int Named = Owner.Kind_ == RateOwner::Kind::Self
                            ? Number
                            : std::stoi(Owner.Address_);
      // Hosts of the target's own region go first.
      LONGS_EQUAL(0, Named % 2);
    }
  }
}

// Guards against a host that uses each rate in full because it has not heard
// the others yet.
TEST(SharedRateOwners, aHostThatHasJustStartedOwnsNothing) {
  Owners_[0].update(viewOf(0, 0), Now_);
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    LONGS_EQUAL(0, ownersOf(Target, "north"));
}

// Guards against hosts that are cut off from each other and each take over.
TEST(SharedRateOwners, aHostThatIsCutOffTakesOverNothing) {
  updateAll(5s);
  for (int Step = 0; Step < 40; ++Step) {
    Now_ += 250ms;
    for (int Number = 0; Number < HostCount; ++Number) {
      dispatch::FleetDemand View = viewOf(Number, 0);
      View.IsCutOff_ = true;
      Owners_[Number].update(View, Now_);
    }
  }
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    LONGS_EQUAL(1, ownersOf(Target, "north"));
}

// Guards against a host that goes on with its rates when it wakes, while the
// others have taken over.
TEST(SharedRateOwners, aHostThatWasPausedOwnsNothingAtFirst) {
  updateAll(5s);
  Now_ += 6s;
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    LONGS_EQUAL(0, ownersOf(Target, "north"));
  updateAll(1s);
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    LONGS_EQUAL(0, ownersOf(Target, "north"));
  updateAll(2s);
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    LONGS_EQUAL(1, ownersOf(Target, "north"));
}

// Guards against a host that reaches no targets and keeps their rates from
// those that do.
TEST(SharedRateOwners, aHostThatReachesNoTargetsOwnsNothing) {
  updateAll(5s);
  for (int Step = 0; Step < 12; ++Step) {
    Now_ += 250ms;
    for (int Number = 0; Number < HostCount; ++Number) {
      dispatch::FleetDemand View = viewOf(Number);
      View.TargetsUnreached_ = Number == 0;
      for (members::HostView &Other : View.OtherHosts_)
        Other.TargetsUnreached_ =
            Other.Descriptor_.Host_ == viewOf(0).Self_.Host_;
      Owners_[Number].update(View, Now_);
    }
  }
  for (std::uint64_t Target = 1; Target <= 50; ++Target) {
    LONGS_EQUAL(1, ownersOf(Target, "north"));
    CHECK(Owners_[0].ownerOf(Target, base::RegionId("north"), Now_).Kind_ !=
          RateOwner::Kind::Self);
  }
}

// Guards against targets that were down for all hosts and find no host that may
// probe them when they are back.
TEST(SharedRateOwners, whereNoHostReachesTargetsElectionsStay) {
  updateAll(5s);
  for (int Step = 0; Step < 12; ++Step) {
    Now_ += 250ms;
    for (int Number = 0; Number < HostCount; ++Number) {
      dispatch::FleetDemand View = viewOf(Number);
      View.TargetsUnreached_ = true;
      for (members::HostView &Other : View.OtherHosts_)
        Other.TargetsUnreached_ = true;
      Owners_[Number].update(View, Now_);
    }
  }
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    LONGS_EQUAL(1, ownersOf(Target, "north"));
}

// Guards against a host that stops and goes on using rates that others have
// taken over.
TEST(SharedRateOwners, aHostThatDoesNotServeOwnsNothing) {
  updateAll(5s);
  dispatch::FleetDemand Stopping = viewOf(0);
  Stopping.IsServing_ = false;
  Owners_[0].update(Stopping, Now_);
  for (std::uint64_t Target = 1; Target <= 50; ++Target)
    CHECK(Owners_[0].ownerOf(Target, base::RegionId("north"), Now_).Kind_ !=
          RateOwner::Kind::Self);
}

TEST_GROUP(StatedRateLimiter) {
  base::TimePoint Now_ = base::TimePoint(100s);
  StatedRateLimiter Limiter_;

  bool answer(std::optional<double> PerSecond, base::Duration Took = 100ms) {
    return Limiter_.recordAnswer({PerSecond, false}, true, Now_ - Took, Now_);
  }
};

TEST(StatedRateLimiter, grantsItsShareOfTheRateAndSavesUpLittle) {
  answer(4);
  int Granted = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    Now_ += 10ms;
    Granted += Limiter_.take(Now_) ? 0 : 1;
  }
  DOUBLES_EQUAL(4 * StatedRateLimiter::OwnerShare * 10, Granted, 1);
  Now_ += 60s;
  Granted = 0;
  while (!Limiter_.take(Now_))
    ++Granted;
  LONGS_EQUAL(StatedRateLimiter::MaxTokens, Granted);
}

// Guards against a target whose rate changes with each answer and which would
// get nothing.
TEST(StatedRateLimiter, aRateThatChangesAllTheTimeIsStillUsed) {
  int Granted = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    Now_ += 10ms;
    answer(4 + 0.001 * (Step % 7));
    Granted += Limiter_.take(Now_) ? 0 : 1;
  }
  DOUBLES_EQUAL(4 * StatedRateLimiter::OwnerShare * 10, Granted, 1);
}

// Guards against a rate that is taken for over by an answer that is older than
// the statement.
TEST(StatedRateLimiter, onlyAnAnswerToALaterRequestEndsIt) {
  answer(2);
  Now_ += 100ms;
  CHECK_FALSE(answer(std::nullopt, 500ms));
  CHECK(Limiter_.perSecond().has_value());
  CHECK(answer(std::nullopt, 50ms));
  CHECK_FALSE(Limiter_.perSecond().has_value());
}

TEST(StatedRateLimiter, theNewestStatementHoldsWhoeverHeardIt) {
  answer(2);
  Now_ += 1s;
  CHECK_FALSE(Limiter_.merge({1, 9.0, 3s}, true, Now_));
  DOUBLES_EQUAL(2, Limiter_.perSecond().value_or(0), 0);
  CHECK(Limiter_.merge({1, 9.0, 500ms}, true, Now_));
  DOUBLES_EQUAL(9, Limiter_.perSecond().value_or(0), 0);
  CHECK(Limiter_.merge({1, std::nullopt, 0ms}, true, Now_));
  CHECK_FALSE(Limiter_.perSecond().has_value());
}

// Guards against announcements that grow with the number of answers.
TEST(StatedRateLimiter, aRateThatHoldsIsAnnouncedNowAndThen) {
  int Announced = 0;
  for (int Step = 0; Step < 400; ++Step) {
    Now_ += 100ms;
    answer(2);
    Announced += Limiter_.announcement().isAnnounced(Now_) ? 1 : 0;
  }
  CHECK(Announced <= 400 * 0.45);
  CHECK(Announced >= 400 * 0.3);
}
