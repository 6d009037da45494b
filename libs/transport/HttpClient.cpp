#include "transport/HttpClient.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lychee::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Kept connections to one server; a burst of calls opens more and drops them.
constexpr std::size_t IdleConnectionLimit = 4;

/// Before one answer; a server that sends more will not come to an end.
constexpr int MaxInterimAnswers = 8;

http::request<http::string_body> toBeast(HttpRequest &Request,
                                         const std::string &Peer) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  Message.set(http::field::host, Peer);
  for (const HttpHeader &Header : Request.Headers_)
    Message.insert(Header.Name_, Header.Value_);
  Message.body() = std::move(Request.Body_);
  Message.prepare_payload();
  return Message;
}

HttpAnswer fromBeast(http::response<http::string_body> Message) {
  HttpAnswer Answer;
  Answer.Status_ = Message.result_int();
  for (const auto &Field : Message)
    Answer.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Answer.Body_ = std::move(Message.body());
  return Answer;
}

/// What a server sends before the answer to a call (RFC 9110 15.2).
bool isInterim(const HttpAnswer &Answer) {
  return Answer.Status_ >= 100 && Answer.Status_ < 200;
}

bool isClosedByPeer(const beast::error_code &Failure) {
  return Failure == http::error::end_of_stream ||
         Failure == asio::error::connection_reset;
}

} // namespace

/// One connection on a strand of its own: Beast's stream timer and its reads
/// and writes must not run at the same time.
class HttpClient::Connection {
public:
  explicit Connection(const asio::any_io_executor &Executor)
      : Stream_(asio::make_strand(Executor)) {}

  auto strand() { return Stream_.get_executor(); }

  bool idleTooLong(base::TimePoint Now, base::Duration Limit) const {
    return Now - LastUse_ > Limit;
  }

  asio::awaitable<std::optional<HttpAnswer>>
  run(http::request<http::string_body> Message, HttpClientOptions Options,
      base::Duration Timeout, bool *Sent, bool *Closed, std::string *Reason) {
    Stream_.expires_after(Timeout);
    if (!Connected_ && !co_await connect(Options, Reason))
      co_return std::nullopt;
    *Sent = true;
    auto [WriteFailure, Written] =
        co_await http::async_write(Stream_, Message, AsTuple);
    if (Options.Traffic_)
      Options.Traffic_->sent(Written);
    if (WriteFailure) {
      *Reason = "write: " + WriteFailure.message();
      co_return std::nullopt;
    }
    std::optional<HttpAnswer> Answer;
    for (int Read = 0; !Answer && Read <= MaxInterimAnswers; ++Read) {
      Answer = co_await read(Options, Closed, Reason);
      if (!Answer)
        co_return std::nullopt;
      if (isInterim(*Answer))
        Answer.reset();
    }
    if (!Answer)
      *Reason = "read: too many interim answers";
    co_return Answer;
  }

  bool reusable() const noexcept { return Reusable_; }

  /// \returns whether the peer has neither closed the connection nor sent what
  /// nobody asked for.
  bool isQuiet() {
    char Byte = 0;
    const auto Count = ::recv(Stream_.socket().native_handle(), &Byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void begin(base::TimePoint Now) noexcept { Begun_ = Now; }
  base::TimePoint begun() const noexcept { return Begun_; }

  /// Ends what runs on it. Of its strand.
  void abandon() { Stream_.cancel(); }

private:
  asio::awaitable<std::optional<HttpAnswer>>
  read(const HttpClientOptions &Options, bool *Closed, std::string *Reason) {
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(Options.BodyLimitBytes_);
    auto [Failure, Read] =
        co_await http::async_read(Stream_, Buffer_, Parser, AsTuple);
    if (Options.Traffic_)
      Options.Traffic_->received(Read);
    if (Failure) {
      *Closed = Read == 0 && isClosedByPeer(Failure);
      *Reason = "read: " + Failure.message();
      co_return std::nullopt;
    }
    Reusable_ = Parser.keep_alive() && Buffer_.size() == 0;
    LastUse_ = base::SystemClock::monotonicNow();
    Stream_.expires_never();
    co_return fromBeast(Parser.release());
  }

  asio::awaitable<bool> connect(const HttpClientOptions &Options,
                                std::string *Reason) {
    beast::error_code AddressFailure;
    const auto Address =
        asio::ip::make_address(Options.Address_, AddressFailure);
    if (AddressFailure) {
      *Reason = "address: " + AddressFailure.message();
      co_return false;
    }
    const asio::ip::tcp::endpoint Endpoint(Address, Options.Port_);
    auto [Failure] = co_await Stream_.async_connect(Endpoint, AsTuple);
    if (Failure) {
      *Reason = "connect: " + Failure.message();
      co_return false;
    }
    beast::error_code Ignored;
    Stream_.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
    if (Options.DeadPeerLimit_.count() > 0)
      probePeer(Options.DeadPeerLimit_);
    Connected_ = true;
    co_return true;
  }

  /// Something between the two ends may lose track of the connection without a
  /// word; probes of the protocol itself notice it and cost no call.
  void probePeer(std::chrono::seconds Limit) {
    const int Handle = Stream_.socket().native_handle();
    const int On = 1;
    const int Pause = 1;
    const int Tries = std::max(1, static_cast<int>(Limit.count()) - Pause);
    const auto Milliseconds = static_cast<unsigned>(Limit.count() * 1000);
    setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
    setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &Pause, sizeof Pause);
    setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &Pause, sizeof Pause);
    setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Tries, sizeof Tries);
    setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
               sizeof Milliseconds);
  }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_{ReadBufferBytes};
  base::TimePoint LastUse_;
  base::TimePoint Begun_ = base::TimePoint::max();
  bool Connected_ = false;
  bool Reusable_ = false;
};

HttpClient::HttpClient(asio::any_io_executor Executor,
                       HttpClientOptions Options)
    : Executor_(std::move(Executor)), Options_(std::move(Options)),
      Peer_(Options_.Address_ + ":" + std::to_string(Options_.Port_)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<std::optional<HttpAnswer>>
HttpClient::exchange(HttpRequest Request, base::Duration Timeout,
                     std::string_view Step, bool &Sent, base::Error &Last,
                     bool *Closed) {
  Sent = false;
  bool ClosedByPeer = false;
  std::string Reason;
  std::shared_ptr<Connection> Used = takeIdle();
  if (!Used)
    Used = std::make_shared<Connection>(Executor_);
  noteBusy(Used);
  auto Message = toBeast(Request, Peer_);
  std::optional<HttpAnswer> Answer =
      co_await asio::co_spawn(Used->strand(),
                              Used->run(std::move(Message), Options_, Timeout,
                                        &Sent, &ClosedByPeer, &Reason),
                              asio::use_awaitable);
  if (Closed)
    *Closed = ClosedByPeer;
  if (!Answer) {
    Last = {std::string(Step), Peer_, Reason};
    co_return std::nullopt;
  }
  Used->begin(base::TimePoint::max());
  if (Used->reusable())
    keepIdle(std::move(Used));
  co_return Answer;
}

void HttpClient::noteBusy(const std::shared_ptr<Connection> &Used) {
  Used->begin(base::SystemClock::monotonicNow());
  const std::lock_guard Guard(Lock_);
  std::erase_if(Busy_, [&Used](const std::weak_ptr<Connection> &Each) {
    const auto Open = Each.lock();
    return !Open || Open == Used;
  });
  Busy_.push_back(Used);
}

void HttpClient::abandonBegunBefore(base::TimePoint Moment) {
  const std::lock_guard Guard(Lock_);
  for (const std::weak_ptr<Connection> &Each : Busy_) {
    const auto Open = Each.lock();
    if (Open && Open->begun() < Moment)
      asio::post(Open->strand(), [Open] { Open->abandon(); });
  }
}

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdle() {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  const std::lock_guard Guard(Lock_);
  while (!Idle_.empty()) {
    std::shared_ptr<Connection> Candidate = std::move(Idle_.back());
    Idle_.pop_back();
    if (!Candidate->idleTooLong(Now, Options_.IdleLimit_) &&
        Candidate->isQuiet())
      return Candidate;
  }
  return nullptr;
}

void HttpClient::keepIdle(std::shared_ptr<Connection> Kept) {
  const std::lock_guard Guard(Lock_);
  if (Idle_.size() < IdleConnectionLimit)
    Idle_.push_back(std::move(Kept));
}

} // namespace lychee::transport
