#include "members/DatagramRateLimiter.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::members::DatagramRateLimiter;
using namespace std::chrono_literals;

TEST_GROUP(DatagramRateLimiter) {
  DatagramRateLimiter Limiter_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

// Guards against a burst to all hosts of a region that overflows the queue of a
// small host's link, so that the last datagrams are dropped.
TEST(DatagramRateLimiter, messageToManyHostsIsSentInSmallBursts) {
  constexpr std::size_t Bytes = 3500;
  constexpr int Datagrams = 60;
  int Sent = 0;
  int Steps = 0;
  for (; Sent < Datagrams && Steps < 100; ++Steps, Now_ += 10ms) {
    int InStep = 0;
    for (; Sent < Datagrams && Limiter_.tryAcquire(Bytes, Now_); ++Sent)
      ++InStep;
    CHECK(InStep * Bytes <= DatagramRateLimiter::BurstBytes);
  }
  LONGS_EQUAL(Datagrams, Sent);
  // The heartbeat interval is 500 ms.
  CHECK(Steps * 10 < 400);
}

TEST(DatagramRateLimiter, datagramLargerThanABurstIsSentAlone) {
  CHECK(Limiter_.tryAcquire(2 * DatagramRateLimiter::BurstBytes, Now_));
  CHECK_FALSE(Limiter_.tryAcquire(100, Now_));
  CHECK(Limiter_.tryAcquire(100, Now_ + 100ms));
}
