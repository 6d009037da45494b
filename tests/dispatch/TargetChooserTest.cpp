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
  TargetState Made;
  Made.Record_.Id_ = base::TargetId("t" + std::to_string(Number));
  Made.Record_.Zone_ = base::ZoneId("z");
  Made.Record_.Slots_ = 3;
  Made.Region_ = Region;
  Made.Hash_ = base::stableHash(Made.Record_.Id_.name());
  return Made;
}

/// Targets that keep the last objects they handled and are three times faster
/// with them, as callers see them through one host.
class WarmPlay {
public:
  explicit WarmPlay(std::size_t Targets) : Kept_(Targets) {}

  /// \returns whether the target was warm for the object.
  bool run(std::size_t Target, std::uint64_t Object) {
    constexpr std::size_t Keeps = 25;
    std::deque<std::uint64_t> &Kept = Kept_[Target];
    const auto Found = std::find(Kept.begin(), Kept.end(), Object);
    const bool Warm = Found != Kept.end();
    if (Warm)
      Kept.erase(Found);
    Kept.push_back(Object);
    if (Kept.size() > Keeps)
      Kept.pop_front();
    return Warm;
  }

private:
  std::vector<std::deque<std::uint64_t>> Kept_;
};

} // namespace

TEST_GROUP(TargetChooser) {
  TargetChooser Chooser_{North, base::ZoneId("z")};
  std::vector<TargetState> Targets_;
  base::TimePoint Now_ = base::TimePoint(100s);
  bool MaySound_ = false;

  void setup() override {
    for (int Each = 0; Each < 10; ++Each)
      Targets_.push_back(targetOf(Each, North));
  }
  dispatch::ChoiceQuery queryFor(std::uint64_t Object) const {
    dispatch::ChoiceQuery Asked;
    Asked.Object_ = Object;
    Asked.Region_ = North;
    return Asked;
  }
  std::optional<dispatch::Choice> find(const dispatch::ChoiceQuery &Asked) {
    return Chooser_.choose(
        Asked, Targets_, [this](TargetState &) { return MaySound_; }, Now_);
  }
  /// For queries that some target can take.
  dispatch::Choice choose(const dispatch::ChoiceQuery &Asked) {
    const auto Found = find(Asked);
    CHECK(Found.has_value());
    return Found.value_or(dispatch::Choice());
  }
  std::string chosen(const dispatch::ChoiceQuery &Asked) {
    const auto Found = find(Asked);
    return Found ? Found->Target_->Record_.Id_.name() : "none";
  }
};

TEST(TargetChooser, anObjectStaysOnItsTarget) {
  const std::string First = chosen(queryFor(42));
  for (int Each = 0; Each < 20; ++Each)
    STRCMP_EQUAL(First.c_str(), chosen(queryFor(42)).c_str());
}

TEST(TargetChooser, objectsSpreadOverAllTargets) {
  std::set<std::string> Used;
  for (std::uint64_t Object = 1; Object < 200; ++Object)
    Used.insert(chosen(queryFor(Object)));
  LONGS_EQUAL(10, Used.size());
}

// A target is full. Holding on to it, the object's requests wait behind others;
// its second target takes over as soon as three wait where it is warm. Where it
// is not, each run there would take the room of three: only a queue that nobody
// could wait for makes it take over.
TEST(TargetChooser, aFullTargetsObjectGoesToItsSecond) {
  const auto First = choose(queryFor(42));
  int Until = 0;
  for (; choose(queryFor(42)).Target_ == First.Target_; ++Until)
    First.Target_->Load_.sent();
  const auto Second = choose(queryFor(42));
  LONGS_EQUAL(1, Second.Rank_);
  LONGS_EQUAL(52, Until);
  Second.Target_->Warm_.handled(42, Now_);
  for (; Until > 5; --Until)
    First.Target_->Load_.ended();
  CHECK(choose(queryFor(42)).Target_ == Second.Target_);
  First.Target_->Load_.ended();
  CHECK(choose(queryFor(42)).Target_ == First.Target_);
}

// Guards against hosts that each send an object which lost its place to the
// target that they found quick: it then runs cold at many.
TEST(TargetChooser, anObjectThatLostItsPlaceStaysAmongItsNext) {
  const auto First = choose(queryFor(42));
  First.Target_->Record_.Leaving_ = true;
  const auto Second = choose(queryFor(42));
  Second.Target_->Record_.Leaving_ = true;
  std::set<std::string> Used;
  for (TargetState &Quick : Targets_) {
    Quick.Slowness_ = 0.5;
    Used.insert(chosen(queryFor(42)));
    Quick.Slowness_ = 1;
  }
  CHECK(Used.size() <= TargetChooser::OwnPlaces);
}

// Two of five requests are refused by a target with slots free. A refusal costs
// the caller a round trip, a cold run elsewhere costs three runs: it keeps its
// objects. One that refuses all but a few loses them.
TEST(TargetChooser, aTargetThatRefusesSomeKeepsItsObjects) {
  const auto First = choose(queryFor(42));
  for (int Each = 0; Each < 20; ++Each) {
    First.Target_->Trust_.refused();
    First.Target_->Trust_.answered(Now_);
  }
  CHECK(choose(queryFor(42)).Target_ == First.Target_);
  for (int Each = 0; Each < 20; ++Each)
    First.Target_->Trust_.refused();
  CHECK(choose(queryFor(42)).Target_ != First.Target_);
}

// Objects change; a target keeps some tens of them.
TEST(TargetChooser, warmthIsForgottenInTime) {
  dispatch::WarmMemory Memory;
  Memory.handled(1, Now_);
  CHECK(Memory.isWarm(1, Now_ + 10s));
  CHECK_FALSE(Memory.isWarm(1, Now_ + dispatch::WarmMemory::KeptFor));
  for (std::uint64_t Object = 2; Object <= 33; ++Object)
    Memory.handled(Object, Now_ + 1s);
  CHECK_FALSE(Memory.isWarm(1, Now_ + 1s));
  CHECK(Memory.isWarm(33, Now_ + 1s));
}

TEST(TargetChooser, leavingAndEvacuatedTargetsGetNothing) {
  const auto First = choose(queryFor(42));
  First.Target_->Record_.Leaving_ = true;
  const auto Second = choose(queryFor(42));
  CHECK(Second.Target_ != First.Target_);
  Second.Target_->Evacuated_ = true;
  const auto Third = choose(queryFor(42));
  CHECK(Third.Target_ != First.Target_);
  CHECK(Third.Target_ != Second.Target_);
}

// A zone comes back and all its targets are cold. Sent to by every host, they
// crash again; only the host that is picked for a target sends to it.
TEST(TargetChooser, aColdTargetIsForThePickedHostOnly) {
  for (TargetState &Each : Targets_)
    Each.ColdUntil_ = Now_ + 3s;
  STRCMP_EQUAL("none", chosen(queryFor(42)).c_str());
  MaySound_ = true;
  CHECK(chosen(queryFor(42)) != "none");
}

TEST(TargetChooser, homesBindAlsoWhereTheyAreFull) {
  Targets_.push_back(targetOf(99, South));
  for (int Each = 0; Each < 50; ++Each)
    Targets_.back().Load_.sent();
  const std::vector<base::RegionId> Homes{South};
  dispatch::ChoiceQuery Asked = queryFor(42);
  Asked.Homes_ = &Homes;
  STRCMP_EQUAL("t99", chosen(Asked).c_str());
}

TEST(TargetChooser, aTargetThatWasTriedIsNotTriedAgain) {
  const auto First = choose(queryFor(42));
  const std::vector<base::TargetId> Tried{First.Target_->Record_.Id_};
  dispatch::ChoiceQuery Asked = queryFor(42);
  Asked.Tried_ = Tried;
  CHECK(choose(Asked).Target_ != First.Target_);
}

// Half of a target's requests fail while it says that it is well.
TEST(TargetChooser, aTargetThatFailsCostsMore) {
  const auto First = choose(queryFor(42));
  for (int Each = 0; Each < 5; ++Each) {
    First.Target_->Trust_.failed(Now_);
    First.Target_->Trust_.answered(Now_);
  }
  CHECK(choose(queryFor(42)).Target_ != First.Target_);
}

// 60 objects, ten targets that keep 25 objects each, requests at random. The
// least loaded of two random targets, as where no object is named, finds its
// object there in two of five cases; the object's own order in nearly all.
TEST(TargetChooser, theObjectsOrderKeepsTargetsWarm) {
  base::Random Random(11);
  const auto HitShare = [&](bool ByObject) {
    WarmPlay Play(Targets_.size());
    int Hits = 0;
    constexpr int Requests = 4000;
    for (int Each = 0; Each < Requests; ++Each) {
      const std::uint64_t Object = 1 + base::drawBelow(Random, 60);
      const std::uint64_t Key = ByObject ? Object * 7919 : Random() | 1U;
      const auto Chosen = choose(queryFor(Key));
      const auto Index =
          static_cast<std::size_t>(Chosen.Target_ - Targets_.data());
      Hits += Play.run(Index, Object) ? 1 : 0;
    }
    return double(Hits) / Requests;
  };
  CHECK(HitShare(false) < 0.5);
  CHECK(HitShare(true) > 0.97);
}
