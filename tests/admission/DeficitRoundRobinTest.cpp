#include "admission/DeficitRoundRobin.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace admission = lychee::admission;

TEST_GROUP(DeficitRoundRobin){};

TEST(DeficitRoundRobin, anEntryInCreditEndsTheSelection) {
  // Guards against an endless selection, in which the host stops responding.
  // Two entries are in debt, by two quanta and by one. After some rounds the
  // second is in credit by a quantum just when rounds are skipped. If its
  // credit counted as a negative number of rounds, each pass would take the
  // credit away again.
  std::array<admission::RoundRobinEntry, 2> Entries;
  admission::DeficitRoundRobin Scheduler;
  Entries[0].Deficit_ = -2 * admission::DeficitRoundRobin::Quantum;
  Entries[1].Deficit_ = -admission::DeficitRoundRobin::Quantum;
  for (admission::RoundRobinEntry &Each : Entries)
    Each.BusyPeriod_ = 1;
  Scheduler.join(Entries, 0);
  Scheduler.join(Entries, 1);
  LONGS_EQUAL(1, Scheduler.selectNext(Entries, false));
}
