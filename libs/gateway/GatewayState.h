#ifndef LYCHEE_GATEWAY_GATEWAYSTATE_H
#define LYCHEE_GATEWAY_GATEWAYSTATE_H

#include "gateway/BodyMemory.h"
#include "gateway/BodyPace.h"
#include "gateway/Collaborators.h"
#include "gateway/GatewaySettings.h"
#include "gateway/TargetPools.h"
#include "gateway/VersionFloor.h"
#include "gateway/WaitingRoom.h"

#include "gateway/MessageReader.h"
#include "gateway/StopWindow.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace lychee::gateway {

/// Steps of a gateway's life. \see docs/design/graceful-stop.md
enum class Phase {
  Serving,
  /// Look-ups leave this host out; callers that cached it are still served,
  /// and each answer asks them to connect anew.
  Leaving,
  /// No new connection is taken; what is in flight ends.
  Finishing,
  Stopped,
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  std::size_t HeaderBytes_ = 0;
  std::uint64_t BodyBytes_ = 0;
  base::Duration HeaderTimeout_{};
  base::Duration IdleTimeout_{};
};

/// Counts a caller's connection from when it is accepted until its session has
/// ended, so that a stop waits for those whose session is yet to begin.
class ConnectionSlot {
public:
  explicit ConnectionSlot(std::atomic<std::uint32_t> &Count) noexcept
      : Count_(&Count) {
    Count_->fetch_add(1);
  }
  ConnectionSlot(ConnectionSlot &&Other) noexcept
      : Count_(std::exchange(Other.Count_, nullptr)) {}
  ConnectionSlot(const ConnectionSlot &) = delete;
  ConnectionSlot &operator=(const ConnectionSlot &) = delete;
  ConnectionSlot &operator=(ConnectionSlot &&) = delete;
  ~ConnectionSlot() {
    if (Count_ != nullptr)
      Count_->fetch_sub(1);
  }

private:
  std::atomic<std::uint32_t> *Count_;
};

/// What all workers of a gateway share.
struct GatewayState {
  GatewayState(const GatewaySettings &Settings, const Collaborators &Others)
      : Settings_(Settings), Others_(Others),
        Bodies_(Settings.BodyMemoryBytes_),
        CallerLimits_{Settings.HeaderLimitBytes_, Settings.BodyLimitBytes_,
                      Settings.HeaderTimeout_, Settings.IdleTimeout_} {}

  /// Connections to one other host: as many as requests that it may get from
  /// here at once.
  static constexpr std::uint32_t HostConnectionLimit = 256;

  const GatewaySettings Settings_;
  const Collaborators Others_;
  TargetPools Pools_;
  /// Connections to other hosts, to which requests are forwarded.
  TargetPools HostPools_{HostConnectionLimit};
  /// Of requests that are forwarded to other hosts.
  VersionFloor Versions_;
  WaitingRoom Waiting_;
  BodyMemory Bodies_;
  std::atomic<Phase> Phase_ = Phase::Serving;
  std::atomic<std::uint32_t> Connections_ = 0;
  /// Requests whose head has come and whose answer is not yet whole.
  std::atomic<std::uint32_t> InFlight_ = 0;

  bool isServing() const noexcept { return Phase_ == Phase::Serving; }

  /// A request found no room at targets.
  void noteLackOfRoom(base::TimePoint Now) noexcept { LackedRoomAt_ = Now; }
  /// \returns the pace of a body that is on its way to a target, or of one that
  /// is held only.
  BodyPace bodyPace(bool AtTarget, base::TimePoint Now) const noexcept {
    const base::TimePoint Lacked = LackedRoomAt_;
    const bool LacksRoom =
        Waiting_.size() > 0 || (Lacked != base::TimePoint() &&
                                Now - Lacked < BodyPace::ScarcePatience);
    return {Bodies_.isScarce() || (AtTarget && LacksRoom)};
  }

  /// A stop begins.
  void beginStop(base::TimePoint Now) noexcept {
    StopBegin_ = Now;
    Phase_ = Phase::Leaving;
  }
  /// \returns nothing while no stop has begun.
  std::optional<StopWindow> stopWindow() const noexcept {
    if (isServing())
      return std::nullopt;
    return StopWindow(StopBegin_, Settings_.StopDeadline_);
  }

  /// Operators changed what a caller may send and how long it may take.
  void setCallerLimits(const CallerLimits &Limits) {
    const std::lock_guard Guard(LimitsLock_);
    CallerLimits_ = Limits;
  }
  base::Duration idleTimeout() const { return limits().IdleTimeout_; }
  base::Duration headerTimeout() const { return limits().HeaderTimeout_; }
  MessageLimits callerLimits() const {
    const CallerLimits Now = limits();
    return {Now.HeaderBytes_, Now.BodyBytes_};
  }

private:
  std::atomic<base::TimePoint> StopBegin_ = base::TimePoint();
  std::atomic<base::TimePoint> LackedRoomAt_ = base::TimePoint();

  CallerLimits limits() const {
    const std::lock_guard Guard(LimitsLock_);
    return CallerLimits_;
  }

  mutable std::mutex LimitsLock_;
  CallerLimits CallerLimits_;
};

} // namespace lychee::gateway

#endif
