#ifndef LYCHEE_GATEWAY_PROBLEMDOCUMENT_H
#define LYCHEE_GATEWAY_PROBLEMDOCUMENT_H

#include "base/Time.h"
#include "gateway/ToldToHost.h"
#include "gateway/Vocabulary.h"
#include "steering/Steering.h"

#include <string>
#include <string_view>

namespace lychee::gateway {

/// A refusal as the caller gets it: problem JSON (RFC 9457) that states
/// whether the request may have run.
struct ProblemDocument {
  int Status_ = 500;
  /// One word from the code, such as "over-rate".
  std::string Reason_;
  /// A sentence for a person; may hold text from outside, which is escaped.
  std::string Detail_;
  steering::Ran Ran_ = steering::Ran::No;
  /// When coming back helps; zero where waiting does not help.
  base::Duration RetryAfter_{};
  std::string RequestId_;
  /// How the work that the caller asks for again was answered when it ran; 0
  /// where that is not known.
  int OutcomeStatus_ = 0;
  /// Nothing: the request came from its caller.
  std::optional<ToldToHost> ToHost_;

  /// \returns the whole answer, head and body.
  std::string render(const Vocabulary &Names, bool KeepAlive,
                     bool WithoutBody) const;
};

/// \returns the problem that tells a caller of \p Refused.
ProblemDocument problemFor(const steering::Decision &Refused,
                           std::string_view RequestId);

/// \returns whether callers take the status as proof that the request has not
/// run.
bool promisesNotRun(int Status) noexcept;

/// \returns the HTTP status of a refusal.
int statusOf(steering::Refusal Reason) noexcept;

/// \returns the reason phrase of an HTTP status.
std::string_view phraseOf(int Status) noexcept;

} // namespace lychee::gateway

#endif
