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

/// The only object of the store; writes may be delayed and lose their answers.
struct StoredObject {
  fleet::ZoneRecord Record_;
  std::uint64_t Version_ = 0;
};

struct PendingWrite {
  base::TimePoint AppliedAt_;
  fleet::RecordPlan Plan_;
};

/// One host in virtual time. Its clock has its own drift and runs on while the
/// host is paused.
struct Host {
  std::unique_ptr<fleet::LeaseHolder> Holder_;
  std::unique_ptr<fleet::ZoneRecordPlanner> Planner_;
  std::unique_ptr<fleet::LeaseGuard> Guard_;
  std::uint64_t Incarnation_ = 0;
  double ClockRate_ = 1;
  base::TimePoint PausedUntil_;
  bool CutFromStore_ = false;
  bool Alive_ = true;
  /// Network partition; hosts in different partitions cannot reach each other.
  int Partition_ = 0;
};

base::HostId nameOfHost(int Index) {
  return base::HostId("h" + std::to_string(Index));
}

/// Simulates one zone step by step from a seed.
class ZoneSimulation {
public:
  explicit ZoneSimulation(std::uint64_t Seed) : Random_(Seed) {
    for (Host &Entry : Hosts_) {
      Entry.ClockRate_ =
          1 + (base::drawUnit(Random_) - 0.5) * Timing_.MaxDriftRatio_;
      start(Entry);
    }
  }

  void step() {
    Now_ += Step;
    injectFaults();
    applyWrites();
    for (int Index = 0; Index < HostCount; ++Index)
      if (Hosts_[Index].Alive_ && Now_ >= Hosts_[Index].PausedUntil_)
        runHost(Index);
    checkHosts();
  }

  /// Number of host-steps at which a host acted although no record listed it.
  int violations() const { return Violations_; }
  int actingSteps() const { return ActingSteps_; }
  int removals() const { return Removals_; }
  int extensions() const { return Extensions_; }

private:
  base::TimePoint clockOf(const Host &Owner) const {
    return base::TimePoint(base::fromSeconds(
        base::toSeconds(Now_.time_since_epoch()) * Owner.ClockRate_));
  }

  fleet::Member memberOf(int Index) const {
    fleet::Member Result;
    Result.Host_ = nameOfHost(Index);
    Result.Incarnation_ = Hosts_[Index].Incarnation_;
    return Result;
  }

  void start(Host &Started) {
    const int Index = static_cast<int>(&Started - Hosts_);
    ++Started.Incarnation_;
    Started.Alive_ = true;
    Started.Holder_ = std::make_unique<fleet::LeaseHolder>(Timing_);
    Started.Guard_ = std::make_unique<fleet::LeaseGuard>();
    Started.Planner_ = std::make_unique<fleet::ZoneRecordPlanner>(
        Timing_, base::ZoneId("z"), memberOf(Index), clockOf(Started));
  }

  bool draw(double Chance) { return base::drawUnit(Random_) < Chance; }

  void injectFaults() {
    if (draw(0.004))
      StoreDown_ = !StoreDown_;
    for (Host &Entry : Hosts_) {
      if (draw(0.004))
        Entry.CutFromStore_ = !Entry.CutFromStore_;
      if (draw(0.006))
        Entry.Partition_ = static_cast<int>(base::drawBelow(Random_, 2));
      if (draw(0.002))
        Entry.PausedUntil_ = Now_ + seconds(base::drawBelow(Random_, 40));
      if (draw(Entry.Alive_ ? 0.001 : 0.02)) {
        if (Entry.Alive_)
          Entry.Alive_ = false;
        else
          start(Entry);
      }
    }
  }

  void applyWrites() {
    while (!Writes_.empty() && Writes_.front().AppliedAt_ <= Now_) {
      const fleet::RecordPlan Plan = Writes_.front().Plan_;
      Writes_.pop_front();
      if (Plan.ExpectedVersion_ != Stored_.Version_)
        continue;
      for (const fleet::Member &Entry : Stored_.Record_.Members_)
        Removals_ += Plan.Next_.find(Entry.Host_) ? 0 : 1;
      Stored_ = {Plan.Next_, Stored_.Version_ + 1};
    }
  }

  bool reaches(const Host &Left, const Host &Right) const {
    return Left.Partition_ == Right.Partition_ && Right.Alive_ &&
           Now_ >= Right.PausedUntil_;
  }

  void runHost(int Index) {
    Host &Self = Hosts_[Index];
    const base::TimePoint Clock = clockOf(Self);
    const bool CanReachStore = !StoreDown_ && !Self.CutFromStore_;
    if (CanReachStore && draw(0.3))
      observe(Self, Stored_.Record_, Stored_.Version_);
    fleet::Member Own = memberOf(Index);
    Own.Sequence_ = Self.Holder_->nextHeartbeat(Clock);
    Self.Planner_->receiveHeartbeat(Own, Clock);
    Own.KnownGeneration_ = Self.Planner_->record().Generation_;
    for (Host &Peer : Hosts_)
      if (&Peer != &Self && reaches(Self, Peer) && draw(0.7))
        exchangeWith(Self, Peer, Own);
    confirm(Self);
    const auto Plan = Self.Planner_->plan(Clock);
    if (Plan && draw(0.7))
      write(Self, *Plan, CanReachStore);
  }

  void exchangeWith(Host &Self, Host &Peer, const fleet::Member &Own) {
    if (draw(0.5))
      Peer.Planner_->receiveHeartbeat(Own, clockOf(Peer));
    // The clock is read before the call is sent; the answer may be late or
    // lost.
    const base::TimePoint RequestedAt = clockOf(Self);
    const bool Pledged = Peer.Planner_->grantPledge(Own.Host_, clockOf(Peer));
    if (draw(0.2))
      return;
    observe(Self, Peer.Planner_->record(), Peer.Planner_->version());
    if (Pledged)
      Self.Holder_->recordPledge(nameOfHost(static_cast<int>(&Peer - Hosts_)),
                                 RequestedAt);
  }

  void observe(Host &Self, const fleet::ZoneRecord &Record,
               std::uint64_t Version) {
    const bool WasMember = Self.Planner_->isMember();
    Self.Planner_->observe(Record, Version, clockOf(Self));
    if (WasMember && !Self.Planner_->isMember()) {
      Self.Guard_->revoke();
      Self.Holder_->reset();
    }
  }

  void confirm(Host &Self) {
    const int Index = static_cast<int>(&Self - Hosts_);
    const fleet::Member *Own = Self.Planner_->record().find(nameOfHost(Index));
    if (!Own || Own->Incarnation_ != Self.Incarnation_)
      return;
    Self.Holder_->confirmHeartbeat(Own->Sequence_);
    const base::TimePoint Clock = clockOf(Self);
    const base::TimePoint Expiry =
        Self.Holder_->expiry(Self.Planner_->record(), nameOfHost(Index), Clock);
    if (Expiry > Self.Holder_->confirmedExpiry() && StoreDown_)
      ++Extensions_;
    Self.Guard_->extend(Expiry, Clock);
  }

  void write(Host &Self, const fleet::RecordPlan &Plan, bool CanReachStore) {
    if (!CanReachStore)
      return;
    Self.Planner_->beginWrite(Plan);
    const bool Slow = draw(0.1);
    const base::TimePoint AppliedAt =
        Now_ + (Slow ? seconds(base::drawBelow(Random_, 6)) : seconds(0));
    auto Position = Writes_.begin();
    while (Position != Writes_.end() && Position->AppliedAt_ <= AppliedAt)
      ++Position;
    Writes_.insert(Position, {AppliedAt, Plan});
    if (Slow || draw(0.1))
      return;
    applyWrites();
    observe(Self, Stored_.Record_, Stored_.Version_);
  }

  void checkHosts() {
    for (int Index = 0; Index < HostCount; ++Index) {
      const Host &Entry = Hosts_[Index];
      if (!Entry.Alive_ || Now_ < Entry.PausedUntil_)
        continue;
      const bool MayAct =
          Entry.Guard_->check(clockOf(Entry), 0) == fleet::LeaseState::Valid;
      const bool Listed = Stored_.Record_.find(nameOfHost(Index)) != nullptr;
      ActingSteps_ += MayAct ? 1 : 0;
      Violations_ += MayAct && !Listed ? 1 : 0;
    }
  }

  const fleet::LeaseTiming Timing_;
  base::Random Random_;
  base::TimePoint Now_{seconds(1000)};
  Host Hosts_[HostCount];
  StoredObject Stored_;
  std::deque<PendingWrite> Writes_;
  bool StoreDown_ = false;
  int Violations_ = 0;
  int ActingSteps_ = 0;
  int Removals_ = 0;
  int Extensions_ = 0;
};

} // namespace

TEST_GROUP(MembershipProperty){};

// Guards against two hosts that both use the same share of a customer's rate:
// one was removed while it was paused or cut off, its share was given to
// others, and it continues to use it. So whenever a host believes that it may
// act, the store's record must list it. Hosts die, restart, pause (40 s at
// most) and lose the store or each other at random; writes are delayed and lose
// their answers.
TEST(MembershipProperty, hostsActOnlyWhileTheRecordListsThem) {
  int ActingSteps = 0;
  int Removals = 0;
  int Extensions = 0;
  constexpr int SeedCount = 1000;
  constexpr int StepCount = 800;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    ZoneSimulation Simulation(Seed);
    for (int Index = 0; Index < StepCount; ++Index)
      Simulation.step();
    if (Simulation.violations() != 0)
      FAIL(("seed " + std::to_string(Seed)).c_str());
    ActingSteps += Simulation.actingSteps();
    Removals += Simulation.removals();
    Extensions += Simulation.extensions();
  }
  // The simulation is meaningful only if leases are valid, expire and are
  // extended.
  CHECK(ActingSteps > SeedCount * StepCount * HostCount / 4);
  CHECK(Removals > SeedCount);
  CHECK(Extensions > SeedCount);
}
