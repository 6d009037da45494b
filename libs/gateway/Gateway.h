#ifndef LYCHEE_GATEWAY_GATEWAY_H
#define LYCHEE_GATEWAY_GATEWAY_H

#include "base/Error.h"
#include "gateway/GatewayState.h"
#include "gateway/Listener.h"
#include "gateway/StopSequence.h"
#include "gateway/TargetPoller.h"
#include "gateway/Worker.h"

#include <memory>
#include <span>
#include <vector>

namespace lychee::gateway {

/// The HTTP data path of one host: accepts callers, has each request decided,
/// forwards it, and passes the answer back. Owns its threads; decides nothing.
///
/// Order of use: construct, setTargets, start, later stop or destroy.
/// \see Collaborators, GatewaySettings
class Gateway {
public:
  /// \param Seed  of request ids; different at each start of each host.
  Gateway(const GatewaySettings &Settings, const Collaborators &Others,
          std::uint64_t Seed);
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  /// Cuts what still runs.
  ~Gateway();

  /// Binds and begins to serve. \returns false, with \p Failure filled, where
  /// the address cannot be had.
  bool start(base::Error &Failure);

  /// Where callers reach it; tells the port where settings left it open.
  settings::Endpoint callers() const { return Listener_->endpoint(); }

  /// Makes these the targets that may be connected to. From any thread.
  void setTargets(std::span<const TargetEntry> Targets);

  /// Operators changed what callers may do; holds from the next request on.
  void setCallerLimits(const CallerLimits &Limits) {
    State_.setCallerLimits(Limits);
  }

  /// Hands over decisions on waiting requests that were made elsewhere, such
  /// as for slots that a peer gave. From any thread.
  void deliver(std::vector<steering::Wakeup> &Woken, base::TimePoint Now) {
    Workers_.front()->deliver(Woken, Now);
  }

  /// Begins a graceful stop; a second call cuts what is left. From any thread.
  void requestStop() { Stop_->request(); }

  /// Waits until a requested stop is over, at most its deadline.
  StopSummary waitUntilStopped() { return Stop_->wait(); }

  /// Requests in progress now.
  std::uint32_t inFlight() const noexcept { return State_.InFlight_; }
  /// Connections of callers open now.
  std::uint32_t connections() const noexcept { return State_.Connections_; }

private:
  GatewayState State_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::unique_ptr<Listener> Listener_;
  std::unique_ptr<TargetPoller> Poller_;
  std::unique_ptr<StopSequence> Stop_;
};

} // namespace lychee::gateway

#endif
