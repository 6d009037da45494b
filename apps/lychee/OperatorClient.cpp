#include "OperatorClient.h"

#include "fleet/rpc/RpcCall.h"
#include "operations/Json.h"
#include "settings/Values.h"
#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>
#include <utility>

namespace lychee::command {

namespace {

/// A daemon waits five seconds for its store; past that it answers.
constexpr base::Duration CallTimeout = std::chrono::seconds(15);
constexpr int Tries = 3;

/// What a host's listener takes; it ends the connection of a larger call, which
/// from here looks like a lost answer. \see transport::HttpServerOptions
constexpr std::size_t RequestLimitBytes = std::size_t{4} << 20;
constexpr base::Duration PauseBetweenTries = std::chrono::milliseconds(500);

std::optional<transport::HttpAnswer> exchange(const settings::Endpoint &Server,
                                              transport::HttpRequest Request,
                                              base::Duration Timeout,
                                              bool &Sent, base::Error &Last) {
  boost::asio::io_context Context;
  transport::HttpClientOptions Options;
  Options.Address_ = Server.Address_;
  Options.Port_ = Server.Port_;
  Options.BodyLimitBytes_ = std::size_t{256} << 20;
  transport::HttpClient Client(Context.get_executor(), Options);
  auto Answer = boost::asio::co_spawn(
      Context,
      Client.exchange(std::move(Request), Timeout, "operator.call", Sent, Last),
      boost::asio::use_future);
  Context.run();
  return Answer.get();
}

} // namespace

OperatorClient::OperatorClient(std::string Server, std::string Token)
    : Server_(std::move(Server)), Token_(std::move(Token)) {}

std::optional<Json::Value> OperatorClient::call(const std::string &Method,
                                                const Json::Value &Parameters,
                                                base::Duration Timeout,
                                                base::Error &Last) {
  const auto Server = settings::parseEndpoint(Server_);
  if (!Server) {
    Last = {"operator.call", Server_, "the server is no IP:PORT"};
    return std::nullopt;
  }
  transport::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/rpc";
  Request.Headers_ = {{"Authorization", "Bearer " + Token_},
                      {"Content-Type", "application/json"}};
  Request.Body_ =
      fleet::RpcCall::encode(Method, operations::writeJson(Parameters));
  if (Request.Body_.size() > RequestLimitBytes) {
    Last = {"operator.call", Server_,
            "the call takes " + std::to_string(Request.Body_.size()) +
                " bytes, a host takes " + std::to_string(RequestLimitBytes)};
    return std::nullopt;
  }
  bool Sent = false;
  const auto Answer =
      exchange(*Server, std::move(Request), Timeout, Sent, Last);
  // A 4xx is the listener's own: it passed the call on to nobody.
  const bool Refused =
      Answer && Answer->Status_ >= 400 && Answer->Status_ < 500;
  MayHaveArrived_ = MayHaveArrived_ || (Sent && !Refused);
  if (!Answer)
    return std::nullopt;
  if (Answer->Status_ != 200) {
    Last = {"operator.call", Server_,
            "the host answered status " + std::to_string(Answer->Status_)};
    return std::nullopt;
  }
  const fleet::RpcOutcome Outcome = fleet::RpcCall::decode(Answer->Body_);
  auto Result = operations::readJson(Outcome.Text_);
  if (Outcome.Code_ == 0 && Result && Result->isObject())
    return Result;
  Last = {"operator.call", Server_,
          Outcome.Code_ == 0 ? "the answer is no object" : Outcome.Text_};
  return std::nullopt;
}

std::optional<Json::Value>
OperatorClient::callUntilAnswered(const std::string &Method,
                                  const Json::Value &Parameters,
                                  base::Error &Last) {
  for (int Try = 1; Try < Tries; ++Try) {
    auto Answer = call(Method, Parameters, CallTimeout, Last);
    if (Answer && operations::textOf(*Answer, "status") != "unknown")
      return Answer;
    std::this_thread::sleep_for(PauseBetweenTries);
  }
  return call(Method, Parameters, CallTimeout, Last);
}

} // namespace lychee::command
