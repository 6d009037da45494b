#include "support/CallerLoad.h"
#include "support/TestFleet.h"

#include <csignal>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::tests::call;
using lychee::tests::CallerAnswer;
using lychee::tests::CallerLoad;
using lychee::tests::CallerRequest;
using lychee::tests::Finished;
using lychee::tests::FleetPlan;
using lychee::tests::get;
using lychee::tests::TestFleet;

namespace {

constexpr std::size_t HostCount = 3;

FleetPlan threeHosts() {
  FleetPlan Plan;
  Plan.HostZones_ = {"near-1", "near-1", "far-1"};
  Plan.TargetZones_ = {"near-1", "near-1", "near-2", "far-1"};
  Plan.HostLines_ = "[stop]\nlookup_ttl = 1s\ndeadline = 20s\n";
  return Plan;
}

} // namespace

TEST_GROUP(DaemonFault) {
  TestFleet Fleet_{threeHosts()};

  void setup() override {
    const bool Started = Fleet_.start();
    CHECK_TRUE_TEXT(Started, Fleet_.trouble().c_str());
    CHECK(TestFleet::waitFor([this] { return allServeAndSeeAll(); }));
  }

  bool allServeAndSeeAll() {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (call(Fleet_.callers(Host), Fleet_.request()).Status_ != 200 ||
          hostsSeenBy(Host) != HostCount || metric(Host, "epoch_settled") != 1)
        return false;
    return true;
  }

  std::size_t hostsSeenBy(std::size_t Host) const {
    const CallerAnswer Answer =
        get(Fleet_.callers(Host), "/.well-known/lychee/hosts?service=rota");
    std::size_t Found = 0;
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      Found += Answer.Body_.find(Fleet_.callers(Index)) != std::string::npos;
    return Found;
  }

  /// \returns the metric "lychee_NAME" of a host; -1 where it is not told.
  double metric(std::size_t Host, const std::string &Name) const {
    const std::string Text = get(Fleet_.metrics(Host), "/metrics").Body_;
    const std::string Line = "\nlychee_" + Name + " ";
    const std::size_t Found = Text.find(Line);
    return Found == std::string::npos
               ? -1
               : std::stod(Text.substr(Found + Line.size()));
  }

  void setStoreFaults(const std::string &Faults) const {
    CallerRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/control/faults";
    Request.Body_ = Faults;
    LONGS_EQUAL(204, call(Fleet_.storeAddress(), Request).Status_);
  }

  void setFault(std::size_t Target, const std::string &Fault) const {
    LONGS_EQUAL(
        200,
        get(Fleet_.targetAddress(Target), "/standin/faults?" + Fault).Status_);
  }
};

// All hosts are replaced one by one while callers that cache their look-up go
// on sending. Each host stops gracefully: it leaves the look-up, serves those
// who still know it until their answers are too old, and ends what is in
// flight. No caller meets a cut connection, and each stop ends by itself.
TEST(DaemonFault, replacingEveryHostUnderLoadCutsNoRequest) {
  CallerLoad Callers(Fleet_, HostCount, 6);
  CHECK(TestFleet::waitFor([&] { return Callers.served() > 100; }));
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    Fleet_.host(Host).signal(SIGTERM);
    LONGS_EQUAL(0, Fleet_.host(Host).wait());
    Fleet_.startHost(Host);
    CHECK(TestFleet::waitFor([this] { return allServeAndSeeAll(); }));
  }
  const int Before = Callers.served();
  CHECK(TestFleet::waitFor([&] { return Callers.served() > Before + 100; }));
  Callers.stop();
  LONGS_EQUAL(0, Callers.cut());
}

// The platform's store is down for longer than a withdrawn key may live. All
// hosts see each other, so all know that nothing can have been withdrawn, and
// callers are served on. Operators are told that nothing was changed; once the
// store is back, changes are taken again.
TEST(DaemonFault, aStoreOutageStopsNoCaller) {
  CallerLoad Callers(Fleet_, HostCount, 3);
  CHECK(TestFleet::waitFor([&] { return Callers.served() > 50; }));
  setStoreFaults("{\"down\":true}");
  // Ten failed calls at a relay, one a second or so: past the bound of 5 s.
  CHECK(
      TestFleet::waitFor([this] { return metric(2, "store_failures") >= 10; }));
  const int During = Callers.served();
  CHECK(TestFleet::waitFor([&] { return Callers.served() > During + 50; }));
  const Finished Refused = Fleet_.lychee({"key", "withdraw", "parish-1"});
  CHECK(Refused.ExitCode_ == 6 || Refused.ExitCode_ == 7);
  setStoreFaults("{}");
  CHECK(TestFleet::waitFor([this] { return Fleet_.apply().ExitCode_ == 0; }));
  Callers.stop();
  LONGS_EQUAL(0, Callers.cut());
}

// An operator withdraws a key, and the store goes down as soon as it has taken
// the write: no relay's watch tells of it any more. The host that wrote the
// change tells the others itself, and the key stops at all of them while the
// store stays down.
TEST(DaemonFault, aKeyWithdrawnRightBeforeAStoreOutageStopsEverywhere) {
  // Watches wait in silence from now on; lists and reads end with the outage.
  setStoreFaults("{\"silent_watch\":true}");
  const Finished Withdrawn = Fleet_.lychee({"key", "withdraw", "parish-1"});
  LONGS_EQUAL_TEXT(0, Withdrawn.ExitCode_, Withdrawn.Output_.c_str());
  setStoreFaults("{\"down\":true}");
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    CHECK(TestFleet::waitFor([&] {
      return call(Fleet_.callers(Host), Fleet_.request()).Status_ == 401;
    }));
    const CallerAnswer Answer = call(Fleet_.callers(Host), Fleet_.request());
    STRCMP_CONTAINS("key-withdrawn", Answer.Body_.c_str());
  }
}

// Two operators read the same settings and change the same document, each
// through another host. The first is accepted. The second is told that a change
// came first, and whose, and nothing of it is in force.
TEST(DaemonFault, theSecondOfTwoOperatorsIsToldWhoCameFirst) {
  Fleet_.writeDocument("team/customers.ini",
                       "[customer parish]\nrate = 900\nburst = 500\n");
  const Finished First =
      Fleet_.lychee({"apply", Fleet_.folder() + "/settings", "--base", "1"}, 0);
  LONGS_EQUAL_TEXT(0, First.ExitCode_, First.Output_.c_str());
  Fleet_.writeDocument("team/customers.ini",
                       "[customer parish]\nrate = 800\nburst = 500\n");
  const Finished Second =
      Fleet_.lychee({"apply", Fleet_.folder() + "/settings", "--base", "1"}, 2);
  LONGS_EQUAL_TEXT(4, Second.ExitCode_, Second.Output_.c_str());
  STRCMP_CONTAINS("test", Second.Output_.c_str());
  CHECK(TestFleet::waitFor(
      [this] { return metric(1, "settings_version") == 2; }));
  STRCMP_CONTAINS("rate = 900", Fleet_.lychee({"show"}).Output_.c_str());
}

// One request crashes each target that runs it, and its caller sends it again
// and again, through any host. After two targets were lost with it in flight it
// is refused, by the other hosts too, and the customer's other requests go on.
TEST(DaemonFault, aRequestThatCrashesTargetsIsRefusedByAllHosts) {
  for (std::size_t Target = 0; Target < 4; ++Target)
    setFault(Target, "crash_on=poison&refuse_ms=200");
  const CallerRequest Poison = Fleet_.request("GET", "/poison");
  const auto IsSuspectAt = [&](std::size_t Host) {
    return call(Fleet_.callers(Host), Poison).Body_.find("crash-suspect") !=
           std::string::npos;
  };
  CHECK(TestFleet::waitFor([&] { return IsSuspectAt(0); }));
  CHECK(TestFleet::waitFor([&] { return IsSuspectAt(2); }));
  CHECK(TestFleet::waitFor([this] {
    return call(Fleet_.callers(2), Fleet_.request()).Status_ == 200;
  }));
}

// Open connections to every target go silent for good while new ones work, as
// when an address translator has forgotten them. A caller's request that meets
// one is sent again on a fresh connection in time: it gets its answer.
TEST(DaemonFault, silentConnectionsCostNoIdempotentRequest) {
  for (int Warm = 0; Warm < 40; ++Warm)
    LONGS_EQUAL(200, call(Fleet_.callers(0), Fleet_.request()).Status_);
  for (std::size_t Target = 0; Target < 4; ++Target)
    setFault(Target, "silent=1");
  for (int Each = 0; Each < 20; ++Each)
    LONGS_EQUAL(200, call(Fleet_.callers(0), Fleet_.request()).Status_);
}
