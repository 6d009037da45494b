#ifndef LYCHEE_FLEET_RPC_RPCDISPATCHER_H
#define LYCHEE_FLEET_RPC_RPCDISPATCHER_H

#include "fleet/rpc/RpcCall.h"

#include <functional>
#include <memory>
#include <string>

namespace lychee {
namespace fleet {

/// Who makes a call, as far as the listener could tell.
struct RpcCaller {
  /// The host, proven by the fleet secret; empty for an operator.
  std::string Host_;
  /// An operator's bearer token, not yet checked; empty for a host.
  std::string OperatorToken_;
};

/// Finds the handler of a JSON-RPC 2.0 call and writes the answer. A method
/// whose name begins with "operator." is open to a caller that shows a token,
/// which its handler checks; every other method takes proven hosts alone.
///
/// Compiled as C++14, which libjsonrpccpp's headers need; this header knows
/// neither the library nor newer C++. Bind everything first, then handle: calls
/// may come from several threads. \see PeerServer
class RpcDispatcher {
public:
  /// Takes the parameters as a JSON object's text. May block within a bound.
  using Handler = std::function<RpcOutcome(const RpcCaller &Caller,
                                           const std::string &Parameters)>;

  /// The caller may not call this method.
  static constexpr int NotAllowed = -32001;

  RpcDispatcher();
  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;
  ~RpcDispatcher();

  /// To be called once for each method, before the first handle().
  void bind(const std::string &Method, Handler Called);

  /// \returns the answer's text; malformed text gets JSON-RPC's error answer.
  std::string handle(const RpcCaller &Caller, const std::string &Request);

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace fleet
} // namespace lychee

#endif
