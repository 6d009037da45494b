#include "scenario/ScenarioParser.h"

#include "CppUTest/TestHarness.h"

namespace scenario = lychee::scenario;

namespace {

constexpr const char *Small = "scenario small\n"
                              "region north\n"
                              "hosts north count=2\n"
                              "service rota work=mixed:20ms,2s,5%\n"
                              "targets rota north count=3 slots=4\n"
                              "customer parish rate=10 burst=5\n"
                              "load parish rota rate=8 from=north key=old\n";

std::optional<scenario::Scenario>
parse(const std::string &Text,
      std::vector<scenario::ScenarioProblem> &Problems) {
  return scenario::parseScenario(Text, Problems);
}

/// \returns the first problem of \p Line added to a good scenario.
std::string problemOf(const std::string &Line) {
  std::vector<scenario::ScenarioProblem> Problems;
  CHECK_FALSE(parse(Small + Line + "\n", Problems).has_value());
  return Problems.empty() ? "none" : Problems.front().describe();
}

} // namespace

TEST_GROUP(ScenarioParser){};

TEST(ScenarioParser, readsADeployment) {
  std::vector<scenario::ScenarioProblem> Problems;
  const auto Found = parse(Small, Problems);
  CHECK(Found.has_value());
  const scenario::Scenario Parsed = Found.value_or(scenario::Scenario{});
  LONGS_EQUAL(0, Problems.size());
  LONGS_EQUAL(2, Parsed.Hosts_[0].Count_);
  STRCMP_EQUAL("parish/old", Parsed.Loads_[0].Label_.c_str());
  DOUBLES_EQUAL(0.05, Parsed.Services_[0].Work_.LongShare_, 1e-9);
  CHECK(Parsed.Services_[0].Work_.Long_ == std::chrono::seconds(2));
}

TEST(ScenarioParser, readsEventsAndExpectations) {
  std::vector<scenario::ScenarioProblem> Problems;
  const auto Found = parse(std::string(Small) +
                               "at 2s for 500ms target rota-north* slow=3 # c\n"
                               "expect p99 of=parish at-most=250ms\n"
                               "expect share at-least=99%\n",
                           Problems);
  CHECK(Found.has_value());
  const scenario::Scenario Parsed = Found.value_or(scenario::Scenario{});
  CHECK(Parsed.Events_[0].Kind_ == scenario::EventSpec::Kind::TargetSlow);
  CHECK(Parsed.Events_[0].For_ == std::chrono::milliseconds(500));
  DOUBLES_EQUAL(250, Parsed.Expectations_[0].Value_, 1e-9);
  DOUBLES_EQUAL(0.99, Parsed.Expectations_[1].Value_, 1e-9);
}

TEST(ScenarioParser, aFaultNamesItsLineWhatStoodThereAndWhatMay) {
  STRCMP_EQUAL("line 8: found count=many, allowed a whole number from 1 on",
               problemOf("hosts north count=many").c_str());
  STRCMP_EQUAL("line 8: found no slots, allowed slots=a whole number from 1 on",
               problemOf("targets rota north count=3").c_str());
  STRCMP_EQUAL("line 8: found target 'rota-south-1', allowed rota-north-1, "
               "rota-north-2, rota-north-3",
               problemOf("at 1s target rota-south-1 down").c_str());
  STRCMP_EQUAL("line 8: found option speed, allowed the options of this line, "
               "see SCENARIOS.md",
               problemOf("at 1s drain rota-north-1 speed=3").c_str());
  STRCMP_EQUAL("line 8: found soon, allowed a time such as 250ms or 5s",
               problemOf("at soon peers cut").c_str());
  STRCMP_EQUAL("line 8: found rate twice, allowed each option once",
               problemOf("customer abbey rate=1 rate=2 burst=1").c_str());
}

TEST(ScenarioParser, namesThatStandForNothingAreFaults) {
  STRCMP_EQUAL("line 8: found load 'abbey', allowed parish, parish/old",
               problemOf("expect p99 of=abbey at-most=1s").c_str());
  STRCMP_EQUAL("line 8: found shift 'move', allowed a shift that is declared",
               problemOf("at 1s hold move").c_str());
}

TEST(ScenarioParser, tellsAllFaultsAtOnce) {
  std::vector<scenario::ScenarioProblem> Problems;
  parse("scenario a\nfoo\nregion\nexpect p98 at-most=1s\n", Problems);
  LONGS_EQUAL(3, Problems.size());
  LONGS_EQUAL(2, Problems[0].Line_);
  LONGS_EQUAL(3, Problems[1].Line_);
  LONGS_EQUAL(4, Problems[2].Line_);
}
