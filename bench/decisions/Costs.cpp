#include "Trial.h"

#include "admission/AdmissionControl.h"
#include "base/SystemClock.h"
#include "placement/TargetPool.h"
#include "retrying/CrashSuspects.h"
#include "retrying/RetryVerdict.h"
#include "shifting/ShiftSet.h"

#include <cstdio>
#include <string>

namespace lychee::bench {

namespace {

using placement::Outcome;
using placement::TargetIndex;
using placement::TargetPool;
using namespace std::chrono_literals;

constexpr int Rounds = 11;

/// Keeps the compiler from dropping what is measured.
volatile std::uint64_t Sink = 0;

/// Runs \p Step often, several times over, and prints nanoseconds a step.
template <typename StepType>
void measure(const std::string &Name, int Steps, StepType Step) {
  std::vector<double> Costs;
  for (int Round = 0; Round < Rounds; ++Round) {
    const base::TimePoint Begin = base::SystemClock::monotonicNow();
    for (int Each = 0; Each < Steps; ++Each)
      Step();
    const base::Duration Took = base::SystemClock::monotonicNow() - Begin;
    Costs.push_back(static_cast<double>(Took.count()) / Steps);
  }
  std::printf("| %s | %s |\n", Name.c_str(), Spread::of(Costs).text().c_str());
}

/// A pool at \p Busy of its slots, of which this host holds a tenth, and two
/// peers' counts the rest.
void measurePlacement(std::uint32_t Targets, double Busy) {
  constexpr std::uint32_t Slots = 3;
  base::Random Numbers(1);
  base::TimePoint Now(100s);
  TargetPool Pool(base::HostId("self"));
  std::vector<base::HostId> Peers;
  Peers.reserve(9);
  for (int Each = 0; Each < 9; ++Each)
    Peers.emplace_back("peer-" + std::to_string(Each));
  std::vector<placement::TargetSpec> Specs;
  Specs.reserve(Targets);
  for (std::uint32_t Each = 0; Each < Targets; ++Each)
    Specs.push_back(
        {base::TargetId("target-" + std::to_string(Each)), Slots, false});
  Pool.setTargets(Specs, Now);
  Pool.setPeers(Peers);
  const auto Share = static_cast<std::uint32_t>(Busy * Targets * Slots / 10);
  for (const base::HostId &Peer : Peers) {
    std::vector<placement::InFlight> Counts;
    Counts.reserve(Share);
    for (std::uint32_t Each = 0; Each < Share; ++Each)
      Counts.push_back({base::drawBelow(Numbers, Targets), 1});
    Pool.recordPeerLoads(Peer, Counts, Now);
  }
  std::vector<TargetIndex> Running;
  for (std::uint32_t Each = 0; Each < Share; ++Each)
    if (const auto Chosen = Pool.choose({}, Now, Numbers).Target_) {
      Pool.recordStart(*Chosen);
      Running.push_back(*Chosen);
    }
  std::size_t Next = 0;
  measure("place: choose, start, finish; " + std::to_string(Targets) +
              " targets, " + std::to_string(static_cast<int>(100 * Busy)) +
              "% busy",
          200000, [&] {
            Now += 100us;
            const auto Chosen = Pool.choose({}, Now, Numbers).Target_;
            if (!Chosen || Running.empty())
              return;
            Pool.recordStart(*Chosen);
            Pool.recordFinish(Running[Next], Outcome::Success, 20ms, Now);
            Running[Next] = *Chosen;
            Next = (Next + 1) % Running.size();
            Sink = Sink + *Chosen;
          });
}

void measureAdmission(int Customers, bool Busy) {
  admission::AdmissionControl Control({});
  base::TimePoint Now(100s);
  std::vector<admission::CustomerIndex> Index;
  Index.reserve(static_cast<std::size_t>(Customers));
  for (int Each = 0; Each < Customers; ++Each)
    Index.push_back(Control.registerCustomer(
        base::CustomerId("customer-" + std::to_string(Each)), 1));
  base::Random Numbers(1);
  std::vector<admission::DroppedRequest> Left;
  const auto Ask = [&](bool Room) {
    admission::AdmissionRequest Asks;
    Asks.Customer_ =
        Index[base::drawBelow(Numbers, static_cast<std::uint32_t>(Customers))];
    Asks.Caller_ = base::drawBelow(Numbers, 100);
    Asks.Deadline_ = Now + 10s;
    Asks.HasCapacity_ = Room;
    return Control.admit(Asks, Now);
  };
  for (int Each = 0; Each < 10; ++Each)
    Ask(true);
  for (int Each = 0; Busy && Each < 10 * Customers; ++Each)
    Ask(false);
  const std::string Name =
      "admit: " + std::to_string(Customers) + " customers, " +
      (Busy ? "arrive, finish, next in line" : "arrive with room, finish");
  measure(Name, 200000, [&] {
    Now += 10us;
    const auto Verdict = Ask(!Busy);
    Control.recordCompletion(Index[0], 1, Verdict.ExpectedWork_, 20ms, true,
                             Now);
    if (!Busy)
      return;
    const auto Next = Control.dequeue(Now, Left);
    Sink = Sink + (Next ? Next->Caller_ : 0);
  });
}

void measureRetrying() {
  retrying::CrashSuspects Suspects;
  base::TimePoint Now(100s);
  std::uint64_t Request = 1;
  const auto Check = [&] {
    Request = Request * 6364136223846793005ULL + 1;
    Sink = Sink +
           static_cast<std::uint64_t>(
               Suspects.suspectUntil(Request, Now).time_since_epoch().count());
  };
  measure("crash suspect: nothing known", 1000000, Check);
  for (std::uint64_t Each = 0; Each < 1000; ++Each)
    Suspects.recordTargetLoss(Each * 7919, base::TargetId("t"), Now);
  measure("crash suspect: 1,000 losses known", 1000000, Check);
}

void measureShifting() {
  shifting::ShiftSet Plans;
  std::vector<shifting::ShiftPlan> Declared;
  for (const char *Name : {"first", "second"}) {
    shifting::ShiftPlan Plan;
    Plan.Id_ = base::PlanId(Name);
    Plan.From_ = base::RegionId("from");
    Plan.To_ = base::RegionId("to");
    Plan.Cap_ = 0.3;
    Declared.push_back(Plan);
  }
  Plans.setPlans(Declared);
  for (const shifting::ShiftPlan &Plan : Declared)
    Plans.adoptPeerShare(Plan.Id_, 0.2);
  const base::RegionId Home("from");
  const shifting::ShiftSet::HeadroomCheck Headroom =
      [](const base::RegionId &) { return true; };
  std::uint64_t Caller = 1;
  measure("shift: route with two plans", 1000000, [&] {
    Caller = Caller * 6364136223846793005ULL + 1;
    Sink = Sink + Plans.route(Caller, Home, Headroom).Plan_.name().size();
  });
}

} // namespace

void runCosts() {
  std::printf("| decision | ns, median of 11 rounds (least-most) |\n"
              "|---|---|\n");
  for (const std::uint32_t Targets : {30U, 100U, 300U, 1100U})
    for (const double Busy : {0.5, 0.8, 1.0})
      measurePlacement(Targets, Busy);
  for (const int Customers : {8, 100, 1000}) {
    measureAdmission(Customers, false);
    measureAdmission(Customers, true);
  }
  measureRetrying();
  measureShifting();
}

} // namespace lychee::bench
