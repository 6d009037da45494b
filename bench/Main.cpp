#include "Deployments.h"
#include "Measures.h"
#include "Strategies.h"

#include "scenario/Engine.h"
#include "scenario/Player.h"
#include "scenario/RandomScenario.h"
#include "scenario/ScenarioParser.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

DEFINE_string(deployment, "kitakyushu", "kitakyushu or glockenwerk");
DEFINE_string(output, "table", "csv or table");
DEFINE_string(pattern, "", "one pattern only; all where empty");
DEFINE_string(strategy, "", "one strategy only; all where empty");
DEFINE_int32(seeds, 3, "seeds played of each, from 1 on");
DEFINE_int32(threads, 4, "threads that play");
DEFINE_int32(random, 0,
             "plays this many random scenarios and nothing else, seeds from "
             "--first on");
DEFINE_int32(first, 1, "first seed of --random");
DEFINE_string(scenario, "", "plays this scenario file and nothing else");

namespace {

namespace bench = lychee::bench;
namespace scenario = lychee::scenario;
namespace base = lychee::base;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// One run of the bench.
struct Job {
  const bench::Pattern *Pattern_ = nullptr;
  const bench::NamedStrategy *Strategy_ = nullptr;
  std::uint64_t Seed_ = 0;
  std::vector<double> *Values_ = nullptr;
};

int playScenario(const std::string &Path) {
  std::ifstream File(Path);
  if (!File) {
    std::fprintf(stderr, "%s: cannot be read\n", Path.c_str());
    return ExitUsage;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  std::vector<scenario::ScenarioProblem> Problems;
  const auto Parsed = scenario::parseScenario(Text.str(), Problems);
  for (const scenario::ScenarioProblem &Each : Problems)
    std::fprintf(stderr, "%s: %s\n", Path.c_str(), Each.describe().c_str());
  if (!Parsed)
    return ExitUsage;
  const scenario::Verdict Result = scenario::play(*Parsed);
  const bench::Row Row{"",
                       Parsed->Name_,
                       "lycheespoke",
                       {Parsed->Seed_},
                       {bench::measure(Result.Outcome_)}};
  bench::printTable({&Row, 1});
  for (const std::string &Line : Result.Unmet_)
    std::printf("%s: %s\n", Path.c_str(), Line.c_str());
  for (const std::string &Line : Result.Trace_)
    std::printf("  %s\n", Line.c_str());
  std::printf("%s: %s\n", Parsed->Name_.c_str(),
              Result.Unmet_.empty() ? "passed" : "FAILED");
  return Result.Unmet_.empty() ? 0 : ExitFailed;
}

/// \returns what the seed's scenario violates; empty where nothing.
std::string playRandom(std::uint64_t Seed) {
  const scenario::Scenario Played = scenario::makeRandomScenario(Seed);
  const scenario::Verdict Result = scenario::play(Played);
  std::string Report;
  for (const std::string &Line : Result.Unmet_)
    Report += Played.Name_ + ": " + Line + "\n";
  if (Report.empty())
    return Report;
  for (const scenario::EventSpec &Event : Played.Events_)
    Report += "  at " + std::to_string(base::toMilliseconds(Event.At_)) +
              "ms for " +
              std::to_string(
                  base::toMilliseconds(Event.For_.value_or(base::Duration()))) +
              "ms " + std::string(scenario::nameOf(Event.Kind_)) + " " +
              Event.Name_ + "\n";
  constexpr std::size_t TraceLines = 12;
  for (std::size_t Line = 0; Line < std::min(TraceLines, Result.Trace_.size());
       ++Line)
    Report += "  " + Result.Trace_[Line] + "\n";
  return Report;
}

int playRandoms() {
  std::vector<std::string> Reports(static_cast<std::size_t>(FLAGS_random));
  std::atomic<std::size_t> Next = 0;
  {
    std::vector<std::jthread> Threads;
    for (int Thread = 0; Thread < std::max(1, FLAGS_threads); ++Thread)
      Threads.emplace_back([&] {
        for (std::size_t Job = Next++; Job < Reports.size(); Job = Next++)
          Reports[Job] =
              playRandom(Job + static_cast<std::uint64_t>(FLAGS_first));
      });
  }
  int Failed = 0;
  for (const std::string &Report : Reports) {
    Failed += Report.empty() ? 0 : 1;
    std::fputs(Report.c_str(), stdout);
  }
  std::printf("%d random scenarios, %d with a violation\n", FLAGS_random,
              Failed);
  return Failed == 0 ? 0 : ExitFailed;
}

void runJob(const Job &Each) {
  const auto Played =
      bench::makeDeployment(FLAGS_deployment, *Each.Pattern_, Each.Seed_);
  if (!Played)
    return;
  const auto Strategy = Each.Strategy_->Make_();
  *Each.Values_ = bench::measure(scenario::Engine(*Played, *Strategy).run());
}

void runAll(const std::vector<Job> &Jobs) {
  std::atomic<std::size_t> Next = 0;
  std::vector<std::jthread> Threads;
  for (int Thread = 0; Thread < std::max(1, FLAGS_threads); ++Thread)
    Threads.emplace_back([&] {
      for (std::size_t Job = Next++; Job < Jobs.size(); Job = Next++)
        runJob(Jobs[Job]);
    });
}

std::vector<bench::Row> prepareRows(std::vector<Job> &Jobs) {
  std::vector<bench::Row> Rows;
  const auto Seeds = static_cast<std::size_t>(std::max(1, FLAGS_seeds));
  for (const bench::Pattern &Pattern : bench::allPatterns())
    for (const bench::NamedStrategy &Strategy : bench::allStrategies()) {
      if ((!FLAGS_pattern.empty() && FLAGS_pattern != Pattern.Name_) ||
          (!FLAGS_strategy.empty() && FLAGS_strategy != Strategy.Name_))
        continue;
      bench::Row Added;
      Added.Deployment_ = FLAGS_deployment;
      Added.Pattern_ = Pattern.Name_;
      Added.Strategy_ = Strategy.Name_;
      Added.Values_.resize(Seeds);
      for (std::size_t Seed = 1; Seed <= Seeds; ++Seed) {
        Added.Seeds_.push_back(Seed);
        Jobs.push_back({&Pattern, &Strategy, Seed, nullptr});
      }
      Rows.push_back(std::move(Added));
    }
  std::size_t Job = 0;
  for (bench::Row &Row : Rows)
    for (std::vector<double> &Values : Row.Values_)
      Jobs[Job++].Values_ = &Values;
  return Rows;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "plays a deployment against named baselines in virtual time");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (!FLAGS_scenario.empty())
    return playScenario(FLAGS_scenario);
  if (FLAGS_random > 0)
    return playRandoms();
  const bool Csv = FLAGS_output == "csv";
  const bool KnownDeployment =
      bench::makeDeployment(FLAGS_deployment, bench::allPatterns()[0], 1)
          .has_value();
  if (!KnownDeployment || (!Csv && FLAGS_output != "table")) {
    std::fprintf(stderr, "lychee-bench: --deployment kitakyushu|glockenwerk "
                         "--output csv|table\n");
    return ExitUsage;
  }
  std::vector<Job> Jobs;
  const std::vector<bench::Row> Rows = prepareRows(Jobs);
  if (Rows.empty()) {
    std::fprintf(stderr, "lychee-bench: no such pattern or strategy\n");
    return ExitUsage;
  }
  runAll(Jobs);
  if (Csv)
    bench::printCsv(Rows);
  else
    bench::printTable(Rows);
  return 0;
}
