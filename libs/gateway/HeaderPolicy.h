#ifndef LYCHEE_GATEWAY_HEADERPOLICY_H
#define LYCHEE_GATEWAY_HEADERPOLICY_H

#include "gateway/CallerRequest.h"
#include "gateway/ToldToHost.h"
#include "gateway/Vocabulary.h"
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

/// What is added to a request on its way to another host.
struct HostForwarding {
  /// The host that forwards it.
  std::string_view ForwardedBy_;
  /// Number of targets that it may be sent to.
  std::uint32_t SendsLeft_ = 1;
  /// The oldest version of the settings by which it may be decided; 0: any.
  std::uint64_t LeastVersion_ = 0;
  /// The caller's key, which the other host checks again; empty: none came.
  std::string_view Key_;
};

/// What is added to a request on its way to a target or to another host.
struct ForwardedRequest {
  std::string_view RequestId_;
  /// Empty where the request is nobody's: then no customer is told.
  std::string_view Customer_;
  /// The start of the target that is meant; empty: whichever answers.
  std::string_view ExpectedTarget_;
  base::Duration TimeLeft_{};
  Framing Body_;
  /// Nothing: it goes to a target.
  std::optional<HostForwarding> ToHost_;
};

/// What is added to an answer on its way to the caller.
struct ForwardedAnswer {
  std::string_view RequestId_;
  Framing Body_;
  bool KeepAlive_ = true;
  /// Nothing: the request came from its caller.
  std::optional<ToldToHost> ToHost_;
};

/// \returns the lines of the caller's headers that go to the target: without
/// those of the connection (also those that Connection names), without the
/// key in whatever header it stands, and without names that only the gateway
/// may set. To be taken before the body is read: the parser puts the trailers
/// of a chunked body among the headers, where a second Host would come from.
std::string requestFieldsFor(const RequestReader::Message &Head,
                             std::string_view PresentedKey,
                             const Vocabulary &Names);

/// \returns the head that goes to the target.
std::string requestHeadFor(const CallerRequest &Read, std::string_view Fields,
                           const ForwardedRequest &Added,
                           const Vocabulary &Names);

/// \returns the head that goes to the caller.
std::string answerHeadFor(const AnswerReader::Message &Head,
                          const ForwardedAnswer &Added,
                          const Vocabulary &Names);

/// \returns the header lines of what an answer states for a host.
std::string headerLinesFor(const ToldToHost &Told, const Vocabulary &Names);

/// \returns the line that begins a chunk of \p Bytes, which is not 0.
std::string chunkSizeLine(std::size_t Bytes);

/// \returns whether the target's answer says that it did not run the request:
/// by the header that is for it, or by 421 where another target was expected.
bool saysNotRun(const AnswerReader::Message &Head, const Vocabulary &Names);

/// \returns whether the answer is another host's refusal of a request that it
/// has not sent to any target.
bool refusedByHost(const AnswerReader::Message &Head, const Vocabulary &Names);

/// \returns whether it is one for a reason that holds for that host only.
bool refusedForHost(const AnswerReader::Message &Head, const Vocabulary &Names);

/// \returns the version of the settings of the host that answers, where it
/// tells it.
std::optional<std::uint64_t>
settingsVersionOf(const AnswerReader::Message &Head, const Vocabulary &Names);

/// \returns the number of sends to targets that the host that answers made,
/// where it states it.
std::optional<std::uint32_t> sendsMadeOf(const AnswerReader::Message &Head,
                                         const Vocabulary &Names);

/// \returns what the answer tells of the target's load, where it tells it.
std::optional<steering::TargetLoad> loadOf(const AnswerReader::Message &Head,
                                           const Vocabulary &Names);

/// \returns what the answer says of the rate that its target takes.
steering::StatedRate statedRateOf(const AnswerReader::Message &Head,
                                  const Vocabulary &Names);

/// \returns the rest that its target asks for: in Retry-After, together with a
/// status that turns the request away for the target's load.
steering::StatedRest statedRestOf(const AnswerReader::Message &Head,
                                  base::WallPoint Now);

/// \returns whether the answer says that its target leaves.
bool statesLeaving(const AnswerReader::Message &Head, const Vocabulary &Names);

/// \returns how long the target keeps the connection open while it lies idle,
/// where the answer tells (Keep-Alive: timeout=SECONDS).
std::optional<base::Duration> keepAliveOf(const AnswerReader::Message &Head);

/// \returns all that the answer states of the requests that its target takes.
steering::TargetStatement statementOf(const AnswerReader::Message &Head,
                                      const Vocabulary &Names,
                                      base::WallPoint Now);

} // namespace lychee::gateway

#endif
