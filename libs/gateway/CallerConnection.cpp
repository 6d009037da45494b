#include "gateway/CallerConnection.h"

#include <boost/asio/write.hpp>

namespace lychee::gateway {

namespace {

std::uint32_t addressOf(const Socket &Accepted) {
  ErrorCode Error;
  const auto Peer = Accepted.remote_endpoint(Error);
  return !Error && Peer.address().is_v4() ? Peer.address().to_v4().to_uint()
                                          : 0;
}

} // namespace

CallerConnection::CallerConnection(Socket Accepted)
    : Socket_(std::move(Accepted)), Watch_([this] { fired(); }),
      Address_(addressOf(Socket_)) {
  ErrorCode Ignored;
  Socket_.set_option(Tcp::no_delay(true), Ignored);
}

void CallerConnection::fired() {
  ErrorCode Ignored;
  Socket_.cancel(Ignored);
  if (Interrupt_)
    Interrupt_();
}

void CallerConnection::noteRequest(std::string_view Id, base::TimePoint Now) {
  RequestId_ = Id;
  Stage_ = RequestStage::Reading;
  RequestSince_ = Now;
  WaitingSince_ = base::TimePoint::max();
}

std::optional<CutRequest>
CallerConnection::requestInProgress(base::TimePoint Now) const {
  if (RequestId_.empty())
    return std::nullopt;
  return CutRequest{RequestId_, Stage_, Now - RequestSince_};
}

Task<bool>
CallerConnection::write(std::span<const boost::asio::const_buffer> Pieces) {
  if (Watch_.cause() == Watch::Cause::HungUp)
    co_return false;
  const auto [Error, Count] =
      co_await boost::asio::async_write(Socket_, Pieces, Await);
  co_return !Error;
}

bool CallerConnection::hasUnreadBytes() const noexcept {
  ErrorCode Closed;
  return Buffer_.size() > 0 || Socket_.available(Closed) > 0;
}

void CallerConnection::close(bool Visibly) noexcept {
  ErrorCode Ignored;
  if (Visibly)
    Socket_.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Socket_.close(Ignored);
}

} // namespace lychee::gateway
