#ifndef LYCHEE_APPS_LYCHEE_COMMAND_H
#define LYCHEE_APPS_LYCHEE_COMMAND_H

#include "ExitCode.h"
#include "OperatorClient.h"
#include "Options.h"

#include <json/json.h>
#include <span>
#include <string_view>

namespace lychee::command {

/// One command: what it is called, what its help says, what it does.
struct Command {
  std::string_view Name_;
  std::string_view Synopsis_;
  std::string_view Help_;
  std::string_view Examples_;
  ExitCode (*Run_)(const Options &Given);
};

/// \returns every command, in the order in which help tells them.
std::span<const Command> allCommands();

/// \name Commands that need no host, or only documents
/// @{
ExitCode runCheck(const Options &Given);
ExitCode runDiff(const Options &Given);
ExitCode runApply(const Options &Given);
ExitCode runShow(const Options &Given);
/// @}

/// \name Commands that change one thing
/// @{
ExitCode runDrain(const Options &Given);
ExitCode runKey(const Options &Given);
ExitCode runShift(const Options &Given);
/// @}

/// \name Commands that look
/// @{
ExitCode runHistory(const Options &Given);
ExitCode runStatus(const Options &Given);
ExitCode runExplain(const Options &Given);
/// @}

} // namespace lychee::command

#endif
