#include "dispatch/DispatchSteering.h"
#include "dispatch/ForwardingHosts.h"
#include "dispatch/TargetReach.h"
#include "support/Require.h"

#include <map>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
namespace live = lychee::live;
namespace members = lychee::members;
using dispatch::ForwardingHosts;
using dispatch::TargetReach;
using lychee::steering::Decision;
using lychee::steering::Refusal;
using lychee::steering::Request;
using lychee::steering::SendOutcome;
using lychee::steering::SendReport;
using lychee::steering::TargetProbe;
using lychee::tests::require;
using namespace std::chrono_literals;

namespace {

constexpr int TargetCount = 6;

members::HostView hostView(const std::string &Name, const std::string &Region) {
  members::HostView View;
  View.Descriptor_.Host_ = base::HostId(Name);
  View.Descriptor_.Region_ = base::RegionId(Region);
  View.Descriptor_.CallerAddress_ = Name + ":80";
  View.Ready_ = View.Alive_ = View.HoldsShare_ = true;
  return View;
}

} // namespace

TEST_GROUP(ForwardingHosts) {
  base::TimePoint Now_ = base::TimePoint(100s);
  base::Random Random_{1};
  dispatch::FleetDemand Fleet_;

  void setup() override {
    Fleet_.Self_ = hostView("self", "north").Descriptor_;
  }
  ForwardingHosts hosts() const {
    ForwardingHosts Made;
    Made.update(Fleet_, Now_);
    return Made;
  }
};

TEST(ForwardingHosts, hostsOfTheOwnRegionThatReachTargetsGoFirst) {
  Fleet_.OtherHosts_ = {hostView("far", "south"), hostView("near", "north"),
                        hostView("cut", "north"), hostView("dead", "north"),
                        hostView("leaving", "north")};
  Fleet_.OtherHosts_[2].TargetsUnreached_ = true;
  Fleet_.OtherHosts_[3].Alive_ = false;
  Fleet_.OtherHosts_[4].Leaving_ = true;
  for (int Times = 0; Times < 20; ++Times)
    STRCMP_EQUAL("near", require(hosts().choose(nullptr, {}, Random_, Now_))
                             .Host_.name()
                             .c_str());
  const std::vector<base::HostId> Tried = {base::HostId("near")};
  STRCMP_EQUAL("far", require(hosts().choose(nullptr, Tried, Random_, Now_))
                          .Host_.name()
                          .c_str());
  // A request with homes goes to no host outside of them.
  const std::vector<base::RegionId> Homes = {base::RegionId("north")};
  CHECK_FALSE(hosts().choose(&Homes, Tried, Random_, Now_).has_value());
}

// Guards against connections between hosts that grow with hosts x hosts, and
// against one host that all others choose.
TEST(ForwardingHosts, eachHostUsesAFewAndAllTogetherUseAll) {
  std::map<std::string, int> Load;
  for (int Self = 0; Self < 50; ++Self) {
    Fleet_.Self_ = hostView("cut-" + std::to_string(Self), "north").Descriptor_;
    Fleet_.OtherHosts_.clear();
    for (int Other = 0; Other < 50; ++Other)
      Fleet_.OtherHosts_.push_back(
          hostView("host-" + std::to_string(Other), "north"));
    ForwardingHosts Hosts = hosts();
    std::set<std::string> Used;
    for (int Times = 0; Times < 200; ++Times) {
      const base::HostId Chosen =
          require(Hosts.choose(nullptr, {}, Random_, Now_)).Host_;
      Hosts.recordSend(Chosen);
      Used.insert(Chosen.name());
      ++Load[Chosen.name()];
    }
    CHECK(Used.size() <= ForwardingHosts::MaxHostsPerRegion);
  }
  CHECK(Load.size() >= 45);
  for (const auto &[Host, Count] : Load)
    CHECK(Count <= 3 * 200);
}

TEST(ForwardingHosts, aHostThatFailedIsLeftOutForAWhile) {
  Fleet_.OtherHosts_ = {hostView("near", "north")};
  ForwardingHosts Hosts = hosts();
  Hosts.recordFailure(base::HostId("near"), Now_);
  CHECK_FALSE(Hosts.choose(nullptr, {}, Random_, Now_ + 500ms).has_value());
  CHECK(Hosts.choose(nullptr, {}, Random_, Now_ + ForwardingHosts::FailurePause)
            .has_value());
}

/// A host with six targets, of which it reaches none, and another host.
TEST_GROUP(Forwarding) {
  base::TimePoint Now_ = base::TimePoint(100s);
  dispatch::DispatchSteering Steering_{
      {base::RegionId("north"), base::ZoneId("north-a"), {}, 1},
      callbacks(),
      base::TimePoint(100s)};
  dispatch::FleetDemand Fleet_;
  std::vector<lychee::steering::Wakeup> Woken_;
  std::uint64_t LastAsked_ = 0;
  std::vector<std::string> Refunds_;

  dispatch::DispatchCallbacks callbacks() {
    dispatch::DispatchCallbacks Made;
    Made.RequestToken_ = [this](const auto &, std::uint64_t Number,
                                const auto &) { LastAsked_ = Number; };
    Made.RefundToken_ = [this](const std::string &Owner, const auto &) {
      Refunds_.push_back(Owner);
    };
    return Made;
  }
  void setup() override {
    auto Intent = std::make_shared<live::Intent>();
    Intent->Version_ = 3;
    Intent->Services_[base::ServiceId("portal")].Id_ =
        base::ServiceId("portal");
    live::CustomerRule Customer;
    Customer.Id_ = base::CustomerId("parish");
    Customer.RatePerSecond_ = 10;
    Customer.Burst_ = 5;
    Intent->Customers_.push_back(Customer);
    Steering_.setIntent(Intent, Now_);
    std::vector<live::KnownTarget> Targets;
    for (int Index = 0; Index < TargetCount; ++Index) {
      live::KnownTarget Made;
      Made.Record_.Id_ = base::TargetId("t" + std::to_string(Index));
      Made.Record_.Service_ = base::ServiceId("portal");
      Made.Record_.Address_ = "127.0.0.1:" + std::to_string(80 + Index);
      Made.Record_.Zone_ = base::ZoneId("north-a");
      Made.Record_.Slots_ = 3;
      Made.Record_.Started_ = 1;
      Targets.push_back(Made);
    }
    Steering_.setTargets(
        Targets, {{base::ZoneId("north-a"), base::RegionId("north")}}, Now_);
    Fleet_.Self_ = hostView("self", "north").Descriptor_;
    Fleet_.OtherHosts_ = {hostView("other", "north")};
    update();
  }
  void update() { Steering_.updateFleetDemand(Fleet_, Now_); }
  Request requestOf(const std::string &Customer = {}) const {
    Request Result;
    Result.Service_ = base::ServiceId("portal");
    Result.Customer_ = base::CustomerId(Customer);
    Result.Rule_ = "rule";
    Result.ArrivedAt_ = Now_;
    Result.Deadline_ = Now_ + 2s;
    Result.MaxSends_ = 3;
    Result.ObjectHash_ = 42;
    Result.Fingerprint_ = 7;
    return Result;
  }
  Decision arrive(const Request &Incoming) {
    return Steering_.arrive(Incoming, Now_);
  }
  Decision finish(const Decision &Sent, SendOutcome End,
                  std::optional<std::uint32_t> HostSends = 0) {
    SendReport Report;
    Report.Outcome_ = End;
    Report.HostSends_ = HostSends;
    return Steering_.finish(Sent.Ticket_, Report, Now_, Woken_);
  }
  void reportProbes(bool Connected) {
    Now_ += 500ms;
    for (const TargetProbe &Asked : Steering_.probesDue(Now_))
      Steering_.recordProbe(Asked, Connected, Now_);
  }
  /// \returns the number of targets that requests for many objects go to.
  std::size_t targetsInUse() {
    std::set<std::string> Used;
    for (std::uint64_t Object = 1; Object <= 100; ++Object) {
      Request Incoming = requestOf();
      Incoming.ObjectHash_ = Object;
      const Decision Made = arrive(Incoming);
      CHECK(Made.Action_ == Decision::Action::Send);
      CHECK(Made.Host_.empty());
      Used.insert(Made.Target_.name());
      finish(Made, SendOutcome::Answered);
    }
    return Used.size();
  }
  void loseReach() {
    Decision Sent = arrive(requestOf());
    for (int Times = 0; Times < 2; ++Times)
      Sent = finish(Sent, SendOutcome::ConnectFailed);
    reportProbes(false);
    CHECK_FALSE(Steering_.reachesTargets());
  }
};

// Guards against a request that has met two targets that do not accept, and
// goes on to try more of them while it is open whose fault it is.
TEST(Forwarding, aRequestGoesElsewhereAsSoonAsConnectsFailAtTwoTargets) {
  const Decision First = arrive(requestOf());
  CHECK(First.Host_.empty());
  const Decision Second = finish(First, SendOutcome::ConnectFailed);
  CHECK(Second.Host_.empty());
  const Decision Third = finish(Second, SendOutcome::ConnectFailed);
  STRCMP_EQUAL("other", Third.Host_.name().c_str());
  STRCMP_EQUAL("other:80", Third.Address_.c_str());
  LONGS_EQUAL(3, Third.SendsLeft_);
}

// Guards against requests that go from host to host.
TEST(Forwarding, aForwardedRequestIsNotForwardedAgain) {
  loseReach();
  Request Forwarded = requestOf();
  Forwarded.ForwardedBy_ = base::HostId("third");
  const Decision Made = arrive(Forwarded);
  CHECK(Made.Action_ == Decision::Action::Refuse);
  CHECK(Made.Refusal_ == Refusal::TargetsUnreached);
  CHECK(Made.Ran_ == lychee::steering::Ran::No);
}

TEST(Forwarding, whereNoHostReachesTargetsItIsRefusedAtOnce) {
  loseReach();
  Fleet_.OtherHosts_[0].TargetsUnreached_ = true;
  update();
  const Decision Made = arrive(requestOf());
  CHECK(Made.Refusal_ == Refusal::TargetsUnreached);
  CHECK(Made.RetryAfter_ > base::Duration::zero());
}

// Guards against a customer's request that takes a token at two hosts.
TEST(Forwarding, noTokenIsTakenForWhatIsForwarded) {
  loseReach();
  for (int Times = 0; Times < 100; ++Times) {
    const Decision Made = arrive(requestOf("parish"));
    CHECK(Made.Action_ == Decision::Action::Send);
    CHECK_FALSE(Made.Host_.empty());
    finish(Made, SendOutcome::Answered);
  }
}

// Guards against a customer that pays at this host and at the next one for a
// request that this one did not send.
TEST(Forwarding, aTokenOfAnotherHostGoesBackToIt) {
  Fleet_.Self_.Address_ = "127.0.0.1";
  Fleet_.OtherHosts_[0].Descriptor_.Address_ = "127.0.0.2";
  // The owner of a customer's tokens is elected by the hosts' names.
  Decision Made;
  for (int Times = 0; Made.Action_ != Decision::Action::Wait; ++Times) {
    CHECK(Times < 100);
    Fleet_.Self_.Host_ = base::HostId("self-" + std::to_string(Times));
    update();
    Made = arrive(requestOf("parish"));
    if (Made.Action_ != Decision::Action::Wait)
      finish(Made, SendOutcome::Cancelled);
  }
  Steering_.handleTokenResponse(LastAsked_, std::nullopt, Now_, Woken_);
  Decision Sent = Woken_.at(0).Decision_;
  for (int Times = 0; Times < 2; ++Times)
    Sent = finish(Sent, SendOutcome::ConnectFailed);
  CHECK_FALSE(Sent.Host_.empty());
  LONGS_EQUAL(1, Refunds_.size());
  STRCMP_EQUAL("127.0.0.2", Refunds_[0].c_str());
}

// Guards against a customer that pays at the second host, which loses its
// reach, and again at the third.
TEST(Forwarding, aRequestThatIsRefusedAsUnreachedCostsNoToken) {
  Request Forwarded = requestOf("parish");
  Forwarded.ForwardedBy_ = base::HostId("third");
  Decision Made = arrive(Forwarded);
  for (; Made.Action_ == Decision::Action::Send; Made = arrive(Forwarded))
    finish(Made, SendOutcome::Answered);
  CHECK(Made.Refusal_ == Refusal::RateLimited);
  // Until there is one token.
  for (; Made.Action_ != Decision::Action::Send; Made = arrive(Forwarded))
    Now_ += 1ms;
  for (int Times = 0; Times < 2; ++Times)
    Made = finish(Made, SendOutcome::ConnectFailed);
  CHECK(Made.Refusal_ == Refusal::TargetsUnreached);
  Forwarded.ForwardedBy_ = {};
  CHECK(arrive(Forwarded).Action_ == Decision::Action::Send);
}

// Guards against a booking that is sent again after it may have run.
TEST(Forwarding, aBookingWhoseAnswerIsLostIsNotSentAgain) {
  loseReach();
  const Decision Made = arrive(requestOf());
  const Decision After = finish(Made, SendOutcome::LostBeforeResponse);
  CHECK(After.Action_ == Decision::Action::Refuse);
  CHECK(After.Ran_ == lychee::steering::Ran::Maybe);
}

// Guards against a refusal of the other host that ends the request while a
// third host may take it.
TEST(Forwarding, aHostThatCannotTakeItIsFollowedByAnother) {
  Fleet_.OtherHosts_.push_back(hostView("third", "north"));
  update();
  loseReach();
  const Decision Made = arrive(requestOf());
  const Decision Next = finish(Made, SendOutcome::Shed);
  CHECK_FALSE(Next.Host_.empty());
  CHECK(Next.Host_ != Made.Host_);
  const Decision Last = finish(Next, SendOutcome::ConnectFailed);
  CHECK(Last.Refusal_ == Refusal::TargetsUnreached);
}

// Guards against two copies of an attempt, each of which may go to as many
// targets as the attempt.
TEST(Forwarding, whatAnotherHostWorksOnIsNotSentOnceMore) {
  loseReach();
  Request Asked = requestOf();
  Asked.Idempotent_ = true;
  const Decision Made = arrive(Asked);
  CHECK_FALSE(Made.Host_.empty());
  CHECK_FALSE(Steering_.mayHedge(Made.Ticket_, Now_));
  CHECK_FALSE(Steering_.mayAbandonSend(Made.Ticket_, Now_));
}

// Guards against a next host that is told of sends which the one before made.
TEST(Forwarding, theNextHostMayMakeTheSendsThatAreLeft) {
  Fleet_.OtherHosts_.push_back(hostView("third", "north"));
  update();
  loseReach();
  const Decision Made = arrive(requestOf());
  LONGS_EQUAL(0, Made.Sends_);
  LONGS_EQUAL(3, Made.SendsLeft_);
  const Decision Next = finish(Made, SendOutcome::Shed, 2);
  LONGS_EQUAL(2, Next.Sends_);
  LONGS_EQUAL(1, Next.SendsLeft_);
  const Decision Last = finish(Next, SendOutcome::Shed, 1);
  CHECK(Last.Action_ == Decision::Action::Refuse);
}

TEST(Forwarding, aHostThatDoesNotStateItsSendsHasMadeAllThatItMight) {
  Fleet_.OtherHosts_.push_back(hostView("third", "north"));
  update();
  loseReach();
  for (const std::optional<std::uint32_t> Stated :
       {std::optional<std::uint32_t>(), std::optional<std::uint32_t>(7)}) {
    const Decision Made = arrive(requestOf());
    const Decision Next = finish(Made, SendOutcome::Shed, Stated);
    CHECK(Next.Action_ == Decision::Action::Refuse);
    Now_ += ForwardingHosts::FailurePause;
  }
}

// Guards against a healthy fleet that is probed as if it had restarted.
TEST(Forwarding, afterACutTargetsAreUsedAsBefore) {
  loseReach();
  reportProbes(true);
  CHECK(Steering_.reachesTargets());
  Now_ += TargetReach::RampTime;
  LONGS_EQUAL(TargetCount, targetsInUse());
}

// Guards against targets that were down for all hosts and, once back, get the
// requests of all of them at once.
TEST(Forwarding, whereNoHostReachedTargetsTheyCountAsRestarted) {
  loseReach();
  Fleet_.OtherHosts_[0].TargetsUnreached_ = true;
  update();
  reportProbes(true);
  CHECK(Steering_.reachesTargets());
  Now_ += TargetReach::RampTime;
  CHECK(targetsInUse() < TargetCount);
}

// Guards against a host that lost its links, and by whose word all hosts refuse
// requests as if these had crashed targets.
TEST(Forwarding, lossesOfAHostWithoutReachAreNoCrashes) {
  for (int Times = 0; Times < 2; ++Times) {
    const Decision Sent = arrive(requestOf());
    finish(Sent, SendOutcome::LostBeforeResponse);
    Request Other = requestOf();
    Other.Fingerprint_ = 99;
    finish(arrive(Other), SendOutcome::ConnectFailed);
  }
  CHECK(Steering_.crashEvidence(Now_).empty());
  reportProbes(false);
  reportProbes(true);
  CHECK(Steering_.reachesTargets());
  CHECK(Steering_.crashEvidence(Now_).empty());
}
