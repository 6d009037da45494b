#ifndef LYCHEE_TESTS_SUPPORT_CALLERLOAD_H
#define LYCHEE_TESTS_SUPPORT_CALLERLOAD_H

#include "support/TestFleet.h"

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace lychee::tests {

/// Callers as docs/CALLERS.md asks them to be: each looks hosts up, keeps the
/// answer for its time to live, keeps a connection open to the first host, and
/// goes on to the next where one does not connect. Runs until it is stopped.
class CallerLoad {
public:
  CallerLoad(const TestFleet &Fleet, std::size_t HostCount,
             std::size_t CallerCount);
  CallerLoad(const CallerLoad &) = delete;
  CallerLoad &operator=(const CallerLoad &) = delete;
  ~CallerLoad() { stop(); }

  void stop();

  int served() const { return Served_; }
  /// Refusals that said "not run".
  int refused() const { return Refused_; }
  /// Requests whose connection ended without a whole answer, and answers of no
  /// known kind.
  int cut() const { return Cut_; }

private:
  class Caller;

  std::vector<std::thread> Threads_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<int> Served_ = 0;
  std::atomic<int> Refused_ = 0;
  std::atomic<int> Cut_ = 0;
};

} // namespace lychee::tests

#endif
