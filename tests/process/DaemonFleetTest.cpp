#include "fleet/Codec.h"
#include "support/TestFleet.h"

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

using lychee::tests::call;
using lychee::tests::CallerAnswer;
using lychee::tests::CallerConnection;
using lychee::tests::Finished;
using lychee::tests::FleetPlan;
using lychee::tests::get;
using lychee::tests::TestFleet;

namespace {

FleetPlan threeHosts() {
  FleetPlan Plan;
  Plan.HostZones_ = {"near-1", "near-1", "far-1"};
  return Plan;
}

/// Callers that send one request after another to some hosts, each on a fresh
/// connection, until they are stopped.
class Load {
public:
  Load(TestFleet &Fleet, const std::vector<std::size_t> &Hosts) {
    for (const std::size_t Host : Hosts)
      Threads_.emplace_back(
          [this, Address = Fleet.callers(Host), Request = Fleet.request()] {
            while (!Stopped_)
              count(call(Address, Request));
          });
  }
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;
  ~Load() { stop(); }

  void stop() {
    Stopped_ = true;
    for (std::thread &Each : Threads_)
      if (Each.joinable())
        Each.join();
  }

  int served() const { return Served_; }
  /// Answers that said "not run", with a reason.
  int refused() const { return Refused_; }
  /// Connections that ended without a whole answer, and answers of no known
  /// kind.
  int cut() const { return Cut_; }

private:
  void count(const CallerAnswer &Answer) {
    if (Answer.Status_ == 200)
      ++Served_;
    else if (Answer.Status_ >= 400 && Answer.header("Lychee-Ran") == "no")
      ++Refused_;
    else
      ++Cut_;
  }

  std::vector<std::thread> Threads_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<int> Served_ = 0;
  std::atomic<int> Refused_ = 0;
  std::atomic<int> Cut_ = 0;
};

} // namespace

TEST_GROUP(DaemonFleet) {
  TestFleet Fleet_{threeHosts()};

  void setup() override {
    const bool Started = Fleet_.start();
    CHECK_TRUE_TEXT(Started, Fleet_.trouble().c_str());
    CHECK(TestFleet::waitFor([this] { return hostsSeenBy(0) == 3; }));
    for (std::size_t Host = 0; Host < 3; ++Host)
      CHECK(TestFleet::waitFor([this, Host] { return serves(Host); }));
    CHECK(
        TestFleet::waitFor([this] { return membersKnowEachOther("near-1"); }));
  }

  bool serves(std::size_t Host) {
    return call(Fleet_.callers(Host), Fleet_.request()).Status_ == 200;
  }

  /// \returns true where the zone's record says that all its members know the
  /// newest of them; a host that dies earlier may have to wait for the
  /// platform's word. \see fleet::ZoneRecordPlanner
  bool membersKnowEachOther(const std::string &Zone) const {
    const CallerAnswer Answer =
        get(Fleet_.storeAddress(), "/objects/fleet/zones/" + Zone);
    const auto Parsed = lychee::fleet::Codec::parse(Answer.Body_);
    const auto Record =
        Parsed ? lychee::fleet::Codec::toZoneRecord(*Parsed) : std::nullopt;
    if (!Record || Record->Members_.size() < 2)
      return false;
    for (const lychee::fleet::Member &Each : Record->Members_)
      if (Each.KnownGeneration_ < Record->Generation_)
        return false;
    return true;
  }

  int hostsSeenBy(std::size_t Host) const {
    const CallerAnswer Answer =
        get(Fleet_.callers(Host), "/.well-known/lychee/hosts?service=rota");
    int Found = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      if (Answer.Body_.find(Fleet_.callers(Index)) != std::string::npos)
        ++Found;
    return Found;
  }
};

// Callers keep a connection open to each host while an operator withdraws their
// key through one of them. Each host checks the key on each request, and the
// command returns once the change is in force everywhere.
TEST(DaemonFleet, withdrawnKeyStopsOnOpenConnectionsToEveryHost) {
  std::vector<std::unique_ptr<CallerConnection>> Open;
  for (std::size_t Host = 0; Host < 3; ++Host) {
    Open.push_back(std::make_unique<CallerConnection>(Fleet_.callers(Host)));
    LONGS_EQUAL(200, Open.back()->send(Fleet_.request()).Status_);
  }
  const Finished Withdrawn =
      Fleet_.lychee({"key", "withdraw", "parish-1", "--wait"}, 2);
  LONGS_EQUAL_TEXT(0, Withdrawn.ExitCode_, Withdrawn.Output_.c_str());
  for (const auto &Each : Open) {
    const CallerAnswer Answer = Each->send(Fleet_.request());
    LONGS_EQUAL(401, Answer.Status_);
    STRCMP_EQUAL("no", Answer.header("Lychee-Ran").c_str());
  }
}

// A host is killed under load. Callers of the other hosts must not notice: no
// answer is cut, and look-ups name the dead host no more once its lease is
// over and its zone's relay has removed it.
TEST(DaemonFleet, killedHostLeavesTheLookUpAndCutsNobodyElse) {
  Load Callers(Fleet_, {0, 2});
  CHECK(TestFleet::waitFor([&] { return Callers.served() > 50; }));
  Fleet_.host(1).signal(SIGKILL);
  CHECK(TestFleet::waitFor(
      [this] { return hostsSeenBy(0) == 2 && hostsSeenBy(2) == 2; }));
  const int Before = Callers.served();
  CHECK(TestFleet::waitFor([&] { return Callers.served() > Before + 50; }));
  Callers.stop();
  LONGS_EQUAL(0, Callers.cut());
}
