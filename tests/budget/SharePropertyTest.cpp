#include "budget/ShareModel.h"

#include <cstdlib>

#include "CppUTest/TestHarness.h"

using lychee::tests::ShareModel;

namespace {

/// Number of seeds; LYCHEE_PROPERTY_SEEDS overrides the default.
std::uint64_t seedCount() {
  const char *Override = std::getenv("LYCHEE_PROPERTY_SEEDS");
  return Override == nullptr ? 300 : std::strtoull(Override, nullptr, 10);
}

} // namespace

TEST_GROUP(ShareProperty){};

// Guards against all hosts together admitting more than a customer's rate and
// burst. Requests for shares, transfers, epochs and lease renewals are lost,
// delayed, duplicated and reordered; hosts pause beyond their leases, die and
// start; clocks drift. In any period no more than the rate times the period
// plus the burst may be admitted. tools/mutation-check breaks each rule in turn
// and expects this test to fail.
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
  // The property must not hold merely because nothing happened.
  CHECK(Granted > 500 * seedCount());
  CHECK(Transfers > 20 * seedCount());
  CHECK(Settled > 2 * seedCount());
}
