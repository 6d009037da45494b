#ifndef LYCHEE_OPERATIONS_OPERATORRPC_H
#define LYCHEE_OPERATIONS_OPERATORRPC_H

#include "operations/Json.h"
#include "operations/OperatorApi.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::operations {

/// The operators' calls as JSON: "operator.apply" and so on, to be bound on
/// the peer and operator listener. Every answer is an object whose "status" is
/// "done" or the name of a Failure; docs/design/operators.md tells the members.
/// \see OperatorApi, fleet::RpcDispatcher
class OperatorRpc {
public:
  explicit OperatorRpc(OperatorApi &Served) noexcept : Api_(Served) {}
  OperatorRpc(const OperatorRpc &) = delete;
  OperatorRpc &operator=(const OperatorRpc &) = delete;

  /// \returns the names of all methods.
  static std::vector<std::string> methods();

  /// \param Parameters  a JSON object's text; members of a wrong type count as
  /// absent.
  /// \param Token  as the caller showed it; kept nowhere.
  /// \returns the answer as JSON text.
  boost::asio::awaitable<std::string>
  call(std::string Method, std::string Parameters, std::string Token,
       base::WallPoint Now, base::TimePoint MonotonicNow);

private:
  /// One call's arguments.
  struct Call {
    Json::Value Parameters_;
    std::string Token_;
    base::WallPoint Now_;
    base::TimePoint MonotonicNow_;
  };

  using Answer = boost::asio::awaitable<Json::Value>;
  using Method = Answer (OperatorRpc::*)(const Call &);

  struct Entry {
    std::string_view Name_;
    Method Called_;
  };

  static const std::vector<Entry> &table();

  Answer apply(const Call &Asked);
  Answer preview(const Call &Asked);
  Answer show(const Call &Asked);
  Answer drain(const Call &Asked);
  Answer addKey(const Call &Asked);
  Answer withdrawKey(const Call &Asked);
  Answer shift(const Call &Asked);
  Answer history(const Call &Asked);
  Answer status(const Call &Asked);
  Answer members(const Call &Asked);
  Answer explain(const Call &Asked);

  OperatorApi &Api_;
};

} // namespace lychee::operations

#endif
