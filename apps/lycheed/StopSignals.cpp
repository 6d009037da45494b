#include "lycheed/StopSignals.h"

#include "reporting/Log.h"

#include <csignal>
#include <utility>

namespace lychee::daemon {

bool StopSignals::mayRequest(int Number) {
  const bool IsFirst = !std::exchange(Requested_, true);
  const bool Passes = IsFirst || Number == SIGINT;
  reporting::logLine(
      reporting::LogLevel::Info,
      base::KeyValueLine()
          .add("event", Passes ? "stop-requested" : "stop-requested-again")
          .add("signal", Number));
  return Passes;
}

} // namespace lychee::daemon
