#ifndef LYCHEE_GATEWAY_CALLERCONNECTION_H
#define LYCHEE_GATEWAY_CALLERCONNECTION_H

#include "base/Time.h"
#include "gateway/AsioTypes.h"
#include "gateway/RequestStage.h"
#include "gateway/Watch.h"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lychee::gateway {

using CallerHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A caller's socket with what was read from it and the watch that bounds
/// each wait on it. Of one worker's thread. \see CallerSession
class CallerConnection : public CallerHook {
public:
  explicit CallerConnection(Socket Accepted);
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  Socket &socket() noexcept { return Socket_; }
  ReadBuffer &buffer() noexcept { return Buffer_; }
  Watch &watch() noexcept { return Watch_; }

  /// IPv4 address in host byte order; 0 where it has none.
  std::uint32_t address() const noexcept { return Address_; }

  /// What is to be interrupted besides the caller's socket when the watch
  /// fires, such as the send to a target.
  void interruptAlso(std::function<void()> Interrupt) {
    Interrupt_ = std::move(Interrupt);
  }

  /// Writes all of the pieces.
  /// \returns whether they went out before the watch fired.
  Task<bool> write(std::span<const boost::asio::const_buffer> Pieces);

  /// Idle since then; nothing while a request is in progress.
  void markIdle(base::TimePoint Now) noexcept { IdleSince_ = Now; }
  void markBusy() noexcept { IdleSince_ = base::TimePoint::max(); }
  base::TimePoint idleSince() const noexcept { return IdleSince_; }

  /// Without a request, or with a part of its head, since then.
  void markWaiting(base::TimePoint Now) noexcept { WaitingSince_ = Now; }
  /// \returns the latest time possible while a request is in progress.
  base::TimePoint waitingSince() const noexcept { return WaitingSince_; }

  /// The request in progress, for the account of a stop that cuts it; empty:
  /// none is.
  void noteRequest(std::string_view Id, base::TimePoint Now);
  void noteStage(RequestStage Stage) noexcept { Stage_ = Stage; }
  /// \returns the request in progress; nothing where none is.
  std::optional<CutRequest> requestInProgress(base::TimePoint Now) const;

  /// \returns whether bytes of the caller are there that were not used: a close
  /// would be a reset, which takes an answer along that is still on its way.
  bool hasUnreadBytes() const noexcept;

  /// Ends the connection with a reset where \p Visibly, so that the caller
  /// cannot take what it has for a whole answer.
  void close(bool Visibly) noexcept;

private:
  void fired();

  Socket Socket_;
  ReadBuffer Buffer_;
  Watch Watch_;
  std::uint32_t Address_ = 0;
  std::function<void()> Interrupt_;
  std::string RequestId_;
  RequestStage Stage_ = RequestStage::Reading;
  base::TimePoint RequestSince_;
  base::TimePoint IdleSince_ = base::TimePoint::max();
  base::TimePoint WaitingSince_ = base::TimePoint::max();
};

using CallerConnectionList =
    boost::intrusive::list<CallerConnection,
                           boost::intrusive::base_hook<CallerHook>,
                           boost::intrusive::constant_time_size<false>>;

} // namespace lychee::gateway

#endif
