#include "base/Random.h"
#include "fleet/LeaseGuard.h"
#include "fleet/LeaseHolder.h"
#include "fleet/ZoneRecordPlanner.h"

#include <deque>
#include <memory>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int HostCount = 4;
constexpr base::Duration Step = milliseconds(250);

/// The store's one object; writes may be delayed and lose their answers.
struct Shelf {
  fleet::ZoneRecord Record_;
  std::uint64_t Version_ = 0;
};

struct PendingWrite {
  base::TimePoint Lands_;
  fleet::RecordPlan Plan_;
};

/// One host in virtual time: its clock runs by its own drift and goes on while
/// it is paused.
struct Host {
  std::unique_ptr<fleet::LeaseHolder> Holder_;
  std::unique_ptr<fleet::ZoneRecordPlanner> Keeper_;
  std::unique_ptr<fleet::LeaseGuard> Guard_;
  std::uint64_t Incarnation_ = 0;
  double Rate_ = 1;
  base::TimePoint PausedUntil_;
  bool CutFromStore_ = false;
  bool Alive_ = true;
  /// Cut off from peers whose cell differs.
  int Cell_ = 0;
};

base::HostId nameOfHost(int Index) {
  return base::HostId("h" + std::to_string(Index));
}

/// One zone, played step by step from a seed.
class Zone {
public:
  explicit Zone(std::uint64_t Seed) : Random_(Seed) {
    for (Host &Each : Hosts_) {
      Each.Rate_ = 1 + (base::drawUnit(Random_) - 0.5) * Terms_.DriftPart_;
      start(Each);
    }
  }

  void step() {
    Now_ += Step;
    disturb();
    land();
    for (int Index = 0; Index < HostCount; ++Index)
      if (Hosts_[Index].Alive_ && Now_ >= Hosts_[Index].PausedUntil_)
        act(Index);
    compare();
  }

  /// Host-steps at which a host acted although no record held it.
  int violations() const { return Violations_; }
  int standing() const { return Standing_; }
  int removals() const { return Removals_; }
  int extended() const { return Extended_; }

private:
  base::TimePoint clockOf(const Host &Of) const {
    return base::TimePoint(
        base::fromSeconds(base::toSeconds(Now_.time_since_epoch()) * Of.Rate_));
  }

  fleet::Member memberOf(int Index) const {
    fleet::Member Made;
    Made.Host_ = nameOfHost(Index);
    Made.Incarnation_ = Hosts_[Index].Incarnation_;
    return Made;
  }

  void start(Host &Started) {
    const int Index = static_cast<int>(&Started - Hosts_);
    ++Started.Incarnation_;
    Started.Alive_ = true;
    Started.Holder_ = std::make_unique<fleet::LeaseHolder>(Terms_);
    Started.Guard_ = std::make_unique<fleet::LeaseGuard>();
    Started.Keeper_ = std::make_unique<fleet::ZoneRecordPlanner>(
        Terms_, base::ZoneId("z"), memberOf(Index), clockOf(Started));
  }

  bool draw(double Chance) { return base::drawUnit(Random_) < Chance; }

  void disturb() {
    if (draw(0.004))
      StoreDown_ = !StoreDown_;
    for (Host &Each : Hosts_) {
      if (draw(0.004))
        Each.CutFromStore_ = !Each.CutFromStore_;
      if (draw(0.006))
        Each.Cell_ = static_cast<int>(base::drawBelow(Random_, 2));
      if (draw(0.002))
        Each.PausedUntil_ = Now_ + seconds(base::drawBelow(Random_, 40));
      if (draw(Each.Alive_ ? 0.001 : 0.02)) {
        if (Each.Alive_)
          Each.Alive_ = false;
        else
          start(Each);
      }
    }
  }

  void land() {
    while (!Writes_.empty() && Writes_.front().Lands_ <= Now_) {
      const fleet::RecordPlan Plan = Writes_.front().Plan_;
      Writes_.pop_front();
      if (Plan.Expected_ != Shelf_.Version_)
        continue;
      for (const fleet::Member &Each : Shelf_.Record_.Members_)
        Removals_ += Plan.Next_.find(Each.Host_) ? 0 : 1;
      Shelf_ = {Plan.Next_, Shelf_.Version_ + 1};
    }
  }

  bool reaches(const Host &Left, const Host &Right) const {
    return Left.Cell_ == Right.Cell_ && Right.Alive_ &&
           Now_ >= Right.PausedUntil_;
  }

  void act(int Index) {
    Host &Self = Hosts_[Index];
    const base::TimePoint Clock = clockOf(Self);
    const bool Store = !StoreDown_ && !Self.CutFromStore_;
    if (Store && draw(0.3))
      observe(Self, Shelf_.Record_, Shelf_.Version_);
    fleet::Member Own = memberOf(Index);
    Own.Sequence_ = Self.Holder_->beat(Clock);
    Self.Keeper_->hear(Own, Clock);
    Own.KnownGeneration_ = Self.Keeper_->record().Generation_;
    for (Host &Peer : Hosts_)
      if (&Peer != &Self && reaches(Self, Peer) && draw(0.7))
        talk(Self, Peer, Own);
    confirm(Self);
    const auto Plan = Self.Keeper_->plan(Clock);
    if (Plan && draw(0.7))
      write(Self, *Plan, Store);
  }

  void talk(Host &Self, Host &Peer, const fleet::Member &Own) {
    if (draw(0.5))
      Peer.Keeper_->hear(Own, clockOf(Peer));
    // The clock is read before the call goes out; the answer may come late or
    // not at all.
    const base::TimePoint Asked = clockOf(Self);
    const bool Pledged = Peer.Keeper_->pledge(Own.Host_, clockOf(Peer));
    if (draw(0.2))
      return;
    observe(Self, Peer.Keeper_->record(), Peer.Keeper_->version());
    if (Pledged)
      Self.Holder_->pledge(nameOfHost(static_cast<int>(&Peer - Hosts_)), Asked);
  }

  void observe(Host &Self, const fleet::ZoneRecord &Record,
               std::uint64_t Version) {
    const bool Was = Self.Keeper_->isMember();
    Self.Keeper_->observe(Record, Version, clockOf(Self));
    if (Was && !Self.Keeper_->isMember()) {
      Self.Guard_->drop();
      Self.Holder_->forget();
    }
  }

  void confirm(Host &Self) {
    const int Index = static_cast<int>(&Self - Hosts_);
    const fleet::Member *Own = Self.Keeper_->record().find(nameOfHost(Index));
    if (!Own || Own->Incarnation_ != Self.Incarnation_)
      return;
    Self.Holder_->confirm(Own->Sequence_);
    const base::TimePoint Clock = clockOf(Self);
    const base::TimePoint Until =
        Self.Holder_->until(Self.Keeper_->record(), nameOfHost(Index), Clock);
    if (Until > Self.Holder_->confirmedUntil() && StoreDown_)
      ++Extended_;
    Self.Guard_->extend(Until, Clock);
  }

  void write(Host &Self, const fleet::RecordPlan &Plan, bool Store) {
    if (!Store)
      return;
    Self.Keeper_->begin(Plan);
    const bool Slow = draw(0.1);
    const base::TimePoint Lands =
        Now_ + (Slow ? seconds(base::drawBelow(Random_, 6)) : seconds(0));
    auto Place = Writes_.begin();
    while (Place != Writes_.end() && Place->Lands_ <= Lands)
      ++Place;
    Writes_.insert(Place, {Lands, Plan});
    if (Slow || draw(0.1))
      return;
    land();
    observe(Self, Shelf_.Record_, Shelf_.Version_);
  }

  void compare() {
    for (int Index = 0; Index < HostCount; ++Index) {
      const Host &Each = Hosts_[Index];
      if (!Each.Alive_ || Now_ < Each.PausedUntil_)
        continue;
      const bool Acts =
          Each.Guard_->check(clockOf(Each), 0) == fleet::LeaseState::Valid;
      const bool Listed = Shelf_.Record_.find(nameOfHost(Index)) != nullptr;
      Standing_ += Acts ? 1 : 0;
      Violations_ += Acts && !Listed ? 1 : 0;
    }
  }

  const fleet::LeaseTiming Terms_;
  base::Random Random_;
  base::TimePoint Now_{seconds(1000)};
  Host Hosts_[HostCount];
  Shelf Shelf_;
  std::deque<PendingWrite> Writes_;
  bool StoreDown_ = false;
  int Violations_ = 0;
  int Standing_ = 0;
  int Removals_ = 0;
  int Extended_ = 0;
};

} // namespace

TEST_GROUP(MembershipProperty){};

// Two hosts both believe that they hold the same share of a customer's rate:
// one was removed while paused or cut off, its share was given to others, and
// it goes on using it. So whenever a host believes that it may act, the store's
// record must hold it. Hosts die, restart, pause up to 40 s and lose the store
// or each other at random; writes are late and lose their answers.
TEST(MembershipProperty, noHostActsThatTheRecordDoesNotHold) {
  int Standing = 0;
  int Removals = 0;
  int Extended = 0;
  constexpr int SeedCount = 1000;
  constexpr int StepCount = 800;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    Zone Played(Seed);
    for (int Index = 0; Index < StepCount; ++Index)
      Played.step();
    if (Played.violations() != 0)
      FAIL(("seed " + std::to_string(Seed)).c_str());
    Standing += Played.standing();
    Removals += Played.removals();
    Extended += Played.extended();
  }
  // The play is worth something only if leases stand, end and are extended.
  CHECK(Standing > SeedCount * StepCount * HostCount / 4);
  CHECK(Removals > SeedCount);
  CHECK(Extended > SeedCount);
}
