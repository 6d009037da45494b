#include "settings/KeyRing.h"

#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace settings = lychee::settings;
namespace tests = lychee::tests;
using settings::KeyRefusal;
using tests::require;

namespace {

/// Published in examples/glockenwerk/README.md as an example.
constexpr std::string_view Good =
    "st-anna-1.example-only-50f7f5baa83143f8925f3c8568cc90d8";
constexpr std::string_view WithdrawnKey =
    "st-vitus-0.example-only-d0530e1059632c4edea5065df8ebc8a3";

settings::KeyRing ring() {
  settings::Problems Found;
  return settings::KeyRing(
      require(settings::parseIntent(tests::readExample("glockenwerk"), Found)));
}

KeyRefusal refusalOf(std::string_view Presented) {
  KeyRefusal Why = KeyRefusal::None;
  CHECK_FALSE(ring().check(Presented, Why).has_value());
  return Why;
}

} // namespace

TEST_GROUP(KeyRing){};

TEST(KeyRing, aKeyOpensItsCustomer) {
  KeyRefusal Why = KeyRefusal::Unknown;
  const settings::KeyOwner Owner = require(ring().check(Good, Why));
  STRCMP_EQUAL("st-anna", Owner.Customer_.name().c_str());
  STRCMP_EQUAL("st-anna-1", Owner.Key_.name().c_str());
  CHECK(Why == KeyRefusal::None);
}

TEST(KeyRing, everyOtherKeyIsRefused) {
  CHECK(refusalOf(std::string(Good) + "0") == KeyRefusal::Unknown);
  CHECK(refusalOf(Good.substr(0, Good.size() - 1)) == KeyRefusal::Unknown);
  CHECK(refusalOf("st-georg-1" + std::string(Good.substr(9))) ==
        KeyRefusal::Unknown);
  CHECK(refusalOf("nobody.secret") == KeyRefusal::Unknown);
  for (const char *Bad : {"", ".", "a.", ".a", "st-anna-1"})
    CHECK(refusalOf(Bad) == KeyRefusal::Malformed);
  CHECK(refusalOf("a." + std::string(300, 'x')) == KeyRefusal::Malformed);
}

// An operator withdraws a key while its caller is connected. The next request
// on that connection is refused, and told so. A guesser who knows the id alone
// learns nothing: a wrong secret is unknown, withdrawn or not.
TEST(KeyRing, aWithdrawnKeyIsToldOnlyToWhoHasIt) {
  CHECK(refusalOf(WithdrawnKey) == KeyRefusal::Withdrawn);
  CHECK(refusalOf("st-vitus-0.guess") == KeyRefusal::Unknown);
}
