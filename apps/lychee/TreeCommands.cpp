#include "Answers.h"
#include "TextDiff.h"
#include "TreeFiles.h"

#include "operations/Json.h"
#include "settings/SettingsTree.h"

#include <iostream>

namespace lychee::command {

namespace {

using operations::numberOf;
using operations::textOf;

Json::Value documentsToJson(const TreeFiles &Read) {
  Json::Value Parameters;
  Parameters["teams"] = Json::arrayValue;
  for (const std::string &Team : Read.Teams_)
    Parameters["teams"].append(Team);
  Parameters["documents"] = Json::objectValue;
  for (const auto &[Path, Text] : Read.Documents_)
    Parameters["documents"][Path] = Text;
  return Parameters;
}

/// Reads the one folder that the command names.
std::optional<TreeFiles> readGivenTree(const Options &Given, ExitCode &Code) {
  if (Given.Words_.size() != 1) {
    Code = usageError("a folder is wanted");
    return std::nullopt;
  }
  base::Error Last;
  auto Read = readTree(Given.Words_[0], Given.Team_, Last);
  if (!Read)
    Code = usageError(Last.describe());
  return Read;
}

/// Asks a host what applying the documents would do.
std::optional<Json::Value> preview(const Options &Given, const TreeFiles &Read,
                                   ExitCode &Code) {
  OperatorClient Client(Given.Server_, Given.Token_);
  base::Error Last;
  auto Answer =
      Client.callUntilAnswered("operator.preview", documentsToJson(Read), Last);
  if (!Answer)
    Code = tellNoAnswer(Given, Last);
  else if (!isDone(*Answer))
    Code = tellFailure(Given, *Answer);
  else
    return Answer;
  return std::nullopt;
}

ExitCode tellProblems(const Options &Given, const Json::Value &Problems) {
  if (Given.Json_) {
    Json::Value Told;
    Told["status"] = Problems.empty() ? "done" : "invalid";
    Told["problems"] = Problems;
    printJson(Told);
  }
  for (const Json::Value &Each : Problems)
    std::cerr << textOf(Each, "text") << "\n";
  if (!Given.Json_)
    std::cout << (Problems.empty() ? "no problems" : "problems found") << "\n";
  return Problems.empty() ? ExitCode::Done : ExitCode::Invalid;
}

Json::Value toJson(const settings::Problem &Found) {
  Json::Value Into;
  Into["file"] = Found.File_;
  Into["line"] = Found.Line_;
  Into["key"] = Found.Key_;
  Into["found"] = Found.Found_;
  Into["allowed"] = Found.Allowed_;
  Into["text"] = Found.describe();
  return Into;
}

void tellConflict(const Json::Value &Answer, const TreeFiles &Read) {
  for (const Json::Value &Each : Answer["overtaking"])
    std::cerr << "first: version=" << textOf(Each, "id")
              << " author=" << textOf(Each, "author")
              << " team=" << textOf(Each, "team")
              << " kind=" << textOf(Each, "kind") << " "
              << textOf(Each, "summary") << "\n";
  std::cerr << diffDocuments(documentsOf(Answer, "present"), Read.Documents_)
            << "Your files are as they were. Take over the lines with \"-\" "
               "that you want to keep, then apply with --base "
            << numberOf(Answer, "present_version") << "\n";
}

} // namespace

ExitCode runCheck(const Options &Given) {
  ExitCode Code = ExitCode::Done;
  const auto Read = readGivenTree(Given, Code);
  if (!Read)
    return Code;
  Json::Value Problems = Json::arrayValue;
  if (!Given.Server_.empty()) {
    const auto Answer = preview(Given, *Read, Code);
    if (!Answer)
      return Code;
    Problems = (*Answer)["problems"];
  } else {
    settings::Problems Found;
    settings::parseIntent({0, Read->Documents_}, Found);
    for (const settings::Problem &Each : Found)
      Problems.append(toJson(Each));
  }
  return tellProblems(Given, Problems);
}

ExitCode runDiff(const Options &Given) {
  ExitCode Code = ExitCode::Done;
  const auto Read = readGivenTree(Given, Code);
  if (!Read)
    return Code;
  const auto Answer = preview(Given, *Read, Code);
  if (!Answer)
    return Code;
  const std::string Text =
      diffDocuments(documentsOf(*Answer, "present"), Read->Documents_);
  if (Given.Json_) {
    Json::Value Told;
    Told["status"] = "done";
    Told["version"] = (*Answer)["version"];
    Told["different"] = !Text.empty();
    Told["text"] = Text;
    printJson(Told);
  } else {
    std::cout << Text;
  }
  return Text.empty() ? ExitCode::Done : ExitCode::Different;
}

ExitCode runApply(const Options &Given) {
  ExitCode Code = ExitCode::Done;
  const auto Read = readGivenTree(Given, Code);
  if (!Read)
    return Code;
  Json::Value Parameters = documentsToJson(*Read);
  Parameters["base"] =
      Json::UInt64(Given.Base_.value_or(Read->Version_.value_or(0)));
  Json::Value Answer;
  Code = makeChange(Given, "operator.apply", Parameters, Answer);
  if (Code == ExitCode::Conflict)
    tellConflict(Answer, *Read);
  if (Answer.isNull() || !isDone(Answer))
    return Code;
  base::Error Last;
  if (!writeVersion(Given.Words_[0], numberOf(Answer, "version"), Last))
    std::cerr << "lychee: " << Last.describe() << "\n";
  return Code;
}

ExitCode runShow(const Options &Given) {
  if (!Given.Words_.empty())
    return usageError("show takes no words; --team names a team");
  OperatorClient Client(Given.Server_, Given.Token_);
  base::Error Last;
  const auto Answer =
      Client.callUntilAnswered("operator.show", Json::objectValue, Last);
  if (!Answer)
    return tellNoAnswer(Given, Last);
  if (!isDone(*Answer))
    return tellFailure(Given, *Answer);
  std::map<std::string, std::string> Documents =
      documentsOf(*Answer, "documents");
  std::erase_if(Documents, [&Given](const auto &Entry) {
    return !Given.Team_.empty() && !Entry.first.starts_with(Given.Team_ + "/");
  });
  const std::uint64_t Version = numberOf(*Answer, "version");
  if (!Given.Out_.empty() && !writeTree(Given.Out_, Documents, Version, Last)) {
    std::cerr << "lychee: " << Last.describe() << "\n";
    return ExitCode::Usage;
  }
  if (Given.Json_) {
    Json::Value Told;
    Told["status"] = "done";
    Told["version"] = Json::UInt64(Version);
    Told["documents"] = Json::objectValue;
    for (const auto &[Path, Text] : Documents)
      Told["documents"][Path] = Text;
    printJson(Told);
    return ExitCode::Done;
  }
  std::cout << "; version " << Version << "\n";
  for (const auto &[Path, Text] : Documents)
    if (Given.Out_.empty())
      std::cout << "; " << Path << "\n" << Text << "\n";
    else
      std::cout << Path << "\n";
  return ExitCode::Done;
}

} // namespace lychee::command
