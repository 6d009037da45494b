#include "live/ActiveIntent.h"

#include <cstdlib>
#include <string>
#include <vector>

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
  live::Intent Result;
  Result.Version_ = Version;
  Result.Routes_ = {ruleOf("short", "/x/"), ruleOf("long", "/x/y/")};
  live::CustomerRule Customer;
  Customer.Id_ = base::CustomerId("parish");
  Customer.Keys_ = {"first-key", "second-key"};
  Result.Customers_ = {Customer};
  return Result;
}

} // namespace

TEST_GROUP(ActiveIntent) {
  live::ActiveIntent Active_{4700ms};
  base::TimePoint Now_ = base::TimePoint(100s);

  bool offer(const live::Intent &Candidate) {
    return Active_.offer(std::make_shared<const live::Intent>(Candidate), Now_);
  }
  std::string routeOf(std::string_view Path) {
    const auto Found = Active_.route({"", "a.example", Path, "GET", 0});
    return Found ? Found->Name_ : "none";
  }
};

TEST(ActiveIntent, longestPrefixMatches) {
  offer(intentOf(1));
  STRCMP_EQUAL("long", routeOf("/x/y/z").c_str());
  STRCMP_EQUAL("short", routeOf("/x/z").c_str());
  STRCMP_EQUAL("none", routeOf("/z").c_str());
}

// A stale read returns an older version after a newer one. If it came into
// force, requests would go to a service that operators have moved them away
// from.
TEST(ActiveIntent, olderAndEqualVersionsAreRejected) {
  CHECK(offer(intentOf(7)));
  CHECK_FALSE(offer(intentOf(5)));
  CHECK_FALSE(offer(intentOf(7)));
  LONGS_EQUAL(7, Active_.current()->Version_);
}

// The host is cut off from the store and cannot learn that a key was withdrawn.
// After the bound it must refuse requests as not executed.
TEST(ActiveIntent, keysAreRefusedOnceTheConfirmationIsOld) {
  offer(intentOf(1));
  Active_.confirm(Now_);
  CHECK(Active_.check("first-key", Now_ + 4600ms).Refusal_ == Refusal::None);
  CHECK(Active_.check("first-key", Now_ + 4800ms).Refusal_ ==
        Refusal::KeysStale);
}

// A request passes the check and waits while the process is paused for seconds.
// The check before the send must refuse the key.
TEST(ActiveIntent, keyIsCheckedAgainAfterAPause) {
  offer(intentOf(1));
  Active_.confirm(Now_);
  const auto Found = Active_.check("first-key", Now_);
  CHECK(Active_.recheck(Found, Now_ + 1s) == Refusal::None);
  CHECK(Active_.recheck(Found, Now_ + 6s) == Refusal::KeysStale);
}

// A key is withdrawn while a request that presented it waits.
TEST(ActiveIntent, withdrawnKeyIsRefused) {
  offer(intentOf(1));
  Active_.confirm(Now_);
  const auto Found = Active_.check("first-key", Now_);
  live::Intent Next = intentOf(2);
  Next.Customers_[0].Keys_ = {"second-key"};
  offer(Next);
  CHECK(Active_.recheck(Found, Now_) == Refusal::KeyWithdrawn);
  CHECK(Active_.check("first-key", Now_).Refusal_ == Refusal::UnknownKey);
}

TEST(ActiveIntent, identityDoesNotContainTheKey) {
  offer(intentOf(1));
  Active_.confirm(Now_);
  const auto Found = Active_.check("first-key", Now_);
  STRCMP_EQUAL("parish", Found.Customer_.name().c_str());
  CHECK(Found.Key_.name().find("first-key") == std::string::npos);
}

TEST(ActiveIntent, lateConfirmationsDoNotReplaceNewerOnes) {
  offer(intentOf(1));
  Active_.confirm(Now_ + 2s);
  Active_.confirm(Now_);
  CHECK(Active_.isTrusted(Now_ + 6s));
}

TEST(ActiveIntent, weightsAreAppliedExactly) {
  live::Intent Divided = intentOf(1);
  Divided.Routes_[0].Services_ = {{base::ServiceId("old"), 90},
                                  {base::ServiceId("new"), 10}};
  offer(Divided);
  int New = 0;
  for (int Round = 0; Round < 200; ++Round) {
    const auto Found = Active_.route({"", "a.example", "/x/1", "GET", 0});
    New += Found && Found->Service_ == base::ServiceId("new") ? 1 : 0;
  }
  LONGS_EQUAL(20, New);
}

TEST(ActiveIntent, weightsOfAnySizeAreProportions) {
  struct Split {
    std::vector<double> Weights_;
    std::vector<int> Picks_;
  };
  const std::vector<Split> Splits = {
      {{0.9, 0.1}, {900, 100}},
      {{0.333, 0.667}, {333, 667}},
      {{0.1, 0.2, 0.7}, {100, 200, 700}},
      {{1e-300, 3e-300}, {250, 750}},
      {{1e308, 1e308}, {500, 500}},
      {{1e308, 1.5e308, 1e307}, {385, 577, 38}},
      {{1e300, 1e-300}, {1000, 0}},
      {{4000000000.0, 1000000000.0}, {800, 200}}};
  std::uint64_t Version = 1;
  for (const Split &Each : Splits) {
    live::Intent Split = intentOf(++Version);
    Split.Routes_[0].Services_.clear();
    for (std::size_t Part = 0; Part < Each.Weights_.size(); ++Part)
      Split.Routes_[0].Services_.push_back(
          {base::ServiceId(std::to_string(Part)), Each.Weights_[Part]});
    CHECK(offer(Split));
    std::vector<int> Picks(Each.Weights_.size());
    for (int Pick = 0; Pick < 1000; ++Pick) {
      const auto Found = Active_.route({"", "a.example", "/x/1", "GET", 0});
      ++Picks[std::stoul(
          Found.value_or(lychee::gateway::Route()).Service_.name())];
    }
    for (std::size_t Part = 0; Part < Picks.size(); ++Part)
      CHECK(std::abs(Picks[Part] - Each.Picks_[Part]) <= 1);
  }
}

TEST(ActiveIntent, newerVersionThanTheRestoredStoresIsAnnouncedForAWhile) {
  offer(intentOf(5));
  CHECK_FALSE(Active_.versionAheadOfStore(Now_).has_value());
  offer(intentOf(3));
  LONGS_EQUAL(5, Active_.versionAheadOfStore(Now_).value_or(0));
  LONGS_EQUAL(5, Active_.settingsVersion());
  CHECK_FALSE(Active_.versionAheadOfStore(Now_ + 5s).has_value());
  offer(intentOf(3));
  offer(intentOf(5));
  CHECK_FALSE(Active_.versionAheadOfStore(Now_).has_value());
}

// Guards against a withdrawn key that works again at a host that starts after
// the store came back from a copy in which the key is valid.
TEST(ActiveIntent, keysAreNotTrustedWhileOthersHoldANewerVersionThanTheStore) {
  offer(intentOf(3));
  Active_.confirm(Now_);
  Active_.noteAnnouncedVersion(5, Now_);
  CHECK_FALSE(Active_.isTrusted(Now_ + 1s));
  offer(intentOf(5));
  CHECK(Active_.isTrusted(Now_ + 1s));
}

TEST(ActiveIntent, announcementEndsWhenItIsNotRepeated) {
  offer(intentOf(3));
  Active_.confirm(Now_);
  Active_.noteAnnouncedVersion(5, Now_);
  CHECK(Active_.isTrusted(Now_ + 2s));
}

// A version that cannot be read kept the withdrawn keys of the one before it
// for good.
TEST(ActiveIntent, keysBecomeStaleAfterAnIntentThatCannotBeRead) {
  constexpr base::Duration Bound = 5s;
  constexpr base::Duration Poll = 50ms;
  // The operator's ack lies at each moment between two confirmations.
  for (base::Duration Ack{}; Ack <= 1s; Ack += Poll) {
    live::ActiveIntent Active(4700ms);
    Active.offer(std::make_shared<const live::Intent>(intentOf(1)), Now_);
    for (base::Duration At{}; At < Ack; At += 100ms)
      Active.confirm(Now_ + At);
    for (base::Duration Learned = Ack; Learned < Ack + 1s; Learned += Poll) {
      Active.noteUnreadable();
      Active.confirm(Now_ + Learned);
    }
    CHECK(Active.check("first-key", Now_ + Ack + Bound).Refusal_ ==
          Refusal::KeysStale);
    Active.offer(std::make_shared<const live::Intent>(intentOf(2)), Now_);
    Active.confirm(Now_ + Ack + Bound);
    CHECK(Active.check("first-key", Now_ + Ack + Bound).Refusal_ ==
          Refusal::None);
  }
}

// Its operator takes the version back: the one in force is the newest again.
TEST(ActiveIntent, theSameIntentAgainEndsTheUnreadableOne) {
  offer(intentOf(1));
  Active_.noteUnreadable();
  CHECK_FALSE(offer(intentOf(1)));
  Active_.confirm(Now_);
  CHECK(Active_.isTrusted(Now_));
}

// The requests of a route that cannot be read went to the service of a shorter
// prefix.
TEST(ActiveIntent, noOtherRuleTakesTheRequestsOfAnUnreadableOne) {
  live::Intent Broken = intentOf(1);
  Broken.Routes_[1].Readable_ = false;
  Broken.Routes_[1].Services_.clear();
  offer(Broken);
  const auto IsReadable = [this](std::string_view Path) {
    const auto Found = Active_.route({"", "a.example", Path, "GET", 0});
    return Found && Found->Readable_;
  };
  CHECK(IsReadable("/x/z"));
  CHECK_FALSE(IsReadable("/x/y/z"));
  STRCMP_EQUAL("long", routeOf("/x/y/z").c_str());
  Broken.Version_ = 2;
  Broken.Routes_[1].PathPrefix_.clear();
  offer(Broken);
  CHECK_FALSE(IsReadable("/x/z"));
}

TEST(ActiveIntent, keysThatMayBeValidAreNotRefusedForGood) {
  live::Intent Broken = intentOf(1);
  Broken.UnreadableCustomersKeys_ = {"third-key"};
  offer(Broken);
  Active_.confirm(Now_);
  const auto Before = Active_.check("first-key", Now_);
  CHECK(Before.Refusal_ == Refusal::None);
  CHECK(Active_.check("third-key", Now_).Refusal_ ==
        Refusal::SettingsUnreadable);
  CHECK(Active_.check("no-key", Now_).Refusal_ == Refusal::UnknownKey);
  Broken.Version_ = 2;
  Broken.HasUnreadableKeys_ = true;
  Broken.Customers_[0].Keys_ = {"second-key"};
  offer(Broken);
  CHECK(Active_.check("second-key", Now_).Refusal_ == Refusal::None);
  CHECK(Active_.check("no-key", Now_).Refusal_ == Refusal::SettingsUnreadable);
  CHECK(Active_.check("", Now_).Refusal_ == Refusal::UnknownKey);
  CHECK(Active_.recheck(Before, Now_) == Refusal::SettingsUnreadable);
  Broken.Version_ = 3;
  Broken.UnreadableCustomersKeys_ = {"first-key"};
  offer(Broken);
  CHECK(Active_.recheck(Before, Now_) == Refusal::SettingsUnreadable);
}

// Once the last customer was gone, every request ran, with any key or none.
TEST(ActiveIntent, withoutCustomersNobodyIsLetIn) {
  const auto IsPublic = [this](std::string_view Path) {
    const auto Found = Active_.route({"", "a.example", Path, "GET", 0});
    return Found && Found->Public_;
  };
  live::Intent Next = intentOf(1);
  Next.Routes_[1].Public_ = true;
  offer(Next);
  Active_.confirm(Now_);
  const auto Before = Active_.check("first-key", Now_);
  for (const bool HasCustomer : {true, false}) {
    ++Next.Version_;
    Next.Customers_.resize(HasCustomer ? 1 : 0);
    if (HasCustomer)
      Next.Customers_[0].Keys_.clear();
    offer(Next);
    CHECK_FALSE(IsPublic("/x/z"));
    CHECK(IsPublic("/x/y/z"));
    CHECK(Active_.check("first-key", Now_).Refusal_ == Refusal::UnknownKey);
    CHECK(Active_.check("", Now_).Refusal_ == Refusal::UnknownKey);
    CHECK(Active_.recheck(Before, Now_) == Refusal::KeyWithdrawn);
  }
  ++Next.Version_;
  Next.NeedsKeys_ = false;
  offer(Next);
  CHECK(IsPublic("/x/z"));
  Next = intentOf(Next.Version_ + 1);
  offer(Next);
  CHECK_FALSE(IsPublic("/x/z"));
  CHECK(Active_.check("first-key", Now_).Refusal_ == Refusal::None);
}
