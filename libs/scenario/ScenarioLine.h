#ifndef LYCHEE_SCENARIO_SCENARIOLINE_H
#define LYCHEE_SCENARIO_SCENARIOLINE_H

#include "scenario/ScenarioParser.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::scenario {

/// One line of a scenario: words in order, then options as name=value. Takes
/// note of each fault with the line's number. \see parseScenario
class ScenarioLine {
public:
  ScenarioLine(int Number, std::string_view Text,
               std::vector<ScenarioProblem> &Problems);
  ScenarioLine(const ScenarioLine &) = delete;
  ScenarioLine &operator=(const ScenarioLine &) = delete;

  int number() const noexcept { return Number_; }
  bool empty() const noexcept { return Words_.empty() && Options_.empty(); }
  bool hasWord() const noexcept { return Next_ < Words_.size(); }

  /// \returns the next word; empty, with a problem, where there is none.
  std::string word(std::string_view Allowed);

  /// Takes the next word where it is \p Expected.
  bool takeWord(std::string_view Expected);

  bool hasOption(const std::string &Name) const {
    return Options_.contains(Name);
  }

  /// Reads the next word, or an option, by a parse function of Units.h; the
  /// fallback is given where it is absent or, with a problem, malformed.
  template <typename Value>
  Value word(std::optional<Value> (*Parse)(std::string_view),
             std::string_view Allowed) {
    const std::string Text = word(Allowed);
    return Text.empty() ? Value{} : read(Parse, Text, Text, Allowed, Value{});
  }
  template <typename Value>
  Value option(const std::string &Name,
               std::optional<Value> (*Parse)(std::string_view),
               std::string_view Allowed, Value Fallback) {
    const auto Found = Options_.find(Name);
    if (Found == Options_.end())
      return Fallback;
    Read_.insert(Name);
    return read(Parse, Found->second, Name + "=" + Found->second, Allowed,
                std::move(Fallback));
  }
  template <typename Value>
  Value required(const std::string &Name,
                 std::optional<Value> (*Parse)(std::string_view),
                 std::string_view Allowed) {
    if (!Options_.contains(Name))
      problem("no " + Name, Name + "=" + std::string(Allowed));
    return option(Name, Parse, Allowed, Value{});
  }
  std::string textOption(const std::string &Name, std::string Fallback);

  void problem(std::string Found, std::string Allowed);

  /// Notes words and options that nothing has read; not where a fault was
  /// found before, as reading may have stopped there.
  void finish();

private:
  template <typename Value>
  Value read(std::optional<Value> (*Parse)(std::string_view),
             const std::string &Text, const std::string &Found,
             std::string_view Allowed, Value Fallback) {
    if (auto Parsed = Parse(Text))
      return *Parsed;
    problem(Found, std::string(Allowed));
    return Fallback;
  }

  int Number_;
  std::vector<ScenarioProblem> &Problems_;
  std::vector<std::string> Words_;
  std::size_t Next_ = 0;
  std::map<std::string, std::string> Options_;
  std::set<std::string> Read_;
  bool Faulty_ = false;
};

} // namespace lychee::scenario

#endif
