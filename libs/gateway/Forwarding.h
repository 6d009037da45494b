#ifndef LYCHEE_GATEWAY_FORWARDING_H
#define LYCHEE_GATEWAY_FORWARDING_H

#include "gateway/Authenticator.h"
#include "gateway/BodyMemory.h"
#include "gateway/CallerAnswer.h"
#include "gateway/ClaimGate.h"
#include "gateway/HeaderPolicy.h"
#include "gateway/RequestRouter.h"
#include "gateway/TargetSend.h"

#include <optional>
#include <string>

namespace lychee::gateway {

/// A request with its customer and service on its way through the decisions:
/// does what the steering says until it is answered or refused, and reports
/// the end of every send. Decides nothing itself.
/// \see steering::Steering, TargetSend
class Forwarding {
public:
  /// All references outlive it.
  Forwarding(Worker &Home, CallerConnection &Caller, RequestReader &Reader,
             const CallerRequest &Read, CallerAnswer &Answer,
             const base::RequestId &Id, const Identity &Identity, Route Found);
  Forwarding(const Forwarding &) = delete;
  Forwarding &operator=(const Forwarding &) = delete;

  Task<Ending> run();

private:
  Task<ReadEnd> holdBody();
  /// Makes room for the next piece of the body in Held_. \returns false where
  /// the host lacks memory.
  bool growHeld(std::size_t Wanted);
  /// Reads on for as long as the caller may take.
  Task<ReadEnd> readBody(std::span<char> Out, std::size_t &Got);
  /// Refuses a request whose body was not taken.
  Task<Ending> refuseHeld(ReadEnd End);
  Task<Ending> followDecisions();
  /// \returns false where the caller hung up.
  Task<bool> waitForTurn();
  /// \returns the refusal where the work may not run here now.
  Task<std::optional<steering::Decision>> claim();
  Task<Ending> send(bool &Again);
  /// Sends an idempotent request once more, on a new connection, and takes the
  /// first answer.
  Task<TargetSend::Failure> hedge(TargetSend &Send);
  /// \returns a failure where the target no longer takes the request.
  TargetSend::Failure withhold(TargetSend &Send) const;
  Task<TargetSend::Failure> writeRequest(TargetSend &Send);
  HostForwarding hostForwarding(base::TimePoint Now) const;
  Task<TargetSend::Failure> streamBody(TargetSend &Send);
  Task<TargetSend::Failure> writePiece(TargetSend &Send, std::string_view Piece,
                                       bool Last);
  /// Reads a piece of the body that is not held.
  Task<TargetSend::Failure> readPiece(std::string &Piece);
  Task<Ending> answer(TargetSend &Send, bool &Again);
  /// \returns until when an answer may go on. A service's own deadline bounds
  /// no long answer, as its progress is bounded.
  base::TimePoint answerLimit() const;
  /// \returns the refusal where the key does not hold any more.
  std::optional<steering::Decision> recheckKey();
  /// \returns the refusal where the host stops and the request may outlast
  /// that.
  std::optional<steering::Decision>
  recheckStop(std::optional<base::Duration> Expected);
  steering::Decision stoppingRefusal() const;
  Task<Ending> handleFailure(TargetSend &Send, steering::SendOutcome End,
                             bool &Again);
  Task<Ending> endCancelled(const TargetSend &Send);
  void finish(steering::SendReport Report);
  /// Drops a decision to send the request again.
  void dropDecision();
  void settle(ClaimEnd End, int Status);
  void noteDecision(base::TimePoint Now);
  std::uint64_t fingerprint() const;

  Worker &Home_;
  CallerConnection &Caller_;
  RequestReader &Reader_;
  const CallerRequest &Read_;
  CallerAnswer &Answer_;
  const Identity Identity_;
  steering::Request Request_;
  base::Duration ServiceDeadline_{};
  /// The caller or the route states how long the request may take.
  bool IsTimeStated_ = false;
  steering::Decision Decision_;
  /// The caller's headers as they go to a target.
  std::string Fields_;
  /// The body, or its beginning where it is longer than may be held; empty once
  /// BodyGone_ is set.
  std::string Held_;
  BodyShare Memory_;
  bool LacksMemory_ = false;
  /// Time that was spent waiting for the caller's body.
  base::Duration BodyWait_{};
  std::size_t BodyReceived_ = 0;
  ClaimRequest Claim_;
  bool NeedsClaim_ = false;
  bool Claimed_ = false;
  /// How a request with the same idempotency key was answered; 0: not known.
  int RecordedStatus_ = 0;
  /// Part of the body was read and is no longer held, so that the request
  /// cannot be sent again.
  bool BodyGone_ = false;
  /// How the caller's body broke while it streamed; Ok where it did not.
  ReadEnd BodyEnd_ = ReadEnd::Ok;
  /// It was written to a target at least in part, so it may have run.
  steering::Ran Ran_ = steering::Ran::No;
};

} // namespace lychee::gateway

#endif
