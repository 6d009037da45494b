#include "fleet/rpc/RpcDispatcher.h"

#include <cassert>
#include <jsonrpccpp/server.h>
#include <map>

namespace lychee {
namespace fleet {

namespace {

bool parseValue(const std::string &Text, Json::Value &Value) {
  Json::CharReaderBuilder Builder;
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  return Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr);
}

std::string writeCompact(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

bool mayCall(const RpcCaller &Caller, const std::string &Method) {
  if (!Caller.Host_.empty())
    return true;
  return !Caller.OperatorToken_.empty() &&
         Method.compare(0, 9, "operator.") == 0;
}

/// The caller of the call that this thread handles; the library's protocol
/// handler offers no way to pass it on.
thread_local const RpcCaller *CurrentCaller = nullptr;

} // namespace

class RpcDispatcher::Implementation
    : public jsonrpc::IProcedureInvokationHandler {
public:
  Implementation()
      : Protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void bind(const std::string &Method, Handler Called) {
    assert(!Handlers_.count(Method) && "a method has one handler");
    Handlers_[Method] = std::move(Called);
    Protocol_->AddProcedure(jsonrpc::Procedure(Method, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, NULL));
  }

  std::string handle(const RpcCaller &Caller, const std::string &Request) {
    CurrentCaller = &Caller;
    std::string Answer;
    Protocol_->HandleRequest(Request, Answer);
    CurrentCaller = nullptr;
    return Answer;
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  void HandleMethodCall(jsonrpc::Procedure &Called, const Json::Value &Input,
                        Json::Value &Output) override {
    const std::string &Method = Called.GetProcedureName();
    if (!mayCall(*CurrentCaller, Method))
      throw jsonrpc::JsonRpcException(NotAllowed, "not allowed");
    const RpcOutcome Outcome =
        Handlers_.at(Method)(*CurrentCaller, writeCompact(Input));
    if (Outcome.Code_ != 0)
      throw jsonrpc::JsonRpcException(Outcome.Code_, Outcome.Text_);
    if (!parseValue(Outcome.Text_, Output))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      "handler wrote no JSON");
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

private:
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol_;
  std::map<std::string, Handler> Handlers_;
};

constexpr int RpcDispatcher::NotAllowed;

RpcDispatcher::RpcDispatcher() : Implementation_(new Implementation) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::bind(const std::string &Method, Handler Called) {
  Implementation_->bind(Method, std::move(Called));
}

std::string RpcDispatcher::handle(const RpcCaller &Caller,
                                  const std::string &Request) {
  return Implementation_->handle(Caller, Request);
}

} // namespace fleet
} // namespace lychee
