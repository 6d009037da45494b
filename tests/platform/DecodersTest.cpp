#include "platform/BoundsDecoder.h"
#include "platform/EntryPoints.h"
#include "platform/IntentDecoder.h"
#include "platform/TargetDecoder.h"

#include <json/json.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace platform = lychee::platform;
using namespace std::chrono_literals;

namespace {

Json::Value parse(const std::string &Text) {
  Json::Value Read;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Reader->parse(Text.data(), Text.data() + Text.size(), &Read, nullptr);
  return Read;
}

const std::string Sample = R"({"version":"r12",
 "routes":{"columns":["name","host","pathPrefix","kind","timeoutMs",
   "targetLatencyMs","priority","trafficSplit","maxAttempts","public","sticky",
   "homeRegions","service"],
  "rows":[
   ["r-1","Portal.Example","/a/","idempotent",800,400,2,
    [{"service":"old","weight":9},{"service":"new","weight":1}],2,false,true,
    [],null],
   ["r-2","portal.example","/b/","upload",1000,400,1,null,1,true,false,
    ["north"],"vault"]]},
 "services":{"columns":["name","healthPath","maxConnections","coldStartS",
   "coldPerS"],"rows":[["vault","/healthz",390,3.5,5.0]]},
 "limits":{"maxHeaderBytes":8192,"maxBodyBytes":67108864,
   "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst",
   "homeRegions"],"rows":[["parish",["k1","k2"],1,135,130,[]],
   ["guest",["k3"],null,null,null,null]]}})";

const std::string Entry =
    R"({"service":"portal","address":"127.0.0.9:80","zone":"n-a","version":"v1",
    "slots":3,"state":"ready","coldRemainingMs":1500,"sequence":4,
    "born":1700000000123})";

} // namespace

TEST_GROUP(IntentDecoder) {
  base::Error Last_;
  bool isRefused(const std::string &From, const std::string &To) {
    std::string Text = Sample;
    Text.replace(Text.find(From), From.size(), To);
    return !platform::decodeIntent(parse(Text), Last_) &&
           !Last_.Reason_.empty();
  }

  /// \returns the place of the only fault, with what is left in Left_; empty if
  /// there is none, or more than one.
  std::string faultOf(const std::string &From, const std::string &To) {
    std::string Text = Sample;
    Text.replace(Text.find(From), From.size(), To);
    Left_ = platform::decodeIntent(parse(Text), Last_)
                .value_or(lychee::live::Intent());
    const auto &Faults = Left_.Faults_;
    return Faults.Count_ == 1 && !Faults.First_.Reason_.empty()
               ? Faults.First_.Peer_
               : "";
  }
  /// \returns the names of the rules, and "!" before those that cannot be read.
  std::string rulesLeft() const {
    std::string Names;
    for (const lychee::live::RouteRule &Rule : Left_.Routes_)
      Names +=
          (Rule.Readable_ ? "" : "!") + Rule.Name_ + Rule.PathPrefix_ + " ";
    return Names;
  }

  lychee::live::Intent Left_;
};

TEST(IntentDecoder, readsAWholeConfiguration) {
  const auto Decoded = platform::decodeIntent(parse(Sample), Last_);
  CHECK(Decoded.has_value());
  const lychee::live::Intent Read = Decoded.value_or(lychee::live::Intent());
  LONGS_EQUAL(12, Read.Version_);
  LONGS_EQUAL(2, Read.Routes_.size());
  const auto &First = Read.Routes_[0];
  STRCMP_EQUAL("portal.example", First.Host_.c_str());
  CHECK(First.Idempotent_ && First.ByObject_ && !First.Public_);
  CHECK(First.Timeout_ == 800ms && First.Objective_ == 400ms);
  LONGS_EQUAL(2, First.Services_.size());
  DOUBLES_EQUAL(9, First.Services_[0].Weight_, 0);
  const auto &Second = Read.Routes_[1];
  CHECK(!Second.Idempotent_ && Second.Public_);
  STRCMP_EQUAL("vault", Second.Services_[0].Service_.name().c_str());
  STRCMP_EQUAL("north", Second.Homes_[0].name().c_str());
  const auto &Service = Read.Services_.at(base::ServiceId("vault"));
  CHECK(Service.ColdTime_ == 3500ms);
  LONGS_EQUAL(390, Service.ConnectionLimit_);
  LONGS_EQUAL(2, Read.Customers_[0].Keys_.size());
  LONGS_EQUAL(1, Read.Customers_[0].Priority_.value_or(99));
  CHECK_FALSE(Read.Customers_[1].Priority_.has_value());
  LONGS_EQUAL(8192, Read.Callers_.HeaderBytes_);
}

// A version with such a weight was never in force.
TEST(IntentDecoder, aWeightMayBeAFraction) {
  std::string Text = Sample;
  Text.replace(Text.find(R"("weight":9)"), 10, R"("weight":0.25)");
  const auto Decoded = platform::decodeIntent(parse(Text), Last_);
  CHECK(Decoded.has_value());
  const lychee::live::Intent Read = Decoded.value_or(lychee::live::Intent());
  DOUBLES_EQUAL(0.25, Read.Routes_[0].Services_[0].Weight_, 0);
}

TEST(IntentDecoder, faultsOfTheWholeAreNamedAndRefused) {
  CHECK(isRefused(R"("version":"r12")", R"("version":"12")"));
  CHECK(isRefused(R"("version":"r12",)", ""));
  CHECK(isRefused(R"("rows":[["vault")", R"("lines":[["vault")"));
  CHECK(isRefused(R"("rows":[["parish")", R"("lines":[["parish")"));
  STRCMP_EQUAL("tenants", Last_.Peer_.c_str());
  CHECK_FALSE(platform::decodeIntent(parse("[]"), Last_).has_value());
  CHECK_FALSE(platform::decodeIntent(Json::Value(), Last_).has_value());
}

// One field that could not be read kept the whole version from being in force.
TEST(IntentDecoder, anUnreadableRouteChangesNothingButItself) {
  const std::vector<std::pair<std::string, std::string>> Faults = {
      {R"("idempotent")", R"("sometimes")"},
      {"800,400,2,", R"("800",400,2,)"},
      {R"("weight":9)", R"("weight":"9")"},
      {R"("weight":9)", R"("weight":-0.25)"},
      {"800,400,2,", "800,400,-2,"}};
  for (const auto &[From, To] : Faults) {
    STRCMP_EQUAL("routes[0]", faultOf(From, To).substr(0, 9).c_str());
    STRCMP_EQUAL("!r-1/a/ r-2/b/ ", rulesLeft().c_str());
    STRCMP_EQUAL("portal.example", Left_.Routes_[0].Host_.c_str());
    CHECK(Left_.Routes_[0].Services_.empty());
    LONGS_EQUAL(12, Left_.Version_);
    LONGS_EQUAL(2, Left_.Customers_.size());
  }
  STRCMP_EQUAL("routes[1]", faultOf(R"(null,1,true,false,
    ["north"],"vault")",
                                    R"(null,1,true,false,["north"],null)")
                                .c_str());
  STRCMP_EQUAL("r-1/a/ !r-2/b/ ", rulesLeft().c_str());
  STRCMP_EQUAL("routes[0]", faultOf(R"("/a/")", "7").c_str());
  STRCMP_EQUAL("!r-1 r-2/b/ ", rulesLeft().c_str());
  STRCMP_EQUAL("routes[0]", faultOf(R"("Portal.Example")", "7").c_str());
  STRCMP_EQUAL("r-2/b/ ", rulesLeft().c_str());
  STRCMP_EQUAL("routes[0]", faultOf(R"([],null],)", R"([],null,0],)").c_str());
  STRCMP_EQUAL("r-2/b/ ", rulesLeft().c_str());
}

TEST(IntentDecoder, anUnreadableCustomerChangesNothingButItself) {
  STRCMP_EQUAL("tenants[0]", faultOf("1,135,130", R"(1,"135",130)").c_str());
  LONGS_EQUAL(1, Left_.Customers_.size());
  STRCMP_EQUAL("guest", Left_.Customers_[0].Id_.name().c_str());
  LONGS_EQUAL(2, Left_.UnreadableCustomersKeys_.size());
  CHECK_FALSE(Left_.HasUnreadableKeys_);
  STRCMP_EQUAL("tenants[0]", faultOf(R"(["k1","k2"])", "[1,2]").c_str());
  LONGS_EQUAL(1, Left_.Customers_.size());
  CHECK(Left_.HasUnreadableKeys_);
  LONGS_EQUAL(2, Left_.Routes_.size());
}

// A table without rows was taken for a configuration without keys.
TEST(IntentDecoder, keysAreNeededWhereThereIsATableOfTenants) {
  Json::Value Whole = parse(Sample);
  const auto NeedsKeys = [&] {
    const auto Read = platform::decodeIntent(Whole, Last_);
    CHECK(Read.has_value());
    return Read && Read->NeedsKeys_;
  };
  CHECK(NeedsKeys());
  Whole["tenants"]["rows"] = Json::Value(Json::arrayValue);
  CHECK(NeedsKeys());
  Whole["tenants"]["rows"].append(5);
  CHECK(NeedsKeys());
  Whole.removeMember("tenants");
  CHECK_FALSE(NeedsKeys());
}

TEST(IntentDecoder, anUnreadableServiceOrLimitChangesNothingButItself) {
  STRCMP_EQUAL("services[0]", faultOf("390,3.5", "390.5,3.5").c_str());
  CHECK(Left_.Services_.empty());
  STRCMP_EQUAL("r-1/a/ r-2/b/ ", rulesLeft().c_str());
  STRCMP_EQUAL("limits", faultOf("8192", R"("8192")").c_str());
  LONGS_EQUAL(67108864, Left_.Callers_.BodyBytes_);
  CHECK(Left_.Callers_.HeaderTimeout_ == 3s);
  STRCMP_EQUAL(
      "limits",
      faultOf(R"("headerTimeoutMs":3000)", R"("headerTimeoutMs":[])").c_str());
  CHECK(Left_.Callers_.IdleTimeout_ == 15s);
  LONGS_EQUAL(8192, Left_.Callers_.HeaderBytes_);
}

TEST_GROUP(TargetDecoder) {
  base::Error Last_;
  bool isRefused(const std::string &From, const std::string &To) {
    std::string Text = Entry;
    Text.replace(Text.find(From), From.size(), To);
    return !platform::decodeTarget("i-1", parse(Text), Last_) &&
           !Last_.Reason_.empty();
  }
};

TEST(TargetDecoder, readsAnEntry) {
  const auto Decoded = platform::decodeTarget("i-1", parse(Entry), Last_);
  CHECK(Decoded.has_value());
  const lychee::live::TargetRecord Read =
      Decoded.value_or(lychee::live::TargetRecord());
  STRCMP_EQUAL("i-1", Read.Id_.name().c_str());
  STRCMP_EQUAL("n-a", Read.Zone_.name().c_str());
  LONGS_EQUAL(3, Read.Slots_);
  CHECK(Read.ColdLeft_ == 1500ms);
  CHECK(Read.Started_ == 1700000000123);
  CHECK_FALSE(Read.Leaving_);
}

// Anyone can write into the store. An entry that cannot be read names no
// target, and says why.
TEST(TargetDecoder, faultsAreNamedAndRefused) {
  CHECK(isRefused(R"("ready")", R"("resting")"));
  CHECK(isRefused(R"("slots":3)", R"("slots":"3")"));
  CHECK(isRefused(R"("slots":3)", R"("slots":0)"));
  CHECK(isRefused(R"("slots":3)", R"("slots":-1)"));
  CHECK(isRefused(R"("zone":"n-a",)", ""));
  CHECK(isRefused(R"("address":"127.0.0.9:80")", R"("address":7)"));
  CHECK(isRefused("1700000000123", R"("now")"));
  CHECK_FALSE(
      platform::decodeTarget("i-1", Json::Value("text"), Last_).has_value());
}

// Such entries became targets, and each send to one was lost.
TEST(TargetDecoder, anAddressThatNobodyCanListenAtIsRefused) {
  for (const char *Address :
       {"", ":", ":80", "127.0.0.9", "127.0.0.9:", "127.0.0.9:0",
        "127.0.0.9:65536", "127.0.0.9:99999", "127.0.0.9:-1", "127.0.0.9:+80",
        "127.0.0.9:8080x", "127.0.0.9: 80", "127.0.0.9:4294975376",
        "127.0.0:80", "host:80", "0.0.0.0:80", "127.0.0.9:80:80"})
    CHECK_TRUE_TEXT(isRefused("127.0.0.9:80", Address), Address);
}

// A time that is too long for the clock wrapped around.
TEST(TargetDecoder, aNumberThatIsTooLargeIsRefused) {
  for (const char *Number : {"1e300", "1e15", "9223372036854775807",
                             "18446744073709551615", "1e308"})
    CHECK_TRUE_TEXT(isRefused("1500", Number), Number);
  for (const char *Number : {"4294967296", "4294967295", "1e300", "3.5"})
    CHECK_TRUE_TEXT(
        isRefused(R"("slots":3)", std::string(R"("slots":)") + Number), Number);
}

// A name goes into the head of each request to its target.
TEST(TargetDecoder, aNameThatIsNoIdIsRefused) {
  using namespace std::string_literals;
  for (const std::string &Name :
       {""s, "a b"s, "a\r\nX-Other: 1"s, "a\0b"s, "a\x7f"s, "a\xc3\xa9"s,
        "a00%#"s, "a02&b="s, "a03+"s, "a/b"s, std::string(300, 'a')}) {
    Last_ = {};
    CHECK_TRUE_TEXT(
        !platform::decodeTarget(Name, parse(Entry), Last_).has_value(),
        Name.c_str());
    CHECK_FALSE(Last_.Reason_.empty());
  }
  for (const char *Name : {"i-7f3a91c2", "t0", "A.b_c~9"})
    CHECK_TRUE_TEXT(
        platform::decodeTarget(Name, parse(Entry), Last_).has_value(), Name);
}

TEST_GROUP(BoundsDecoder) { base::Error Last_; };

TEST(BoundsDecoder, readsWhatTheProductActsOnAndPassesOverTheRest) {
  const auto Decoded = platform::decodeBounds(
      "revokeMs=4000,strictRevoke=true,graceS=6,retryBudgetRatio=0.25,"
      "quotaOverage=0.1,news=12",
      Last_);
  CHECK(Decoded.has_value());
  const lychee::live::DeploymentBounds Read =
      Decoded.value_or(lychee::live::DeploymentBounds());
  CHECK(Read.KeyWithdrawal_ == 4s);
  CHECK(Read.StopGrace_ == 6s);
  DOUBLES_EQUAL(0.25, Read.RetryRatio_, 0.0001);
  DOUBLES_EQUAL(0.1, Read.RateOverage_, 0.0001);
}

TEST(BoundsDecoder, whatIsNoNumberIsRefused) {
  CHECK_FALSE(platform::decodeBounds("revokeMs=soon", Last_).has_value());
  CHECK_FALSE(platform::decodeBounds("revokeMs", Last_).has_value());
  CHECK(platform::decodeBounds("", Last_).has_value());
}

TEST(BoundsDecoder, loadFeaturesAreOnOnlyWhereAContractCallsForThem) {
  const std::vector<std::string> Usual{"base", "quota", "platform"};
  CHECK_FALSE(platform::decodeContracts(Usual).PacedReturns_);
  const std::vector<std::string> Contended{"base", "pressure"};
  CHECK(platform::decodeContracts(Contended).PacedReturns_);
}

TEST_GROUP(EntryPoints){};

TEST(EntryPoints, aQuestionIsReadAndAnswered) {
  lychee::transport::HttpRequest Asked;
  Asked.Target_ = "/resolve?name=a.example&region=north&zone=n-a";
  const auto Decoded = platform::decodeResolve(Asked);
  CHECK(Decoded.has_value());
  const platform::ResolveQuery Read =
      Decoded.value_or(platform::ResolveQuery());
  STRCMP_EQUAL("a.example", Read.Name_.c_str());
  STRCMP_EQUAL("n-a", Read.Zone_.c_str());
  const std::vector<std::string> Two{"127.0.0.1:80", "127.0.0.2:80"};
  STRCMP_EQUAL(R"({"addresses":["127.0.0.1:80","127.0.0.2:80"],"ttlS":1.0})",
               platform::encodeResolve(Two, 1s).Body_.c_str());
}

TEST(EntryPoints, whereNobodyCanBeNamedTheAnswerIsAFailure) {
  LONGS_EQUAL(503, platform::encodeResolve({}, 1s).Status_);
}

TEST(EntryPoints, readinessIsAnsweredAtItsPathAlone) {
  lychee::transport::HttpRequest Asked;
  Asked.Target_ = "/readyz";
  LONGS_EQUAL(200, platform::encodeReady(Asked, true).Status_);
  LONGS_EQUAL(503, platform::encodeReady(Asked, false).Status_);
  Asked.Target_ = "/other";
  LONGS_EQUAL(404, platform::encodeReady(Asked, true).Status_);
}
