#include "reporting/Metrics.h"

#include "CppUTest/TestHarness.h"

namespace reporting = lychee::reporting;
using reporting::Label;

TEST_GROUP(Metrics) { reporting::Metrics Metrics_; };

TEST(Metrics, textHoldsEverySeries) {
  const Label North[] = {{"region", "north"}};
  const auto Requests = Metrics_.counter("lychee_requests_total", "Taken.");
  Requests.add();
  Requests.add(2);
  Metrics_.gauge("lychee_in_flight", "Running.", North).set(5);
  Metrics_.histogram("lychee_latency_seconds", "Time.").observe(0.003);
  const std::string Text = Metrics_.text();
  STRCMP_CONTAINS("lychee_requests_total 3\n", Text.c_str());
  STRCMP_CONTAINS("lychee_in_flight{region=\"north\"} 5\n", Text.c_str());
  STRCMP_CONTAINS("lychee_latency_seconds_bucket{le=\"0.002\"} 0\n",
                  Text.c_str());
  STRCMP_CONTAINS("lychee_latency_seconds_bucket{le=\"0.005\"} 1\n",
                  Text.c_str());
}

TEST(Metrics, theSameLabelsGiveTheSameSeries) {
  const Label North[] = {{"region", "north"}};
  Metrics_.counter("a_total", "A.", North).add();
  Metrics_.counter("a_total", "A.", North).add();
  STRCMP_CONTAINS("a_total{region=\"north\"} 2\n", Metrics_.text().c_str());
}

// A label takes its value from something that callers choose. Each value would
// be a series for good, and the process would grow until it ends. Past the
// limit all further values share one series, so the sum still holds.
TEST(Metrics, aLabelWithoutBoundCannotTakeTheMemory) {
  const std::size_t Extra = 100;
  for (std::size_t Index = 0; Index < reporting::Metrics::SeriesLimit + Extra;
       ++Index) {
    const std::string Value = std::to_string(Index);
    const Label Labels[] = {{"caller", Value}};
    Metrics_.counter("b_total", "B.", Labels).add();
  }
  STRCMP_CONTAINS("b_total{caller=\"other\"} 100\n", Metrics_.text().c_str());
}

TEST(Metrics, aLabelValueCannotForgeALine) {
  const Label Labels[] = {{"reason", "x\"} 1\nforged_total 9"}};
  Metrics_.counter("c_total", "C.", Labels).add();
  CHECK(Metrics_.text().find("\nforged_total") == std::string::npos);
}
