#include "transport/HttpServer.h"

#include "base/SystemClock.h"
#include "reporting/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>

namespace lychee::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned StatusInternalError = 500;

using Stream = std::shared_ptr<beast::tcp_stream>;

HttpRequest fromBeast(http::request<http::string_body> Message) {
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  return Request;
}

http::response<http::string_body> toBeast(HttpAnswer &Answer, bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Answer.Status_);
  for (const HttpHeader &Header : Answer.Headers_)
    Message.insert(Header.Name_, Header.Value_);
  Message.body() = std::move(Answer.Body_);
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  return Message;
}

/// \returns the status that tells a client what was wrong with its request; 0
/// where the connection just ended.
unsigned statusOf(beast::error_code Failure) noexcept {
  if (Failure == http::error::body_limit)
    return 413;
  if (Failure == http::error::header_limit)
    return 431;
  const bool Ended = Failure == http::error::end_of_stream ||
                     Failure == http::error::partial_message ||
                     Failure == beast::error::timeout;
  if (Ended || Failure.category() != http::make_error_code({}).category())
    return 0;
  return 400;
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State> {
  State(asio::any_io_executor Used, HttpServerOptions Given, Handler Called)
      : Executor_(std::move(Used)), Options_(std::move(Given)),
        Answers_(std::move(Called)), Acceptor_(asio::make_strand(Executor_)) {}

  bool admit(const Stream &Accepted) {
    const std::lock_guard Guard(Lock_);
    if (Stopped_)
      return false;
    if (Open_.size() >= Options_.ConnectionLimit_ && !evictLongestWaiting())
      return false;
    Open_[Accepted] = base::SystemClock::monotonicNow();
    return true;
  }

  /// Called with the lock held. \returns false where all have requests.
  bool evictLongestWaiting() {
    const auto Longest = std::min_element(
        Open_.begin(), Open_.end(), [](const auto &Left, const auto &Right) {
          return Left.second < Right.second;
        });
    if (Longest == Open_.end() || Longest->second == base::TimePoint::max())
      return false;
    asio::post(Longest->first->get_executor(),
               [Evicted = Longest->first] { Evicted->close(); });
    Open_.erase(Longest);
    return true;
  }

  /// \param Since  the latest time possible while a request is answered.
  void markWaiting(const Stream &Served, base::TimePoint Since) {
    const std::lock_guard Guard(Lock_);
    if (const auto Found = Open_.find(Served); Found != Open_.end())
      Found->second = Since;
  }

  void forget(const Stream &Ended) {
    const std::lock_guard Guard(Lock_);
    Open_.erase(Ended);
  }

  asio::awaitable<void> accept() {
    const std::shared_ptr<State> Self = shared_from_this();
    while (true) {
      auto [Failure, Socket] = co_await Acceptor_.async_accept(
          asio::any_io_executor(asio::make_strand(Executor_)), AsTuple);
      if (Failure == asio::error::operation_aborted || !Acceptor_.is_open())
        co_return;
      if (Failure)
        continue;
      beast::error_code Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
      auto Accepted = std::make_shared<beast::tcp_stream>(std::move(Socket));
      if (admit(Accepted))
        asio::co_spawn(Accepted->get_executor(), serve(Accepted),
                       asio::detached);
    }
  }

  asio::awaitable<void> serve(Stream Served) {
    const std::shared_ptr<State> Self = shared_from_this();
    beast::flat_buffer Buffer(ReadBufferBytes);
    while (co_await serveOne(Served, Buffer)) {
    }
    beast::error_code Ignored;
    Served->socket().shutdown(Tcp::socket::shutdown_send, Ignored);
    Served->close();
    forget(Served);
  }

  /// \returns false when the connection is to be closed.
  asio::awaitable<bool> serveOne(const Stream &Connection,
                                 beast::flat_buffer &Buffer) {
    beast::tcp_stream &Served = *Connection;
    markWaiting(Connection, base::SystemClock::monotonicNow());
    Served.expires_after(Options_.ReadTimeout_);
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(Options_.BodyLimitBytes_);
    Parser.header_limit(static_cast<std::uint32_t>(Options_.HeaderLimitBytes_));
    auto [Failure, Read] =
        co_await http::async_read(Served, Buffer, Parser, AsTuple);
    if (Options_.Traffic_)
      Options_.Traffic_->received(Read);
    markWaiting(Connection, base::TimePoint::max());
    HttpAnswer Answer;
    bool KeepAlive = false;
    if (Failure) {
      Answer.Status_ = statusOf(Failure);
      if (Answer.Status_ == 0)
        co_return false;
    } else {
      KeepAlive = Parser.keep_alive();
      // The handler has bounds of its own, and may wait for long in a watch.
      Served.expires_never();
      HttpRequest Request = fromBeast(Parser.release());
      // A handler that fails must not cost the connection's place.
      try {
        Answer = co_await Answers_(std::move(Request));
      } catch (...) {
        reporting::logThrown("handler-failed", std::current_exception());
        Answer = {};
        Answer.Status_ = StatusInternalError;
      }
    }
    if (Answer.Lost_)
      co_return false;
    Served.expires_after(Options_.ReadTimeout_);
    auto Message = toBeast(Answer, KeepAlive);
    auto [WriteFailure, Written] =
        co_await http::async_write(Served, Message, AsTuple);
    if (Options_.Traffic_)
      Options_.Traffic_->sent(Written);
    co_return KeepAlive && !WriteFailure;
  }

  void stop() {
    std::map<Stream, base::TimePoint> Closing;
    {
      const std::lock_guard Guard(Lock_);
      Stopped_ = true;
      Closing.swap(Open_);
    }
    for (const auto &[Each, Since] : Closing)
      asio::post(Each->get_executor(), [Each = Each] { Each->close(); });
    const std::shared_ptr<State> Self = shared_from_this();
    asio::post(Acceptor_.get_executor(), [Self] {
      beast::error_code Ignored;
      Self->Acceptor_.close(Ignored);
    });
  }

  const asio::any_io_executor Executor_;
  const HttpServerOptions Options_;
  const Handler Answers_;
  Tcp::acceptor Acceptor_;
  std::uint16_t Port_ = 0;
  std::mutex Lock_;
  bool Stopped_ = false;
  /// Since when each waits for a request.
  std::map<Stream, base::TimePoint> Open_;
};

HttpServer::HttpServer(asio::any_io_executor Executor,
                       HttpServerOptions Options, Handler Answers)
    : State_(std::make_shared<State>(std::move(Executor), std::move(Options),
                                     std::move(Answers))) {}

HttpServer::~HttpServer() { stop(); }

bool HttpServer::listen(base::Error &Last) {
  const std::string Peer =
      State_->Options_.Address_ + ":" + std::to_string(State_->Options_.Port_);
  beast::error_code Failure;
  const auto Address =
      asio::ip::make_address(State_->Options_.Address_, Failure);
  const Tcp::endpoint Endpoint(Address, State_->Options_.Port_);
  Tcp::acceptor &Acceptor = State_->Acceptor_;
  if (!Failure)
    Acceptor.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Endpoint, Failure);
  if (!Failure)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure) {
    Last = {"http.listen", Peer, Failure.message()};
    return false;
  }
  State_->Port_ = Acceptor.local_endpoint(Failure).port();
  asio::co_spawn(Acceptor.get_executor(), State_->accept(), asio::detached);
  return true;
}

std::uint16_t HttpServer::port() const noexcept { return State_->Port_; }

void HttpServer::stop() { State_->stop(); }

} // namespace lychee::transport
