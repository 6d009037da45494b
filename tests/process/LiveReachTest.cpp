#include "base/SystemClock.h"
#include "platform/Names.h"
#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <atomic>
#include <memory>
#include <thread>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace tests = lychee::tests;
using lychee::standins::LinkFaults;
using tests::LiveFleet;
using tests::TestFleet;

namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t TargetCount = 3;
constexpr const char *Key = "first-key";
/// Requests in a row that must be served at a host that is cut.
constexpr int ServedInARow = 20;

} // namespace

/// Three real hosts, of which the first is cut from all targets while callers,
/// the store and the other hosts reach it.
TEST_GROUP(LiveReach) {
  std::unique_ptr<LiveFleet> Fleet_;
  int Asked_ = 0;
  std::vector<std::string> Booked_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(
        tests::LiveFleetSize{"127.96." + std::to_string(Number) + ".",
                             HostCount, TargetCount, true});
    for (std::size_t Each = 0; Each < HostCount; ++Each)
      CHECK(TestFleet::waitFor([&] {
        return Fleet_->isReady(Each) &&
               Fleet_->metric(Each, "lychee_hosts_alive") == HostCount - 1;
      }));
    for (std::size_t Each = 0; Each < HostCount; ++Each)
      CHECK(servesInARow(Each));
  }
  void teardown() override { Fleet_.reset(); }

  std::string nextId() { return "r" + std::to_string(++Asked_); }
  int lookUp(std::size_t Host) {
    return Fleet_->ask(Host, Key, nextId()).Status_;
  }
  static tests::CallerRequest requestFor(const std::string &Method,
                                         const std::string &Prefix,
                                         const std::string &Id) {
    tests::CallerRequest Request;
    Request.Method_ = Method;
    Request.Target_ = Prefix + Id;
    Request.Headers_ = {{"Host", "a.example"},
                        {"Authorization", std::string("Bearer ") + Key},
                        {lychee::platform::vocabulary().RequestId_, Id},
                        // The stand-in counts by this one.
                        {"Lychee-Request-Id", Id}};
    return Request;
  }
  tests::CallerRequest nextBooking() {
    const std::string Id = nextId();
    tests::CallerRequest Request = requestFor("POST", "/y/", Id);
    Request.Body_ = Id;
    Booked_.push_back(Id);
    return Request;
  }
  int book(std::size_t Host) {
    return call(Fleet_->callers(Host), nextBooking()).Status_;
  }
  /// Books after a pause in which open connections to targets grow too old for
  /// a booking.
  void bookOnNewConnection(std::size_t Host) {
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
    book(Host);
  }
  /// \returns whether reads and bookings are served one after the other.
  bool servesInARow(std::size_t Host) {
    int Row = 0;
    return TestFleet::waitFor([&] {
      const bool Both = lookUp(Host) == 200 && book(Host) == 200;
      Row = Both ? Row + 1 : 0;
      return Row == ServedInARow;
    });
  }
  std::uint64_t runsOf(const std::string &Id) {
    std::uint64_t Runs = 0;
    for (std::size_t Each = 0; Each < TargetCount; ++Each)
      Runs += Fleet_->target(Each).counts().runsOfRequest(Id);
    return Runs;
  }
  /// \returns the number of targets that ran it.
  int targetsOf(const std::string &Id) {
    int Targets = 0;
    for (std::size_t Each = 0; Each < TargetCount; ++Each)
      Targets += Fleet_->target(Each).counts().runsOfRequest(Id) > 0 ? 1 : 0;
    return Targets;
  }
  void slowDownTargets(base::Duration By) {
    lychee::standins::target::Faults Set;
    Set.Slow_ = By;
    for (std::size_t Each = 0; Each < TargetCount; ++Each)
      Fleet_->target(Each).setFaults(Set);
  }
  bool arrivedAfter(const std::string &Id, base::TimePoint Moment) {
    for (std::size_t Each = 0; Each < TargetCount; ++Each)
      for (const auto &Arrived :
           Fleet_->target(Each).counts().arrivedRequests())
        if (Arrived.RequestId_ == Id && Arrived.At_ > Moment)
          return true;
    return false;
  }
  void checkNoBookingRanTwice() {
    for (const std::string &Id : Booked_)
      CHECK(runsOf(Id) <= 1);
  }
  bool isNamed(std::size_t Host, std::size_t AskedAt) {
    return Fleet_->resolve(AskedAt).find(Fleet_->callers(Host)) !=
           std::string::npos;
  }
  void playCut(const LinkFaults &Set, bool Resets) {
    Fleet_->setTargetLinks(0, Set);
    if (Resets)
      Fleet_->resetTargetLinks(0);
    CHECK(servesInARow(0));
    CHECK(servesInARow(1));
    CHECK(TestFleet::waitFor([&] {
      bookOnNewConnection(0);
      return !isNamed(0, 0) && !isNamed(0, 1);
    }));
    CHECK(servesInARow(0));
    CHECK(isNamed(1, 0));
    CHECK(Fleet_->isReady(0));
    Fleet_->setTargetLinks(0, {});
    CHECK(TestFleet::waitFor([&] { return isNamed(0, 0) && isNamed(0, 1); }));
    CHECK(servesInARow(0));
    checkNoBookingRanTwice();
  }
};

// Guards against a host that refuses its callers, and is named to more of them,
// as long as connections to targets hang there.
TEST(LiveReach, aHostWhoseConnectionsHangServesItsCallers) {
  playCut({.Drops_ = true}, false);
}

TEST(LiveReach, aHostWhoseConnectionsAreResetServesItsCallers) {
  playCut({.Refuses_ = true}, true);
}

TEST(LiveReach, aHostWhoseOldConnectionsLiveOnServesItsCallers) {
  playCut({.Refuses_ = true}, false);
}

// Guards against a slow target of the other host that is taken for a silent
// connection, by which an attempt runs on more targets than it may.
TEST(LiveReach, besideSlowTargetsAnAttemptRunsOnAsManyTargetsAsItMay) {
  constexpr int CallerCount = 8;
  constexpr int AttemptsEach = 4;
  Fleet_->setTargetLinks(0, {.Drops_ = true});
  CHECK(servesInARow(0));
  slowDownTargets(std::chrono::milliseconds(600));
  std::vector<std::string> Ids;
  std::atomic<int> Served = 0;
  {
    std::vector<std::jthread> Callers;
    Callers.reserve(CallerCount);
    for (int Each = 0; Each < CallerCount; ++Each) {
      std::vector<std::string> Own;
      Own.reserve(AttemptsEach);
      for (int Times = 0; Times < AttemptsEach; ++Times)
        Own.push_back(nextId());
      Ids.insert(Ids.end(), Own.begin(), Own.end());
      Callers.emplace_back([this, Own, &Served] {
        for (const std::string &Id : Own)
          Served +=
              call(Fleet_->callers(0), requestFor("GET", "/z/", Id)).Status_ ==
                      200
                  ? 1
                  : 0;
      });
    }
  }
  slowDownTargets({});
  Fleet_->setTargetLinks(0, {});
  CHECK(Served > 0);
  for (const std::string &Id : Ids)
    CHECK_COMPARE(targetsOf(Id), <=, 1);
}

// Guards against requests that a cut held up, and that run when it ends, long
// after their callers were answered.
TEST(LiveReach, whatACutHeldUpDoesNotRunAfterIt) {
  CHECK(servesInARow(0));
  const std::size_t First = Booked_.size();
  Fleet_->setTargetLinks(0, {.Drops_ = true});
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  {
    // At once, on connections that have just shown life.
    constexpr int CallerCount = 8;
    std::vector<std::jthread> Callers;
    Callers.reserve(CallerCount);
    for (int Each = 0; Each < CallerCount; ++Each)
      Callers.emplace_back([this, Booking = nextBooking()] {
        call(Fleet_->callers(0), Booking);
      });
  }
  CHECK(servesInARow(0));
  const std::size_t Last = Booked_.size();
  const base::TimePoint Healed = base::SystemClock::monotonicNow();
  Fleet_->setTargetLinks(0, {});
  CHECK(servesInARow(0));
  // Time in which the kernel sends again what is left of the cut.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (std::size_t Each = First; Each < Last; ++Each)
    CHECK_FALSE(arrivedAfter(Booked_[Each], Healed));
}
