#include "Trial.h"

#include "placement/TargetPool.h"

#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>

namespace lychee::bench {

namespace {

using placement::Outcome;
using placement::TargetIndex;
using placement::TargetPool;
using namespace std::chrono_literals;

constexpr std::uint32_t Hosts = 10;
constexpr std::uint32_t Targets = 30;
constexpr std::uint32_t Slots = 3;
constexpr base::Duration MeanWork = 20ms;
constexpr base::Duration OneWay = 500us;
constexpr base::Duration RunTime = 12s;
constexpr std::uint32_t MostResends = 2;

enum class Way { Random, Reported, Pool, Oracle };

/// One way to share the slots between the hosts.
struct Policy {
  const char *Name_;
  Way Way_ = Way::Pool;
  bool HomeFirst_ = true;
  /// Time between two words of a host to its peers; zero: none.
  base::Duration Gossip_{};
  /// Time between two reports of a target, and how late they are; zero: none.
  base::Duration Reports_{};
  /// What a target reports: its load times this.
  double Lie_ = 1;
  double Spare_ = -0.5;
};

constexpr std::array<Policy, 12> Policies = {{
    {"random target", Way::Random},
    {"least reported, 250 ms", Way::Reported, false, 0ms, 250ms},
    {"two choices, gossip 200 ms", Way::Pool, false, 200ms},
    {"home slots only", Way::Pool, true, 200ms, 0ms, 1, 99},
    {"home, then borrow, no gossip", Way::Pool, true},
    {"home, then borrow, gossip 1 s", Way::Pool, true, 1000ms},
    {"home, then borrow, gossip 200 ms", Way::Pool, true, 200ms},
    {"same, half a slot more to spare", Way::Pool, true, 200ms, 0ms, 1, 0},
    {"same, half a slot less to spare", Way::Pool, true, 200ms, 0ms, 1, -1},
    {"gossip 200 ms, reports 250 ms", Way::Pool, true, 200ms, 250ms},
    {"same, reports always 0", Way::Pool, true, 200ms, 250ms, 0},
    {"least loaded in truth", Way::Oracle},
}};

struct Load {
  const char *Name_;
  double Part_;
  /// True: a full target sheds. False: it holds requests in line.
  bool Sheds_;
};

constexpr std::array<Load, 5> Loads = {{
    {"60% of capacity, full targets queue", 0.6, false},
    {"80% of capacity, full targets queue", 0.8, false},
    {"80% of capacity, full targets shed", 0.8, true},
    {"90% of capacity, full targets shed", 0.9, true},
    {"120% of capacity, full targets queue", 1.2, false},
}};

class PlacementRun {
public:
  PlacementRun(const Policy &Used, const Load &Offered, std::uint64_t Seed)
      : Policy_(Used), Load_(Offered), Random_(Seed), At_(Targets),
        Reports_(Targets) {
    for (std::uint32_t Host = 0; Host < Hosts; ++Host)
      Names_.emplace_back("host-" + std::to_string(Host));
    std::vector<placement::TargetSpec> Specs;
    Specs.reserve(Targets);
    for (std::uint32_t Target = 0; Target < Targets; ++Target)
      Specs.push_back(
          {base::TargetId("target-" + std::to_string(Target)), Slots, false});
    TargetPool::Limits Set;
    Set.PreferHomeSlots_ = Used.HomeFirst_;
    Set.FreeSlotMargin_ = Used.Spare_;
    for (std::uint32_t Host = 0; Host < Hosts; ++Host) {
      Pools_.push_back(std::make_unique<TargetPool>(Names_[Host], Set));
      Pools_.back()->setTargets(Specs, base::TimePoint(1s));
      Pools_.back()->setPeers(Names_);
    }
    Lines_.resize(Hosts);
  }

  void play() {
    for (std::uint32_t Host = 0; Host < Hosts; ++Host)
      scheduleArrival(Host, base::TimePoint(1s));
    tick(base::TimePoint(1s));
    if (Policy_.Gossip_ > 0ms)
      gossip(base::TimePoint(1s));
    if (Policy_.Reports_ > 0ms)
      report(base::TimePoint(1s));
    Time_.runUntil(base::TimePoint(RunTime));
  }

  Samples Latency_;
  std::uint64_t Sheds_ = 0;
  /// Requests sent to targets and not ended, most at one time.
  std::uint32_t MostInFlight_ = 0;
  std::uint64_t Asked_ = 0;

private:
  struct Job {
    std::uint32_t Host_ = 0;
    base::TimePoint Arrived_;
    base::TimePoint Sent_;
    base::Duration Work_{};
    std::vector<TargetIndex> Tried_;
  };
  using JobPointer = std::shared_ptr<Job>;

  struct BackEnd {
    std::uint32_t Running_ = 0;
    std::deque<JobPointer> Line_;
  };

  /// Hosts are asked unevenly, from half to one and a half of the mean.
  void scheduleArrival(std::uint32_t Host, base::TimePoint After) {
    const double Uneven = 0.5 + static_cast<double>(Host) / (Hosts - 1);
    const double Rate = Load_.Part_ * Targets * Slots /
                        base::toSeconds(MeanWork) / Hosts * Uneven;
    Time_.at(After + drawExponential(Random_, base::fromSeconds(1 / Rate)),
             [this, Host](base::TimePoint Now) {
               auto New = std::make_shared<Job>();
               New->Host_ = Host;
               New->Arrived_ = Now;
               New->Work_ = drawExponential(Random_, MeanWork);
               ++Asked_;
               if (Lines_[Host].empty())
                 place(New, Now);
               else
                 Lines_[Host].push_back(New);
               scheduleArrival(Host, Now);
             });
  }

  std::optional<TargetIndex> pick(const Job &Asks, base::TimePoint Now) {
    switch (Policy_.Way_) {
    case Way::Random:
      return base::drawBelow(Random_, Targets);
    case Way::Reported:
      return least([this](TargetIndex Each) { return Reports_[Each]; });
    case Way::Oracle: {
      const auto InTruth = [this](TargetIndex Each) {
        return At_[Each].Running_ +
               static_cast<std::uint32_t>(At_[Each].Line_.size());
      };
      const TargetIndex Best = least(InTruth);
      if (InTruth(Best) >= Slots)
        return std::nullopt;
      return Best;
    }
    case Way::Pool:
      break;
    }
    return Pools_[Asks.Host_]->choose(Asks.Tried_, Now, Random_).Target_;
  }

  template <typename LoadOf> TargetIndex least(LoadOf Of) {
    const std::uint32_t Start = base::drawBelow(Random_, Targets);
    TargetIndex Best = Start;
    for (std::uint32_t Step = 1; Step < Targets; ++Step) {
      const TargetIndex Each = (Start + Step) % Targets;
      if (Of(Each) < Of(Best))
        Best = Each;
    }
    return Best;
  }

  void place(const JobPointer &New, base::TimePoint Now) {
    const auto Chosen = pick(*New, Now);
    if (!Chosen) {
      Lines_[New->Host_].push_front(New);
      return;
    }
    Pools_[New->Host_]->recordStart(*Chosen);
    MostInFlight_ = std::max(MostInFlight_, ++InFlight_);
    New->Sent_ = Now;
    const TargetIndex To = *Chosen;
    if (Policy_.Way_ == Way::Oracle)
      return arriveAt(To, New, Now);
    Time_.at(Now + OneWay, [this, To, New](base::TimePoint Then) {
      arriveAt(To, New, Then);
    });
  }

  void arriveAt(TargetIndex To, const JobPointer &New, base::TimePoint Now) {
    BackEnd &Here = At_[To];
    if (Here.Running_ < Slots)
      return run(To, New, Now);
    if (!Load_.Sheds_) {
      Here.Line_.push_back(New);
      return;
    }
    ++Sheds_;
    Time_.at(Now + OneWay, [this, To, New](base::TimePoint Then) {
      --InFlight_;
      Pools_[New->Host_]->recordFinish(To, Outcome::Shed, 2 * OneWay, Then);
      New->Tried_.push_back(To);
      if (New->Tried_.size() > MostResends) {
        New->Tried_.clear();
        Lines_[New->Host_].push_back(New);
        return;
      }
      place(New, Then);
    });
  }

  void run(TargetIndex At, const JobPointer &New, base::TimePoint Now) {
    ++At_[At].Running_;
    Time_.at(Now + New->Work_, [this, At, New](base::TimePoint End) {
      BackEnd &Here = At_[At];
      --Here.Running_;
      if (!Here.Line_.empty()) {
        const JobPointer Next = Here.Line_.front();
        Here.Line_.pop_front();
        run(At, Next, End);
      }
      Time_.at(End + OneWay, [this, At, New](base::TimePoint Then) {
        --InFlight_;
        Pools_[New->Host_]->recordFinish(At, Outcome::Success,
                                         Then - New->Sent_, Then);
        Latency_.add(Then - New->Arrived_);
        drain(New->Host_, Then);
      });
    });
  }

  void drain(std::uint32_t Host, base::TimePoint Now) {
    while (!Lines_[Host].empty()) {
      const JobPointer First = Lines_[Host].front();
      Lines_[Host].pop_front();
      const std::size_t Left = Lines_[Host].size();
      place(First, Now);
      if (Lines_[Host].size() > Left)
        return;
    }
  }

  void tick(base::TimePoint Now) {
    for (std::uint32_t Host = 0; Host < Hosts; ++Host) {
      Pools_[Host]->tick(Now);
      drain(Host, Now);
    }
    Time_.at(Now + 10ms, [this](base::TimePoint Next) { tick(Next); });
  }

  void gossip(base::TimePoint Now) {
    for (std::uint32_t From = 0; From < Hosts; ++From) {
      const auto Counts = Pools_[From]->ownInFlight();
      Time_.at(Now + 1ms, [this, From, Counts](base::TimePoint Then) {
        for (std::uint32_t To = 0; To < Hosts; ++To)
          if (To != From)
            Pools_[To]->recordPeerLoads(Names_[From], Counts, Then);
      });
    }
    Time_.at(Now + Policy_.Gossip_,
             [this](base::TimePoint Next) { gossip(Next); });
  }

  void report(base::TimePoint Now) {
    for (TargetIndex Each = 0; Each < Targets; ++Each) {
      const double Truth =
          At_[Each].Running_ + static_cast<double>(At_[Each].Line_.size());
      Reports_[Each] = static_cast<std::uint32_t>(Truth * Policy_.Lie_);
      if (Policy_.Way_ != Way::Pool)
        continue;
      for (const auto &Pool : Pools_)
        Pool->recordReport(Each, Reports_[Each], Now);
    }
    Time_.at(Now + Policy_.Reports_,
             [this](base::TimePoint Next) { report(Next); });
  }

  Policy Policy_;
  Load Load_;
  base::Random Random_;
  std::vector<BackEnd> At_;
  std::vector<std::uint32_t> Reports_;
  std::vector<base::HostId> Names_;
  std::vector<std::unique_ptr<TargetPool>> Pools_;
  std::vector<std::deque<JobPointer>> Lines_;
  Timeline Time_;
  std::uint32_t InFlight_ = 0;
};

} // namespace

void runPlacementTrial(int Seeds) {
  for (const Load &Offered : Loads) {
    std::printf(
        "\n%s\n| way | p50 ms | p99 ms | p99.9 ms | sheds a request "
        "%% | most in flight, %% of slots |\n|---|---|---|---|---|---|\n",
        Offered.Name_);
    for (const Policy &Used : Policies) {
      // All hosts send to the same few targets again and again: the storm of
      // sheds takes hours to play.
      if (Used.Way_ == Way::Reported && Offered.Sheds_)
        continue;
      std::vector<double> Median;
      std::vector<double> P99;
      std::vector<double> P999;
      std::vector<double> Sheds;
      std::vector<double> Peak;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        PlacementRun Played(Used, Offered, static_cast<std::uint64_t>(Seed));
        Played.play();
        Median.push_back(Played.Latency_.quantile(0.5));
        P99.push_back(Played.Latency_.quantile(0.99));
        P999.push_back(Played.Latency_.quantile(0.999));
        Sheds.push_back(100.0 * static_cast<double>(Played.Sheds_) /
                        static_cast<double>(Played.Asked_));
        Peak.push_back(100.0 * Played.MostInFlight_ / (Targets * Slots));
      }
      std::printf(
          "| %s | %s | %s | %s | %s | %s |\n", Used.Name_,
          Spread::of(Median).text().c_str(), Spread::of(P99).text().c_str(),
          Spread::of(P999).text().c_str(), Spread::of(Sheds).text().c_str(),
          Spread::of(Peak).text().c_str());
    }
  }
}

} // namespace lychee::bench
