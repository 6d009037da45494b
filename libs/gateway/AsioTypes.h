#ifndef LYCHEE_GATEWAY_ASIOTYPES_H
#define LYCHEE_GATEWAY_ASIOTYPES_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

namespace lychee::gateway {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// The executor of every socket, timer and coroutine of this library. Each
/// runs on the one thread of its worker, so none needs a strand.
using Executor = boost::asio::any_io_executor;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>, Executor>;
template <typename Result>
using Task = boost::asio::awaitable<Result, Executor>;

/// Completion token: the error comes back as a value next to the result.
inline constexpr auto Await =
    boost::asio::as_tuple(boost::asio::use_awaitable_t<Executor>());

/// Bytes read from a connection and not yet used.
using ReadBuffer = boost::beast::flat_buffer;

} // namespace lychee::gateway

#endif
