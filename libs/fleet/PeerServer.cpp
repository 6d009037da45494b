#include "fleet/PeerServer.h"

#include "base/SystemClock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace lychee::fleet {

namespace asio = boost::asio;
using transport::HttpAnswer;
using transport::HttpRequest;

namespace {

/// Number of handlers that run at once. Heartbeats take well under a
/// millisecond; only an operator's apply waits for the store, and two of these
/// at a time leave two threads for peers.
constexpr std::size_t WorkerCount = 4;

constexpr std::string_view BearerPrefix = "Bearer ";

HttpAnswer withStatus(unsigned Status) {
  HttpAnswer Answer;
  Answer.Status_ = Status;
  return Answer;
}

PeerProof proofOf(const HttpRequest &Request) {
  PeerProof Proof;
  Proof.Host_ = std::string(Request.header("Lychee-Host"));
  Proof.Nonce_ = std::string(Request.header("Lychee-Nonce"));
  Proof.Signature_ = std::string(Request.header("Lychee-Signature"));
  const std::string_view Time = Request.header("Lychee-Time");
  std::from_chars(Time.data(), Time.data() + Time.size(), Proof.SentAt_);
  return Proof;
}

} // namespace

PeerServer::PeerServer(asio::any_io_executor Executor,
                       transport::HttpServerOptions Options,
                       RpcDispatcher &Handlers,
                       PeerAuthenticator &Authenticator)
    : Handlers_(Handlers), Authenticator_(Authenticator), Workers_(WorkerCount),
      Server_(
          std::move(Executor), std::move(Options),
          [this](HttpRequest Request) { return answer(std::move(Request)); }) {}

PeerServer::~PeerServer() {
  Server_.stop();
  Workers_.join();
}

ProofVerdict PeerServer::authenticate(const HttpRequest &Request,
                                      RpcCaller &Caller, std::string &Nonce) {
  const std::string_view Bearer = Request.header("Authorization");
  if (Bearer.size() > BearerPrefix.size() && Bearer.starts_with(BearerPrefix)) {
    Caller.OperatorToken_ = std::string(Bearer.substr(BearerPrefix.size()));
    return ProofVerdict::Valid;
  }
  PeerProof Proof = proofOf(Request);
  const ProofVerdict Verdict =
      Authenticator_.check(Request.Body_, Proof, base::SystemClock::wallNow());
  if (Verdict == ProofVerdict::Valid) {
    Caller.Host_ = std::move(Proof.Host_);
    Nonce = std::move(Proof.Nonce_);
  }
  return Verdict;
}

asio::awaitable<HttpAnswer> PeerServer::answer(HttpRequest Request) {
  BytesIn_ += Request.Body_.size();
  if (Request.Target_ != "/rpc")
    co_return withStatus(404);
  if (Request.Method_ != "POST")
    co_return withStatus(405);
  RpcCaller Caller;
  std::string Nonce;
  const ProofVerdict Verdict = authenticate(Request, Caller, Nonce);
  if (Verdict != ProofVerdict::Valid) {
    ++Refused_.at(static_cast<std::size_t>(Verdict));
    co_return withStatus(401);
  }
  ++(Nonce.empty() ? FromOperators_ : FromHosts_);
  HttpAnswer Answer;
  Answer.Body_ =
      co_await runHandler(std::move(Caller), std::move(Request.Body_));
  Answer.Headers_.push_back({"Content-Type", "application/json"});
  if (!Nonce.empty())
    Answer.Headers_.push_back(
        {"Lychee-Signature", Authenticator_.signAnswer(Answer.Body_, Nonce)});
  BytesOut_ += Answer.Body_.size();
  co_return Answer;
}

asio::awaitable<std::string> PeerServer::runHandler(RpcCaller Caller,
                                                    std::string Body) {
  auto Work = [this, &Caller, &Body]() -> asio::awaitable<std::string> {
    co_return Handlers_.handle(Caller, Body);
  };
  co_return co_await asio::co_spawn(Workers_, Work, asio::use_awaitable);
}

PeerServerCounts PeerServer::counts() const noexcept {
  PeerServerCounts Counts;
  Counts.FromHosts_ = FromHosts_;
  Counts.FromOperators_ = FromOperators_;
  for (std::size_t Index = 0; Index < Refused_.size(); ++Index)
    Counts.Refused_[Index] = Refused_[Index];
  Counts.BytesIn_ = BytesIn_;
  Counts.BytesOut_ = BytesOut_;
  return Counts;
}

} // namespace lychee::fleet
