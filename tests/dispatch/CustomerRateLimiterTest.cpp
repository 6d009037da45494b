#include "dispatch/CustomerRateLimiter.h"

#include "base/Random.h"
#include "members/DemandDeltaEncoder.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace live = lychee::live;
namespace members = lychee::members;
using lychee::dispatch::CustomerRateLimiter;
using lychee::dispatch::FleetDemand;
using lychee::dispatch::RateLimitDecision;
using namespace std::chrono_literals;

namespace {

const base::CustomerId Customer("parish");

/// Callers that retry once, after the wait that they are told or a third of
/// their time; and how their requests are decided.
struct RetryingCallers {
  base::Duration Deadline_ = 4s;
  base::Duration Objective_ = 500ms;
  base::Duration Run_ = 200ms;
  /// Without it, hosts tell the time to the next token.
  bool Paced_ = true;
  /// Share that retries at once, and share that never does.
  double Hasty_ = 0;
  double Gone_ = 0;
};

struct RetryResult {
  int First_ = 0;
  int InTime_ = 0;
  int Late_ = 0;
  int RefusedAgain_ = 0;
  /// Retries after the wait that was told.
  int Instructed_ = 0;
  int InstructedServed_ = 0;
  int served() const { return InTime_ + Late_; }
};

/// Hosts of three regions that divide one customer's rate and receive each
/// other's demand once a second, as by heartbeats. Hosts that are down send and
/// answer nothing.
class Fleet {
public:
  static constexpr std::size_t Regions = 3;

  /// \param DeltaHeartbeats  heartbeats hold changes of demand only, as where
  /// there are many customers.
  Fleet(std::size_t Count, double Rate, double Burst,
        bool DeltaHeartbeats = false) {
    Bounds_.RateOverage_ = 0.1;
    Bounds_.RateSlack_ = 20;
    Rule_.Id_ = Customer;
    Rule_.RatePerSecond_ = Rate;
    Rule_.Burst_ = Burst;
    for (std::size_t Host = 0; Host < Count; ++Host) {
      Hosts_.push_back(std::make_unique<CustomerRateLimiter>(Bounds_, Now_));
      Hosts_.back()->setCustomers(std::span(&Rule_, 1), Now_);
    }
    Announced_.resize(Count);
    DownSince_.resize(Count);
    for (std::size_t Host = 0; Host < Count; ++Host)
      Encoders_.emplace_back(
          DeltaHeartbeats ? 0 : members::DemandDeltaEncoder::AlwaysFullUpTo);
  }

  /// Sets the additional delay of a host's demand to other regions.
  void setRemoteDelay(base::Duration Delay) { RemoteDelay_ = Delay; }

  void announce() {
    const bool IsFull =
        ++HeartbeatCount_ % members::DemandDeltaEncoder::FullEvery == 0;
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
      if (DownSince_[Host])
        continue;
      const auto Update =
          Encoders_[Host].encode(Hosts_[Host]->demands(Now_), IsFull);
      if (Update.IsFull_)
        Announced_[Host].clear();
      for (const members::CustomerDemand &Demand : Update.Demands_) {
        std::erase_if(Announced_[Host], [&Demand](const auto &Old) {
          return Old.Customer_ == Demand.Customer_;
        });
        Announced_[Host].push_back(Demand);
      }
    }
    History_.emplace_back(Now_, Announced_);
  }

  void redistribute() {
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
      if (DownSince_[Host])
        continue;
      FleetDemand Known;
      for (std::size_t Other = 0; Other < Hosts_.size(); ++Other) {
        if (Other == Host)
          continue;
        Known.OtherHosts_.push_back(viewOf(Other));
        if (Other % Regions != Host % Regions)
          Known.OtherHosts_.back().Demands_ = announcedBefore(Other);
      }
      Known.Self_ = descriptorOf(Host);
      Known.HostCount_ = Hosts_.size();
      Known.RegionCount_ = Regions;
      Hosts_[Host]->redistribute(Known, Now_);
    }
  }

  /// Simulates a request at a host: the owner of the region's tokens is asked,
  /// then the backup owner, then the host falls back to its own share.
  /// \returns the time after which a refused caller may retry.
  std::optional<base::Duration>
  request(std::size_t Host,
          const std::optional<members::ReturnTerms> &Return = {}) {
    const RateLimitDecision Decision =
        Hosts_[Host]->take(Customer, Now_, Return);
    if (Decision.Kind_ == RateLimitDecision::Kind::Allowed)
      return std::nullopt;
    if (Decision.Kind_ == RateLimitDecision::Kind::Denied)
      return Decision.RetryAfter_;
    for (const std::string &Address :
         {Decision.Owner_, Decision.BackupOwner_}) {
      if (Address.empty() || DownSince_[std::stoul(Address)])
        continue;
      const auto Answer =
          Hosts_[std::stoul(Address)]->takeForPeer(Customer, Now_, Return);
      // What the owner granted is spent, also where its response comes too
      // late.
      if (LateResponses_ <= 0 || base::drawUnit(Random_) >= LateResponses_)
        return Answer;
    }
    return Hosts_[Host]->takeFallback(Customer, Now_);
  }

  /// Hosts wait for their processors, so that this share of responses comes too
  /// late.
  void setLateResponses(double Share) { LateResponses_ = Share; }

  /// Restarts a host, without its state.
  void restart(std::size_t Host) {
    Hosts_[Host] = std::make_unique<CustomerRateLimiter>(Bounds_, Now_);
    Hosts_[Host]->setCustomers(std::span(&Rule_, 1), Now_);
    Announced_[Host].clear();
  }
  void setDown(std::size_t Host, bool Down) {
    DownSince_[Host] = Down ? std::optional(Now_) : std::nullopt;
  }

  /// Simulates \p Seconds with the given requests per second at each host.
  /// \returns the share that was refused.
  double run(double Seconds, const std::vector<double> &Rates) {
    int Requests = 0;
    int Refused = 0;
    for (int Step = 0; Step < Seconds * 100; ++Step) {
      Now_ += 10ms;
      if (Step % 25 == 0)
        redistribute();
      // Demand is announced once a second only.
      if (Step % 100 == 0)
        announce();
      for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
        if (DownSince_[Host])
          continue;
        // Some hosts get more than one request in a step.
        double Remaining = Rates[Host] / 100;
        for (; Remaining > 0; Remaining -= 1) {
          if (base::drawUnit(Random_) >= Remaining)
            continue;
          ++Requests;
          if (request(Host))
            ++Refused;
          else
            Allowed_.push_back(Now_);
        }
      }
    }
    return Requests > 0 ? double(Refused) / Requests : 0;
  }

  /// Simulates callers that retry, with \p PerSecond first attempts at all
  /// hosts together.
  RetryResult runRetrying(double Seconds, double PerSecond,
                          const RetryingCallers &Callers) {
    RetryResult Result;
    const auto Steps = static_cast<int>(Seconds * 100);
    double Due = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      Now_ += 10ms;
      if (Step % 25 == 0)
        redistribute();
      if (Step % 100 == 0)
        announce();
      for (; !Retries_.empty() && Retries_.begin()->first <= Now_;
           Retries_.erase(Retries_.begin()))
        attempt(Retries_.begin()->second, Callers, Result);
      for (Due += PerSecond / 100; Due >= 1; Due -= 1) {
        ++Result.First_;
        attempt({Now_, false, false}, Callers, Result);
      }
    }
    return Result;
  }

  /// \returns the most that was allowed within any 5 s.
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    std::deque<base::TimePoint> Window;
    for (const base::TimePoint Moment : Allowed_) {
      Window.push_back(Moment);
      while (Moment - Window.front() > 5s)
        Window.pop_front();
      Most = std::max(Most, Window.size());
    }
    return Most;
  }

private:
  struct Attempt {
    base::TimePoint First_;
    bool IsRetry_ = false;
    bool IsInstructed_ = false;
  };

  void attempt(const Attempt &Current, const RetryingCallers &Callers,
               RetryResult &Result) {
    std::size_t Host = base::drawBelow(Random_, Hosts_.size());
    while (DownSince_[Host])
      Host = base::drawBelow(Random_, Hosts_.size());
    const base::Duration Elapsed = Now_ - Current.First_;
    const base::Duration Left = Callers.Deadline_ - Elapsed;
    std::optional<members::ReturnTerms> Terms;
    if (Callers.Paced_)
      Terms = {Elapsed >= 50ms, Callers.Objective_ - Callers.Run_ - 20ms,
               Left / 3};
    const auto Wait = request(Host, Terms);
    Result.Instructed_ += Current.IsInstructed_ ? 1 : 0;
    if (!Wait) {
      Allowed_.push_back(Now_);
      Result.InstructedServed_ += Current.IsInstructed_ ? 1 : 0;
      ++(Elapsed + Callers.Run_ <= Callers.Objective_ ? Result.InTime_
                                                      : Result.Late_);
      return;
    }
    Result.RefusedAgain_ += Current.IsRetry_ ? 1 : 0;
    const double Kind = base::drawUnit(Random_);
    if (Current.IsRetry_ || *Wait == 0ms || Kind < Callers.Gone_)
      return;
    const bool IsHasty = Kind < Callers.Gone_ + Callers.Hasty_;
    const base::Duration Told =
        Callers.Paced_ ? *Wait : std::max<base::Duration>(*Wait, 100ms);
    // A new connection takes a round trip more.
    Retries_.emplace(
        Now_ + (IsHasty ? 10ms : std::min<base::Duration>(Told, Left / 3)) +
            10ms,
        Attempt{Current.First_, true, !IsHasty});
  }

  static members::HostDescriptor descriptorOf(std::size_t Host) {
    members::HostDescriptor Result;
    Result.Host_ = base::HostId("host-" + std::to_string(Host));
    Result.Region_ = base::RegionId("r" + std::to_string(Host % Regions));
    Result.Address_ = std::to_string(Host);
    return Result;
  }
  members::HostView viewOf(std::size_t Host) const {
    members::HostView View;
    View.Descriptor_ = descriptorOf(Host);
    const std::optional<base::TimePoint> &Down = DownSince_[Host];
    const base::Duration Silence = Down ? Now_ - *Down : base::Duration::zero();
    View.Alive_ = Silence < members::HostTable::AliveFor;
    View.Ready_ = true;
    View.HoldsShare_ = Silence < members::HostTable::ReservedFor;
    View.Demands_ = Announced_[Host];
    return View;
  }

  /// \returns the demand that the host announced RemoteDelay_ ago.
  std::vector<members::CustomerDemand> announcedBefore(std::size_t Host) const {
    if (RemoteDelay_ == base::Duration::zero())
      return Announced_[Host];
    for (auto Entry = History_.rbegin(); Entry != History_.rend(); ++Entry)
      if (Now_ - Entry->first >= RemoteDelay_)
        return Entry->second[Host];
    return {};
  }

  live::DeploymentBounds Bounds_;
  live::CustomerRule Rule_;
  std::vector<std::optional<base::TimePoint>> DownSince_;
  base::TimePoint Now_ = base::TimePoint(100s);
  base::Random Random_{7};
  std::vector<std::unique_ptr<CustomerRateLimiter>> Hosts_;
  std::vector<std::vector<members::CustomerDemand>> Announced_;
  std::deque<members::DemandDeltaEncoder> Encoders_;
  std::uint64_t HeartbeatCount_ = 0;
  double LateResponses_ = 0;
  base::Duration RemoteDelay_{};
  std::deque<std::pair<base::TimePoint,
                       std::vector<std::vector<members::CustomerDemand>>>>
      History_;
  std::vector<base::TimePoint> Allowed_;
  std::multimap<base::TimePoint, Attempt> Retries_;
};

std::size_t allowedInWindow(double Rate, double Burst) {
  return static_cast<std::size_t>((Rate * 5 + Burst) * 1.1 + 20);
}

} // namespace

TEST_GROUP(CustomerRateLimiter){};

// A small customer sends one request per second to each of a dozen hosts, well
// within its rate. With a twelfth of its burst at each host, chance would
// refuse every tenth.
TEST(CustomerRateLimiter, aSmallCustomerWithinItsRateIsHardlyRefused) {
  Fleet Hosts(12, 18, 18);
  Hosts.run(8, std::vector<double>(12, 0));
  CHECK(Hosts.run(30, std::vector<double>(12, 0.95)) < 0.03);
}

// Seventy-one hosts, and a customer whose requests reach each of them about
// every fourth second, well within its rate. Divided between the hosts, the
// rate would be one request in two to ten seconds at each, and chance would
// refuse a third.
TEST(CustomerRateLimiter, manyHostsHardlyRefuseWhatIsWithinTheRate) {
  for (const double Demand : {4.0, 16.0, 64.0}) {
    Fleet Hosts(71, Demand * 1.6, Demand * 1.6);
    const std::vector<double> Rates(71, Demand / 71);
    Hosts.run(10, Rates);
    CHECK(Hosts.run(60, Rates) < 0.005);
  }
}

// The same customers at seven and a half times their usual demand, after calm
// seconds in which all tokens were saved up that can be.
TEST(CustomerRateLimiter, aHotCustomerAtManyHostsGetsNoMoreThanItsRate) {
  for (const double Demand : {4.0, 16.0, 64.0}) {
    Fleet Hosts(71, Demand * 1.6, Demand * 1.6);
    Hosts.run(10, std::vector<double>(71, Demand / 71));
    Hosts.run(10, std::vector<double>(71, Demand * 7.5 / 71));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(Demand * 1.6, Demand * 1.6));
  }
}

// The same while hosts wait for their processors, so that many responses of
// owners come too late and the backup owner is asked as well. Together the two
// grant no more than the region's share.
TEST(CustomerRateLimiter,
     ownersThatRespondLateAndBackupOwnersGrantNoMoreThanTheRate) {
  for (const double Late : {0.2, 0.5, 0.9}) {
    Fleet Hosts(66, 276, 276);
    Hosts.run(10, std::vector<double>(66, 276 / 1.6 / 66));
    Hosts.setLateResponses(Late);
    Hosts.run(10, std::vector<double>(66, 276 * 5.0 / 66));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(276, 276));
  }
}

// A customer's demand grows 7.5-fold in all regions at once. Each region knows
// its own callers before those of the others, so each computes too large a
// share; together they must not grant more than the rate meanwhile.
TEST(CustomerRateLimiter,
     demandThatGrowsEverywhereAtOnceGetsNoMoreThanTheRate) {
  for (const double Rate : {20.0, 276.0}) {
    Fleet Hosts(66, Rate, Rate);
    Hosts.run(10, std::vector<double>(66, Rate / 1.6 / 66));
    Hosts.run(1.7, std::vector<double>(66, Rate / 1.6 * 7.5 / 66));
    Hosts.run(1, std::vector<double>(66, Rate / 1.6 / 66));
    Hosts.run(8, std::vector<double>(66, Rate / 1.6 * 7.5 / 66));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(Rate, Rate));
  }
}

// Guards against regions that each count the first demand, or demand that grows
// everywhere, as theirs alone until they receive the demand of the others.
TEST(CustomerRateLimiter, regionsThatReceiveDemandLateGrantNoMoreThanTheRate) {
  for (const double Rate : {20.0, 247.0}) {
    for (const base::Duration Delay : {500ms, 1000ms}) {
      Fleet Hosts(66, Rate, Rate);
      Hosts.setRemoteDelay(Delay);
      Hosts.run(8.5, std::vector<double>(66, 0));
      Hosts.run(4, std::vector<double>(66, Rate / 1.6 / 66));
      Hosts.run(7, std::vector<double>(66, Rate / 1.6 * 7.5 / 66));
      CHECK(Hosts.mostInWindow() <= allowedInWindow(Rate, Rate));
    }
  }
}

// Hosts end, stay away, come back without their state, and now and then all
// restart, while a customer sends several times its rate, more at some hosts
// than at others. Whichever host owns the tokens, no more is allowed than the
// rate.
TEST(CustomerRateLimiter, hostsThatJoinAndLeaveGrantNoMoreThanTheRate) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    base::Random Random(Seed);
    Fleet Hosts(12, 60, 60);
    for (int Turn = 0; Turn < 25; ++Turn) {
      std::vector<double> Rates(12);
      for (double &Rate : Rates)
        Rate = base::drawUnit(Random) * 30;
      const std::size_t Host = base::drawBelow(Random, 12);
      const auto Kind = base::drawBelow(Random, 4);
      if (Kind == 0)
        Hosts.setDown(Host, true);
      if (Kind == 1)
        Hosts.restart(Host);
      for (std::size_t Other = 0; Kind == 2 && Other < 12; ++Other) {
        Hosts.setDown(Other, false);
        Hosts.restart(Other);
      }
      Hosts.run(1 + base::drawUnit(Random) * 2, Rates);
    }
    CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
  }
}

// Three of a region's four hosts fail. Until the last one notices and owns the
// region's tokens, it has few to grant; then the region is served again. The
// other regions are not affected.
TEST(CustomerRateLimiter, aRegionWhoseOwnerFailsIsServedAgainWithinSeconds) {
  Fleet Hosts(12, 60, 60);
  const std::vector<double> Rates(12, 3);
  Hosts.run(10, Rates);
  for (std::size_t Host = 0; Host < 12; Host += 3)
    Hosts.setDown(Host, Host != 9);
  Hosts.run(4, Rates);
  CHECK(Hosts.run(10, Rates) < 0.02);
}

// One customer sends eight times its rate to all hosts. What is allowed stays
// within rate and burst over all hosts together.
TEST(CustomerRateLimiter, aHotCustomerGetsNoMoreThanItsRate) {
  Fleet Hosts(12, 60, 60);
  Hosts.run(8, std::vector<double>(12, 0));
  Hosts.run(10, std::vector<double>(12, 4));
  Hosts.run(10, std::vector<double>(12, 40));
  CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
}

// The same where heartbeats hold changes only: demand that grows by less than
// is announced must not exceed the rate at all hosts together.
TEST(CustomerRateLimiter, aHotCustomerAnnouncedByDeltasGetsNoMoreThanItsRate) {
  for (const double Grown : {4.5, 6.0, 12.0, 40.0}) {
    Fleet Hosts(12, 60, 60, true);
    Hosts.run(8, std::vector<double>(12, 0));
    Hosts.run(10, std::vector<double>(12, 4));
    Hosts.run(10, std::vector<double>(12, Grown));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
  }
}

// The customer's callers move from six hosts to the other six, and back, while
// it sends more than its rate.
TEST(CustomerRateLimiter, callersThatMoveBetweenHostsGetNoMoreThanTheRate) {
  Fleet Hosts(12, 60, 60);
  std::vector<double> First(12, 0);
  std::vector<double> Second(12, 0);
  for (std::size_t Host = 0; Host < 12; ++Host)
    (Host < 6 ? First : Second)[Host] = 30;
  for (int Turn = 0; Turn < 4; ++Turn) {
    Hosts.run(5, First);
    Hosts.run(5, Second);
  }
  CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
}

// The same from region to region, at several times the rate, after a calm time
// in which each region's tokens were saved up. A region that knows its own
// callers at once must not use its new share before the others can have
// received the demand and reduced theirs, nor may those keep what they saved
// for a larger share.
TEST(CustomerRateLimiter, callersThatMoveBetweenRegionsGetNoMoreThanTheRate) {
  for (const double Times : {1.0, 2.0, 7.5}) {
    Fleet Hosts(12, 65, 65);
    std::vector<double> Even(12, 65 / 1.6 / 12);
    Hosts.run(12, Even);
    for (std::size_t Turn = 0; Turn < 9; ++Turn) {
      std::vector<double> There(12, 0.5);
      for (std::size_t Host = Turn % Fleet::Regions; Host < 12;
           Host += Fleet::Regions)
        There[Host] = 65 / 1.6 * Times / 4;
      Hosts.run(1.5 + double(Turn % 4), There);
    }
    CHECK(Hosts.mostInWindow() <= allowedInWindow(65, 65));
  }
}

// The whole fleet starts in the middle of a flood. Buckets that started full
// would grant the customer a second burst, and hosts that do not know each
// other yet would each use the whole rate.
TEST(CustomerRateLimiter, aFleetThatStartsGrantsNoSecondBurst) {
  Fleet Hosts(12, 60, 60);
  Hosts.run(10, std::vector<double>(12, 40));
  CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
}

TEST(CustomerRateLimiter, callersOnOneHostGetTheWholeRate) {
  Fleet Hosts(12, 60, 60);
  std::vector<double> One(12, 0);
  One[3] = 45;
  Hosts.run(10, One);
  CHECK(Hosts.run(20, One) < 0.02);
}

// The owner of a region's tokens is cut off while a customer sends five times
// its rate to all hosts. The region elects another one; the old one must not go
// on granting the region's share to its own callers.
TEST(CustomerRateLimiter, anOwnerThatIsCutOffKeepsToItsOwnShare) {
  live::DeploymentBounds Bounds;
  live::CustomerRule Rule;
  Rule.Id_ = Customer;
  Rule.RatePerSecond_ = 90;
  base::TimePoint Now(100s);
  CustomerRateLimiter Owner(Bounds, Now);
  Owner.setCustomers(std::span(&Rule, 1), Now);
  FleetDemand Known;
  Known.Self_.Region_ = base::RegionId("r");
  Known.RegionCount_ = 3;
  for (int Number = 0; Number < 8; ++Number) {
    members::HostView Other;
    Other.Descriptor_.Host_ = base::HostId("h" + std::to_string(Number));
    Other.Descriptor_.Region_ = base::RegionId(Number < 2 ? "r" : "s");
    Other.HoldsShare_ = true;
    Other.Alive_ = true;
    Other.Demands_ = {{Customer, 50}};
    Known.OtherHosts_.push_back(Other);
  }
  int Allowed = 0;
  for (int Step = 0; Step < 1500; ++Step) {
    Now += 10ms;
    Known.IsCutOff_ = Step >= 1000;
    if (Step % 20 == 0)
      Owner.redistribute(Known, Now);
    if (Step == 1020)
      Allowed = 0;
    if (Step % 2 == 0)
      Allowed +=
          Owner.take(Customer, Now).Kind_ == RateLimitDecision::Kind::Allowed;
  }
  // One ninth of the demand was its own: 10 per second of the 90, for 4.8 s,
  // plus what is left in its bucket.
  CHECK(Allowed <= 4.8 * 90 / 9 + 12);
}

// A host that is cut off from all others reaches no owner, and falls back to
// half of its own share of the demand; that its demand is missing from what is
// divided elsewhere must not give it more.
TEST(CustomerRateLimiter, aHostThatIsCutOffKeepsToItsOwnShare) {
  live::DeploymentBounds Bounds;
  live::CustomerRule Rule;
  Rule.Id_ = Customer;
  Rule.RatePerSecond_ = 160;
  base::TimePoint Now(100s);
  CustomerRateLimiter Host(Bounds, Now);
  Host.setCustomers(std::span(&Rule, 1), Now);
  const auto Request = [&] { Host.take(Customer, Now); };
  FleetDemand Known;
  members::HostView Other;
  Other.Descriptor_.Host_ = base::HostId("other");
  Other.HoldsShare_ = true;
  Other.Demands_ = {{Customer, 90}};
  Known.OtherHosts_.push_back(Other);
  Known.IsServing_ = false;
  for (int Step = 0; Step < 1000; ++Step) {
    Now += 10ms;
    if (Step % 10 == 0)
      Request();
    Known.IsCutOff_ = Step > 500;
    Host.redistribute(Known, Now);
  }
  int Allowed = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    Now += 1ms;
    Allowed += Host.takeFallback(Customer, Now) ? 0 : 1;
  }
  CHECK(Allowed > 0);
  CHECK(Allowed <= 160 / 10 / 2 + 2);
}

/// A customer at five times its rate whose callers retry once.
TEST_GROUP(PacedRetries) {
  static constexpr double Rate = 240;

  /// Some seconds within the rate, and six far above it.
  static RetryResult runHot(std::size_t Count, const RetryingCallers &Callers,
                            double Times = 5) {
    Fleet Hosts(Count, Rate, Rate);
    Hosts.runRetrying(10, Rate / 1.6, Callers);
    const RetryResult Result = Hosts.runRetrying(6, Rate * Times, Callers);
    CHECK(Hosts.mostInWindow() <= allowedInWindow(Rate, Rate));
    return Result;
  }
  static RetryingCallers unpaced() {
    RetryingCallers Result;
    Result.Paced_ = false;
    return Result;
  }
};

// Guards against the retries that find the tokens taken: with the time to the
// next token as the wait, seven of ten requests were refused twice.
TEST(PacedRetries, fewAreRefusedAgain) {
  for (const std::size_t Count : {12, 300}) {
    const RetryResult Old = runHot(Count, unpaced());
    const RetryResult Paced = runHot(Count, {});
    CHECK(Old.RefusedAgain_ > Old.First_ / 2);
    CHECK(Paced.RefusedAgain_ < Paced.First_ / 50);
    CHECK(Paced.served() > Old.served() * 0.97);
    CHECK(Paced.InTime_ > Old.InTime_ * 0.97);
  }
}

// Guards against callers that wait as they are told and then find that new
// requests took the token; also where others retry at once, or many of those
// that have a position never come.
TEST(PacedRetries, callersThatWaitAsToldAreServed) {
  RetryingCallers Hasty;
  Hasty.Hasty_ = 0.3;
  RetryingCallers Gone;
  Gone.Gone_ = 0.5;
  for (const std::size_t Count : {12, 300})
    for (const RetryingCallers &Callers : {RetryingCallers(), Hasty, Gone}) {
      const RetryResult Result = runHot(Count, Callers);
      CHECK(Result.Instructed_ > 50);
      CHECK(Result.InstructedServed_ > Result.Instructed_ * 0.9);
    }
}

// Guards against tokens that are kept for callers that do not come.
TEST(PacedRetries, tokensOfRetriesThatDoNotComeGoToNewRequests) {
  RetryingCallers Gone;
  Gone.Gone_ = 1;
  RetryingCallers Old = unpaced();
  Old.Gone_ = 1;
  CHECK(runHot(12, Gone).served() > runHot(12, Old).served() * 0.97);
}

// Hosts restart or end, and other hosts own the tokens, in the middle. Guards
// against promises of the new owner that count on nothing, and against more
// than the rate.
TEST(PacedRetries, aNewOwnerOfTheTokensStartsWithAnEmptySchedule) {
  for (std::size_t Lost = 0; Lost < 12; Lost += 2) {
    Fleet Hosts(12, Rate, Rate);
    Hosts.runRetrying(10, Rate / 1.6, {});
    Hosts.runRetrying(2, Rate * 5, {});
    Hosts.setDown(Lost, true);
    Hosts.restart(Lost + 1);
    Hosts.runRetrying(3, Rate * 5, {});
    const RetryResult After = Hosts.runRetrying(4, Rate * 5, {});
    CHECK(After.InstructedServed_ > After.Instructed_ * 0.9);
    CHECK(After.served() > Rate * 4 * 0.8);
    CHECK(Hosts.mostInWindow() <= allowedInWindow(Rate, Rate));
  }
}
