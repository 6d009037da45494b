#ifndef LYCHEE_STEERING_STEERING_H
#define LYCHEE_STEERING_STEERING_H

#include "base/Id.h"
#include "base/Time.h"
#include "retrying/RetryVerdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::steering {

/// What a target says of its own load.
struct TargetLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
};

/// What is known of a caller's request when it arrives, its key checked.
struct Request {
  base::RequestId Id_;
  base::ServiceId Service_;
  base::CustomerId Customer_;
  base::KeyId Key_;
  std::string_view Method_;
  std::string_view Path_;
  /// Hash of caller address and key: the caller's stable place in a shift.
  std::uint64_t CallerHash_ = 0;
  /// Hash of customer, method, path and body prefix, for crash suspects.
  std::uint64_t Fingerprint_ = 0;
  /// Regions for this caller, nearest first.
  std::vector<base::RegionId> PreferredRegions_;
  /// When its head had come.
  base::TimePoint ArrivedAt_;
  base::TimePoint Deadline_;
  std::uint64_t BodyBytes_ = 0;
  bool Idempotent_ = false;
  /// What operators call the rule that took it; empty: it has none.
  std::string Rule_;
  /// Time within which an answer is worth most, counted from arrival; zero:
  /// none is stated.
  base::Duration LatencyObjective_{};
  /// Targets that it may be sent to; 0: as the steering sees fit.
  std::uint32_t MaxSends_ = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// Hash of the object it is about; 0: of none in particular.
  std::uint64_t ObjectHash_ = 0;
  /// Regions in which it may be served, where it is not free to go anywhere.
  std::optional<std::vector<base::RegionId>> Homes_;
};

/// Whether a refused or failed request may have run at a target.
enum class Ran { No, Maybe };

/// Why a request was refused; each names one place in the decisions.
enum class Refusal {
  None,
  UnknownKey,
  KeyWithdrawn,
  KeysStale,
  UnknownService,
  RateLimited,
  DeadlineTooShort,
  QueueFull,
  NoHealthyTarget,
  NoHeadroom,
  CrashSuspect,
  ClaimHeldElsewhere,
  ClaimStoreDown,
  AlreadyRun,
  Stopping,
  TargetFailed,
  DeadlineExceeded,
};

/// \returns the name that stands in problem documents and log lines.
std::string_view nameOf(Refusal Reason) noexcept;

/// A target that was weighed and not taken, and why.
struct PassedOverTarget {
  base::TargetId Target_;
  std::string_view Reason_;
};

/// What a target was chosen by, for the log.
struct ChoiceInputs {
  /// Its place in the object's own order of targets; 0 is the first.
  std::uint32_t Rank_ = 0;
  /// Time within which it should answer.
  base::Duration ExpectedResponseTime_{};
  /// Requests believed to be at the target.
  double Load_ = 0;
  /// Age of the target's own last word on that; nothing: it has said none.
  std::optional<base::Duration> LoadAge_;
};

/// What is to be done with a request now.
struct Decision {
  enum class Action {
    /// Send it to Target_ at Address_ now.
    Send,
    /// Hold it; its ticket comes up in a later Wakeups, by WaitUntil_ at last.
    Wait,
    /// Answer the caller with Refusal_.
    Refuse,
  };

  Action Action_ = Action::Refuse;
  /// Names this request in later calls; 0 where it is refused.
  std::uint64_t Ticket_ = 0;

  base::TargetId Target_;
  std::string Address_;
  /// The start of the target that is meant; empty: whichever answers there.
  std::string ExpectedTarget_;
  /// From when on silence of the target counts as a lost answer.
  base::TimePoint ResponseDeadline_ = base::TimePoint::max();
  base::RegionId Region_;
  /// One word for the log: why this target or region.
  std::string_view Reason_;
  std::vector<PassedOverTarget> PassedOverTargets_;
  std::optional<ChoiceInputs> Inputs_;

  base::TimePoint WaitUntil_;

  Refusal Refusal_ = Refusal::None;
  Ran Ran_ = Ran::No;
  /// When coming back helps; zero where waiting does not help.
  base::Duration RetryAfter_{};
  std::uint64_t SettingsVersion_ = 0;
};

/// A decision for a request that had waited.
struct Wakeup {
  std::uint64_t Ticket_ = 0;
  Decision Decision_;
};

/// The point at which a send to a target ended. \see retrying::evaluateRetry
using SendOutcome = retrying::SendOutcome;

/// How a send went, as this host saw it.
struct SendReport {
  SendOutcome Outcome_ = SendOutcome::Answered;
  int Status_ = 0;
  /// Time at the target: from the first byte written to the last byte read.
  base::Duration Took_{};
  /// True where bytes of the answer have gone to the caller already.
  bool AnswerStarted_ = false;
  std::uint64_t AnswerBytes_ = 0;
  /// True where the send ended because nothing came for too long, and not
  /// because the connection ended: silence is no sign of a crash.
  bool TimedOut_ = false;
  /// Another target answered at the address.
  bool WrongTarget_ = false;
  std::optional<TargetLoad> Load_ = std::nullopt;
};

/// One request's way through the decisions, in the order in which they are
/// made: customer's rate, crash suspects, room, region, target, and after a
/// failed send whether it may be sent again. The daemon's gateway and the
/// scenarios drive the same object, so that what is measured is what runs.
///
/// No socket, no clock and no thread inside; calls may come from several
/// threads. \see gateway::Gateway, scenario::Engine
class Steering {
public:
  Steering() = default;
  Steering(const Steering &) = delete;
  Steering &operator=(const Steering &) = delete;
  virtual ~Steering() = default;

  /// Decides on a new request.
  virtual Decision arrive(const Request &Arrived, base::TimePoint Now) = 0;

  /// Reports the end of a send. Where the target answered with a failure of its
  /// own, the decision may be to send again (Send); any other decision after an
  /// answer lets that answer go to the caller. Unless it is answered, the
  /// decision says whether to send it again (Send), or what to tell the caller
  /// (Refuse). \p Woken gains the requests that the freed room lets go.
  virtual Decision finish(std::uint64_t Ticket, const SendReport &Report,
                          base::TimePoint Now, std::vector<Wakeup> &Woken) = 0;

  /// Asked when the patience of a Decision is over and no byte has come.
  /// \returns whether the send is to be ended; finish() then says where the
  /// request goes. Otherwise the target is waited for until the deadline.
  virtual bool mayAbandonSend(std::uint64_t Ticket, base::TimePoint Now) {
    (void)Ticket;
    (void)Now;
    return true;
  }

  /// Asked when a kept connection shows no life and the request is to be sent
  /// once more, on a new one to the same target. \returns whether it may be;
  /// else the first send goes on.
  virtual bool mayHedge(std::uint64_t Ticket, base::TimePoint Now) {
    (void)Ticket;
    (void)Now;
    return true;
  }

  /// Gives up a request that waits: its caller hung up.
  virtual void cancel(std::uint64_t Ticket, base::TimePoint Now) = 0;

  /// Refuses waiting requests that can no longer make it, and lets others go
  /// as room allows. To be called at least every 10 ms while any waits.
  virtual void tick(base::TimePoint Now, std::vector<Wakeup> &Woken) = 0;
};

} // namespace lychee::steering

#endif
