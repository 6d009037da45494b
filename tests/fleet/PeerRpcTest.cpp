#include "fleet/PeerClient.h"
#include "fleet/PeerServer.h"
#include "support/IoThreads.h"
#include "support/Require.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
namespace transport = lychee::transport;
using lychee::tests::IoThreads;
using lychee::tests::require;

namespace {

const char *const Secret = "0123456789abcdef0123456789abcdef";
constexpr auto Timeout = std::chrono::seconds(10);

} // namespace

TEST_GROUP(PeerRpc) {
  IoThreads Io_;
  fleet::RpcDispatcher Handlers_;
  fleet::PeerAuthenticator Authenticator_{Secret};
  fleet::PeerServer Server_{Io_.executor(), {}, Handlers_, Authenticator_};
  fleet::PeerClient Client_{Io_.executor(), base::HostId("h1"), Authenticator_,
                            1};
  base::Error Last_;
  std::string Peer_;

  void setup() override {
    Handlers_.bind("echo", [](const fleet::RpcCaller &Caller,
                              const std::string &Parameters) {
      return fleet::RpcOutcome{0, "{\"host\":\"" + Caller.Host_ +
                                      "\",\"got\":" + Parameters + "}"};
    });
    Handlers_.bind("fail", [](const fleet::RpcCaller &, const std::string &) {
      return fleet::RpcOutcome{-32010, "stale epoch"};
    });
    Handlers_.bind("operator.show",
                   [](const fleet::RpcCaller &Caller, const std::string &) {
                     return fleet::RpcOutcome{
                         0, "{\"token\":\"" + Caller.OperatorToken_ + "\"}"};
                   });
    CHECK(Server_.listen(Last_));
    Peer_ = "127.0.0.1:" + std::to_string(Server_.port());
  }

  void teardown() override { Io_.stop(); }

  transport::HttpAnswer post(std::vector<transport::HttpHeader> Headers,
                             std::string Body) {
    transport::HttpClient RawClient(Io_.executor(),
                                    {"127.0.0.1", Server_.port()});
    bool Sent = false;
    transport::HttpRequest Request{"POST", "/rpc", std::move(Headers),
                                   std::move(Body)};
    return require(Io_.run(
        RawClient.exchange(std::move(Request), Timeout, "test", Sent, Last_)));
  }
};

TEST(PeerRpc, callReachesTheHandlerWithTheAuthenticatedHost) {
  const auto Result = require(
      Io_.run(Client_.call(Peer_, "echo", "{\"a\":1}", Timeout, Last_)));
  STRCMP_EQUAL("{\"got\":{\"a\":1},\"host\":\"h1\"}", Result.c_str());
}

TEST(PeerRpc, handlerErrorIsReturnedWithStepAndPeer) {
  CHECK_FALSE(Io_.run(Client_.call(Peer_, "fail", "{}", Timeout, Last_)));
  STRCMP_EQUAL("rpc.fail", Last_.Step_.c_str());
  STRCMP_EQUAL(Peer_.c_str(), Last_.Peer_.c_str());
  STRCMP_CONTAINS("stale epoch", Last_.Reason_.c_str());
  CHECK_FALSE(Io_.run(Client_.call(Peer_, "none", "{}", Timeout, Last_)));
  STRCMP_CONTAINS("-32601", Last_.Reason_.c_str());
}

TEST(PeerRpc, unauthenticatedCallersAreRefusedAndCounted) {
  const fleet::PeerAuthenticator WrongSecret(
      "another secret, just as long as that");
  fleet::PeerClient Unauthenticated(Io_.executor(), base::HostId("h1"),
                                    WrongSecret, 2);
  CHECK_FALSE(
      Io_.run(Unauthenticated.call(Peer_, "echo", "{}", Timeout, Last_)));
  STRCMP_EQUAL("status 401", Last_.Reason_.c_str());
  UNSIGNED_LONGLONGS_EQUAL(401, post({}, "{}").Status_);
  const auto Refused = Server_.counts().Refused_;
  UNSIGNED_LONGLONGS_EQUAL(
      2, Refused.at(static_cast<int>(fleet::ProofVerdict::WrongSignature)));
  UNSIGNED_LONGLONGS_EQUAL(0, Server_.counts().FromHosts_);
}

TEST(PeerRpc, operatorsMayCallOperatorMethodsOnly) {
  const std::vector<transport::HttpHeader> Token = {
      {"Authorization", "Bearer t0"}};
  const auto Shown = post(Token, fleet::RpcCall::encode("operator.show", "{}"));
  STRCMP_EQUAL("{\"token\":\"t0\"}",
               fleet::RpcCall::decode(Shown.Body_).Text_.c_str());
  const auto Echoed = post(Token, fleet::RpcCall::encode("echo", "{}"));
  LONGS_EQUAL(fleet::RpcDispatcher::NotAllowed,
              fleet::RpcCall::decode(Echoed.Body_).Code_);
}

TEST(PeerRpc, malformedCallsGetErrorsAndTheListenerContinues) {
  const std::vector<transport::HttpHeader> Token = {
      {"Authorization", "Bearer t0"}};
  for (const char *Body : {"", "[", "[]", "{}", "{\"jsonrpc\":\"2.0\"}",
                           "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":7}"})
    CHECK(fleet::RpcCall::decode(post(Token, Body).Body_).Code_ != 0);
  CHECK(Io_.run(Client_.call(Peer_, "echo", "{}", Timeout, Last_)).has_value());
}

TEST(PeerRpc, callsToBlockedOrInvalidPeersFailWithTheReason) {
  Client_.blockPeers({Peer_});
  CHECK_FALSE(Io_.run(Client_.call(Peer_, "echo", "{}", Timeout, Last_)));
  STRCMP_EQUAL("cut off", Last_.Reason_.c_str());
  Client_.blockPeers({});
  CHECK(Io_.run(Client_.call(Peer_, "echo", "{}", Timeout, Last_)).has_value());
  CHECK_FALSE(Io_.run(Client_.call("nonsense", "echo", "{}", Timeout, Last_)));
  STRCMP_EQUAL("not IP:PORT", Last_.Reason_.c_str());
}
