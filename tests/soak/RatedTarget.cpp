#include "soak/RatedTarget.h"

#include "base/SystemClock.h"
#include "support/RateWindows.h"

#include <algorithm>
#include <array>

namespace lychee::soak {

using base::SystemClock;
using namespace std::chrono_literals;

namespace {

/// Requests per second, as the target writes them.
constexpr std::array Rates = {"0.5", "1", "2.1", "2.9", "4", "7.5"};
constexpr double LeastHold = 0.8;
constexpr double MostHold = 4;
/// A lower rate is known to the host that grants tokens within this.
constexpr base::Duration NewsTime = 1s;

} // namespace

RatedTarget::RatedTarget(tests::LiveFleet &Fleet, std::size_t Index,
                         std::uint64_t Seed)
    : Fleet_(Fleet), Index_(Index), Random_(Seed) {
  state();
  Thread_ = std::thread([this] { run(); });
}

RatedTarget::~RatedTarget() {
  Stopping_ = true;
  Thread_.join();
}

void RatedTarget::state() {
  standins::target::Faults Set;
  Set.StatedRate_ = Rates[Random_() % Rates.size()];
  Statements_.push_back(
      {SystemClock::monotonicNow(), std::stod(Set.StatedRate_)});
  Fleet_.target(Index_).setFaults(Set);
}

void RatedTarget::run() {
  while (!Stopping_) {
    const base::TimePoint Next =
        SystemClock::monotonicNow() +
        base::fromSeconds(LeastHold +
                          base::drawUnit(Random_) * (MostHold - LeastHold));
    while (!Stopping_ && SystemClock::monotonicNow() < Next)
      std::this_thread::sleep_for(10ms);
    if (!Stopping_)
      state();
  }
}

double RatedTarget::highestRate(base::TimePoint Begin,
                                base::TimePoint End) const {
  double Highest = 0;
  for (std::size_t Each = 0; Each < Statements_.size(); ++Each) {
    const bool IsLast = Each + 1 == Statements_.size();
    if (Statements_[Each].Since_ <= End &&
        (IsLast || Statements_[Each + 1].Since_ >= Begin))
      Highest = std::max(Highest, Statements_[Each].PerSecond_);
  }
  return Highest;
}

std::vector<std::string>
RatedTarget::broken(const std::vector<base::TimePoint> &HostStarts,
                    std::size_t Callers) const {
  std::vector<std::string> Found;
  const std::vector<base::TimePoint> Arrivals =
      Fleet_.target(Index_).counts().arrivals();
  if (Arrivals.empty())
    Found.emplace_back("rated-target-got-nothing");
  const base::TimePoint First =
      Statements_.front().Since_ + tests::RateSettlingTime;
  for (auto Last = Arrivals.begin(); Last != Arrivals.end(); ++Last) {
    const base::TimePoint Begin = *Last - tests::RateWindow;
    if (Begin < First)
      continue;
    const auto Count =
        std::count_if(Arrivals.begin(), Last + 1,
                      [Begin](base::TimePoint Each) { return Each > Begin; });
    const auto Starts = std::count_if(
        HostStarts.begin(), HostStarts.end(), [&](base::TimePoint Each) {
          return Each > Begin - tests::RateSettlingTime && Each <= *Last;
        });
    const double Allowed =
        tests::allowedInWindow(highestRate(Begin - NewsTime, *Last)) +
        static_cast<double>(Starts) * static_cast<double>(Callers);
    if (static_cast<double>(Count) > Allowed)
      Found.push_back("stated-rate requests=" + std::to_string(Count) +
                      " allowed=" + std::to_string(Allowed) + " at_ms=" +
                      std::to_string(base::toMilliseconds(
                          *Last - Statements_.front().Since_)));
  }
  return Found;
}

} // namespace lychee::soak
