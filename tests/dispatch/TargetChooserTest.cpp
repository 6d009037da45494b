#include "dispatch/TargetChooser.h"

#include "base/Hash.h"
#include "base/Random.h"

#include <deque>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
using dispatch::TargetChooser;
using dispatch::TargetState;
using namespace std::chrono_literals;

namespace {

const base::RegionId North("north");
const base::RegionId South("south");

TargetState targetOf(int Number, const base::RegionId &Region) {
  TargetState Result;
  Result.Record_.Id_ = base::TargetId("t" + std::to_string(Number));
  Result.Record_.Zone_ = base::ZoneId("z");
  Result.Record_.Slots_ = 3;
  Result.Region_ = Region;
  Result.Hash_ = base::stableHash(Result.Record_.Id_.name());
  return Result;
}

/// Targets that keep the last objects they handled and are three times faster
/// with them, as seen by callers through one host.
class TargetCaches {
public:
  explicit TargetCaches(std::size_t Targets) : Caches_(Targets) {}

  /// \returns whether the target was warm for the object.
  bool access(std::size_t Target, std::uint64_t Object) {
    constexpr std::size_t Capacity = 25;
    std::deque<std::uint64_t> &Cache = Caches_[Target];
    const auto Found = std::find(Cache.begin(), Cache.end(), Object);
    const bool Warm = Found != Cache.end();
    if (Warm)
      Cache.erase(Found);
    Cache.push_back(Object);
    if (Cache.size() > Capacity)
      Cache.pop_front();
    return Warm;
  }

private:
  std::vector<std::deque<std::uint64_t>> Caches_;
};

} // namespace

TEST_GROUP(TargetChooser) {
  TargetChooser Chooser_{North, base::ZoneId("z")};
  std::vector<TargetState> Targets_;
  base::TimePoint Now_ = base::TimePoint(100s);
  bool MayProbe_ = false;

  void setup() override {
    for (int Index = 0; Index < 10; ++Index)
      Targets_.push_back(targetOf(Index, North));
  }
  dispatch::ChoiceQuery queryFor(std::uint64_t Object) const {
    dispatch::ChoiceQuery Query;
    Query.Object_ = Object;
    Query.Region_ = North;
    return Query;
  }
  std::optional<dispatch::Choice> find(const dispatch::ChoiceQuery &Query) {
    return Chooser_.choose(
        Query, Targets_, [this](TargetState &) { return MayProbe_; }, Now_);
  }
  /// For queries that some target can take.
  dispatch::Choice choose(const dispatch::ChoiceQuery &Query) {
    const auto Found = find(Query);
    CHECK(Found.has_value());
    return Found.value_or(dispatch::Choice());
  }
  std::string chosenName(const dispatch::ChoiceQuery &Query) {
    const auto Found = find(Query);
    return Found ? Found->Target_->Record_.Id_.name() : "none";
  }
};

TEST(TargetChooser, anObjectStaysOnItsTarget) {
  const std::string First = chosenName(queryFor(42));
  for (int Index = 0; Index < 20; ++Index)
    STRCMP_EQUAL(First.c_str(), chosenName(queryFor(42)).c_str());
}

TEST(TargetChooser, objectsSpreadOverAllTargets) {
  std::set<std::string> Used;
  for (std::uint64_t Object = 1; Object < 200; ++Object)
    Used.insert(chosenName(queryFor(Object)));
  LONGS_EQUAL(10, Used.size());
}

// A target is full. If its object stayed, its requests would queue behind
// others; the object's second target takes over as soon as three requests wait,
// where it is warm. Where it is not, each run there would take the time of
// three: only a queue that no request could wait for makes it take over.
TEST(TargetChooser, anObjectOfAFullTargetGoesToItsSecond) {
  const auto First = choose(queryFor(42));
  int Sends = 0;
  for (; choose(queryFor(42)).Target_ == First.Target_; ++Sends)
    First.Target_->Load_.recordSend();
  const auto Second = choose(queryFor(42));
  LONGS_EQUAL(1, Second.Rank_);
  LONGS_EQUAL(52, Sends);
  Second.Target_->RecentObjects_.record(42, Now_);
  for (; Sends > 5; --Sends)
    First.Target_->Load_.recordEnd();
  CHECK(choose(queryFor(42)).Target_ == Second.Target_);
  First.Target_->Load_.recordEnd();
  CHECK(choose(queryFor(42)).Target_ == First.Target_);
}

// Guards against hosts that each send an object that lost its target to the one
// that they found fast: the object then runs cold at many.
TEST(TargetChooser, anObjectThatLostItsTargetStaysWithinItsPreferredRanks) {
  const auto First = choose(queryFor(42));
  First.Target_->Record_.Leaving_ = true;
  const auto Second = choose(queryFor(42));
  Second.Target_->Record_.Leaving_ = true;
  std::set<std::string> Used;
  for (TargetState &Quick : Targets_) {
    Quick.Slowness_ = 0.5;
    Used.insert(chosenName(queryFor(42)));
    Quick.Slowness_ = 1;
  }
  CHECK(Used.size() <= TargetChooser::PreferredRanks);
}

// Half of the requests are refused by a target with slots free. A refusal costs
// the caller a round trip, a cold run elsewhere costs three runs: it keeps its
// objects. One that refuses all but a few loses them.
TEST(TargetChooser, aTargetThatRefusesSomeKeepsItsObjects) {
  const auto First = choose(queryFor(42));
  for (int Index = 0; Index < 20; ++Index) {
    First.Target_->Health_.recordRefusal();
    First.Target_->Health_.recordAnswer(Now_);
  }
  CHECK(choose(queryFor(42)).Target_ == First.Target_);
  for (int Index = 0; Index < 20; ++Index)
    First.Target_->Health_.recordRefusal();
  CHECK(choose(queryFor(42)).Target_ != First.Target_);
}

// Objects change; a target keeps some tens of them.
TEST(TargetChooser, recentObjectsExpire) {
  dispatch::RecentObjects Memory;
  Memory.record(1, Now_);
  CHECK(Memory.contains(1, Now_ + 10s));
  CHECK_FALSE(
      Memory.contains(1, Now_ + dispatch::RecentObjects::RetentionTime));
  for (std::uint64_t Object = 2; Object <= 33; ++Object)
    Memory.record(Object, Now_ + 1s);
  CHECK_FALSE(Memory.contains(1, Now_ + 1s));
  CHECK(Memory.contains(33, Now_ + 1s));
}

TEST(TargetChooser, leavingAndEvacuatedTargetsGetNoRequests) {
  const auto First = choose(queryFor(42));
  First.Target_->Record_.Leaving_ = true;
  const auto Second = choose(queryFor(42));
  CHECK(Second.Target_ != First.Target_);
  Second.Target_->Evacuated_ = true;
  const auto Third = choose(queryFor(42));
  CHECK(Third.Target_ != First.Target_);
  CHECK(Third.Target_ != Second.Target_);
}

// An availability zone comes back and all its targets are cold. If every host
// sent to them they would crash again; only the host that is elected for a
// target sends to it.
TEST(TargetChooser, onlyTheElectedHostSendsToAColdTarget) {
  for (TargetState &Target : Targets_)
    Target.ColdUntil_ = Now_ + 3s;
  STRCMP_EQUAL("none", chosenName(queryFor(42)).c_str());
  MayProbe_ = true;
  CHECK(chosenName(queryFor(42)) != "none");
}

TEST(TargetChooser, homeRegionsBindAlsoWhereTheyAreFull) {
  Targets_.push_back(targetOf(99, South));
  for (int Index = 0; Index < 50; ++Index)
    Targets_.back().Load_.recordSend();
  const std::vector<base::RegionId> Homes{South};
  dispatch::ChoiceQuery Query = queryFor(42);
  Query.Homes_ = &Homes;
  STRCMP_EQUAL("t99", chosenName(Query).c_str());
}

TEST(TargetChooser, aTargetThatWasTriedIsNotTriedAgain) {
  const auto First = choose(queryFor(42));
  const std::vector<base::TargetId> Tried{First.Target_->Record_.Id_};
  dispatch::ChoiceQuery Query = queryFor(42);
  Query.TriedTargets_ = Tried;
  CHECK(choose(Query).Target_ != First.Target_);
}

// Half of a target's requests fail while it reports to be healthy.
TEST(TargetChooser, aTargetThatFailsCostsMore) {
  const auto First = choose(queryFor(42));
  for (int Index = 0; Index < 5; ++Index) {
    First.Target_->Health_.recordFailure(Now_);
    First.Target_->Health_.recordAnswer(Now_);
  }
  CHECK(choose(queryFor(42)).Target_ != First.Target_);
}

// An object is warm at its two first targets, and the first one is slow for the
// moment. Guards against a long run that is started there, and against an
// object that stays away when the target is as fast as usual again.
TEST(TargetChooser, aTargetThatStatesToBeSlowIsAvoidedForAWhile) {
  dispatch::ServiceSpeeds Speeds;
  dispatch::ChoiceQuery Query = queryFor(42);
  Query.Speeds_ = &Speeds;
  TargetState *First = choose(Query).Target_;
  for (TargetState &Target : Targets_) {
    Target.RecentObjects_.record(42, Now_);
    Speeds.record(Target.Speed_, &Target == First ? 2.5 : 1, Now_);
  }
  const dispatch::Choice Other = choose(Query);
  CHECK(Other.Target_ != First);
  DOUBLES_EQUAL(1, Other.RunTimeFactor_, 0.1);
  Now_ += 10s;
  CHECK(choose(Query).Target_ == First);
}

// 60 objects, ten targets that keep 25 objects each, requests at random.
// Without an object, as where none is named, a request finds its target warm in
// two of five cases; by the object's own order in nearly all.
TEST(TargetChooser, theObjectsOrderKeepsTargetsWarm) {
  base::Random Random(11);
  const auto HitShare = [&](bool ByObject) {
    TargetCaches Caches(Targets_.size());
    int Hits = 0;
    constexpr int Requests = 4000;
    for (int Request = 0; Request < Requests; ++Request) {
      const std::uint64_t Object = 1 + base::drawBelow(Random, 60);
      const std::uint64_t Key = ByObject ? Object * 7919 : Random() | 1U;
      const auto Chosen = choose(queryFor(Key));
      const auto Index =
          static_cast<std::size_t>(Chosen.Target_ - Targets_.data());
      Hits += Caches.access(Index, Object) ? 1 : 0;
    }
    return double(Hits) / Requests;
  };
  CHECK(HitShare(false) < 0.5);
  CHECK(HitShare(true) > 0.97);
}
