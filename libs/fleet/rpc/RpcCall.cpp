#include "fleet/rpc/RpcCall.h"

#include <jsonrpccpp/client.h>

namespace lychee {
namespace fleet {

namespace {

bool parseObject(const std::string &Text, Json::Value &Value) {
  Json::CharReaderBuilder Builder;
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  return Reader->parse(Text.data(), Text.data() + Text.size(), &Value,
                       nullptr) &&
         Value.isObject();
}

std::string writeCompact(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

/// Connector for the library that sends nothing: it stores the message and
/// returns a given answer. The bytes travel over the project's own connection.
class TextConnector : public jsonrpc::IClientConnector {
public:
  explicit TextConnector(const std::string &Answer) : Answer_(Answer) {}

  void SendRPCMessage(const std::string &Message, // NOLINT(*-naming)
                      std::string &Result)
      // NOLINTNEXTLINE(modernize-use-noexcept)
      throw(jsonrpc::JsonRpcException) override {
    Message_ = Message;
    Result = Answer_;
  }

  const std::string &message() const { return Message_; }

private:
  std::string Answer_;
  std::string Message_;
};

} // namespace

constexpr int RpcCall::MalformedAnswer;

std::string RpcCall::encode(const std::string &Method,
                            const std::string &Parameters) {
  Json::Value Value;
  if (!parseObject(Parameters, Value))
    return std::string();
  // The library requires an answer; this placeholder is discarded.
  TextConnector Connector("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":null}");
  jsonrpc::Client Client(Connector);
  Client.CallMethod(Method, Value);
  return Connector.message();
}

RpcOutcome RpcCall::decode(const std::string &Answer) {
  TextConnector Connector(Answer);
  jsonrpc::Client Client(Connector);
  try {
    const Json::Value Result =
        Client.CallMethod("decode", Json::Value(Json::objectValue));
    return RpcOutcome{0, writeCompact(Result)};
  } catch (const jsonrpc::JsonRpcException &Failure) {
    const int Code = Failure.GetCode();
    return RpcOutcome{Code == 0 ? MalformedAnswer : Code, Failure.GetMessage()};
  } catch (const std::exception &Failure) {
    return RpcOutcome{MalformedAnswer, Failure.what()};
  }
}

} // namespace fleet
} // namespace lychee
