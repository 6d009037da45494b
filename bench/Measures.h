#ifndef LYCHEE_BENCH_MEASURES_H
#define LYCHEE_BENCH_MEASURES_H

#include "scenario/Outcome.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::bench {

/// One column of the bench's output.
struct Measure {
  std::string_view Name_;
  double (*Value_)(const scenario::Outcome &Result);
};

std::span<const Measure> allMeasures() noexcept;

/// \returns the value of each measure.
std::vector<double> measure(const scenario::Outcome &Result);

/// One strategy under one pattern: a value for each seed and measure.
struct Row {
  std::string Deployment_;
  std::string Pattern_;
  std::string Strategy_;
  std::vector<std::uint64_t> Seeds_;
  /// By seed, then by measure.
  std::vector<std::vector<double>> Values_;
};

/// Prints each seed's values, comma-separated.
void printCsv(std::span<const Row> Rows);

/// Prints each measure's median and, where it is not all one, its range.
void printTable(std::span<const Row> Rows);

} // namespace lychee::bench

#endif
