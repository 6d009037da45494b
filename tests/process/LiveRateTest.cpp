#include "base/SystemClock.h"
#include "support/LiveFleet.h"
#include "support/RateWindows.h"
#include "support/TestFleet.h"

#include <memory>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace tests = lychee::tests;
using base::SystemClock;
using tests::LiveFleet;
using tests::TestFleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t TargetCount = 2;
constexpr const char *Key = "first-key";

} // namespace

/// Three real hosts with two targets, of which the first states a rate.
TEST_GROUP(LiveRate) {
  std::unique_ptr<LiveFleet> Fleet_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(
        tests::LiveFleetSize{"127.94." + std::to_string(Number) + ".",
                             HostCount, TargetCount, false});
    for (std::size_t Each = 0; Each < HostCount; ++Each)
      CHECK(TestFleet::waitFor([&] {
        return Fleet_->isReady(Each) &&
               Fleet_->metric(Each, "lychee_hosts_alive") == HostCount - 1;
      }));
  }
  void teardown() override { Fleet_.reset(); }

  void state(const std::string &PerSecond) {
    lychee::standins::target::Faults Set;
    Set.StatedRate_ = PerSecond;
    Fleet_->target(0).setFaults(Set);
  }
  /// Asks all hosts in turn and without a pause.
  void askFor(base::Duration Span) {
    const base::TimePoint End = SystemClock::monotonicNow() + Span;
    for (std::size_t Each = 0; SystemClock::monotonicNow() < End; ++Each)
      LONGS_EQUAL(200, Fleet_->ask(Each % HostCount, Key).Status_);
  }
};

// Guards against hosts that each keep the rate by themselves, and against
// tokens and announcements that do not reach the other processes.
TEST(LiveRate, processesTogetherKeepIt) {
  constexpr double PerSecond = 2;
  const base::TimePoint Begin = SystemClock::monotonicNow();
  state("2");
  askFor(9s);
  const auto Arrivals = Fleet_->target(0).counts().arrivals();
  const std::size_t Most =
      tests::mostInWindow(Arrivals, Begin + tests::RateSettlingTime);
  CHECK(Most <= tests::allowedInWindow(PerSecond));
  // Half of what it takes, at least.
  CHECK(Most >= PerSecond * base::toSeconds(tests::RateWindow) / 2);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    CHECK(Fleet_->metric(Host, "lychee_targets_rate_limited") == 1);
}

// Guards against a target that stays limited after it took its rate back.
TEST(LiveRate, aRateThatEndsIsForgottenByAllHosts) {
  state("2");
  askFor(2s);
  state("");
  CHECK(TestFleet::waitFor([&] {
    askFor(100ms);
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->metric(Host, "lychee_targets_rate_limited") != 0)
        return false;
    return true;
  }));
}
