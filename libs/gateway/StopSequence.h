#ifndef LYCHEE_GATEWAY_STOPSEQUENCE_H
#define LYCHEE_GATEWAY_STOPSEQUENCE_H

#include "gateway/AsioTypes.h"
#include "gateway/Listener.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace lychee::gateway {

/// What came of a stop.
struct StopSummary {
  /// The requests that were cut; empty after a clean stop.
  std::vector<CutRequest> CutRequests_;
  /// Connections that were open when the stop's time ran out.
  std::uint32_t CutConnections_ = 0;
  base::Duration Took_{};
};

/// Takes a gateway down without cutting a request: readiness goes off and
/// look-ups leave this host out; callers that have cached an answer are served
/// until its time to live is over, each answer asking them to connect anew;
/// then no connection is taken, what is in flight ends, and idle connections
/// are closed once they have been idle for a while. No work is begun that may
/// outlast the stop. The stop's deadline, or a second call, ends what is left:
/// each caller is told what became of its request, and the summary says what
/// was cut. \see StopWindow, docs/design/graceful-stop.md
class StopSequence {
public:
  /// All outlive it.
  StopSequence(GatewayState &Shared,
               std::span<const std::unique_ptr<Worker>> Workers,
               Listener &Callers);
  StopSequence(const StopSequence &) = delete;
  StopSequence &operator=(const StopSequence &) = delete;

  /// Begins; a second call ends what is left. From any thread.
  void request();

  /// Waits until the stop is over.
  StopSummary wait();

private:
  Task<void> run();
  Task<void> pauseUntil(base::TimePoint Moment);
  Task<void> finishOpen(base::TimePoint Deadline);
  Task<void> endAll();

  GatewayState &Shared_;
  std::span<const std::unique_ptr<Worker>> Workers_;
  Listener &Callers_;
  std::atomic<bool> CutNow_ = false;
  std::mutex Lock_;
  std::condition_variable Over_;
  bool Requested_ = false;
  bool IsOver_ = false;
  StopSummary Summary_;
};

} // namespace lychee::gateway

#endif
