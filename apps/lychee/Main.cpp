#include "Command.h"

#include "settings/Values.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <span>
#include <string>

DEFINE_string(server, "", "IP:PORT of any host's peer and operator listener");
DEFINE_string(token, "", "token of the operator's team; better LYCHEE_TOKEN");
DEFINE_string(author, "", "who makes the change, for the history");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(wait, false, "return when the change is in force on every host");
DEFINE_string(wait_timeout, "30s", "how long --wait waits");
DEFINE_string(team, "", "the one team that is meant");
DEFINE_string(base, "", "version that the documents were read at");
DEFINE_string(out, "", "folder to write documents into");
DEFINE_uint32(limit, 20, "entries of the history");
DEFINE_bool(undo, false, "take a drain back");

namespace {

using lychee::command::Command;
using lychee::command::ExitCode;
using lychee::command::Options;

constexpr std::string_view Flags =
    "Flags:\n"
    "  --server IP:PORT     any host's peer and operator listener, or "
    "LYCHEE_SERVER\n"
    "  --token TOKEN        the team's token; better LYCHEE_TOKEN\n"
    "  --author NAME        for the history; else USER\n"
    "  --output text|json   json: one object on standard output\n"
    "  --wait               return when in force on every host\n"
    "  --wait_timeout 30s   how long --wait waits\n"
    "  --team TEAM          the one team that is meant\n"
    "  --base VERSION       version that the documents were read at\n"
    "  --out DIR            folder to write documents into\n"
    "  --limit COUNT        entries of the history\n"
    "  --undo               take a drain back\n\n"
    "Exit codes: 0 done, 1 wrong command line, 2 diff found differences,\n"
    "  3 problems in the settings, 4 conflict, 5 denied, 6 no answer or store\n"
    "  down, 7 outcome unknown, 8 not found, 9 made but not yet in force\n"
    "  everywhere.\n";

const Command *findCommand(std::string_view Name) {
  for (const Command &Each : lychee::command::allCommands())
    if (Each.Name_ == Name)
      return &Each;
  return nullptr;
}

void tellHelp(const Command *Asked) {
  if (Asked != nullptr) {
    std::cout << Asked->Synopsis_ << "\n\n"
              << Asked->Help_ << "\n\nExamples:\n"
              << Asked->Examples_ << "\n"
              << Flags;
    return;
  }
  std::cout << "lychee COMMAND ...: operates a lycheespoke fleet\n\n";
  for (const Command &Each : lychee::command::allCommands())
    std::cout << "  " << Each.Synopsis_ << "\n";
  std::cout << "  lychee help [COMMAND]\n  lychee --version\n\n" << Flags;
}

std::string orEnvironment(const std::string &Flag, const char *Name) {
  const char *Value = std::getenv(Name);
  return Flag.empty() && Value != nullptr ? Value : Flag;
}

/// \returns nothing where a flag's value is wrong; tells which.
std::optional<Options> readOptions(std::span<char *> Words) {
  namespace settings = lychee::settings;
  Options Given;
  Given.Server_ = orEnvironment(FLAGS_server, "LYCHEE_SERVER");
  Given.Token_ = orEnvironment(FLAGS_token, "LYCHEE_TOKEN");
  Given.Author_ = orEnvironment(FLAGS_author, "USER");
  if (Given.Author_.empty())
    Given.Author_ = "unnamed";
  Given.Json_ = FLAGS_output == "json";
  Given.Wait_ = FLAGS_wait;
  Given.Team_ = FLAGS_team;
  Given.Out_ = FLAGS_out;
  Given.Limit_ = FLAGS_limit;
  Given.Undo_ = FLAGS_undo;
  Given.Words_.assign(Words.begin(), Words.end());
  const auto Wait = settings::parseDuration(FLAGS_wait_timeout);
  if (!FLAGS_base.empty())
    Given.Base_ = settings::parseCount(FLAGS_base);
  const char *Wrong = nullptr;
  if (FLAGS_output != "text" && FLAGS_output != "json")
    Wrong = "--output takes text or json";
  else if (!Wait)
    Wrong = "--wait_timeout takes a whole number with us, ms, s, m or h";
  else if (!FLAGS_base.empty() && !Given.Base_)
    Wrong = "--base takes a whole number";
  if (Wrong != nullptr) {
    std::cerr << "lychee: " << Wrong << "\n";
    return std::nullopt;
  }
  Given.WaitTimeout_ = Wait.value_or(Given.WaitTimeout_);
  return Given;
}

bool isHelp(std::string_view Word) {
  return Word == "--help" || Word == "-h" || Word == "-help";
}

ExitCode run(std::span<char *> Arguments) {
  if (Arguments.size() < 2) {
    tellHelp(nullptr);
    return ExitCode::Usage;
  }
  const std::string_view Name = Arguments[1];
  const Command *Asked = findCommand(Name);
  if (Name == "help")
    Asked = Arguments.size() > 2 ? findCommand(Arguments[2]) : nullptr;
  if (Name == "help" ||
      std::any_of(Arguments.begin(), Arguments.end(), isHelp)) {
    tellHelp(Asked);
    return ExitCode::Done;
  }
  if (Asked == nullptr) {
    std::cerr << "lychee: no command " << Name << "; see lychee help\n";
    return ExitCode::Usage;
  }
  auto Given = readOptions(Arguments.subspan(2));
  if (!Given)
    return ExitCode::Usage;
  // A check is made here unless a host is asked for: where the variable is set
  // for the other commands, it would else need a fleet.
  if (Name == "check")
    Given->Server_ = FLAGS_server;
  else if (Given->Server_.empty()) {
    std::cerr << "lychee: --server IP:PORT or LYCHEE_SERVER is wanted\n";
    return ExitCode::Usage;
  }
  return Asked->Run_(*Given);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetVersionString("0.1.0");
  gflags::SetUsageMessage("see lychee help");
  const std::span<char *> Given(Arguments,
                                static_cast<std::size_t>(ArgumentCount));
  // gflags' own help lists the library's flags, not the commands.
  if (std::none_of(Given.begin(), Given.end(), isHelp))
    gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return static_cast<int>(
      run(std::span(Arguments, static_cast<std::size_t>(ArgumentCount))));
}
