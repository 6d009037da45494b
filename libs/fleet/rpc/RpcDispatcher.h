#ifndef LYCHEE_FLEET_RPC_RPCDISPATCHER_H
#define LYCHEE_FLEET_RPC_RPCDISPATCHER_H

#include "fleet/rpc/RpcCall.h"

#include <functional>
#include <memory>
#include <string>

namespace lychee {
namespace fleet {

/// The caller of a method, as identified by the listener.
struct RpcCaller {
  /// The host, authenticated by the fleet secret; empty for an operator.
  std::string Host_;
  /// An operator's bearer token, not checked yet; empty for a host.
  std::string OperatorToken_;
};

/// Dispatches JSON-RPC 2.0 calls to handlers and encodes the answers. A method
/// whose name begins with "operator." also accepts callers with a bearer token,
/// which its handler checks; every other method accepts authenticated hosts
/// only.
///
/// Compiled as C++14 because the headers of libjsonrpccpp require it; hence
/// this header uses neither the library nor newer C++. Bind all methods before
/// the first call of handle(), which may then be called from several threads.
/// \see PeerServer
class RpcDispatcher {
public:
  /// Takes the parameters as the text of a JSON object. May block for a bounded
  /// time.
  using Handler = std::function<RpcOutcome(const RpcCaller &Caller,
                                           const std::string &Parameters)>;

  /// Error code for a caller that is not allowed to call the method.
  static constexpr int NotAllowed = -32001;

  RpcDispatcher();
  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;
  ~RpcDispatcher();

  /// To be called once for each method, before the first handle().
  void bind(const std::string &Method, Handler Called);

  /// \returns the text of the answer; malformed text gets a JSON-RPC error
  /// answer.
  std::string handle(const RpcCaller &Caller, const std::string &Request);

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace fleet
} // namespace lychee

#endif
