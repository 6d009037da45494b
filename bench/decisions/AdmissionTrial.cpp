#include "Trial.h"

#include "admission/AdmissionControl.h"

#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <string>

namespace lychee::bench {

namespace {

using admission::AdmissionControl;
using admission::AdmissionDecision;
using admission::CustomerIndex;
using admission::DroppedRequest;
using namespace std::chrono_literals;

constexpr std::uint32_t Slots = 9; // a tenth of 30 endpoints with 3 slots
constexpr base::Duration MeanWork = 20ms;
constexpr double Capacity = Slots / 0.020; // requests a second
constexpr base::Duration RunTime = 60s;
constexpr base::Duration Deadline = 2s;
constexpr int Customers = 8;

/// What is offered.
struct Pattern {
  const char *Name_;
  /// Of capacity, all customers together; shared equally.
  double Load_;
  /// Times its share that the first customer sends.
  double Heavy_ = 1;
  /// Part of the first customer's requests that come from one caller.
  double OneCaller_ = 0;
  /// Part of the requests that take fifty times as long; the others are made
  /// shorter, so that the load stays.
  double Long_ = 0;
  /// Requests that come at once in the middle, from the second customer.
  int Burst_ = 0;
};

constexpr std::array<Pattern, 8> Patterns = {{
    {"normal 80%", 0.8},
    {"one at 5x", 0.8, 5},
    {"one caller 90% of one at 5x", 0.8, 5, 0.9},
    {"long among short 80%", 0.8, 1, 0, 0.02},
    {"burst of 1000 at 50%", 0.5, 1, 0, 0, 1000},
    {"burst of 2500 at 50%", 0.5, 1, 0, 0, 2500},
    {"saturation 1.5x", 1.5},
    {"saturation 3x", 3},
}};

enum class Order { PlainFifo, Fair };

struct Discipline {
  const char *Name_;
  Order Order_ = Order::Fair;
  base::Duration PressureMemory_ = 500ms;
  base::Duration ShortWait_ = 200ms;
  bool NewestFirst_ = false;
};

constexpr std::array<Discipline, 6> Disciplines = {{
    {"plain fifo", Order::PlainFifo},
    {"fair, deadline", Order::Fair, 500ms, Deadline},
    {"fair, short 50 ms", Order::Fair, 500ms, 50ms},
    {"fair, short 200 ms", Order::Fair, 500ms, 200ms},
    {"fair, newest, 200 ms", Order::Fair, 500ms, 200ms, true},
    {"fair, newest, deadline", Order::Fair, 500ms, Deadline, true},
}};

struct Outcome {
  Samples Answered_;
  Samples Refused_;
  int Offered_ = 0;
  int InTime_ = 0;
};

/// One host's line before its slots.
class Run {
public:
  Run(const Pattern &Offered, const Discipline &Used, std::uint64_t Seed)
      : Pattern_(Offered), Discipline_(Used), Random_(Seed),
        Control_(limitsOf(Used)) {
    for (int Each = 0; Each < Customers; ++Each)
      Index_.push_back(Control_.registerCustomer(
          base::CustomerId("c" + std::to_string(Each)), 1));
  }

  void play() {
    for (int Customer = 0; Customer < Customers; ++Customer)
      scheduleArrival(Customer, base::TimePoint(1s));
    if (Pattern_.Burst_ > 0)
      Time_.at(base::TimePoint(RunTime / 2), [this](base::TimePoint Now) {
        for (int Each = 0; Each < Pattern_.Burst_; ++Each)
          arrive(1, Now);
      });
    tick(base::TimePoint(1s));
    Time_.runUntil(base::TimePoint(RunTime));
    Ended_ = true;
    Time_.runUntil(base::TimePoint(RunTime + 60s));
  }

  std::array<Outcome, Customers> Of_;

private:
  struct Job {
    int Customer_ = 0;
    std::uint64_t Caller_ = 0;
    base::TimePoint Arrived_;
    base::Duration Work_{};
    base::Duration Expected_{};
  };

  static AdmissionControl::Limits limitsOf(const Discipline &Used) {
    AdmissionControl::Limits Set;
    Set.SaturationWindow_ = Used.PressureMemory_;
    Set.SaturatedMaxWait_ = Used.ShortWait_;
    Set.NewestFirst_ = Used.NewestFirst_;
    Set.ExpectedWork_ = MeanWork;
    return Set;
  }

  void scheduleArrival(int Customer, base::TimePoint After) {
    const double Times = Customer == 0 ? Pattern_.Heavy_ : 1;
    const double Rate = Capacity * Pattern_.Load_ / Customers * Times;
    const base::TimePoint When =
        After + drawExponential(Random_, base::fromSeconds(1 / Rate));
    if (When > base::TimePoint(RunTime))
      return;
    Time_.at(When, [this, Customer](base::TimePoint Now) {
      arrive(Customer, Now);
      scheduleArrival(Customer, Now);
    });
  }

  base::Duration drawWork() {
    if (Pattern_.Long_ <= 0)
      return drawExponential(Random_, MeanWork);
    constexpr int Times = 50;
    const double Short = 1 / (1 - Pattern_.Long_ + Times * Pattern_.Long_);
    const double Factor =
        base::drawUnit(Random_) < Pattern_.Long_ ? Times * Short : Short;
    return drawExponential(
        Random_, base::fromSeconds(base::toSeconds(MeanWork) * Factor));
  }

  void arrive(int Customer, base::TimePoint Now) {
    Job New;
    New.Customer_ = Customer;
    const bool One =
        Customer == 0 && base::drawUnit(Random_) < Pattern_.OneCaller_;
    New.Caller_ = One ? 1 : 2 + base::drawBelow(Random_, 100);
    New.Arrived_ = Now;
    New.Work_ = drawWork();
    ++Of_[static_cast<std::size_t>(Customer)].Offered_;
    const std::uint64_t Ticket = ++LastTicket_;
    if (Discipline_.Order_ == Order::PlainFifo)
      return arrivePlain(Ticket, New, Now);

    admission::AdmissionRequest Asks;
    Asks.Ticket_ = Ticket;
    Asks.Customer_ = Index_[static_cast<std::size_t>(Customer)];
    Asks.Caller_ = New.Caller_;
    Asks.Deadline_ = Now + Deadline;
    Asks.HasCapacity_ = Running_ < Slots;
    const AdmissionDecision Verdict = Control_.admit(Asks, Now);
    New.Expected_ = Verdict.ExpectedWork_;
    if (Verdict.Action_ == AdmissionDecision::Action::Refuse)
      return refuse(New, Now);
    Jobs_.emplace(Ticket, New);
    if (Verdict.Action_ == AdmissionDecision::Action::Admit)
      start(Ticket, Now);
  }

  void arrivePlain(std::uint64_t Ticket, const Job &New, base::TimePoint Now) {
    Jobs_.emplace(Ticket, New);
    if (Running_ < Slots)
      start(Ticket, Now);
    else
      Line_.push_back(Ticket);
  }

  void start(std::uint64_t Ticket, base::TimePoint Now) {
    ++Running_;
    const base::Duration Work = Jobs_.at(Ticket).Work_;
    Time_.at(Now + Work,
             [this, Ticket](base::TimePoint End) { finish(Ticket, End); });
  }

  void finish(std::uint64_t Ticket, base::TimePoint Now) {
    const Job Done = Jobs_.at(Ticket);
    Jobs_.erase(Ticket);
    --Running_;
    Outcome &Counts = Of_[static_cast<std::size_t>(Done.Customer_)];
    Counts.Answered_.add(Now - Done.Arrived_);
    if (Now - Done.Arrived_ <= Deadline)
      ++Counts.InTime_;
    if (Discipline_.Order_ == Order::PlainFifo) {
      if (Line_.empty())
        return;
      const std::uint64_t Next = Line_.front();
      Line_.pop_front();
      return start(Next, Now);
    }
    Control_.recordCompletion(Index_[static_cast<std::size_t>(Done.Customer_)],
                              Done.Caller_, Done.Expected_, Done.Work_, true,
                              Now);
    const auto Next = Control_.dequeue(Now, Left_);
    giveUpLeft(Now);
    if (Next)
      start(Next->Ticket_, Now);
  }

  void tick(base::TimePoint Now) {
    Control_.expire(Now, Left_);
    giveUpLeft(Now);
    if (!Ended_)
      Time_.at(Now + 10ms, [this](base::TimePoint Next) { tick(Next); });
  }

  void giveUpLeft(base::TimePoint Now) {
    for (const DroppedRequest &Each : Left_) {
      refuse(Jobs_.at(Each.Request_.Ticket_), Now);
      Jobs_.erase(Each.Request_.Ticket_);
    }
    Left_.clear();
  }

  void refuse(const Job &Refused, base::TimePoint Now) {
    Of_[static_cast<std::size_t>(Refused.Customer_)].Refused_.add(
        Now - Refused.Arrived_);
  }

  Pattern Pattern_;
  Discipline Discipline_;
  base::Random Random_;
  AdmissionControl Control_;
  Timeline Time_;
  std::vector<CustomerIndex> Index_;
  std::map<std::uint64_t, Job> Jobs_;
  std::deque<std::uint64_t> Line_;
  std::vector<DroppedRequest> Left_;
  std::uint64_t LastTicket_ = 0;
  std::uint32_t Running_ = 0;
  bool Ended_ = false;
};

/// Figures of one run that the table shows.
struct Figures {
  std::vector<double> InTime_;
  std::vector<double> Median_;
  std::vector<double> P99_;
  std::vector<double> RefusedAfter_;
  std::vector<double> OthersP99_;
  std::vector<double> OthersRefused_;

  void add(Run &Played) {
    Samples All;
    Samples Refused;
    double Offered = 0;
    double InTime = 0;
    double WorstP99 = 0;
    double WorstRefused = 0;
    for (std::size_t Customer = 0; Customer < Customers; ++Customer) {
      Outcome &Each = Played.Of_[Customer];
      Offered += Each.Offered_;
      InTime += Each.InTime_;
      All.append(Each.Answered_);
      Refused.append(Each.Refused_);
      if (Customer == 0)
        continue;
      WorstP99 = std::max(WorstP99, Each.Answered_.quantile(0.99));
      WorstRefused =
          std::max(WorstRefused, 100.0 * (Each.Offered_ - Each.InTime_) /
                                     std::max(1, Each.Offered_));
    }
    InTime_.push_back(100 * InTime / Offered);
    Median_.push_back(All.quantile(0.5));
    P99_.push_back(All.quantile(0.99));
    RefusedAfter_.push_back(Refused.quantile(0.5));
    OthersP99_.push_back(WorstP99);
    OthersRefused_.push_back(WorstRefused);
  }
};

} // namespace

void runAdmissionTrial(int Seeds) {
  for (const Pattern &Offered : Patterns) {
    std::printf("\n%s\n| discipline | in time %% | p50 ms | p99 ms | refused "
                "after ms (median) | worst other: p99 ms | worst other: not in "
                "time %% |\n|---|---|---|---|---|---|---|\n",
                Offered.Name_);
    for (const Discipline &Used : Disciplines) {
      Figures Found;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        Run Played(Offered, Used, static_cast<std::uint64_t>(Seed));
        Played.play();
        Found.add(Played);
      }
      std::printf("| %s | %s | %s | %s | %s | %s | %s |\n", Used.Name_,
                  Spread::of(Found.InTime_).text().c_str(),
                  Spread::of(Found.Median_).text().c_str(),
                  Spread::of(Found.P99_).text().c_str(),
                  Spread::of(Found.RefusedAfter_).text().c_str(),
                  Spread::of(Found.OthersP99_).text().c_str(),
                  Spread::of(Found.OthersRefused_).text().c_str());
    }
  }
}

} // namespace lychee::bench
