#include "scenario/RandomScenario.h"
#include "scenario/Player.h"

#include "CppUTest/TestHarness.h"

namespace scenario = lychee::scenario;

namespace {

/// \returns what the seeds' scenarios violate; empty where nothing.
template <typename Seeds> std::string violations(const Seeds &Played) {
  std::string Report;
  for (const std::uint64_t Seed : Played)
    for (const std::string &Line :
         scenario::play(scenario::makeRandomScenario(Seed)).Unmet_)
      Report += "seed " + std::to_string(Seed) + ": " + Line + "\n";
  return Report;
}

} // namespace

TEST_GROUP(RandomScenario){};

TEST(RandomScenario, generatedLoadsAndFaultsBreakNoPromise) {
  // A part of the seeds that lychee-bench --random 1000 plays, few enough for
  // each run of the tests.
  std::vector<std::uint64_t> Seeds;
  for (std::uint64_t Seed = 1; Seed <= 120; ++Seed)
    Seeds.push_back(Seed);
  STRCMP_EQUAL("", violations(Seeds).c_str());
}

TEST(RandomScenario, aNewHostUsesNoSlotBeforeItsEpochHasSettled) {
  // Callers would wait inside a target. A host restarts; its share of slots is
  // still in use by the others when its first request comes. It learned of the
  // targets after the epoch, and took them for new to everyone.
  const std::vector<std::uint64_t> Seeds{8};
  STRCMP_EQUAL("", violations(Seeds).c_str());
}

TEST(RandomScenario, probesOfALostPoolKeepToTheHostsSlots) {
  // Callers would wait inside a target that has just come back. All targets of
  // a region are lost; each host sends one request at a time to see whether
  // they are back. These probes were sent into slots that others held.
  const std::vector<std::uint64_t> Seeds{24,  105, 114, 116, 174,
                                         186, 187, 209, 246};
  STRCMP_EQUAL("", violations(Seeds).c_str());
}

TEST(RandomScenario, twoPlansBetweenTheSameRegionsAreCountedTogether) {
  const std::vector<std::uint64_t> Seeds{90};
  STRCMP_EQUAL("", violations(Seeds).c_str());
}

TEST(RandomScenario, aSeedIsPlayedAlikeEachTime) {
  const auto Played = scenario::makeRandomScenario(7);
  const auto First = scenario::play(Played).Outcome_;
  const auto Second = scenario::play(Played).Outcome_;
  CHECK(First.Sends_ > 0);
  LONGS_EQUAL(First.Sends_, Second.Sends_);
  CHECK(First.merged("").LatencyMilliseconds_ ==
        Second.merged("").LatencyMilliseconds_);
}
