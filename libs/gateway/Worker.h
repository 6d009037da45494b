#ifndef LYCHEE_GATEWAY_WORKER_H
#define LYCHEE_GATEWAY_WORKER_H

#include "base/Random.h"
#include "gateway/AsioTypes.h"
#include "gateway/CallerConnection.h"
#include "gateway/GatewayState.h"
#include "gateway/TargetProber.h"
#include "gateway/Watchdog.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace lychee::gateway {

/// One thread with an event loop of its own. A caller's connection lives on
/// one worker from its first byte to its last, and the target connections it
/// uses are that worker's, so nothing of a request crosses threads but the
/// shared decisions. \see Gateway
class Worker {
public:
  Worker(GatewayState &Shared, std::uint32_t Index, std::uint64_t Seed);
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;
  ~Worker();

  void start();
  /// Ends the loop at once; whatever runs is cut.
  void halt();
  void join();

  std::uint32_t index() const noexcept { return Index_; }
  Executor executor() { return Context_.get_executor(); }
  GatewayState &shared() noexcept { return Shared_; }
  Watchdog &watchdog() noexcept { return Watchdog_; }

  /// \returns a new id, different from those of all hosts and restarts.
  base::RequestId makeRequestId();

  /// Serves a caller until it leaves. From any thread.
  void serve(Socket Accepted);

  /// Finishing: closes connections that have been idle for \p IdleFor, so
  /// that a request already on its way to us is not met by a closed door.
  void closeIdle(base::Duration IdleFor, base::TimePoint Now);

  /// Closes the connection that has waited longest without a request, as
  /// another caller needs its place. From any thread.
  void evictLongestWaiting();

  /// Ends what every connection waits for. \p Done hears of the requests that
  /// were in progress, but for those that only waited, on this worker's thread.
  void endAll(std::function<void(std::vector<CutRequest>)> Done);
  /// Resets the connections that are left.
  void resetAll();

  /// Hands decisions on waiting requests to their coroutines and gives back
  /// the room of those that nobody waits for.
  void deliver(std::vector<steering::Wakeup> &Woken, base::TimePoint Now);

private:
  Task<void> pace();
  void tickSteering(base::TimePoint Now);

  GatewayState &Shared_;
  const std::uint32_t Index_;
  base::Random Random_;
  boost::asio::io_context Context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_{Context_.get_executor()};
  Watchdog Watchdog_;
  CallerConnectionList Callers_;
  base::TimePoint NextForget_;
  TargetProber Prober_{*this};
  std::thread Thread_;
};

} // namespace lychee::gateway

#endif
