#ifndef LYCHEE_REPORTING_LOG_H
#define LYCHEE_REPORTING_LOG_H

#include "base/KeyValueLine.h"

#include <exception>
#include <string>
#include <string_view>

namespace lychee::reporting {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets easylogging++ up for this process: one line an event to standard
/// output, no file. To be called before the first line, and again to change the
/// level. \see LineWriter, which never waits for the reader
/// \param Level  "debug", "info", "warning" or "error": what is told at least.
/// \param Batch  lines below "warning" go out together, by flushLog() at the
/// latest; holds from the first call on.
void configureLog(std::string_view Level, bool Batch = false);

/// Writes out what is kept back, as far as the reader takes it.
void flushLog();

/// Writes "time=... level=... EVENT", without secrets. \see maskSecrets
void logLine(LogLevel Level, const base::KeyValueLine &Event);

/// \copydoc logLine
/// \param Event  a line that a KeyValueLine made.
void logLine(LogLevel Level, std::string_view Event);

/// Logs what ended a coroutine that must not end, and nothing where it ended by
/// itself. For `co_spawn` in place of `detached`, which drops what was thrown:
/// the host would go on with state that never changes again, without a word.
/// \param Event  names the coroutine, such as "exchange-failed".
void logThrown(std::string_view Event, const std::exception_ptr &Thrown);

/// \returns \p Line with what follows "Bearer" masked. Code that logs has no
/// key at hand; a library's error text that quotes a header would carry one
/// into the log all the same, and logs are kept and copied.
std::string maskSecrets(std::string_view Line);

} // namespace lychee::reporting

#endif
