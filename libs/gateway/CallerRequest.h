#ifndef LYCHEE_GATEWAY_CALLERREQUEST_H
#define LYCHEE_GATEWAY_CALLERREQUEST_H

#include "base/Time.h"
#include "gateway/MessageReader.h"
#include "gateway/Vocabulary.h"

#include <optional>
#include <string>
#include <string_view>

namespace lychee::gateway {

/// What the gateway needs to know of a request's head. Views point into the
/// reader's message and live as long as it.
struct CallerRequest {
  std::string_view Method_;
  /// Path and query, as they came.
  std::string_view RequestTarget_;
  /// Path alone.
  std::string_view Path_;
  std::string_view Query_;
  /// Host header in lower case, without its port.
  std::string HostName_;
  std::string_view ServiceName_;
  /// Text after "Bearer "; empty where none came. Never logged or forwarded.
  std::string_view PresentedKey_;
  std::string_view IdempotencyKey_;
  /// The caller's own name for the request; empty where it gives none.
  std::string_view RequestId_;
  /// Names the object that the request is about; empty where it tells none.
  std::string_view ObjectKey_;
  /// The host that forwarded it; empty where its caller sent it.
  std::string_view ForwardedBy_;
  /// Number of targets that it may be sent to; nothing where none is given.
  std::optional<std::uint32_t> SendsLeft_;
  /// The oldest version of the settings by which it may be decided; 0: any.
  std::uint64_t LeastVersion_ = 0;
  /// Time the caller gives; nothing where it names none.
  std::optional<base::Duration> Deadline_;
  bool ExpectsContinue_ = false;
  bool KeepAlive_ = true;
};

/// What makes a request one that cannot be served, for a 400.
struct RequestFault {
  std::string Detail_;
};

/// Reads the head into \p Read.
/// \returns a fault where the head is against the rules, so that nothing of it
/// may reach a target: two lengths, a length next to a transfer coding, an
/// unknown coding, no or two Host headers, a key in the request line.
std::optional<RequestFault>
parseCallerRequest(const RequestReader::Message &Head, const Vocabulary &Names,
                   CallerRequest &Read);

} // namespace lychee::gateway

#endif
