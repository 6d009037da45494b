#include "live/ActiveIntent.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace live = lychee::live;
using lychee::steering::Refusal;
using namespace std::chrono_literals;

namespace {

live::RouteRule ruleOf(const std::string &Name, const std::string &Prefix) {
  live::RouteRule Rule;
  Rule.Name_ = Name;
  Rule.Host_ = "a.example";
  Rule.PathPrefix_ = Prefix;
  Rule.Timeout_ = 800ms;
  Rule.Services_ = {{base::ServiceId(Name + "-service"), 1}};
  return Rule;
}

live::Intent intentOf(std::uint64_t Version) {
  live::Intent Made;
  Made.Version_ = Version;
  Made.Routes_ = {ruleOf("short", "/x/"), ruleOf("long", "/x/y/")};
  live::CustomerRule Customer;
  Customer.Id_ = base::CustomerId("parish");
  Customer.Keys_ = {"first-key", "second-key"};
  Made.Customers_ = {Customer};
  return Made;
}

} // namespace

TEST_GROUP(ActiveIntent) {
  live::ActiveIntent Book_{4700ms};
  base::TimePoint Now_ = base::TimePoint(100s);

  bool offer(const live::Intent &Fresh) {
    return Book_.offer(std::make_shared<const live::Intent>(Fresh));
  }
  std::string routeOf(std::string_view Path) {
    const auto Found = Book_.route({"", "a.example", Path, "GET", 0});
    return Found ? Found->Name_ : "none";
  }
};

TEST(ActiveIntent, theLongestPrefixTakesTheRequest) {
  offer(intentOf(1));
  STRCMP_EQUAL("long", routeOf("/x/y/z").c_str());
  STRCMP_EQUAL("short", routeOf("/x/z").c_str());
  STRCMP_EQUAL("none", routeOf("/z").c_str());
}

// A stale read brings an older version after a newer one. In force, it would
// send requests to a service that operators have moved them away from.
TEST(ActiveIntent, versionsOnlyRise) {
  CHECK(offer(intentOf(7)));
  CHECK_FALSE(offer(intentOf(5)));
  CHECK_FALSE(offer(intentOf(7)));
  LONGS_EQUAL(7, Book_.current()->Version_);
}

// The host is cut off from the store. Nobody can tell it that a key was
// withdrawn, so after the bound it refuses, as not run, instead of guessing.
TEST(ActiveIntent, keysAreRefusedOnceTheirConfirmationIsOld) {
  offer(intentOf(1));
  Book_.confirm(Now_);
  CHECK(Book_.check("first-key", Now_ + 4600ms).Refusal_ == Refusal::None);
  CHECK(Book_.check("first-key", Now_ + 4800ms).Refusal_ == Refusal::KeysStale);
}

// A request passes the check and waits; the process is paused for seconds.
// Asked again right before the send, the key does not hold any more.
TEST(ActiveIntent, aKeyIsCheckedAgainAfterAPause) {
  offer(intentOf(1));
  Book_.confirm(Now_);
  const auto Found = Book_.check("first-key", Now_);
  CHECK(Book_.recheck(Found, Now_ + 1s) == Refusal::None);
  CHECK(Book_.recheck(Found, Now_ + 6s) == Refusal::KeysStale);
}

// A key is withdrawn while a request that showed it waits.
TEST(ActiveIntent, aWithdrawnKeyDoesNotHoldAnyMore) {
  offer(intentOf(1));
  Book_.confirm(Now_);
  const auto Found = Book_.check("first-key", Now_);
  live::Intent Next = intentOf(2);
  Next.Customers_[0].Keys_ = {"second-key"};
  offer(Next);
  CHECK(Book_.recheck(Found, Now_) == Refusal::KeyWithdrawn);
  CHECK(Book_.check("first-key", Now_).Refusal_ == Refusal::UnknownKey);
}

TEST(ActiveIntent, theKeyItselfIsNotPassedOn) {
  offer(intentOf(1));
  Book_.confirm(Now_);
  const auto Found = Book_.check("first-key", Now_);
  STRCMP_EQUAL("parish", Found.Customer_.name().c_str());
  CHECK(Found.Key_.name().find("first-key") == std::string::npos);
}

TEST(ActiveIntent, confirmationsThatComeLateDoNotTakeBackNewerOnes) {
  offer(intentOf(1));
  Book_.confirm(Now_ + 2s);
  Book_.confirm(Now_);
  CHECK(Book_.isTrusted(Now_ + 6s));
}

TEST(ActiveIntent, aSplitIsExact) {
  live::Intent Divided = intentOf(1);
  Divided.Routes_[0].Services_ = {{base::ServiceId("old"), 90},
                                  {base::ServiceId("new"), 10}};
  offer(Divided);
  int New = 0;
  for (int Each = 0; Each < 200; ++Each) {
    const auto Found = Book_.route({"", "a.example", "/x/1", "GET", 0});
    New += Found && Found->Service_ == base::ServiceId("new") ? 1 : 0;
  }
  LONGS_EQUAL(20, New);
}
