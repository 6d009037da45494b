#ifndef LYCHEE_TESTS_SUPPORT_CHILDPROCESS_H
#define LYCHEE_TESTS_SUPPORT_CHILDPROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lychee::tests {

/// A program that a test started. Its output goes to a file; it is ended with
/// the object, by its own id. Tests wait for what it says, never for a time.
class ChildProcess {
public:
  /// \param Program  name of a program of build/bin.
  /// \param LogPath  takes standard output and error.
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments, std::string LogPath);
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  /// Kills it where it still runs.
  ~ChildProcess();

  void signal(int Number) const;

  /// Waits until it ends. \returns its exit code, or 128 + the signal.
  int wait();

  /// \returns whether it has ended by now.
  bool ended();

  /// Waits until the log holds \p Text. \returns false where the process ends
  /// or half a minute passes without it.
  bool waitForLog(const std::string &Text);

  std::string log() const;
  pid_t id() const noexcept { return Id_; }

private:
  const std::string LogPath_;
  pid_t Id_ = -1;
  std::optional<int> ExitCode_;
};

/// Runs a program to its end. \returns exit code and output.
struct Finished {
  int ExitCode_ = -1;
  std::string Output_;
};
Finished runProgram(const std::string &Program,
                    const std::vector<std::string> &Arguments,
                    const std::string &LogPath);

} // namespace lychee::tests

#endif
