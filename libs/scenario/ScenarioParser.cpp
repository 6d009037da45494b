#include "scenario/ScenarioParser.h"

#include "scenario/EventParser.h"
#include "scenario/Metric.h"
#include "scenario/ScenarioCheck.h"
#include "scenario/ScenarioLine.h"
#include "scenario/Units.h"

#include <algorithm>
#include <array>

namespace lychee::scenario {

namespace {

constexpr std::string_view TimeForm = "a time such as 250ms or 5s";
constexpr std::string_view CountForm = "a whole number from 1 on";
constexpr std::string_view NumberForm = "a number from 0 on";
constexpr std::string_view ShareForm = "a share such as 80% or 0.8";
constexpr std::string_view WorkForm =
    "fixed:T, exponential:T or mixed:T,LONG,SHARE";

std::optional<std::uint32_t> parseCount(std::string_view Text) {
  const auto Value = parseNumber(Text);
  const bool Whole = Value && *Value == static_cast<std::uint32_t>(*Value);
  if (!Whole || *Value < 1)
    return std::nullopt;
  return static_cast<std::uint32_t>(*Value);
}

void readName(ScenarioLine &Line, Scenario &Made) {
  Made.Name_ = Line.word("the scenario's name");
}

void readSeed(ScenarioLine &Line, Scenario &Made) {
  Made.Seed_ = static_cast<std::uint64_t>(Line.word(parseNumber, NumberForm));
}

template <base::Duration Scenario::*Member>
void readTime(ScenarioLine &Line, Scenario &Made) {
  Made.*Member = Line.word(parseDuration, TimeForm);
}

void readColdFactor(ScenarioLine &Line, Scenario &Made) {
  Made.ColdFactor_ = Line.word(parseNumber, NumberForm);
}

void readRegion(ScenarioLine &Line, Scenario &Made) {
  do
    Made.Regions_.push_back(Line.word("a region's name"));
  while (Line.hasWord());
}

void readLink(ScenarioLine &Line, Scenario &Made) {
  LinkSpec Link;
  Link.Line_ = Line.number();
  Link.Left_ = Line.word("a region");
  Link.Right_ = Line.word("a region");
  Link.OneWayDelay_ =
      Line.option("delay", parseDuration, TimeForm, Link.OneWayDelay_);
  Link.BitsPerSecond_ = Line.option(
      "capacity", parseBitRate, "a rate such as 4Gbit", Link.BitsPerSecond_);
  Made.Links_.push_back(Link);
}

void readHosts(ScenarioLine &Line, Scenario &Made) {
  HostsSpec Hosts;
  Hosts.Line_ = Line.number();
  Hosts.Region_ = Line.word("a region");
  Hosts.Count_ = Line.required("count", parseCount, CountForm);
  Made.Hosts_.push_back(Hosts);
}

void readService(ScenarioLine &Line, Scenario &Made) {
  ServiceSpec Service;
  Service.Name_ = Line.word("a service's name");
  Service.Deadline_ =
      Line.option("deadline", parseDuration, TimeForm, Service.Deadline_);
  Service.Work_ = Line.required("work", parseServiceTime, WorkForm);
  Made.Services_.push_back(Service);
}

void readTargets(ScenarioLine &Line, Scenario &Made) {
  TargetsSpec Targets;
  Targets.Line_ = Line.number();
  Targets.Service_ = Line.word("a service");
  Targets.Region_ = Line.word("a region");
  Targets.Count_ = Line.required("count", parseCount, CountForm);
  Targets.Slots_ = Line.required("slots", parseCount, CountForm);
  Made.Targets_.push_back(Targets);
}

void readCustomer(ScenarioLine &Line, Scenario &Made) {
  CustomerSpec Customer;
  Customer.Name_ = Line.word("a customer's name");
  Customer.RatePerSecond_ = Line.required("rate", parseNumber, NumberForm);
  Customer.Burst_ = Line.required("burst", parseNumber, NumberForm);
  Customer.Weight_ = Line.option("weight", parseCount, CountForm, 1U);
  Made.Customers_.push_back(Customer);
}

void readLoad(ScenarioLine &Line, Scenario &Made) {
  LoadSpec Load;
  Load.Line_ = Line.number();
  Load.Customer_ = Line.word("a customer");
  Load.Service_ = Line.word("a service");
  Load.Key_ = Line.textOption("key", "");
  Load.Label_ =
      Load.Key_.empty() ? Load.Customer_ : Load.Customer_ + "/" + Load.Key_;
  Load.Label_ = Line.textOption("label", Load.Label_);
  Load.RatePerSecond_ = Line.required("rate", parseNumber, NumberForm);
  Load.From_ = Line.textOption("from", "");
  Load.Callers_ = Line.option("callers", parseCount, CountForm, Load.Callers_);
  Load.Idempotent_ =
      Line.option("idempotent", parseShare, ShareForm, Load.Idempotent_);
  Load.BodyBytes_ =
      Line.option("body", parseBytes, "a size such as 2MB", Load.BodyBytes_);
  if (Line.hasOption("work"))
    Load.Work_ = Line.required("work", parseServiceTime, WorkForm);
  Made.Loads_.push_back(Load);
}

void readBound(ScenarioLine &Line, const Metric &Measure,
               ExpectationSpec &Wanted) {
  const std::string Name = Line.hasOption("at-least") ? "at-least" : "at-most";
  Wanted.Bound_ = Name == "at-least" ? ExpectationSpec::Bound::AtLeast
                                     : ExpectationSpec::Bound::AtMost;
  switch (Measure.Unit_) {
  case Metric::Unit::Milliseconds:
    Wanted.Value_ =
        1000 * base::toSeconds(Line.required(Name, parseDuration, TimeForm));
    return;
  case Metric::Unit::Share:
    Wanted.Value_ = Line.required(Name, parseShare, ShareForm);
    return;
  case Metric::Unit::Count:
    Wanted.Value_ = Line.required(Name, parseNumber, NumberForm);
    return;
  }
}

void readExpectation(ScenarioLine &Line, Scenario &Made) {
  ExpectationSpec Wanted;
  Wanted.Line_ = Line.number();
  Wanted.Metric_ = Line.word("a metric");
  Wanted.Of_ = Line.textOption("of", "");
  Wanted.Reason_ = Line.textOption("reason", "");
  const Metric *Measure = findMetric(Wanted.Metric_);
  if (Measure) {
    readBound(Line, *Measure, Wanted);
    Made.Expectations_.push_back(Wanted);
    return;
  }
  std::string Names;
  for (const Metric &Known : allMetrics())
    Names += (Names.empty() ? "" : ", ") + std::string(Known.Name_);
  Line.problem("metric " + Wanted.Metric_, Names);
}

struct Statement {
  std::string_view Name_;
  void (*Read_)(ScenarioLine &Line, Scenario &Made);
};

constexpr std::array Statements{
    Statement{"scenario", readName},
    Statement{"seed", readSeed},
    Statement{"duration", readTime<&Scenario::Duration_>},
    Statement{"warmup", readTime<&Scenario::Warmup_>},
    Statement{"client-delay", readTime<&Scenario::ClientDelay_>},
    Statement{"report-lag", readTime<&Scenario::ReportLag_>},
    Statement{"cold-factor", readColdFactor},
    Statement{"region", readRegion},
    Statement{"link", readLink},
    Statement{"hosts", readHosts},
    Statement{"service", readService},
    Statement{"targets", readTargets},
    Statement{"customer", readCustomer},
    Statement{"load", readLoad},
    Statement{"at", readEvent},
    Statement{"expect", readExpectation},
};

void readStatement(ScenarioLine &Line, Scenario &Made) {
  const std::string Verb = Line.word("a statement");
  const auto *Found = std::ranges::find(Statements, Verb, &Statement::Name_);
  if (Found != Statements.end()) {
    Found->Read_(Line, Made);
    Line.finish();
    return;
  }
  std::string Names;
  for (const Statement &Known : Statements)
    Names += (Names.empty() ? "" : ", ") + std::string(Known.Name_);
  Line.problem(Verb, Names);
}

} // namespace

std::string ScenarioProblem::describe() const {
  return "line " + std::to_string(Line_) + ": found " + Found_ + ", allowed " +
         Allowed_;
}

std::optional<Scenario> parseScenario(std::string_view Text,
                                      std::vector<ScenarioProblem> &Problems) {
  const std::size_t Before = Problems.size();
  Scenario Made;
  int Number = 0;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    ScenarioLine Line(++Number, Text.substr(0, End), Problems);
    if (!Line.empty())
      readStatement(Line, Made);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  if (Problems.size() == Before)
    checkScenario(Made, Problems);
  if (Problems.size() != Before)
    return std::nullopt;
  return Made;
}

} // namespace lychee::scenario
