#ifndef LYCHEE_FLEET_RPC_RPCCALL_H
#define LYCHEE_FLEET_RPC_RPCCALL_H

#include <string>

namespace lychee {
namespace fleet {

/// How a handler answered: a result, or a code and a message.
struct RpcOutcome {
  /// 0 for a result; else a JSON-RPC error code.
  int Code_;
  /// The result as JSON text, or the error's message.
  std::string Text_;
};

/// One JSON-RPC 2.0 call from the caller's side: its text, and what the answer
/// to it says. Compiled as C++14, which libjsonrpccpp's headers need; this
/// header knows neither the library nor newer C++. \see RpcDispatcher
class RpcCall {
public:
  RpcCall() = delete;

  /// Not a JSON-RPC answer at all.
  static constexpr int MalformedAnswer = -32099;

  /// \param Parameters  a JSON object's text.
  /// \returns the call's text; empty where \p Parameters is not an object.
  static std::string encode(const std::string &Method,
                            const std::string &Parameters);

  static RpcOutcome decode(const std::string &Answer);
};

} // namespace fleet
} // namespace lychee

#endif
