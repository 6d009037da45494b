#include "fleet/PeerClient.h"

#include "base/SystemClock.h"
#include "fleet/rpc/RpcCall.h"

#include <array>
#include <charconv>

namespace lychee::fleet {

namespace asio = boost::asio;
using transport::HttpAnswer;
using transport::HttpClient;
using transport::HttpRequest;

namespace {

/// \returns address and port of IP:PORT; nothing if \p Peer has another form.
std::optional<transport::HttpClientOptions> parsePeer(std::string_view Peer) {
  const std::size_t Colon = Peer.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view Port = Peer.substr(Colon + 1);
  transport::HttpClientOptions Options;
  Options.Address_ = std::string(Peer.substr(0, Colon));
  const auto [End, Failure] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Options.Port_);
  if (Failure != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  return Options;
}

} // namespace

PeerClient::PeerClient(asio::any_io_executor Executor, base::HostId Self,
                       const PeerAuthenticator &Authenticator,
                       std::uint64_t Seed, transport::TrafficCounter *Traffic)
    : Executor_(std::move(Executor)), Self_(std::move(Self)),
      Authenticator_(Authenticator), Traffic_(Traffic), Random_(Seed) {}

asio::awaitable<std::optional<std::string>>
PeerClient::call(std::string Peer, std::string Method, std::string Parameters,
                 base::Duration Timeout, base::Error &Last) {
  ++Calls_;
  std::string Body = RpcCall::encode(Method, Parameters);
  if (Body.empty()) {
    ++Failures_;
    Last = {"rpc." + Method, Peer, "parameters are not a JSON object"};
    co_return std::nullopt;
  }
  const std::optional<std::string> Answer =
      co_await exchange(Peer, Method, std::move(Body), Timeout, Last);
  if (!Answer) {
    ++Failures_;
    co_return std::nullopt;
  }
  RpcOutcome Outcome = RpcCall::decode(*Answer);
  if (Outcome.Code_ == 0)
    co_return std::move(Outcome.Text_);
  ++Failures_;
  Last = {"rpc." + Method, Peer,
          "code " + std::to_string(Outcome.Code_) + ": " + Outcome.Text_};
  co_return std::nullopt;
}

asio::awaitable<std::optional<std::string>>
PeerClient::exchange(const std::string &Peer, const std::string &Method,
                     std::string Body, base::Duration Timeout,
                     base::Error &Last) {
  const std::string Step = "rpc." + Method;
  const std::shared_ptr<HttpClient> Client = clientOf(Peer, Last);
  if (!Client) {
    Last.Step_ = Step;
    co_return std::nullopt;
  }
  const PeerProof Proof = Authenticator_.sign(Body, Self_, makeNonce(),
                                              base::SystemClock::wallNow());
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/rpc";
  Request.Headers_ = {{"Content-Type", "application/json"},
                      {"Lychee-Host", Proof.Host_},
                      {"Lychee-Time", std::to_string(Proof.SentAt_)},
                      {"Lychee-Nonce", Proof.Nonce_},
                      {"Lychee-Signature", Proof.Signature_}};
  Request.Body_ = std::move(Body);
  BytesOut_ += Request.Body_.size();
  bool Sent = false;
  std::optional<HttpAnswer> Answer =
      co_await Client->exchange(std::move(Request), Timeout, Step, Sent, Last);
  if (!Answer)
    co_return std::nullopt;
  BytesIn_ += Answer->Body_.size();
  if (Answer->Status_ != 200) {
    Last = {Step, Peer, "status " + std::to_string(Answer->Status_)};
    co_return std::nullopt;
  }
  if (!Authenticator_.checkAnswer(Answer->Body_, Proof.Nonce_,
                                  Answer->header("Lychee-Signature"))) {
    Last = {Step, Peer, "answer not signed with the fleet secret"};
    co_return std::nullopt;
  }
  co_return std::move(Answer->Body_);
}

std::shared_ptr<HttpClient> PeerClient::clientOf(const std::string &Peer,
                                                 base::Error &Last) {
  const std::lock_guard Guard(Lock_);
  if (BlockedPeers_.contains(Peer)) {
    Last = {"", Peer, "cut off"};
    return nullptr;
  }
  std::shared_ptr<HttpClient> &Client = Clients_[Peer];
  if (Client)
    return Client;
  auto Options = parsePeer(Peer);
  if (!Options) {
    Clients_.erase(Peer);
    Last = {"", Peer, "not IP:PORT"};
    return nullptr;
  }
  Options->Traffic_ = Traffic_;
  Client = std::make_shared<HttpClient>(Executor_, *Options);
  return Client;
}

std::string PeerClient::makeNonce() {
  std::array<char, 32> Digits{};
  const std::lock_guard Guard(Lock_);
  char *End = Digits.data();
  for (int Half = 0; Half < 2; ++Half)
    End = std::to_chars(End, Digits.data() + Digits.size(), Random_(), 16).ptr;
  return {Digits.data(), End};
}

void PeerClient::blockPeers(std::set<std::string> Peers) {
  const std::lock_guard Guard(Lock_);
  BlockedPeers_ = std::move(Peers);
}

void PeerClient::closeConnections(const std::string &Peer) {
  const std::lock_guard Guard(Lock_);
  Clients_.erase(Peer);
}

} // namespace lychee::fleet
