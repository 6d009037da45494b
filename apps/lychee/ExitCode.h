#ifndef LYCHEE_APPS_LYCHEE_EXITCODE_H
#define LYCHEE_APPS_LYCHEE_EXITCODE_H

namespace lychee::command {

/// What the program returns; docs/OPERATING.md promises these to scripts.
enum class ExitCode {
  Done = 0,
  /// The command line was wrong.
  Usage = 1,
  /// `diff` found differences.
  Different = 2,
  /// The settings have problems; nothing was changed.
  Invalid = 3,
  /// Another change came first; nothing was changed.
  Conflict = 4,
  /// The token does not open this.
  Denied = 5,
  /// No answer, or the store is down; nothing was changed.
  Unavailable = 6,
  /// The change may have been made: its answer was lost.
  Unknown = 7,
  NotFound = 8,
  /// Made, but not in force on every host within --wait_timeout.
  NotInForce = 9,
};

} // namespace lychee::command

#endif
