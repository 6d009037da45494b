#include "Measures.h"

#include "scenario/Metric.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lychee::bench {

namespace {

using scenario::Outcome;

template <int PerMille> double latency(const Outcome &Result) {
  return scenario::quantile(Result.merged("").LatencyMilliseconds_,
                            PerMille / 1000.0);
}

double wrongfulPercent(const Outcome &Result) {
  const scenario::LoadOutcome All = Result.merged("");
  return 100.0 * static_cast<double>(All.WronglyRefused_) /
         static_cast<double>(std::max<std::uint64_t>(All.Conforming_, 1));
}

double leastSharePercent(const Outcome &Result) {
  return 100 * scenario::leastShare(Result);
}

double peakPercent(const Outcome &Result) { return 100 * Result.PeakUse_; }

double headroomPercent(const Outcome &Result) { return 100 * Result.Headroom_; }

double drainTime(const Outcome &Result) { return Result.DrainMilliseconds_; }

double resendPercent(const Outcome &Result) {
  return 100.0 * static_cast<double>(Result.Resends_) /
         static_cast<double>(std::max<std::uint64_t>(Result.Sends_, 1));
}

template <std::uint64_t scenario::Violations::*Member>
double violation(const Outcome &Result) {
  return static_cast<double>(Result.Violations_.*Member);
}

using V = scenario::Violations;

constexpr std::array Measures{
    Measure{"p50_ms", latency<500>},
    Measure{"p99_ms", latency<990>},
    Measure{"p999_ms", latency<999>},
    Measure{"wrongful_%", wrongfulPercent},
    Measure{"worst/median", scenario::worstToMedian},
    Measure{"least_share_%", leastSharePercent},
    Measure{"peak_use_%", peakPercent},
    Measure{"headroom_%", headroomPercent},
    Measure{"over_capacity", violation<&V::OverCapacity_>},
    Measure{"over_rate", violation<&V::OverRate_>},
    Measure{"over_cap", violation<&V::OverCap_>},
    Measure{"ran_twice", violation<&V::RanTwice_>},
    Measure{"false_not_run", violation<&V::FalseNotRun_>},
    Measure{"drain_ms", drainTime},
    Measure{"resends_%", resendPercent},
};

std::string describe(std::vector<double> Values) {
  std::ranges::sort(Values);
  const double Median = scenario::quantile(Values, 0.5);
  std::array<char, 64> Text{};
  if (Values.front() == Values.back())
    std::snprintf(Text.data(), Text.size(), "%.4g", Median);
  else
    std::snprintf(Text.data(), Text.size(), "%.4g (%.3g-%.3g)", Median,
                  Values.front(), Values.back());
  return Text.data();
}

} // namespace

std::span<const Measure> allMeasures() noexcept { return Measures; }

std::vector<double> measure(const Outcome &Result) {
  std::vector<double> Values;
  Values.reserve(Measures.size());
  for (const Measure &Each : Measures)
    Values.push_back(Each.Value_(Result));
  return Values;
}

void printCsv(std::span<const Row> Rows) {
  std::printf("deployment,pattern,strategy,seed");
  for (const Measure &Each : Measures)
    std::printf(",%s", std::string(Each.Name_).c_str());
  std::printf("\n");
  for (const Row &Each : Rows)
    for (std::size_t Seed = 0; Seed < Each.Seeds_.size(); ++Seed) {
      std::printf("%s,%s,%s,%llu", Each.Deployment_.c_str(),
                  Each.Pattern_.c_str(), Each.Strategy_.c_str(),
                  static_cast<unsigned long long>(Each.Seeds_[Seed]));
      for (const double Value : Each.Values_[Seed])
        std::printf(",%.6g", Value);
      std::printf("\n");
    }
}

void printTable(std::span<const Row> Rows) {
  std::printf("| pattern | strategy |");
  for (const Measure &Each : Measures)
    std::printf(" %s |", std::string(Each.Name_).c_str());
  std::printf("\n|---|---|");
  for (std::size_t Column = 0; Column < Measures.size(); ++Column)
    std::printf("---|");
  std::printf("\n");
  for (const Row &Each : Rows) {
    std::printf("| %s | %s |", Each.Pattern_.c_str(), Each.Strategy_.c_str());
    for (std::size_t Column = 0; Column < Measures.size(); ++Column) {
      std::vector<double> Values;
      Values.reserve(Each.Values_.size());
      for (const std::vector<double> &OfSeed : Each.Values_)
        Values.push_back(OfSeed[Column]);
      std::printf(" %s |", describe(Values).c_str());
    }
    std::printf("\n");
  }
}

} // namespace lychee::bench
