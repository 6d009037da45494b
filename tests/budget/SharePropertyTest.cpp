#include "budget/ShareModel.h"

#include <cstdlib>

#include "CppUTest/TestHarness.h"

using lychee::tests::ShareModel;

namespace {

/// Seeds played by the tests; LYCHEE_PROPERTY_SEEDS asks for more.
std::uint64_t seedCount() {
  const char *Asked = std::getenv("LYCHEE_PROPERTY_SEEDS");
  return Asked == nullptr ? 300 : std::strtoull(Asked, nullptr, 10);
}

} // namespace

TEST_GROUP(ShareProperty){};

// Callers of one customer see every host let requests in, and together more
// than the customer's rate and burst.
// Asks, transfers, epochs and renewals are lost, late, doubled and crossed;
// hosts pause past their lease, die and come new; clocks drift.
// No order of these may let more in, in any window, than rate times the window
// plus burst. tools/mutation-check breaks each rule in turn and sees this fail.
TEST(ShareProperty, allHostsTogetherNeverExceedRateAndBurst) {
  std::uint64_t Granted = 0;
  std::uint64_t Transfers = 0;
  std::uint64_t Settled = 0;
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    ShareModel Model(Seed);
    const std::string Text = "seed " + std::to_string(Seed);
    CHECK_TRUE_TEXT(Model.run(std::chrono::seconds(40)), Text.c_str());
    Granted += Model.granted();
    Transfers += Model.transfers();
    Settled += Model.settledEpochs();
  }
  // The schedules must not hold because nothing happened in them.
  CHECK(Granted > 500 * seedCount());
  CHECK(Transfers > 20 * seedCount());
  CHECK(Settled > 2 * seedCount());
}
