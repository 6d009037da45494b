#ifndef LYCHEE_APPS_LYCHEE_OPERATORCLIENT_H
#define LYCHEE_APPS_LYCHEE_OPERATORCLIENT_H

#include "base/Error.h"
#include "base/Time.h"

#include <json/json.h>
#include <optional>
#include <string>

namespace lychee::command {

/// Calls operators' methods of one host, one call at a time.
class OperatorClient {
public:
  /// \param Server  IP:PORT.
  OperatorClient(std::string Server, std::string Token);
  OperatorClient(const OperatorClient &) = delete;
  OperatorClient &operator=(const OperatorClient &) = delete;

  /// \returns the answer's object, or nothing and \p Last where none came. A
  /// call that changes something may have been made all the same.
  std::optional<Json::Value> call(const std::string &Method,
                                  const Json::Value &Parameters,
                                  base::Duration Timeout, base::Error &Last);

  /// As call(), up to three times: for calls that are idempotent, as changes
  /// are by their change id.
  std::optional<Json::Value> callUntilAnswered(const std::string &Method,
                                               const Json::Value &Parameters,
                                               base::Error &Last);

  /// \returns whether the host may have seen any call so far.
  bool mayHaveArrived() const noexcept { return MayHaveArrived_; }

private:
  const std::string Server_;
  const std::string Token_;
  bool MayHaveArrived_ = false;
};

} // namespace lychee::command

#endif
