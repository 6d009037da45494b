#ifndef LYCHEE_APPS_LYCHEE_ANSWERS_H
#define LYCHEE_APPS_LYCHEE_ANSWERS_H

#include "Command.h"

#include <map>
#include <string>

namespace lychee::command {

/// Prints the answer as one JSON line where --output json was given.
void printJson(const Json::Value &Answer);

/// Tells on standard error what is wrong with the command line.
ExitCode usageError(const std::string &What);

/// Tells that no answer came.
ExitCode tellNoAnswer(const Options &Given, const base::Error &Last,
                      const char *Status = "unavailable");

/// Tells a failed call, all problems included.
ExitCode tellFailure(const Options &Given, const Json::Value &Answer);

/// \returns whether the answer's status is "done".
bool isDone(const Json::Value &Answer);

/// \returns an answer's documents by path.
std::map<std::string, std::string> documentsOf(const Json::Value &Answer,
                                               const char *Name);

/// Makes a change: sends it with a new change id, tells how it ended, and with
/// --wait returns when it is in force on every host.
/// \param Made  set to the answer, where one came.
/// \param Shown  texts that are told with an accepted change, before any wait.
ExitCode makeChange(const Options &Given, const std::string &Method,
                    Json::Value Parameters, Json::Value &Made,
                    const std::map<std::string, std::string> &Shown = {});

/// Polls every host until it has \p Version in force, telling progress.
ExitCode waitUntilInForce(const Options &Given, std::uint64_t Version);

/// \returns \p Bytes random bytes from the system, in hexadecimal.
std::string drawHex(std::size_t Bytes);

} // namespace lychee::command

#endif
