#include "base/SystemClock.h"
#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <algorithm>
#include <memory>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace tests = lychee::tests;
using base::SystemClock;
using lychee::standins::target::Faults;
using tests::LiveFleet;
using tests::TestFleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t TargetCount = 2;
constexpr const char *Key = "first-key";
/// Requests that a target takes from a host in a rest that it asked it for, and
/// from when on they count.
constexpr std::ptrdiff_t AllowedInARest = 2;
constexpr base::Duration HearingTime = 500ms;

} // namespace

/// Three real hosts with two targets; requests are named after their host.
TEST_GROUP(LiveRest) {
  std::unique_ptr<LiveFleet> Fleet_;
  int Asked_ = 0;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(
        tests::LiveFleetSize{"127.95." + std::to_string(Number) + ".",
                             HostCount, TargetCount, false});
    for (std::size_t Each = 0; Each < HostCount; ++Each)
      CHECK(TestFleet::waitFor([&] {
        return Fleet_->isReady(Each) &&
               Fleet_->metric(Each, "lychee_hosts_alive") == HostCount - 1;
      }));
  }
  void teardown() override { Fleet_.reset(); }

  tests::CallerAnswer ask(std::size_t Host) {
    return Fleet_->ask(Host, Key,
                       std::to_string(Host) + "-" + std::to_string(++Asked_));
  }
  void askFor(std::size_t Host, base::Duration Span) {
    const base::TimePoint End = SystemClock::monotonicNow() + Span;
    while (SystemClock::monotonicNow() < End)
      LONGS_EQUAL(200, ask(Host).Status_);
  }
  /// \returns the requests that a target got from a host after \p Begin.
  std::ptrdiff_t arrivals(std::size_t Target, std::size_t Host,
                          base::TimePoint Begin) {
    const auto All = Fleet_->target(Target).counts().arrivedRequests();
    const std::string Prefix = std::to_string(Host) + "-";
    return std::count_if(All.begin(), All.end(), [&](const auto &Each) {
      return Each.At_ > Begin && Each.RequestId_.starts_with(Prefix);
    });
  }
  void askUntilArrivedAt(std::size_t Target, std::size_t Host) {
    const base::TimePoint Begin = SystemClock::monotonicNow();
    CHECK(TestFleet::waitFor([&] {
      LONGS_EQUAL(200, ask(Host).Status_);
      return arrivals(Target, Host, Begin) > 0;
    }));
  }
  void setRest(std::size_t Target, const std::string &Seconds) {
    Faults Set;
    Set.Rest_ = Seconds;
    Fleet_->target(Target).setFaults(Set);
  }
};

// Guards against a host that goes on sending to a target in the rest that it
// was asked for.
TEST(LiveRest, theHostThatWasAskedKeepsIt) {
  setRest(0, "3");
  askUntilArrivedAt(0, 0);
  const base::TimePoint Asked = SystemClock::monotonicNow();
  setRest(0, "");
  askFor(0, 2700ms);
  CHECK(arrivals(0, 0, Asked + HearingTime) <= AllowedInARest);
  // It binds no other host, and ends.
  askUntilArrivedAt(0, 1);
  askUntilArrivedAt(0, 0);
}

// Guards against requests that are held, or refused without a hint, while all
// targets rest.
TEST(LiveRest, whereAllRestItIsRefusedAtOnceUntilTheFirstEnds) {
  setRest(0, "9");
  setRest(1, "30");
  CHECK(TestFleet::waitFor([&] {
    ask(0);
    const auto First = Fleet_->target(0).counts().arrivals().size();
    const auto Second = Fleet_->target(1).counts().arrivals().size();
    return First > 0 && Second > 0;
  }));
  const base::TimePoint Begin = SystemClock::monotonicNow();
  const tests::CallerAnswer Refused = ask(0);
  LONGS_EQUAL(503, Refused.Status_);
  const double Told = std::stod(Refused.header("retry-after"));
  CHECK(Told > 1);
  CHECK(Told < 20);
  LONGS_EQUAL(0, arrivals(0, 0, Begin));
  LONGS_EQUAL(0, arrivals(1, 0, Begin));
}

// Guards against hosts that wait for the target's entry to say that it leaves.
TEST(LiveRest, aLeavingSaidInAnAnswerBindsAllHosts) {
  Faults Set;
  Set.Leaving_ = true;
  Fleet_->target(0).setFaults(Set);
  askUntilArrivedAt(0, 0);
  const base::TimePoint Heard = SystemClock::monotonicNow();
  // Until the others have been told.
  askFor(0, 2500ms);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    askFor(Host, 300ms);
  LONGS_EQUAL(0, arrivals(0, 0, Heard));
  LONGS_EQUAL(0, arrivals(0, 1, Heard));
  LONGS_EQUAL(0, arrivals(0, 2, Heard));
  // An older entry changes nothing; a new start ends it.
  Fleet_->writeEntry(0, "ready");
  askFor(0, 1s);
  LONGS_EQUAL(0, arrivals(0, 0, Heard));
  Fleet_->target(0).setFaults({});
  Fleet_->writeEntry(0, "ready", 0, 2);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    askUntilArrivedAt(0, Host);
}
