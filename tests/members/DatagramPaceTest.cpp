#include "members/DatagramPace.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::members::DatagramPace;
using namespace std::chrono_literals;

TEST_GROUP(DatagramPace) {
  DatagramPace Pace_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

// Guards against a burst to all hosts of a region that a small host's link
// drops for the last of them.
TEST(DatagramPace, whatGoesToManyHostsLeavesInSmallBursts) {
  constexpr std::size_t Bytes = 3500;
  constexpr int Datagrams = 60;
  int Sent = 0;
  int Steps = 0;
  for (; Sent < Datagrams && Steps < 100; ++Steps, Now_ += 10ms) {
    int InStep = 0;
    for (; Sent < Datagrams && Pace_.take(Bytes, Now_); ++Sent)
      ++InStep;
    CHECK(InStep * Bytes <= DatagramPace::BurstBytes);
  }
  LONGS_EQUAL(Datagrams, Sent);
  // A heartbeat's pace is 500 ms.
  CHECK(Steps * 10 < 400);
}

TEST(DatagramPace, aDatagramLargerThanABurstLeavesAlone) {
  CHECK(Pace_.take(2 * DatagramPace::BurstBytes, Now_));
  CHECK_FALSE(Pace_.take(100, Now_));
  CHECK(Pace_.take(100, Now_ + 100ms));
}
