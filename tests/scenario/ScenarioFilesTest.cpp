#include "scenario/Player.h"
#include "scenario/ScenarioParser.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "CppUTest/TestHarness.h"

namespace scenario = lychee::scenario;

namespace {

std::vector<std::filesystem::path> scenarioFiles() {
  std::vector<std::filesystem::path> Files;
  const std::filesystem::path Folder =
      std::filesystem::path(LYCHEE_SOURCE_DIR) / "scenarios";
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    if (Entry.path().extension() == ".scn")
      Files.push_back(Entry.path());
  std::ranges::sort(Files);
  return Files;
}

/// \returns an empty text where the scenario passes, else why it does not.
std::string playFile(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  std::vector<scenario::ScenarioProblem> Problems;
  const auto Parsed = scenario::parseScenario(Text.str(), Problems);
  std::string Report;
  for (const auto &Each : Problems)
    Report += Each.describe() + "\n";
  if (!Parsed)
    return Report;
  const scenario::Verdict Result = scenario::play(*Parsed);
  for (const std::string &Line : Result.Unmet_)
    Report += Line + "\n";
  for (const std::string &Line : Result.Trace_)
    Report += Line + "\n";
  return Report;
}

} // namespace

TEST_GROUP(ScenarioFiles){};

TEST(ScenarioFiles, everyScenarioMeetsItsExpectations) {
  const auto Files = scenarioFiles();
  CHECK(!Files.empty());
  std::string Report;
  for (const auto &File : Files) {
    const std::string Failure = playFile(File);
    if (!Failure.empty())
      Report += File.filename().string() + ":\n" + Failure;
  }
  STRCMP_EQUAL("", Report.c_str());
}
