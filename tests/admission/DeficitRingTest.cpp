#include "admission/DeficitRing.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace admission = lychee::admission;

TEST_GROUP(DeficitRing){};

TEST(DeficitRing, aPartyInCreditEndsTheSearchForATurn) {
  // Callers would see the host stop answering. Two parties wait, one in debt
  // by one quantum, one by none. After one round the second is in credit by a
  // quantum just when all are taken to be in debt and rounds are skipped; a
  // credit that counted as a negative number of rounds took it away again.
  std::array<admission::RingEntry, 2> Entries;
  admission::DeficitRing Ring;
  Ring.join(Entries, 0);
  Ring.join(Entries, 1);
  Ring.charge(Entries[0], Entries[0].Deficit_);
  Ring.charge(Entries[0], admission::DeficitRing::Quantum);
  Ring.charge(Entries[1], Entries[1].Deficit_);
  LONGS_EQUAL(1, Ring.turn(Entries, false));
}
