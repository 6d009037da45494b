#include "Answers.h"

#include "base/KeyValueLine.h"
#include "operations/Json.h"
#include "settings/Values.h"

#include <iostream>

namespace lychee::command {

namespace {

using operations::flagOf;
using operations::numberOf;
using operations::textOf;

constexpr base::Duration HostTimeout = std::chrono::seconds(3);

std::string timeOf(const Json::Value &Entry) {
  return settings::formatWallTime(base::WallPoint(std::chrono::milliseconds(
      static_cast<std::int64_t>(numberOf(Entry, "time_ms")))));
}

void tellEntry(const Json::Value &Entry) {
  base::KeyValueLine Line;
  Line.add("time", timeOf(Entry)).add("kind", textOf(Entry, "kind"));
  Line.add("id", textOf(Entry, "id")).add("author", textOf(Entry, "author"));
  Line.add("team", textOf(Entry, "team"));
  Line.add("summary", textOf(Entry, "summary"));
  std::cout << Line.text() << "\n";
}

void tellStatus(const Json::Value &Status, const std::string &Address) {
  base::KeyValueLine Line;
  Line.add("host", textOf(Status, "host")).add("address", Address);
  Line.add("zone", textOf(Status, "zone"));
  Line.add("settings", numberOf(Status, "settings_version"));
  Line.add("settings_age_ms", numberOf(Status, "settings_age_ms"));
  Line.add("lease", flagOf(Status, "lease_valid") ? "valid" : "none");
  Line.add("stopping", flagOf(Status, "stopping") ? "yes" : "no");
  Line.add("in_flight", numberOf(Status, "in_flight"));
  Line.add("waiting", numberOf(Status, "waiting"));
  std::cout << Line.text() << "\n";
}

/// One host's status; a host that does not answer is told as such.
Json::Value askStatus(const Options &Given, const Json::Value &Member) {
  OperatorClient Client(textOf(Member, "address"), Given.Token_);
  base::Error Last;
  const auto Answer =
      Client.call("operator.status", Json::objectValue, HostTimeout, Last);
  Json::Value Status = Answer.value_or(Json::Value(Json::objectValue));
  Status["address"] = textOf(Member, "address");
  if (!Answer) {
    Status["status"] = "unavailable";
    Status["host"] = textOf(Member, "host");
    Status["error"] = Last.describe();
  }
  return Status;
}

/// \returns the members' answer, or nothing and \p Code.
std::optional<Json::Value> askMembers(const Options &Given, ExitCode &Code) {
  OperatorClient Client(Given.Server_, Given.Token_);
  base::Error Last;
  auto Answer =
      Client.call("operator.members", Json::objectValue, HostTimeout, Last);
  if (!Answer)
    Code = tellNoAnswer(Given, Last);
  else if (!isDone(*Answer))
    Code = tellFailure(Given, *Answer);
  else
    return Answer;
  return std::nullopt;
}

} // namespace

ExitCode runHistory(const Options &Given) {
  OperatorClient Client(Given.Server_, Given.Token_);
  base::Error Last;
  Json::Value Parameters;
  Parameters["limit"] = Given.Limit_;
  const auto Answer =
      Client.callUntilAnswered("operator.history", Parameters, Last);
  if (!Answer)
    return tellNoAnswer(Given, Last);
  if (!isDone(*Answer))
    return tellFailure(Given, *Answer);
  if (Given.Json_)
    printJson(*Answer);
  else
    for (const Json::Value &Entry : (*Answer)["entries"])
      tellEntry(Entry);
  return ExitCode::Done;
}

ExitCode runStatus(const Options &Given) {
  ExitCode Code = ExitCode::Done;
  const auto Members = askMembers(Given, Code);
  if (!Members)
    return Code;
  Json::Value Told;
  Told["status"] = "done";
  Told["hosts"] = Json::arrayValue;
  for (const Json::Value &Member : (*Members)["members"]) {
    const Json::Value Status = askStatus(Given, Member);
    Told["hosts"].append(Status);
    if (!isDone(Status))
      Code = ExitCode::Unavailable;
    if (Given.Json_)
      continue;
    if (isDone(Status))
      tellStatus(Status, textOf(Member, "address"));
    else
      std::cout << "host=" << textOf(Member, "host")
                << " address=" << textOf(Member, "address") << " no-answer "
                << textOf(Status, "error") << "\n";
  }
  if (Given.Json_)
    printJson(Told);
  return Code;
}

ExitCode runExplain(const Options &Given) {
  if (Given.Words_.size() != 1)
    return usageError("explain REQUEST-ID is wanted");
  ExitCode Code = ExitCode::Done;
  const auto Members = askMembers(Given, Code);
  if (!Members)
    return Code;
  Json::Value Parameters;
  Parameters["request"] = Given.Words_[0];
  // A request's decisions stand in the memory of the host that took it.
  for (const Json::Value &Member : (*Members)["members"]) {
    OperatorClient Client(textOf(Member, "address"), Given.Token_);
    base::Error Last;
    const auto Answer =
        Client.call("operator.explain", Parameters, HostTimeout, Last);
    if (!Answer || !isDone(*Answer))
      continue;
    if (Given.Json_)
      printJson(*Answer);
    else
      for (const Json::Value &Line : (*Answer)["lines"])
        std::cout << Line.asString() << "\n";
    return ExitCode::Done;
  }
  std::cerr << "lychee: not-found: no host remembers the request\n";
  return ExitCode::NotFound;
}

} // namespace lychee::command
