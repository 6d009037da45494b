#include "scenario/Metric.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace lychee::scenario {

namespace {

std::set<std::string> customersOf(const Outcome &Result) {
  std::set<std::string> Names;
  for (const LoadOutcome &Load : Result.Loads_)
    Names.insert(Load.Customer_);
  return Names;
}

double ratio(std::uint64_t Part, std::uint64_t Whole) noexcept {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

template <int PerMille>
double latency(const Outcome &Result, const ExpectationSpec &Wanted) {
  return quantile(Result.merged(Wanted.Of_).LatencyMilliseconds_,
                  PerMille / 1000.0);
}

double answered(const Outcome &Result, const ExpectationSpec &Wanted) {
  return static_cast<double>(
      Result.merged(Wanted.Of_).LatencyMilliseconds_.size());
}

double refused(const Outcome &Result, const ExpectationSpec &Wanted) {
  const LoadOutcome Load = Result.merged(Wanted.Of_);
  if (Wanted.Reason_.empty())
    return static_cast<double>(Load.refused());
  for (const auto &[Reason, Count] : Load.Refused_)
    if (steering::nameOf(Reason) == Wanted.Reason_)
      return static_cast<double>(Count);
  return 0;
}

double refusedShare(const Outcome &Result, const ExpectationSpec &Wanted) {
  const double Asked = static_cast<double>(Result.merged(Wanted.Of_).Asked_);
  return Asked == 0 ? 0 : refused(Result, Wanted) / Asked;
}

double wrongful(const Outcome &Result, const ExpectationSpec &Wanted) {
  const LoadOutcome Load = Result.merged(Wanted.Of_);
  return ratio(Load.WronglyRefused_, Load.Conforming_);
}

double share(const Outcome &Result, const ExpectationSpec &Wanted) {
  const LoadOutcome Load = Result.merged(Wanted.Of_);
  return ratio(Load.ConformingAnswered_, Load.Conforming_);
}

double lost(const Outcome &Result, const ExpectationSpec &Wanted) {
  return static_cast<double>(Result.merged(Wanted.Of_).Lost_);
}

double moved(const Outcome &Result, const ExpectationSpec &Wanted) {
  const auto Found = Result.MovedShare_.find(Wanted.Of_);
  return Found == Result.MovedShare_.end() ? 0 : Found->second;
}

template <std::uint64_t Violations::*Member>
double violation(const Outcome &Result, const ExpectationSpec &) {
  return static_cast<double>(Result.Violations_.*Member);
}

template <std::uint64_t Outcome::*Member>
double count(const Outcome &Result, const ExpectationSpec &) {
  return static_cast<double>(Result.*Member);
}

template <double Outcome::*Member>
double number(const Outcome &Result, const ExpectationSpec &) {
  return Result.*Member;
}

double worst(const Outcome &Result, const ExpectationSpec &) {
  return worstToMedian(Result);
}

double resendShare(const Outcome &Result, const ExpectationSpec &) {
  return ratio(Result.Resends_, Result.Sends_);
}

using enum Metric::Unit;

constexpr std::array Metrics{
    Metric{"p50", Milliseconds, latency<500>},
    Metric{"p99", Milliseconds, latency<990>},
    Metric{"p999", Milliseconds, latency<999>},
    Metric{"answered", Count, answered},
    Metric{"refused", Count, refused},
    Metric{"refused-share", Share, refusedShare},
    Metric{"wrongful", Share, wrongful},
    Metric{"share", Share, share},
    Metric{"lost", Count, lost},
    Metric{"worst-to-median", Count, worst},
    Metric{"ran-twice", Count, violation<&Violations::RanTwice_>},
    Metric{"false-not-run", Count, violation<&Violations::FalseNotRun_>},
    Metric{"over-rate", Count, violation<&Violations::OverRate_>},
    Metric{"over-capacity", Count, violation<&Violations::OverCapacity_>},
    Metric{"over-cap", Count, violation<&Violations::OverCap_>},
    Metric{"peak-use", Share, number<&Outcome::PeakUse_>},
    Metric{"headroom", Share, number<&Outcome::Headroom_>},
    Metric{"moved", Share, moved},
    Metric{"targets-crashed", Count, count<&Outcome::TargetsCrashed_>},
    Metric{"sent-to-leaving", Count, count<&Outcome::SentToLeaving_>},
    Metric{"drain-time", Milliseconds, number<&Outcome::DrainMilliseconds_>},
    Metric{"resend-share", Share, resendShare},
};

std::string describe(const ExpectationSpec &Wanted, double Value) {
  const bool AtMost = Wanted.Bound_ == ExpectationSpec::Bound::AtMost;
  std::array<char, 256> Line{};
  std::snprintf(Line.data(), Line.size(),
                "line %d: expected %s%s%s%s%s %s %g, was %g", Wanted.Line_,
                Wanted.Metric_.c_str(), Wanted.Of_.empty() ? "" : " of ",
                Wanted.Of_.c_str(), Wanted.Reason_.empty() ? "" : " reason ",
                Wanted.Reason_.c_str(), AtMost ? "at most" : "at least",
                Wanted.Value_, Value);
  return Line.data();
}

} // namespace

std::span<const Metric> allMetrics() noexcept { return Metrics; }

const Metric *findMetric(std::string_view Name) noexcept {
  const auto *Found = std::ranges::find(Metrics, Name, &Metric::Name_);
  return Found == Metrics.end() ? nullptr : Found;
}

std::vector<std::string> unmetExpectations(const Scenario &Played,
                                           const Outcome &Result) {
  std::vector<std::string> Unmet;
  for (const ExpectationSpec &Wanted : Played.Expectations_) {
    const Metric *Measure = findMetric(Wanted.Metric_);
    if (!Measure)
      continue;
    const double Value = Measure->Value_(Result, Wanted);
    const bool Met = Wanted.Bound_ == ExpectationSpec::Bound::AtMost
                         ? Value <= Wanted.Value_
                         : Value >= Wanted.Value_;
    if (!Met)
      Unmet.push_back(describe(Wanted, Value));
  }
  return Unmet;
}

double worstToMedian(const Outcome &Result) {
  constexpr std::size_t FewestAnswers = 50;
  std::vector<double> P99;
  for (const std::string &Customer : customersOf(Result)) {
    const LoadOutcome Load = Result.merged(Customer);
    if (Load.LatencyMilliseconds_.size() >= FewestAnswers)
      P99.push_back(quantile(Load.LatencyMilliseconds_, 0.99));
  }
  const double Median = quantile(P99, 0.5);
  return Median > 0 ? *std::ranges::max_element(P99) / Median : 0;
}

double leastShare(const Outcome &Result) {
  double Least = 1;
  for (const std::string &Customer : customersOf(Result)) {
    const LoadOutcome Load = Result.merged(Customer);
    if (Load.Conforming_ > 0)
      Least =
          std::min(Least, ratio(Load.ConformingAnswered_, Load.Conforming_));
  }
  return Least;
}

} // namespace lychee::scenario
