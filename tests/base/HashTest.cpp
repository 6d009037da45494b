#include "base/Hash.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;

TEST_GROUP(Hash){};

TEST(Hash, stableHashIsTheSameOnEveryBuild) {
  UNSIGNED_LONGLONGS_EQUAL(0xef46db3751d8e999ULL, base::stableHash(""));
  CHECK(base::stableHash("caller", 1) != base::stableHash("caller", 2));
}

TEST(Hash, sha256MatchesThePublishedVector) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      base::sha256Hex("abc").c_str());
}

TEST(Hash, constantTimeCompareTellsEqualFromDifferent) {
  CHECK(base::equalInConstantTime("secret", "secret"));
  CHECK_FALSE(base::equalInConstantTime("secret", "secreT"));
  CHECK_FALSE(base::equalInConstantTime("secret", "secre"));
}
