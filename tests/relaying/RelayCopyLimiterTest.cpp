#include "relaying/RelayCopyLimiter.h"
#include "relaying/RelayRole.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::relaying::RelayCopyLimiter;
using lychee::relaying::RelayRole;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LargeBytes = std::size_t{300} << 10;
constexpr std::size_t MaxPollers =
    RelayRole::ReadersPerHost * RelayRole::HostsPerReader;

} // namespace

TEST_GROUP(RelayCopyLimiter) {
  RelayCopyLimiter Limiter_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

TEST(RelayCopyLimiter, smallChangesAreSentToEveryHost) {
  for (std::size_t Host = 0; Host < MaxPollers; ++Host)
    CHECK(Limiter_.tryAcquire(RelayCopyLimiter::SmallBytes, false, Now_));
}

TEST(RelayCopyLimiter, largeChangeIsLeftToTheStore) {
  for (std::size_t Host = 0; Host < MaxPollers; ++Host)
    CHECK_FALSE(Limiter_.tryAcquire(LargeBytes, false, Now_));
}

TEST(RelayCopyLimiter, copiesForHostsWithoutStoreDoNotFillASmallLink) {
  constexpr double LinkBytesPerSecond = 10e6 / 8;
  std::size_t SentBytes = 0;
  const base::TimePoint End = Now_ + 10s;
  while (Now_ < End) {
    for (std::size_t Host = 0; Host < MaxPollers; ++Host)
      SentBytes += Limiter_.tryAcquire(LargeBytes, true, Now_) ? LargeBytes : 0;
    Now_ += RelayRole::PollInterval;
  }
  CHECK(SentBytes > 0);
  CHECK(static_cast<double>(SentBytes) < LinkBytesPerSecond * 10 / 3);
}

TEST(RelayCopyLimiter, hostWithoutStoreGetsChangesOfAnySize) {
  CHECK(Limiter_.tryAcquire(std::size_t{4} << 20, true, Now_));
  CHECK_FALSE(Limiter_.tryAcquire(LargeBytes, true, Now_ + 1s));
  CHECK(Limiter_.tryAcquire(LargeBytes, true, Now_ + 20s));
}
