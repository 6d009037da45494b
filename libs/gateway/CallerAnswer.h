#ifndef LYCHEE_GATEWAY_CALLERANSWER_H
#define LYCHEE_GATEWAY_CALLERANSWER_H

#include "gateway/CallerConnection.h"
#include "gateway/CallerRequest.h"
#include "gateway/MessageReader.h"
#include "gateway/ProblemDocument.h"
#include "gateway/TargetSend.h"

#include <string>
#include <string_view>

namespace lychee::gateway {

class Worker;

/// What becomes of a caller's connection after a request.
enum class Ending {
  KeepAlive,
  Close,
  /// Closed after the caller had time to read its refusal.
  Linger,
  /// Closed by a reset: the caller has part of an answer.
  Reset,
};

/// Writes the one answer to one request, and decides by what was read of the
/// request whether the connection can carry another. \see Exchange
class CallerAnswer {
public:
  /// What a caller is told to wait that a host turns away because it stops:
  /// another host takes the request at once.
  static constexpr base::Duration ReturnToOtherHost =
      std::chrono::milliseconds(50);

  /// All outlive it.
  CallerAnswer(Worker &Home, CallerConnection &Caller, RequestReader &Reader,
               const CallerRequest &Read, const base::RequestId &Id);
  CallerAnswer(const CallerAnswer &) = delete;
  CallerAnswer &operator=(const CallerAnswer &) = delete;

  /// Asks the caller to send its body, where it waits to be asked.
  Task<void> sendContinue();

  Task<Ending> refuse(ProblemDocument Problem);
  Task<Ending> refuseFor(steering::Refusal Reason, steering::Ran Ran,
                         base::Duration RetryAfter = {});
  /// This host stops.
  Task<Ending> refuseStopping(steering::Ran Ran);
  /// The body broke off, took too long, was malformed or too large.
  Task<Ending> refuseBody(ReadEnd End, steering::Ran Ran);
  Task<Ending> sendJson(int Status, std::string_view Body);

  /// Passes on an answer that is held whole.
  Task<Ending> sendHeld(const TargetSend &Send);

  /// Passes on an answer piece by piece. \param Limit  ends it, whole or not: a
  /// target's bytes may come without end. \param End  becomes how the send to
  /// the target ended.
  Task<Ending> relay(TargetSend &Send, base::TimePoint Limit,
                     steering::SendOutcome &End);

  /// The request was written to a target, at least in part.
  void noteSend() noexcept { ++Sends_; }
  /// Sends to targets so far.
  std::uint32_t sends() const noexcept { return Sends_; }

  /// What the caller was told; 0 where it heard nothing.
  int status() const noexcept { return Status_; }
  /// One word for the log.
  const std::string &outcome() const noexcept { return Outcome_; }
  void noteOutcome(std::string_view Word) { Outcome_ = Word; }

private:
  Task<bool> dropSmallBody();
  Task<Ending> writeText(const std::string &Text, bool KeepAlive);
  void bound(base::TimePoint Limit = base::TimePoint::max());
  bool keepsAlive() const;
  /// \returns what becomes of the connection after an answer that is whole.
  Ending endingOf(bool KeepAlive) const;
  /// \returns nothing where no host forwarded the request.
  std::optional<ToldToHost> toldToHost() const;
  const Vocabulary &names() const;
  bool isHead() const noexcept { return Read_.Method_ == "HEAD"; }

  Worker &Home_;
  CallerConnection &Caller_;
  RequestReader &Reader_;
  const CallerRequest &Read_;
  const base::RequestId &Id_;
  bool ContinueSent_ = false;
  std::uint32_t Sends_ = 0;
  int Status_ = 0;
  std::string Outcome_ = "hung-up";
};

} // namespace lychee::gateway

#endif
