#ifndef LYCHEE_GATEWAY_TARGETCONNECTION_H
#define LYCHEE_GATEWAY_TARGETCONNECTION_H

#include "base/Time.h"
#include "gateway/AsioTypes.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace lychee::gateway {

/// One connection to a target; carries one request at a time. It counts
/// against the target's limit from before it is opened until it is destroyed.
/// Of one thread at a time. \see TargetPool
class TargetConnection {
public:
  /// \param Open  the target's count of connections, already raised by one.
  TargetConnection(const Executor &Home, std::uint32_t Worker,
                   std::shared_ptr<std::atomic<std::uint32_t>> Open);
  TargetConnection(const TargetConnection &) = delete;
  TargetConnection &operator=(const TargetConnection &) = delete;
  ~TargetConnection();

  /// Connects; options that all connections to targets have are set.
  /// \param Source  IP to connect from; empty: the kernel chooses.
  Task<ErrorCode> open(const Tcp::endpoint &Where, const std::string &Source);

  Socket &socket() noexcept { return Socket_; }
  ReadBuffer &buffer() noexcept { return Buffer_; }

  /// The worker on whose thread it must be used.
  std::uint32_t worker() const noexcept { return Worker_; }

  /// It has carried a request before.
  bool isReused() const noexcept { return Reused_; }
  void markReused() noexcept { Reused_ = true; }

  /// When its target last sent a byte over it, or it was opened.
  base::TimePoint lastLife() const noexcept { return LastLife_; }
  void showLife(base::TimePoint Now) noexcept { LastLife_ = Now; }

  /// Sets until when the target keeps it open while it lies idle.
  void limitReuse(base::TimePoint Until) noexcept { ReuseUntil_ = Until; }
  bool mayReuse(base::TimePoint Now) const noexcept {
    return Now < ReuseUntil_;
  }

  /// \returns whether an idle connection is still as it was left: open, and
  /// nothing came in. Bytes that nobody asked for are a late or doubled answer
  /// and would be taken for the answer to the next request.
  bool isUntouched();

  /// A request is on it from now on until endRequest(). Closed meanwhile, the
  /// connection is reset.
  void beginRequest() noexcept { HasRequest_ = true; }
  void endRequest() noexcept { HasRequest_ = false; }

  /// A write failed. The kernel reports a reset once only, so that a read after
  /// it sees the connection end as if in order.
  void noteWriteFailure() noexcept { WriteFailed_ = true; }
  bool hasWriteFailed() const noexcept { return WriteFailed_; }

  /// Ends it; a pending operation fails.
  void close() noexcept;

private:
  Socket Socket_;
  ReadBuffer Buffer_;
  std::uint32_t Worker_;
  std::shared_ptr<std::atomic<std::uint32_t>> Open_;
  base::TimePoint LastLife_;
  base::TimePoint ReuseUntil_ = base::TimePoint::max();
  bool Reused_ = false;
  bool HasRequest_ = false;
  bool WriteFailed_ = false;
};

} // namespace lychee::gateway

#endif
