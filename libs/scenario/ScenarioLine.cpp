#include "scenario/ScenarioLine.h"

#include <sstream>

namespace lychee::scenario {

ScenarioLine::ScenarioLine(int Number, std::string_view Text,
                           std::vector<ScenarioProblem> &Problems)
    : Number_(Number), Problems_(Problems) {
  std::istringstream Stream{std::string(Text.substr(0, Text.find('#')))};
  std::string Word;
  while (Stream >> Word) {
    const auto Equals = Word.find('=');
    if (Equals == std::string::npos) {
      Words_.push_back(Word);
      continue;
    }
    const std::string Name = Word.substr(0, Equals);
    if (!Options_.emplace(Name, Word.substr(Equals + 1)).second)
      problem(Name + " twice", "each option once");
  }
}

std::string ScenarioLine::word(std::string_view Allowed) {
  if (hasWord())
    return Words_[Next_++];
  problem("the end of the line", std::string(Allowed));
  return {};
}

bool ScenarioLine::takeWord(std::string_view Expected) {
  if (!hasWord() || Words_[Next_] != Expected)
    return false;
  ++Next_;
  return true;
}

std::string ScenarioLine::textOption(const std::string &Name,
                                     std::string Fallback) {
  const auto Found = Options_.find(Name);
  if (Found == Options_.end())
    return Fallback;
  Read_.insert(Name);
  return Found->second;
}

void ScenarioLine::problem(std::string Found, std::string Allowed) {
  Faulty_ = true;
  Problems_.push_back({Number_, std::move(Found), std::move(Allowed)});
}

void ScenarioLine::finish() {
  if (Faulty_)
    return;
  if (hasWord())
    problem(Words_[Next_], "the end of the line");
  for (const auto &[Name, Value] : Options_)
    if (!Read_.contains(Name))
      problem("option " + Name, "the options of this line, see SCENARIOS.md");
}

} // namespace lychee::scenario
