#include "support/ChildProcess.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lychee::tests {

namespace {

constexpr std::chrono::milliseconds PollEvery(5);
constexpr int PollLimit = 6000;

int exitCodeOf(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

[[noreturn]] void becomeProgram(std::vector<char *> &Words,
                                const std::string &LogPath) {
  const int Log =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Words[0], Words.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           std::string LogPath)
    : LogPath_(std::move(LogPath)) {
  std::string Path = std::string(LYCHEE_BIN_DIR) + "/" + Program;
  std::vector<std::string> Kept = Arguments;
  std::vector<char *> Words{Path.data()};
  for (std::string &Each : Kept)
    Words.push_back(Each.data());
  Words.push_back(nullptr);
  Id_ = fork();
  if (Id_ == 0)
    becomeProgram(Words, LogPath_);
}

ChildProcess::~ChildProcess() {
  if (ended())
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int Number) const {
  if (!ExitCode_)
    kill(Id_, Number);
}

int ChildProcess::wait() {
  if (ExitCode_)
    return *ExitCode_;
  int Status = 0;
  waitpid(Id_, &Status, 0);
  ExitCode_ = exitCodeOf(Status);
  return *ExitCode_;
}

bool ChildProcess::ended() {
  if (ExitCode_)
    return true;
  int Status = 0;
  if (waitpid(Id_, &Status, WNOHANG) != Id_)
    return false;
  ExitCode_ = exitCodeOf(Status);
  return true;
}

std::string ChildProcess::log() const {
  const std::ifstream File(LogPath_, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

bool ChildProcess::waitForLog(const std::string &Text) {
  for (int Poll = 0; Poll < PollLimit; ++Poll) {
    const bool Over = ended();
    if (log().find(Text) != std::string::npos)
      return true;
    if (Over)
      return false;
    std::this_thread::sleep_for(PollEvery);
  }
  return false;
}

Finished runProgram(const std::string &Program,
                    const std::vector<std::string> &Arguments,
                    const std::string &LogPath) {
  ChildProcess Run(Program, Arguments, LogPath);
  Finished End;
  End.ExitCode_ = Run.wait();
  End.Output_ = Run.log();
  return End;
}

} // namespace lychee::tests
