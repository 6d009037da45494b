#include "dispatch/ReachSimulation.h"

#include <algorithm>
#include <numeric>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::tests::CutKind;
using lychee::tests::ReachFleet;
using lychee::tests::ReachSimulation;

namespace {

constexpr std::uint64_t Seeds = 3;
constexpr CutKind Kinds[] = {CutKind::Hangs, CutKind::Resets,
                             CutKind::RefusesNew, CutKind::Closes};
/// Time after the begin of a cut from which first tries must succeed.
constexpr base::Duration SettlingTime = std::chrono::seconds(3);

ReachFleet largeFleet() {
  ReachFleet Size;
  Size.Hosts_ = 300;
  Size.Targets_ = 240;
  Size.PerSecond_ = 3000;
  Size.Objects_ = 480;
  return Size;
}

std::vector<std::size_t> firstHosts(std::size_t Count) {
  std::vector<std::size_t> Hosts(Count);
  std::iota(Hosts.begin(), Hosts.end(), 0);
  return Hosts;
}

/// Checks the first tries at \p Hosts that were sent in the span: no more than
/// 10 and one in 50 of them fail, by kind of request.
void checkServed(const ReachSimulation &Fleet,
                 const std::vector<std::size_t> &Hosts, base::TimePoint Begin,
                 base::TimePoint End) {
  for (const bool Idempotent : {true, false}) {
    const auto Tries = Fleet.tally([&](const auto &Each) {
      return Each.Idempotent_ == Idempotent && Each.SentAt_ >= Begin &&
             Each.SentAt_ < End &&
             std::find(Hosts.begin(), Hosts.end(), Each.Host_) != Hosts.end();
    });
    CHECK(Tries.Sent_ > 0);
    CHECK_COMPARE(Tries.failed(), <=, 10 + Tries.Sent_ / 50);
  }
  LONGS_EQUAL(0, Fleet.brokenPromises());
}

/// Cuts hosts from all targets and checks the first tries at them, and at the
/// others all the time.
void playCut(const ReachFleet &Size, const std::vector<std::size_t> &Hosts,
             CutKind Kind, std::uint64_t Seed) {
  ReachSimulation Fleet(Size, Seed);
  Fleet.run(4);
  const base::TimePoint Begin = Fleet.now();
  for (const std::size_t Each : Hosts)
    Fleet.cut(Each, Kind);
  Fleet.run(9);
  const base::TimePoint Healed = Fleet.now();
  for (const std::size_t Each : Hosts)
    Fleet.heal(Each);
  Fleet.run(6);
  const base::TimePoint End = Fleet.now();
  Fleet.run(3);
  checkServed(Fleet, Hosts, Begin + SettlingTime, Healed);
  // Nothing is left of the cut.
  checkServed(Fleet, Hosts, Healed, End);
  std::vector<std::size_t> Others = firstHosts(Size.Hosts_);
  std::erase_if(Others, [&](std::size_t Each) {
    return std::find(Hosts.begin(), Hosts.end(), Each) != Hosts.end();
  });
  if (!Others.empty())
    checkServed(Fleet, Others, Begin, End);
}

/// Cuts hosts from all targets, of which some fail and the others are slow, and
/// checks on how many of them attempts ran, and that no host broke off what
/// another one worked on.
void playSlowTargets(const ReachFleet &Size,
                     const std::vector<std::size_t> &Hosts, CutKind Kind,
                     std::uint64_t Seed) {
  ReachSimulation Fleet(Size, Seed);
  Fleet.run(4);
  Fleet.degradeTargets(4, 3);
  for (const std::size_t Each : Hosts)
    Fleet.cut(Each, Kind);
  Fleet.run(6);
  for (const std::size_t Each : Hosts)
    Fleet.heal(Each);
  Fleet.run(4);
  CHECK(Fleet.forwards() > 0);
  LONGS_EQUAL(0, Fleet.attemptsOverBound());
  LONGS_EQUAL(0, Fleet.forwardsBrokenOff());
  LONGS_EQUAL(0, Fleet.brokenPromises());
}

} // namespace

/// Hosts that are cut from targets, while callers and other hosts reach them.
TEST_GROUP(TargetReach){};

// Guards against hosts that take the loss of their own reach for the targets'
// death and refuse their callers.
TEST(TargetReach, halfOfTwelveHostsServeTheirCallers) {
  for (const CutKind Kind : Kinds)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      playCut(ReachFleet(), {0, 1, 3, 4, 6, 8}, Kind, Seed);
}

TEST(TargetReach, aSingleHostServesItsCallers) {
  for (const CutKind Kind : Kinds)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      playCut(ReachFleet(), {5}, Kind, Seed);
}

TEST(TargetReach, allHostsOfARegionServeTheirCallers) {
  for (const CutKind Kind : Kinds)
    playCut(ReachFleet(), {0, 3, 6, 9}, Kind, 1);
}

TEST(TargetReach, nearlyAllHostsServeTheirCallers) {
  for (const CutKind Kind : Kinds)
    playCut(ReachFleet(), firstHosts(11), Kind, 1);
}

TEST(TargetReach, aThirdOfThreeHundredHostsServeTheirCallers) {
  for (const CutKind Kind : Kinds)
    playCut(largeFleet(), firstHosts(100), Kind, 1);
}

// Guards against a host that refuses what only a region's targets serve, as it
// reaches those of the others.
TEST(TargetReach, aHostThatIsCutFromOneRegionServesItsCallers) {
  for (const CutKind Kind : Kinds) {
    ReachSimulation Fleet(ReachFleet(), 1);
    Fleet.run(4);
    const base::TimePoint Begin = Fleet.now();
    for (const std::size_t Each : {0, 1, 2})
      Fleet.cut(Each, Kind, ReachSimulation::regionOf(0, 3));
    Fleet.run(9);
    const base::TimePoint End = Fleet.now();
    Fleet.run(3);
    checkServed(Fleet, {0, 1, 2}, Begin + SettlingTime, End);
  }
}

// Guards against a link that comes and goes and makes the host change its mind
// at the cost of its callers.
TEST(TargetReach, aLinkThatFlapsCostsCallersLittle) {
  for (const CutKind Kind : Kinds) {
    ReachSimulation Fleet(ReachFleet(), 1);
    Fleet.run(4);
    const base::TimePoint Begin = Fleet.now();
    for (int Times = 0; Times < 10; ++Times) {
      Fleet.cut(2, Kind);
      Fleet.run(1);
      Fleet.heal(2);
      Fleet.run(1);
    }
    const base::TimePoint End = Fleet.now();
    Fleet.run(3);
    checkServed(Fleet, {2}, Begin + SettlingTime, End);
  }
}

// Guards against a request that is sent to more targets than it may be, as each
// host that passes it on counts its own sends only.
TEST(TargetReach, besideSlowTargetsNoAttemptRunsOnMoreTargetsThanAllowed) {
  for (const CutKind Kind : Kinds)
    for (const std::uint32_t Bound : {1, 2, 3})
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        ReachFleet Size;
        Size.MaxSends_ = Bound;
        playSlowTargets(Size, {0, 1, 3, 4, 6, 8}, Kind, Seed);
      }
}

TEST(TargetReach, atThreeHundredHostsNoAttemptRunsOnMoreTargetsThanAllowed) {
  for (const std::uint32_t Bound : {1, 2, 3}) {
    ReachFleet Size = largeFleet();
    Size.MaxSends_ = Bound;
    playSlowTargets(Size, firstHosts(100), CutKind::Hangs, 1);
  }
}

// Guards against requests that wait, or go from host to host, where nobody
// reaches a target.
TEST(TargetReach, whereAllHostsAreCutRequestsAreRefusedAtOnce) {
  for (const CutKind Kind : Kinds) {
    ReachSimulation Fleet(ReachFleet(), 1);
    Fleet.run(4);
    const std::vector<std::size_t> All = firstHosts(12);
    for (const std::size_t Each : All)
      Fleet.cut(Each, Kind);
    Fleet.run(3);
    const base::TimePoint Settled = Fleet.now();
    Fleet.run(5);
    for (const std::size_t Each : All)
      Fleet.heal(Each);
    const base::TimePoint Healed = Fleet.now();
    Fleet.run(9);
    // A round trip between regions, twice.
    CHECK(Fleet.slowestRefusal(Settled) < 0.1);
    checkServed(Fleet, All, Healed + SettlingTime, Fleet.now());
  }
}
