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

/// A target's own load report.
struct TargetLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  /// How long work takes there now, as a multiple of the usual time; empty
  /// where the target does not state it.
  std::optional<double> RunTimeFactor_ = std::nullopt;
};

/// What an answer says of the rate that its target takes.
struct StatedRate {
  /// Requests per second from all hosts together; empty where none is stated.
  std::optional<double> PerSecond_;
  /// A rate is stated that cannot be read.
  bool Unreadable_ = false;
};

/// What an answer says of a rest that its target wants from this host.
struct StatedRest {
  /// Time from the answer on; empty where none is asked for.
  std::optional<base::Duration> For_;
  /// A rest is asked for whose length cannot be read.
  bool Unreadable_ = false;
};

/// What a target states in the head of an answer about the requests that it
/// takes.
struct TargetStatement {
  StatedRate Rate_;
  StatedRest Rest_;
  /// It ends soon and takes no more requests.
  bool Leaving_ = false;

  bool isEmpty() const noexcept {
    return !Rate_.PerSecond_ && !Rest_.For_ && !Leaving_;
  }
};

/// The head of a target's answer.
struct AnswerHead {
  int Status_ = 0;
  /// The target says that it did not run the request.
  bool NotRun_ = false;
  /// Another target than the expected one answered.
  bool WrongTarget_ = false;
  /// Time since the first byte of the request was written.
  base::Duration Took_{};
  TargetStatement Statement_;
};

/// A caller's request on arrival, after its key was checked.
struct Request {
  base::RequestId Id_;
  base::ServiceId Service_;
  base::CustomerId Customer_;
  base::KeyId Key_;
  std::string_view Method_;
  std::string_view Path_;
  /// Hash of caller address and key; determines the caller's stable position in
  /// a shift plan.
  std::uint64_t CallerHash_ = 0;
  /// Hash of customer, method, path and body prefix, for crash suspects.
  std::uint64_t Fingerprint_ = 0;
  /// Regions for this caller, nearest first.
  std::vector<base::RegionId> PreferredRegions_;
  /// When its header was complete.
  base::TimePoint ArrivedAt_;
  base::TimePoint Deadline_;
  /// Time, counted from arrival, for which its caller states that it waits;
  /// zero where it states none. Deadline_ may be earlier.
  base::Duration StatedTime_{};
  std::uint64_t BodyBytes_ = 0;
  bool Idempotent_ = false;
  /// Operators' name of the rule that matched it; empty where the rule has no
  /// name.
  std::string Rule_;
  /// Time, counted from arrival, within which a response has its full value;
  /// zero where none is declared.
  base::Duration LatencyObjective_{};
  /// Maximum number of targets that it may be sent to; 0: the steering decides.
  std::uint32_t MaxSends_ = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// Hash of the object that it refers to; 0: no particular object.
  std::uint64_t ObjectHash_ = 0;
  /// Regions in which it may be served; empty where it may go to any.
  std::optional<std::vector<base::RegionId>> Homes_;
  /// The host that forwarded it, as it does not reach the targets; empty: it
  /// came from its caller. It is not forwarded again.
  base::HostId ForwardedBy_;
};

/// Whether a refused or failed request may have been executed by a target.
enum class Ran { No, Maybe };

/// Why a request was refused; each value belongs to one place in the decisions.
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
  /// The service lacks capacity, and the customer asks for more than its share.
  OverShare,
  /// The service lacks capacity, and the customer's more urgent requests use
  /// its share.
  LessUrgent,
  /// The targets that are left state rates, which are used up.
  TargetRatesUsedUp,
  /// All targets have asked this host for a rest.
  TargetsRest,
  /// This host reaches none of the targets, and no other host may take it.
  TargetsUnreached,
  /// This host has older settings than the host that forwarded the request.
  SettingsOld,
  /// The operators' settings for the request cannot be read.
  SettingsUnreadable,
  CrashSuspect,
  ClaimHeldElsewhere,
  ClaimStoreDown,
  AlreadyRun,
  Stopping,
  /// This host has no memory for the request's body.
  BodyMemoryFull,
  TargetFailed,
  DeadlineExceeded,
};

/// \returns the name used in problem documents and log lines.
std::string_view nameOf(Refusal Reason) noexcept;

/// A target that was considered and not chosen, and the reason.
struct PassedOverTarget {
  base::TargetId Target_;
  std::string_view Reason_;
};

/// The inputs of a target's choice, for the log.
struct ChoiceInputs {
  /// The target's rank in the object's order of targets; 0 is the first.
  std::uint32_t Rank_ = 0;
  /// Time within which the target is expected to answer.
  base::Duration ExpectedResponseTime_{};
  /// Estimated number of requests at the target.
  double Load_ = 0;
  /// Age of the target's last load report; empty where there is none.
  std::optional<base::Duration> LoadAge_;
  /// Expected run time there, in percent of the usual one, and the age of the
  /// target's statement that it is based on; empty: it has stated none.
  std::optional<std::uint32_t> SpeedPercent_ = std::nullopt;
  base::Duration SpeedAge_{};
};

/// What this host takes the targets of a service for, for the log.
struct TargetCounts {
  /// Neither leaving nor evacuated, and in a region that may serve the request.
  std::uint32_t InUse_ = 0;
  /// Of these, failed for this host a moment ago and get no requests from it.
  std::uint32_t Ejected_ = 0;
  /// Of these, may have restarted, so that one host probes them.
  std::uint32_t OnProbation_ = 0;
};

/// Of a refusal where retries are paced, for the log.
struct ReturnInfo {
  /// The request was a retry.
  bool IsRetry_ = false;
  /// Positions reserved before; empty where its turn does not come in time, or
  /// another host reserved the position.
  std::optional<std::uint32_t> Ahead_;
};

/// What a request was refused by because its service lacks capacity, for the
/// log.
struct ShareInputs {
  /// Fraction of the customer's demand that is served.
  double Fraction_ = 1;
  /// The customer's demand in requests per second; 0: not known.
  double AskedPerSecond_ = 0;
  /// Fraction of the demand of all customers that is served.
  double ServedShare_ = 1;
  /// Part of the customer's demand that is served before the request.
  double Ahead_ = 0;
};

/// What to do with a request now.
struct Decision {
  enum class Action {
    /// Send it to Target_, or forward it to Host_, at Address_ now.
    Send,
    /// Hold it; its ticket appears in a later Wakeup, at WaitUntil_ at the
    /// latest.
    Wait,
    /// Answer the caller with Refusal_.
    Refuse,
  };

  Action Action_ = Action::Refuse;
  /// Identifies this request in later calls; 0 where it is refused.
  std::uint64_t Ticket_ = 0;

  base::TargetId Target_;
  /// The host that sends it to a target for this one; empty: it goes to
  /// Target_.
  base::HostId Host_;
  /// Sends to targets that the request has had, this one included, and how many
  /// it may have after it: in the case of a host, those that Host_ may make.
  std::uint32_t Sends_ = 0;
  std::uint32_t SendsLeft_ = 0;
  std::string Address_;
  /// The expected incarnation of the target; empty: any that answers there.
  std::string ExpectedTarget_;
  /// Time after which a missing response counts as lost.
  base::TimePoint ResponseDeadline_ = base::TimePoint::max();
  base::RegionId Region_;
  /// Reason for the target or region, for the log.
  std::string_view Reason_;
  std::vector<PassedOverTarget> PassedOverTargets_;
  std::optional<ChoiceInputs> Inputs_;
  /// Of a refusal for lack of a target; empty where it has another reason.
  std::optional<TargetCounts> Targets_;
  /// Of a refusal as over-share or less-urgent.
  std::optional<ShareInputs> Share_;

  base::TimePoint WaitUntil_;

  Refusal Refusal_ = Refusal::None;
  Ran Ran_ = Ran::No;
  /// Time after which a retry may succeed; zero where waiting does not help.
  base::Duration RetryAfter_{};
  std::optional<ReturnInfo> Return_;
  std::uint64_t SettingsVersion_ = 0;
};

/// A decision for a request that waited.
struct Wakeup {
  std::uint64_t Ticket_ = 0;
  Decision Decision_;
};

/// A target to connect to, to find out whether this host reaches it.
struct TargetProbe {
  base::TargetId Target_;
  std::string Address_;
  /// The round of probes that it belongs to.
  std::uint64_t Round_ = 0;
};

/// How a send to a target or to another host ended. A host that refuses a
/// request for a reason of its own, such as that it reaches no targets either,
/// has shed it. \see retrying::evaluateRetry
using SendOutcome = retrying::SendOutcome;

/// Result of a send, as observed by this host.
struct SendReport {
  SendOutcome Outcome_ = SendOutcome::Answered;
  int Status_ = 0;
  /// Time at the target: from the first byte written to the last byte read.
  base::Duration Took_{};
  /// Whether bytes of the response have already been forwarded to the caller.
  bool AnswerStarted_ = false;
  /// Whether part of the request's body was sent and is no longer held, so that
  /// the request cannot be sent again.
  bool BodyGone_ = false;
  std::uint64_t AnswerBytes_ = 0;
  /// Whether the send ended because nothing arrived for too long, rather than
  /// because the connection closed: a time-out is no evidence of a crash.
  bool TimedOut_ = false;
  /// Whether it went over a connection that was opened for it.
  bool NewConnection_ = false;
  /// Another target than the expected one answered at the address.
  bool WrongTarget_ = false;
  /// Of a send to another host: the sends to targets that it made for the
  /// request; empty where it does not state them.
  std::optional<std::uint32_t> HostSends_ = std::nullopt;
  std::optional<TargetLoad> Load_ = std::nullopt;
  TargetStatement Statement_ = {};
};

/// The decisions on a request, in the order in which they are made: the
/// customer's rate, crash suspects, the region, free slots, the target, and
/// after a failed send whether to retry. The daemon's gateway and the scenarios
/// use the same object, so that measurements apply to the code that runs in
/// production.
///
/// Contains no socket, clock or thread; calls may come from several threads.
/// \see gateway::Gateway, scenario::Engine
class Steering {
public:
  Steering() = default;
  Steering(const Steering &) = delete;
  Steering &operator=(const Steering &) = delete;
  virtual ~Steering() = default;

  /// Decides on a new request.
  virtual Decision arrive(const Request &NewRequest, base::TimePoint Now) = 0;

  /// Reports the head of an answer as soon as it is read, whatever becomes of
  /// the rest of the answer; finish() follows.
  virtual void recordAnswerHead(std::uint64_t Ticket, const AnswerHead &Head,
                                base::TimePoint Now) {
    (void)Ticket;
    (void)Head;
    (void)Now;
  }

  /// Reports the end of a send.
  /// \returns Send to retry the request, also where the target answered with a
  /// failure of its own, but never where its body is gone; after a response any
  /// other decision lets that response go to the caller, and without one Refuse
  /// says what to answer the caller.
  /// \param Wakeups  receives the decisions for waiting requests that can go on
  /// with the freed slots.
  virtual Decision finish(std::uint64_t Ticket, const SendReport &Report,
                          base::TimePoint Now,
                          std::vector<Wakeup> &Wakeups) = 0;

  /// Called when the response deadline of a Decision has passed and no byte has
  /// arrived.
  /// \returns whether to end the send; finish() then decides where the request
  /// goes. Otherwise the target is awaited until the request's deadline.
  virtual bool mayAbandonSend(std::uint64_t Ticket, base::TimePoint Now) {
    (void)Ticket;
    (void)Now;
    return true;
  }

  /// Called when a reused connection to a target shows no sign of life and the
  /// request is to be sent again, on a new connection to the same target.
  /// \returns whether to do so; otherwise the first send goes on.
  virtual bool mayHedge(std::uint64_t Ticket, base::TimePoint Now) {
    (void)Ticket;
    (void)Now;
    return true;
  }

  /// Called right before the request is written to its target: time has passed
  /// since the decision.
  /// \returns whether the target still takes it; otherwise the send ends as
  /// withheld.
  virtual bool mayWrite(std::uint64_t Ticket, base::TimePoint Now) {
    (void)Ticket;
    (void)Now;
    return true;
  }

  /// \returns the targets to connect to now. To be called every 50 ms.
  virtual std::vector<TargetProbe> probesDue(base::TimePoint Now) {
    (void)Now;
    return {};
  }

  /// Reports the end of a probe. \param Connected  the target accepted it.
  virtual void recordProbe(const TargetProbe &Probe, bool Connected,
                           base::TimePoint Now) {
    (void)Probe;
    (void)Connected;
    (void)Now;
  }

  /// Drops a waiting request whose caller has disconnected.
  virtual void cancel(std::uint64_t Ticket, base::TimePoint Now) = 0;

  /// Refuses waiting requests that can no longer meet their deadline, and
  /// resumes others as slots become free. To be called at least every 10 ms
  /// while any request waits.
  virtual void tick(base::TimePoint Now, std::vector<Wakeup> &Wakeups) = 0;
};

} // namespace lychee::steering

#endif
