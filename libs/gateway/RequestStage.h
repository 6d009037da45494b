#ifndef LYCHEE_GATEWAY_REQUESTSTAGE_H
#define LYCHEE_GATEWAY_REQUESTSTAGE_H

#include "base/Time.h"

#include <string>
#include <string_view>

namespace lychee::gateway {

/// What a request in progress waits for.
enum class RequestStage {
  /// The rest of the request.
  Reading,
  /// Room at a target, a token or a claim.
  Waiting,
  /// The answer of a target or of another host.
  AtTarget,
  /// The caller, which is written to.
  Answering,
};

/// \returns the name for log lines.
std::string_view nameOf(RequestStage Stage) noexcept;

/// A request whose connection a stop ended.
struct CutRequest {
  std::string Id_;
  RequestStage Stage_ = RequestStage::Reading;
  /// Since its head was read.
  base::Duration Age_{};
};

} // namespace lychee::gateway

#endif
