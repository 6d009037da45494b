#include "relaying/RelayCopyLimiter.h"
#include "relaying/RelayRole.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::relaying::RelayCopyLimiter;
using lychee::relaying::RelayRole;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LargeBytes = std::size_t{300} << 10;
constexpr std::size_t MostWhoAsk =
    RelayRole::AskedByEach * RelayRole::HostsPerAsker;

} // namespace

TEST_GROUP(RelayCopyLimiter) {
  RelayCopyLimiter Allowance_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

TEST(RelayCopyLimiter, smallChangesGoToEverybody) {
  for (std::size_t Host = 0; Host < MostWhoAsk; ++Host)
    CHECK(Allowance_.tryAcquire(RelayCopyLimiter::SmallBytes, false, Now_));
}

TEST(RelayCopyLimiter, aLargeChangeIsLeftToTheStore) {
  for (std::size_t Host = 0; Host < MostWhoAsk; ++Host)
    CHECK_FALSE(Allowance_.tryAcquire(LargeBytes, false, Now_));
}

TEST(RelayCopyLimiter, hostsThatTheStoreRefusesDoNotTakeAllOfASmallLink) {
  constexpr double LinkBytesPerSecond = 10e6 / 8;
  std::size_t Told = 0;
  const base::TimePoint End = Now_ + 10s;
  while (Now_ < End) {
    for (std::size_t Host = 0; Host < MostWhoAsk; ++Host)
      Told += Allowance_.tryAcquire(LargeBytes, true, Now_) ? LargeBytes : 0;
    Now_ += RelayRole::AskEvery;
  }
  CHECK(Told > 0);
  CHECK(static_cast<double>(Told) < LinkBytesPerSecond * 10 / 3);
}

TEST(RelayCopyLimiter, aHostThatTheStoreRefusesIsToldHoweverLargeTheChange) {
  CHECK(Allowance_.tryAcquire(std::size_t{4} << 20, true, Now_));
  CHECK_FALSE(Allowance_.tryAcquire(LargeBytes, true, Now_ + 1s));
  CHECK(Allowance_.tryAcquire(LargeBytes, true, Now_ + 20s));
}
