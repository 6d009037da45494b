#include "store/CallBudget.h"
#include "store/Backoff.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace store = lychee::store;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(CallBudget){};

// The store comes back after an outage and every loop of this host wants its
// call: over any span the calls stay under rate x time + one second's worth.
TEST(CallBudget, burstAndRateBoundTheCalls) {
  store::CallBudget Budget(20);
  base::TimePoint Now{seconds(1000)};
  int Taken = 0;
  for (int Step = 0; Step < 10'000; ++Step, Now += milliseconds(1))
    Taken += Budget.take(Now) ? 1 : 0;
  CHECK(Taken <= 20 * 10 + 20);
  CHECK(Taken >= 20 * 10 + 19);
}

TEST(CallBudget, waitsGrowToTheBoundAndNeverVanish) {
  base::Random Source(7);
  store::Backoff Wait;
  base::Duration Last{};
  for (int Try = 0; Try < 20; ++Try) {
    Last = Wait.next(Source);
    CHECK(Last >= store::Backoff::Shortest / 2);
    CHECK(Last <= store::Backoff::Longest);
  }
  CHECK(Last >= store::Backoff::Longest / 2);
  Wait.reset();
  CHECK(Wait.next(Source) <= store::Backoff::Shortest);
}
