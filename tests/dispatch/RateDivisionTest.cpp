#include "dispatch/CustomerRateLimiter.h"

#include "base/Random.h"
#include "members/DemandDeltaEncoder.h"

#include <deque>
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
using lychee::dispatch::RateVerdict;
using namespace std::chrono_literals;

namespace {

const base::CustomerId Customer("parish");

/// Hosts of three regions that divide one customer's rate, told of each other's
/// demand twice a second, as heartbeats do. Hosts that are down tell nothing
/// and answer nothing.
class Fleet {
public:
  static constexpr std::size_t Regions = 3;

  /// \param ByChanges  heartbeats tell changes of demand, as where there are
  /// many customers.
  Fleet(std::size_t Count, double Rate, double Burst, bool ByChanges = false) {
    Bounds_.RateOverage_ = 0.1;
    Bounds_.RateSlack_ = 20;
    Rule_.Id_ = Customer;
    Rule_.RatePerSecond_ = Rate;
    Rule_.Burst_ = Burst;
    for (std::size_t Host = 0; Host < Count; ++Host) {
      Hosts_.push_back(std::make_unique<CustomerRateLimiter>(Bounds_, Now_));
      Hosts_.back()->setCustomers(std::span(&Rule_, 1), Now_);
    }
    Told_.resize(Count);
    Downs_.resize(Count);
    for (std::size_t Host = 0; Host < Count; ++Host)
      Tellers_.emplace_back(
          ByChanges ? 0 : members::DemandDeltaEncoder::AlwaysFullUpTo);
  }

  /// Other regions hear of a host's demand so much later than its own.
  void setFarDelay(base::Duration Delay) { FarDelay_ = Delay; }

  void tell() {
    const bool Whole = ++Beat_ % members::DemandDeltaEncoder::FullEvery == 0;
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
      if (Downs_[Host])
        continue;
      const auto Said =
          Tellers_[Host].encode(Hosts_[Host]->demands(Now_), Whole);
      if (Said.IsFull_)
        Told_[Host].clear();
      for (const members::CustomerDemand &Each : Said.Demands_) {
        std::erase_if(Told_[Host], [&Each](const auto &Old) {
          return Old.Customer_ == Each.Customer_;
        });
        Told_[Host].push_back(Each);
      }
    }
    Past_.emplace_back(Now_, Told_);
  }

  void divide() {
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
      if (Downs_[Host])
        continue;
      FleetDemand Heard;
      for (std::size_t Other = 0; Other < Hosts_.size(); ++Other) {
        if (Other == Host)
          continue;
        Heard.Others_.push_back(viewOf(Other));
        if (Other % Regions != Host % Regions)
          Heard.Others_.back().Demands_ = toldBefore(Other);
      }
      Heard.Self_ = cardOf(Host);
      Heard.Holders_ = Hosts_.size();
      Heard.Regions_ = Regions;
      Hosts_[Host]->divide(Heard, Now_);
    }
  }

  /// A request at a host: the keeper of the region's tokens is asked, then the
  /// next in line, then the host goes by its own part.
  /// \returns when a caller that was refused may come back.
  std::optional<base::Duration> ask(std::size_t Host) {
    const RateVerdict Verdict = Hosts_[Host]->take(Customer, Now_);
    if (Verdict.Kind_ == RateVerdict::Kind::Passed)
      return std::nullopt;
    if (Verdict.Kind_ == RateVerdict::Kind::Refused)
      return Verdict.Wait_;
    for (const std::string &Address : {Verdict.Holder_, Verdict.Second_}) {
      if (Address.empty() || Downs_[std::stoul(Address)])
        continue;
      const auto Answer = Hosts_[std::stoul(Address)]->takeFor(Customer, Now_);
      // What the host gave is spent, also where its answer comes too late.
      if (LateAnswers_ <= 0 || base::drawUnit(Random_) >= LateAnswers_)
        return Answer;
    }
    return Hosts_[Host]->takeAlone(Customer, Now_);
  }

  /// Hosts wait for their processors, so that some answers come too late.
  void setLateAnswers(double Share) { LateAnswers_ = Share; }

  /// The host ends, and starts again without a memory.
  void restart(std::size_t Host) {
    Hosts_[Host] = std::make_unique<CustomerRateLimiter>(Bounds_, Now_);
    Hosts_[Host]->setCustomers(std::span(&Rule_, 1), Now_);
    Told_[Host].clear();
  }
  void setDown(std::size_t Host, bool Down) {
    Downs_[Host] = Down ? std::optional(Now_) : std::nullopt;
  }

  /// Plays \p Seconds with so many requests a second at each host.
  /// \returns the part that was refused.
  double play(double Seconds, const std::vector<double> &Rates) {
    int Asked = 0;
    int Refused = 0;
    for (int Step = 0; Step < Seconds * 100; ++Step) {
      Now_ += 10ms;
      if (Step % 25 == 0)
        divide();
      // Other regions hear each second only.
      if (Step % 100 == 0)
        tell();
      for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
        if (Downs_[Host])
          continue;
        // Some hosts are asked more than once in a step.
        double Left = Rates[Host] / 100;
        for (; Left > 0; Left -= 1) {
          if (base::drawUnit(Random_) >= Left)
            continue;
          ++Asked;
          if (ask(Host))
            ++Refused;
          else
            Passed_.push_back(Now_);
        }
      }
    }
    return Asked > 0 ? double(Refused) / Asked : 0;
  }

  /// \returns the most that passed within any 5 s.
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    std::deque<base::TimePoint> Window;
    for (const base::TimePoint Each : Passed_) {
      Window.push_back(Each);
      while (Each - Window.front() > 5s)
        Window.pop_front();
      Most = std::max(Most, Window.size());
    }
    return Most;
  }

private:
  static members::HostDescriptor cardOf(std::size_t Host) {
    members::HostDescriptor Made;
    Made.Host_ = base::HostId("host-" + std::to_string(Host));
    Made.Region_ = base::RegionId("r" + std::to_string(Host % Regions));
    Made.Address_ = std::to_string(Host);
    return Made;
  }
  members::HostView viewOf(std::size_t Host) const {
    members::HostView View;
    View.Descriptor_ = cardOf(Host);
    const std::optional<base::TimePoint> &Down = Downs_[Host];
    const base::Duration Silent = Down ? Now_ - *Down : base::Duration::zero();
    View.Alive_ = Silent < members::HostTable::AliveFor;
    View.Ready_ = true;
    View.HoldsShare_ = Silent < members::HostTable::ReservedFor;
    View.Demands_ = Told_[Host];
    return View;
  }

  /// \returns what the host told FarDelay_ ago.
  std::vector<members::CustomerDemand> toldBefore(std::size_t Host) const {
    if (FarDelay_ == base::Duration::zero())
      return Told_[Host];
    for (auto Each = Past_.rbegin(); Each != Past_.rend(); ++Each)
      if (Now_ - Each->first >= FarDelay_)
        return Each->second[Host];
    return {};
  }

  live::DeploymentBounds Bounds_;
  live::CustomerRule Rule_;
  std::vector<std::optional<base::TimePoint>> Downs_;
  base::TimePoint Now_ = base::TimePoint(100s);
  base::Random Random_{7};
  std::vector<std::unique_ptr<CustomerRateLimiter>> Hosts_;
  std::vector<std::vector<members::CustomerDemand>> Told_;
  std::deque<members::DemandDeltaEncoder> Tellers_;
  std::uint64_t Beat_ = 0;
  double LateAnswers_ = 0;
  base::Duration FarDelay_{};
  std::deque<std::pair<base::TimePoint,
                       std::vector<std::vector<members::CustomerDemand>>>>
      Past_;
  std::vector<base::TimePoint> Passed_;
};

std::size_t allowedInWindow(double Rate, double Burst) {
  return static_cast<std::size_t>((Rate * 5 + Burst) * 1.1 + 20);
}

} // namespace

TEST_GROUP(CustomerRateLimiter){};

// A small customer asks a dozen hosts once a second each, well within its rate.
// With a twelfth of its burst at each host chance refuses every tenth.
TEST(CustomerRateLimiter, aSmallCustomerWithinItsRateIsHardlyRefused) {
  Fleet Hosts(12, 18, 18);
  Hosts.play(8, std::vector<double>(12, 0));
  CHECK(Hosts.play(30, std::vector<double>(12, 0.95)) < 0.03);
}

// Seventy-one hosts, and a customer whose requests come to each of them every
// fourth second or so, well within its rate. Cut into a part for each host, the
// rate is one request in two to ten seconds there, and chance refuses a third.
TEST(CustomerRateLimiter, manyHostsHardlyRefuseWhatIsWithinTheRate) {
  for (const double Demand : {4.0, 16.0, 64.0}) {
    Fleet Hosts(71, Demand * 1.6, Demand * 1.6);
    const std::vector<double> Each(71, Demand / 71);
    Hosts.play(10, Each);
    CHECK(Hosts.play(60, Each) < 0.005);
  }
}

// The same customers at seven and a half times their usual demand, after calm
// seconds in which everything that can be saved up was.
TEST(CustomerRateLimiter, aHotCustomerAtManyHostsGetsNoMoreThanItsRate) {
  for (const double Demand : {4.0, 16.0, 64.0}) {
    Fleet Hosts(71, Demand * 1.6, Demand * 1.6);
    Hosts.play(10, std::vector<double>(71, Demand / 71));
    Hosts.play(10, std::vector<double>(71, Demand * 7.5 / 71));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(Demand * 1.6, Demand * 1.6));
  }
}

// The same while hosts wait for their processors, so that many answers of
// keepers come too late and the next in line is asked, too. Whoever answers,
// the two together give no more than the region's part.
TEST(CustomerRateLimiter,
     keepersThatAnswerLateAndThoseAskedInTheirPlaceGiveNoMore) {
  for (const double Late : {0.2, 0.5, 0.9}) {
    Fleet Hosts(66, 276, 276);
    Hosts.play(10, std::vector<double>(66, 276 / 1.6 / 66));
    Hosts.setLateAnswers(Late);
    Hosts.play(10, std::vector<double>(66, 276 * 5.0 / 66));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(276, 276));
  }
}

// A customer's demand grows sevenfold in all regions at once. Each knows its
// own callers before the others', so each takes its part for a larger one;
// together they must not give more than there is meanwhile.
TEST(CustomerRateLimiter,
     demandThatGrowsEverywhereAtOnceGetsNoMoreThanTheRate) {
  for (const double Rate : {20.0, 276.0}) {
    Fleet Hosts(66, Rate, Rate);
    Hosts.play(10, std::vector<double>(66, Rate / 1.6 / 66));
    Hosts.play(1.7, std::vector<double>(66, Rate / 1.6 * 7.5 / 66));
    Hosts.play(1, std::vector<double>(66, Rate / 1.6 / 66));
    Hosts.play(8, std::vector<double>(66, Rate / 1.6 * 7.5 / 66));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(Rate, Rate));
  }
}

// Guards against regions that each take the first demand, or one that grows
// everywhere, for theirs alone until they hear the others.
TEST(CustomerRateLimiter, regionsThatHearOfEachOtherLateGiveNoMoreThanTheRate) {
  for (const double Rate : {20.0, 247.0}) {
    for (const base::Duration Delay : {500ms, 1000ms}) {
      Fleet Hosts(66, Rate, Rate);
      Hosts.setFarDelay(Delay);
      Hosts.play(8.5, std::vector<double>(66, 0));
      Hosts.play(4, std::vector<double>(66, Rate / 1.6 / 66));
      Hosts.play(7, std::vector<double>(66, Rate / 1.6 * 7.5 / 66));
      CHECK(Hosts.mostInWindow() <= allowedInWindow(Rate, Rate));
    }
  }
}

// Hosts end, stay away, come back without a memory, and now and then all
// restart, while a customer sends several times its rate at some hosts more
// than at others. Whoever keeps the tokens, no more passes.
TEST(CustomerRateLimiter, hostsThatComeAndGoGiveNoMoreThanTheRate) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    base::Random Random(Seed);
    Fleet Hosts(12, 60, 60);
    for (int Turn = 0; Turn < 25; ++Turn) {
      std::vector<double> Rates(12);
      for (double &Each : Rates)
        Each = base::drawUnit(Random) * 30;
      const std::size_t Host = base::drawBelow(Random, 12);
      const auto Kind = base::drawBelow(Random, 4);
      if (Kind == 0)
        Hosts.setDown(Host, true);
      if (Kind == 1)
        Hosts.restart(Host);
      for (std::size_t Each = 0; Kind == 2 && Each < 12; ++Each) {
        Hosts.setDown(Each, false);
        Hosts.restart(Each);
      }
      Hosts.play(1 + base::drawUnit(Random) * 2, Rates);
    }
    CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
  }
}

// The keeper of a region's tokens ends. Until the others notice, the next in
// line is asked and has none, and then it takes over; the other regions go on.
TEST(CustomerRateLimiter, aRegionWhoseKeeperEndsIsServedAgainWithinSeconds) {
  Fleet Hosts(12, 60, 60);
  const std::vector<double> Each(12, 3);
  Hosts.play(10, Each);
  for (std::size_t Host = 0; Host < 12; Host += 3)
    Hosts.setDown(Host, Host != 9);
  Hosts.play(4, Each);
  CHECK(Hosts.play(10, Each) < 0.02);
}

// One customer sends eight times its rate to all hosts. What passes stays
// within rate and burst over all hosts together.
TEST(CustomerRateLimiter, aHotCustomerGetsNoMoreThanItsRate) {
  Fleet Hosts(12, 60, 60);
  Hosts.play(8, std::vector<double>(12, 0));
  Hosts.play(10, std::vector<double>(12, 4));
  Hosts.play(10, std::vector<double>(12, 40));
  CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
}

// The same where heartbeats tell only what changed: a demand that grows by less
// than is told must not grow past the rate at all hosts together.
TEST(CustomerRateLimiter, aHotCustomerToldByChangesGetsNoMoreThanItsRate) {
  for (const double Grown : {4.5, 6.0, 12.0, 40.0}) {
    Fleet Hosts(12, 60, 60, true);
    Hosts.play(8, std::vector<double>(12, 0));
    Hosts.play(10, std::vector<double>(12, 4));
    Hosts.play(10, std::vector<double>(12, Grown));
    CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
  }
}

// The customer's callers move from six hosts to the other six, and back, while
// it sends more than its rate.
TEST(CustomerRateLimiter, callersThatMoveDoNotGetMore) {
  Fleet Hosts(12, 60, 60);
  std::vector<double> First(12, 0);
  std::vector<double> Second(12, 0);
  for (std::size_t Host = 0; Host < 12; ++Host)
    (Host < 6 ? First : Second)[Host] = 30;
  for (int Turn = 0; Turn < 4; ++Turn) {
    Hosts.play(5, First);
    Hosts.play(5, Second);
  }
  CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
}

// The same from region to region, at several times the rate, after a calm in
// which each region's tokens were saved up. A region that hears of its own
// callers at once must not take its new part before the others can have heard
// and given theirs away, nor may those keep what they saved for a larger part.
TEST(CustomerRateLimiter, callersThatMoveBetweenRegionsDoNotGetMore) {
  for (const double Times : {1.0, 2.0, 7.5}) {
    Fleet Hosts(12, 65, 65);
    std::vector<double> Even(12, 65 / 1.6 / 12);
    Hosts.play(12, Even);
    for (std::size_t Turn = 0; Turn < 9; ++Turn) {
      std::vector<double> There(12, 0.5);
      for (std::size_t Host = Turn % Fleet::Regions; Host < 12;
           Host += Fleet::Regions)
        There[Host] = 65 / 1.6 * Times / 4;
      Hosts.play(1.5 + double(Turn % 4), There);
    }
    CHECK(Hosts.mostInWindow() <= allowedInWindow(65, 65));
  }
}

// The whole fleet restarts in the middle of a flood. Buckets that started full
// would give the customer a second burst, and hosts that do not know each
// other yet would each take the whole rate.
TEST(CustomerRateLimiter, aFleetThatStartsGivesNoSecondBurst) {
  Fleet Hosts(12, 60, 60);
  Hosts.play(10, std::vector<double>(12, 40));
  CHECK(Hosts.mostInWindow() <= allowedInWindow(60, 60));
}

TEST(CustomerRateLimiter, callersOnOneHostGetTheWholeRate) {
  Fleet Hosts(12, 60, 60);
  std::vector<double> One(12, 0);
  One[3] = 45;
  Hosts.play(10, One);
  CHECK(Hosts.play(20, One) < 0.02);
}

// The keeper of a region's tokens is cut off while a customer sends five times
// its rate to all hosts. The region picks another one; the old one must not go
// on giving its own callers the region's part.
TEST(CustomerRateLimiter, aKeeperThatIsCutOffKeepsToItsOwnPart) {
  live::DeploymentBounds Bounds;
  live::CustomerRule Rule;
  Rule.Id_ = Customer;
  Rule.RatePerSecond_ = 90;
  base::TimePoint Now(100s);
  CustomerRateLimiter Keeper(Bounds, Now);
  Keeper.setCustomers(std::span(&Rule, 1), Now);
  FleetDemand Heard;
  Heard.Self_.Region_ = base::RegionId("r");
  Heard.Regions_ = 3;
  for (int Number = 0; Number < 8; ++Number) {
    members::HostView Other;
    Other.Descriptor_.Host_ = base::HostId("h" + std::to_string(Number));
    Other.Descriptor_.Region_ = base::RegionId(Number < 2 ? "r" : "s");
    Other.HoldsShare_ = true;
    Other.Alive_ = true;
    Other.Demands_ = {{Customer, 50}};
    Heard.Others_.push_back(Other);
  }
  int Passed = 0;
  for (int Step = 0; Step < 1500; ++Step) {
    Now += 10ms;
    Heard.CutOff_ = Step >= 1000;
    if (Step % 20 == 0)
      Keeper.divide(Heard, Now);
    if (Step == 1020)
      Passed = 0;
    if (Step % 2 == 0)
      Passed += Keeper.take(Customer, Now).Kind_ == RateVerdict::Kind::Passed;
  }
  // One ninth of the demand was its own: 10 a second of the 90, for 4.8 s, and
  // what is left of its bucket.
  CHECK(Passed <= 4.8 * 90 / 9 + 12);
}

// Cut off from all others it finds no keeper, and goes by half of what its own
// callers asked of the whole; that what it missed is divided anew elsewhere
// must not give it more.
TEST(CustomerRateLimiter, aHostThatIsCutOffKeepsToItsOwnPart) {
  live::DeploymentBounds Bounds;
  live::CustomerRule Rule;
  Rule.Id_ = Customer;
  Rule.RatePerSecond_ = 160;
  base::TimePoint Now(100s);
  CustomerRateLimiter Host(Bounds, Now);
  Host.setCustomers(std::span(&Rule, 1), Now);
  const auto Ask = [&] { Host.take(Customer, Now); };
  FleetDemand Heard;
  members::HostView Other;
  Other.Descriptor_.Host_ = base::HostId("other");
  Other.HoldsShare_ = true;
  Other.Demands_ = {{Customer, 90}};
  Heard.Others_.push_back(Other);
  Heard.Serving_ = false;
  for (int Step = 0; Step < 1000; ++Step) {
    Now += 10ms;
    if (Step % 10 == 0)
      Ask();
    Heard.CutOff_ = Step > 500;
    Host.divide(Heard, Now);
  }
  int Passed = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    Now += 1ms;
    Passed += Host.takeAlone(Customer, Now) ? 0 : 1;
  }
  CHECK(Passed > 0);
  CHECK(Passed <= 160 / 10 / 2 + 2);
}
