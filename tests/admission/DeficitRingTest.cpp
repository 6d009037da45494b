#include "admission/DeficitRing.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace admission = lychee::admission;

TEST_GROUP(DeficitRing){};

TEST(DeficitRing, aPartyInCreditEndsTheSearchForATurn) {
  // Callers would see the host stop answering. Two parties wait, in debt by
  // two quanta and by one. After some rounds the second is in credit by a
  // quantum just when rounds are skipped, as if all were in debt; a credit
  // that counted as a negative number of rounds was taken away in each pass.
  std::array<admission::RingEntry, 2> Entries;
  admission::DeficitRing Ring;
  Entries[0].Deficit_ = -2 * admission::DeficitRing::Quantum;
  Entries[1].Deficit_ = -admission::DeficitRing::Quantum;
  for (admission::RingEntry &Each : Entries)
    Each.Period_ = 1;
  Ring.join(Entries, 0);
  Ring.join(Entries, 1);
  LONGS_EQUAL(1, Ring.turn(Entries, false));
}
