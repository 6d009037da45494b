#ifndef LYCHEE_GATEWAY_HEADERPOLICY_H
#define LYCHEE_GATEWAY_HEADERPOLICY_H

#include "gateway/CallerRequest.h"
#include "steering/Steering.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::gateway {

/// How the body of a message is delimited on the wire.
struct Framing {
  /// Number of bytes, where it is known before.
  std::optional<std::uint64_t> Length_;
  bool Chunked_ = false;
};

/// What is added to a request on its way to a target.
struct ForwardedRequest {
  std::string_view RequestId_;
  std::string_view Customer_;
  base::Duration TimeLeft_{};
  Framing Body_;
};

/// What is added to an answer on its way to the caller.
struct ForwardedAnswer {
  std::string_view RequestId_;
  Framing Body_;
  bool KeepAlive_ = true;
};

/// \returns the lines of the caller's headers that go to the target: without
/// those of the connection (also those that Connection names), without the
/// key in whatever header it stands, and without names that only the gateway
/// may set. To be taken before the body is read: the parser puts the trailers
/// of a chunked body among the headers, where a second Host would come from.
std::string requestFieldsFor(const RequestReader::Message &Head,
                             std::string_view PresentedKey);

/// \returns the head that goes to the target.
std::string requestHeadFor(const CallerRequest &Read, std::string_view Fields,
                           const ForwardedRequest &Added);

/// \returns the head that goes to the caller.
std::string answerHeadFor(const AnswerReader::Message &Head,
                          const ForwardedAnswer &Added);

/// \returns the line that begins a chunk of \p Bytes, which is not 0.
std::string chunkSizeLine(std::size_t Bytes);

/// \returns whether the target's answer says that it did not run the request:
/// 503 with "Lychee-Ran: no".
bool saysNotRun(const AnswerReader::Message &Head);

} // namespace lychee::gateway

#endif
