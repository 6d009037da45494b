#ifndef LYCHEE_FLEET_RPC_RPCCALL_H
#define LYCHEE_FLEET_RPC_RPCCALL_H

#include <string>

namespace lychee {
namespace fleet {

/// Result of a call: a value, or an error code and message.
struct RpcOutcome {
  /// 0 on success, otherwise a JSON-RPC error code.
  int Code_;
  /// The result as JSON text, or the error message.
  std::string Text_;
};

/// Client side of a JSON-RPC 2.0 call: encodes the call and decodes the answer.
/// Compiled as C++14 because the headers of libjsonrpccpp require it; hence
/// this header uses neither the library nor newer C++. \see RpcDispatcher
class RpcCall {
public:
  RpcCall() = delete;

  /// Error code for text that is not a JSON-RPC answer.
  static constexpr int MalformedAnswer = -32099;

  /// \param Parameters  the text of a JSON object.
  /// \returns the text of the call; empty if \p Parameters is not a JSON
  /// object.
  static std::string encode(const std::string &Method,
                            const std::string &Parameters);

  static RpcOutcome decode(const std::string &Answer);
};

} // namespace fleet
} // namespace lychee

#endif
