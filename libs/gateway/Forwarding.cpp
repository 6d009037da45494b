#include "gateway/Forwarding.h"

#include "base/Hash.h"
#include "base/SystemClock.h"
#include "gateway/AcquireClaim.h"
#include "gateway/HeaderPolicy.h"
#include "gateway/Worker.h"

#include <algorithm>

namespace lychee::gateway {

using steering::SendOutcome;

namespace {

/// Part of the body that goes into the fingerprint: enough to tell requests
/// apart, and the same for each send of one.
constexpr std::size_t FingerprintBytes = 4096;
constexpr std::size_t StreamBytes = 64UL * 1024;
/// Room for a body that comes in small parts.
constexpr std::size_t FirstHeldBytes = 16UL * 1024;
/// Bodies that make no progress have been ended by then.
constexpr base::Duration ReturnForMemory = BodyPace::ScarcePatience;
/// A waiting request is decided by WaitUntil_; should that fail to come, the
/// caller is not left hanging for longer than this.
constexpr base::Duration WaitSlack = std::chrono::seconds(1);
/// Time for the claim's store; beyond it the claim counts as not recorded.
constexpr base::Duration ClaimTimeout = std::chrono::seconds(5);

/// From this status on the target says that it failed.
constexpr int FirstServerFailure = 500;

/// \returns the regions that both allow; nothing where neither names any.
std::optional<std::vector<base::RegionId>>
commonHomes(const std::vector<base::RegionId> &Left,
            const std::vector<base::RegionId> &Right) {
  if (Left.empty() && Right.empty())
    return std::nullopt;
  if (Left.empty() || Right.empty())
    return Left.empty() ? Right : Left;
  std::vector<base::RegionId> Both;
  std::copy_if(Left.begin(), Left.end(), std::back_inserter(Both),
               [&Right](const base::RegionId &Each) {
                 return std::find(Right.begin(), Right.end(), Each) !=
                        Right.end();
               });
  return Both;
}

bool lacksRoom(const steering::Decision &Made) noexcept {
  using steering::Refusal;
  return Made.Action_ == steering::Decision::Action::Refuse &&
         (Made.Refusal_ == Refusal::QueueFull ||
          Made.Refusal_ == Refusal::NoHeadroom ||
          Made.Refusal_ == Refusal::OverShare ||
          Made.Refusal_ == Refusal::LessUrgent);
}

bool provesNotRun(SendOutcome End) noexcept {
  return End == SendOutcome::ConnectFailed ||
         End == SendOutcome::ClosedBeforeWrite ||
         End == SendOutcome::Withheld || End == SendOutcome::Shed;
}

} // namespace

Forwarding::Forwarding(Worker &Home, CallerConnection &Caller,
                       RequestReader &Reader, const CallerRequest &Read,
                       CallerAnswer &Answer, const base::RequestId &Id,
                       const Identity &Identity, Route Found)
    : Home_(Home), Caller_(Caller), Reader_(Reader), Read_(Read),
      Answer_(Answer), Identity_(Identity), Memory_(Home.shared().Bodies_) {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Request_.Id_ = Id;
  Request_.Service_ = std::move(Found.Service_);
  Request_.Customer_ = Identity.Customer_;
  Request_.Key_ = Identity.Key_;
  Request_.Method_ = Read.Method_;
  Request_.Path_ = Read.Path_;
  Request_.CallerHash_ =
      base::stableHash(Identity.Key_.name(), Caller.address());
  Request_.PreferredRegions_ = std::move(Found.Preference_);
  ServiceDeadline_ = Found.Deadline_;
  base::Duration Allowed = Read.Deadline_.value_or(ServiceDeadline_);
  if (Found.Timeout_)
    Allowed = std::min(Allowed, *Found.Timeout_);
  IsTimeStated_ = Read.Deadline_ || Found.Timeout_;
  Request_.ArrivedAt_ = Now;
  Request_.Deadline_ = Now + Allowed;
  Request_.StatedTime_ = Read.Deadline_.value_or(base::Duration::zero());
  Request_.Rule_ = std::move(Found.Name_);
  Request_.LatencyObjective_ = Found.Objective_;
  Request_.ForwardedBy_ = base::HostId(Read.ForwardedBy_);
  Request_.MaxSends_ = Found.MaximumSends_;
  if (Read.SendsLeft_)
    Request_.MaxSends_ =
        std::min(std::max(1U, Request_.MaxSends_), *Read.SendsLeft_);
  Request_.Priority_ = Identity.Priority_.value_or(Found.Priority_);
  if (Found.ByObject_ && !Read.ObjectKey_.empty())
    Request_.ObjectHash_ =
        base::stableHash(Read.ObjectKey_, base::stableHash(Request_.Rule_)) |
        1U;
  Request_.Homes_ = commonHomes(Found.Homes_, Identity.Homes_);
  Request_.BodyBytes_ = Reader.bodyLength().value_or(0);
  Request_.Idempotent_ = Found.Idempotent_;
}

std::uint64_t Forwarding::fingerprint() const {
  std::uint64_t Hash = base::stableHash(Request_.Customer_.name());
  Hash = base::stableHash(Request_.Method_, Hash);
  Hash = base::stableHash(Read_.RequestTarget_, Hash);
  return base::stableHash(std::string_view(Held_).substr(0, FingerprintBytes),
                          Hash);
}

Task<Ending> Forwarding::run() {
  Home_.watchdog().watchFinely(Caller_.watch());
  Fields_ = requestFieldsFor(Reader_.message(), Read_.PresentedKey_,
                             Home_.shared().Settings_.Names_);
  const ReadEnd BodyHeld = co_await holdBody();
  if (BodyHeld != ReadEnd::Ok)
    co_return co_await refuseHeld(BodyHeld);
  Request_.Fingerprint_ = fingerprint();
  NeedsClaim_ = !Request_.Idempotent_ && !Read_.IdempotencyKey_.empty();
  if (NeedsClaim_)
    Claim_ = ClaimRequest{Request_.Customer_, Request_.Service_,
                          std::string(Read_.IdempotencyKey_),
                          Request_.Fingerprint_, Request_.Deadline_};
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  const auto Stopping = recheckStop(std::nullopt);
  Decision_ = Stopping ? *Stopping
                       : Home_.shared().Others_.Steering_.arrive(Request_, Now);
  noteDecision(Now);
  const Ending End = co_await followDecisions();
  Home_.shared().Others_.Listener_.requestEnded(
      Request_, {Answer_.status(), Answer_.outcome(), Answer_.sends()},
      base::SystemClock::monotonicNow());
  co_return End;
}

Task<ReadEnd> Forwarding::holdBody() {
  const GatewaySettings &Settings = Home_.shared().Settings_;
  const auto Length = Reader_.bodyLength();
  const std::uint64_t Limit = Settings.HeldBodyBytes_;
  const bool Large = Length.value_or(Limit + 1) > Limit;
  // A caller that waits to be asked for a large body is asked once it is
  // decided that the request goes through.
  if (Reader_.isWhole())
    co_return ReadEnd::Ok;
  if (Large && Read_.ExpectsContinue_) {
    LacksMemory_ = !Memory_.tryResize(StreamBytes + BodyReadBytes);
    co_return LacksMemory_ ? ReadEnd::Cut : ReadEnd::Ok;
  }
  co_await Answer_.sendContinue();
  const auto Wanted =
      static_cast<std::size_t>(std::min(Limit, Length.value_or(Limit)));
  while (!Reader_.isWhole() && Held_.size() < Limit) {
    if (!growHeld(Wanted)) {
      LacksMemory_ = true;
      co_return ReadEnd::Cut;
    }
    const std::size_t Before = Held_.size();
    Held_.resize(std::min(Held_.capacity(), Before + StreamBytes));
    std::size_t Got = 0;
    const ReadEnd End =
        co_await readBody({Held_.data() + Before, Held_.size() - Before}, Got);
    Held_.resize(Before + Got);
    if (End != ReadEnd::Ok)
      co_return End;
  }
  // The memory of a caller's buffer counts only while a body comes through it.
  Caller_.buffer().shrink_to_fit();
  Memory_.tryResize(Reader_.isWhole() ? Held_.capacity()
                                      : Held_.capacity() + BodyReadBytes);
  co_return ReadEnd::Ok;
}

bool Forwarding::growHeld(std::size_t Wanted) {
  std::size_t Room = Held_.capacity();
  if (Held_.size() == Room || Room < FirstHeldBytes)
    Room = std::max(Held_.size() + 1,
                    std::min(Wanted, std::max(2 * Room, FirstHeldBytes)));
  const bool ReadsSocket = Caller_.buffer().size() == 0 || !Held_.empty();
  if (!Memory_.tryResize(Room + (ReadsSocket ? BodyReadBytes : 0)))
    return false;
  if (Room == Held_.capacity())
    return true;
  // A string that grows by itself takes more than was asked for.
  std::string Larger;
  Larger.reserve(Room);
  Larger += Held_;
  Held_ = std::move(Larger);
  return true;
}

Task<ReadEnd> Forwarding::readBody(std::span<char> Out, std::size_t &Got) {
  const GatewayState &Shared = Home_.shared();
  const base::TimePoint Since = base::SystemClock::monotonicNow();
  const bool AtTarget = Decision_.Action_ == steering::Decision::Action::Send &&
                        Decision_.Ticket_ != 0;
  if (!Shared.bodyPace(AtTarget, Since).mayGoOn(BodyReceived_, BodyWait_)) {
    Caller_.watch().fire(Watch::Cause::Expired);
    co_return ReadEnd::Cut;
  }
  const auto Limit = [&Shared, Since, AtTarget] {
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    return Shared.bodyPace(AtTarget, Now)
        .waitLimit(Since, Shared.Settings_.ProgressTimeout_, Now);
  };
  Caller_.watch().expireAt(Limit());
  Caller_.watch().onExpiry(Limit);
  const ReadEnd End = co_await Reader_.readBody(Out, Got);
  Caller_.watch().onExpiry({});
  BodyReceived_ += Got;
  BodyWait_ += base::SystemClock::monotonicNow() - Since;
  co_return End;
}

Task<Ending> Forwarding::refuseHeld(ReadEnd End) {
  Held_ = std::string();
  Memory_.tryResize(0);
  if (!LacksMemory_)
    co_return co_await Answer_.refuseBody(End, steering::Ran::No);
  Decision_ = {};
  Decision_.Refusal_ = steering::Refusal::BodyMemoryFull;
  Decision_.RetryAfter_ = ReturnForMemory;
  noteDecision(base::SystemClock::monotonicNow());
  co_return co_await Answer_.refuse(problemFor(Decision_, Request_.Id_.name()));
}

Task<Ending> Forwarding::followDecisions() {
  while (true) {
    if (Decision_.Action_ == steering::Decision::Action::Wait) {
      const bool Stays = co_await waitForTurn();
      if (!Stays)
        co_return Ending::Close;
      continue;
    }
    if (Decision_.Action_ == steering::Decision::Action::Refuse) {
      // Whatever the last send proves, an earlier one may have run.
      if (Ran_ == steering::Ran::Maybe)
        Decision_.Ran_ = Ran_;
      settle(Ran_ == steering::Ran::No ? ClaimEnd::NotRun : ClaimEnd::Unknown,
             0);
      co_return co_await Answer_.refuse(
          problemFor(Decision_, Request_.Id_.name()));
    }
    auto Refused = co_await claim();
    if (!Refused)
      Refused = recheckKey();
    if (!Refused)
      Refused = recheckStop(
          Decision_.Inputs_
              ? std::optional(Decision_.Inputs_->ExpectedResponseTime_)
              : std::nullopt);
    if (Refused) {
      settle(Ran_ == steering::Ran::No ? ClaimEnd::NotRun : ClaimEnd::Unknown,
             0);
      finish({.Outcome_ = SendOutcome::Cancelled});
      Decision_ = *Refused;
      noteDecision(base::SystemClock::monotonicNow());
      ProblemDocument Problem = problemFor(Decision_, Request_.Id_.name());
      Problem.OutcomeStatus_ = RecordedStatus_;
      co_return co_await Answer_.refuse(std::move(Problem));
    }
    bool Again = false;
    const Ending End = co_await send(Again);
    if (!Again)
      co_return End;
  }
}

Task<bool> Forwarding::waitForTurn() {
  GatewayState &Shared = Home_.shared();
  const std::uint64_t Ticket = Decision_.Ticket_;
  const auto Turn = Shared.Waiting_.enter(Ticket, Home_.executor());
  Caller_.noteStage(RequestStage::Waiting);
  Caller_.interruptAlso([Turn] { Turn->wake(); });
  Caller_.watch().expireAt(Decision_.WaitUntil_ + WaitSlack);
  if (Reader_.isWhole())
    Caller_.watch().watchHangUp(Caller_.socket().native_handle());
  co_await Turn->wait();
  Caller_.interruptAlso({});
  Caller_.watch().neverExpire();
  Caller_.watch().watchHangUp(-1);
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  if (Turn->decision()) {
    Decision_ = Shared.Waiting_.leave(Ticket);
    noteDecision(Now);
    co_return true;
  }
  const bool HungUp = Caller_.watch().cause() == Watch::Cause::HungUp;
  if (const auto Late = Shared.Waiting_.abandon(Ticket, Now)) {
    Decision_ = *Late;
    if (Late->Action_ == steering::Decision::Action::Send)
      finish({.Outcome_ = SendOutcome::Cancelled});
  } else {
    Shared.Others_.Steering_.cancel(Ticket, Now);
  }
  if (Caller_.watch().cause() == Watch::Cause::Stopped) {
    Decision_ = stoppingRefusal();
    noteDecision(Now);
    co_return true;
  }
  Decision_ = {};
  Decision_.Refusal_ = steering::Refusal::DeadlineExceeded;
  Decision_.Ran_ = Ran_;
  co_return !HungUp;
}

Task<std::optional<steering::Decision>> Forwarding::claim() {
  if (!NeedsClaim_ || Claimed_)
    co_return std::nullopt;
  Caller_.noteStage(RequestStage::Waiting);
  const base::TimePoint Limit =
      base::SystemClock::monotonicNow() + ClaimTimeout;
  const ClaimAnswer Answered = co_await acquireClaim(
      Home_, Caller_, Claim_, std::min(Limit, Request_.Deadline_));
  steering::Decision Refused;
  Refused.RetryAfter_ = Answered.RetryAfter_;
  Refused.SettingsVersion_ = Decision_.SettingsVersion_;
  switch (Answered.Kind_) {
  case ClaimAnswer::Kind::Granted:
    Claimed_ = true;
    co_return std::nullopt;
  case ClaimAnswer::Kind::AlreadyRun:
    Refused.Refusal_ = steering::Refusal::AlreadyRun;
    RecordedStatus_ = Answered.Status_;
    Refused.Ran_ = steering::Ran::Maybe;
    break;
  case ClaimAnswer::Kind::HeldElsewhere:
    Refused.Refusal_ = steering::Refusal::ClaimHeldElsewhere;
    Refused.Ran_ = steering::Ran::Maybe;
    break;
  case ClaimAnswer::Kind::StoreDown:
    Refused.Refusal_ = steering::Refusal::ClaimStoreDown;
    break;
  }
  co_return Refused;
}

Task<Ending> Forwarding::send(bool &Again) {
  Caller_.noteStage(RequestStage::AtTarget);
  const bool ToHost = !Decision_.Host_.empty();
  TargetPools &Pools =
      ToHost ? Home_.shared().HostPools_ : Home_.shared().Pools_;
  TargetSend Send(Home_, Caller_, Pools.at(Decision_.Address_),
                  Request_.Deadline_, Request_.Id_);
  if (ToHost)
    Send.goToHost(Ran_ == steering::Ran::Maybe);
  Send.bePatientUntil(Decision_.ResponseDeadline_, [this] {
    // A host that stops gives up nothing that a target works on.
    GatewayState &Shared = Home_.shared();
    return Shared.isServing() && !BodyGone_ &&
           Shared.Others_.Steering_.mayAbandonSend(
               Decision_.Ticket_, base::SystemClock::monotonicNow());
  });
  Send.repeatIf([this] {
    return !BodyGone_ &&
           Home_.shared().Others_.Steering_.mayHedge(
               Decision_.Ticket_, base::SystemClock::monotonicNow());
  });
  Send.onAnswerHead([this](const steering::AnswerHead &Head) {
    Home_.shared().Others_.Steering_.recordAnswerHead(
        Decision_.Ticket_, Head, base::SystemClock::monotonicNow());
  });
  if (Reader_.isWhole())
    Caller_.watch().watchHangUp(Caller_.socket().native_handle());
  TargetSend::Failure Failed = co_await Send.open(Request_.Idempotent_);
  if (!Failed)
    Failed = withhold(Send);
  if (!Failed)
    Failed = co_await writeRequest(Send);
  if (!Failed)
    Failed = co_await Send.readAnswer(Read_.Method_ == "HEAD");
  if (!Failed && ToHost)
    if (const auto Version = settingsVersionOf(Send.answer().message(),
                                               Home_.shared().Settings_.Names_))
      Home_.shared().Versions_.noteAnswer(*Version,
                                          base::SystemClock::monotonicNow());
  if (Failed && Send.isSilent() && !BodyGone_)
    Failed = co_await hedge(Send);
  else if (!Failed && Send.saysNotRun())
    Failed = SendOutcome::Shed;
  if (Send.hasWritten() && !ToHost)
    Answer_.noteSend();
  if (Send.hasWritten() && Failed != SendOutcome::Shed)
    Ran_ = steering::Ran::Maybe;
  if (Failed)
    co_return co_await handleFailure(Send, *Failed, Again);
  co_return co_await answer(Send, Again);
}

Task<TargetSend::Failure> Forwarding::hedge(TargetSend &Send) {
  Caller_.watch().rearm();
  Home_.shared().Others_.Listener_.hedged(Request_, Decision_,
                                          base::SystemClock::monotonicNow());
  TargetSend::Failure Second = co_await Send.openSecond();
  if (!Second)
    Second = withhold(Send);
  if (!Second)
    Second = co_await writeRequest(Send);
  TargetSend::Failure Failed =
      co_await Send.readEitherAnswer(Second, Read_.Method_ == "HEAD");
  if (!Failed && Send.saysNotRun())
    Failed = SendOutcome::Shed;
  // However this copy ended, the other one may have run.
  if (Failed && provesNotRun(*Failed))
    Failed = SendOutcome::LostBeforeResponse;
  co_return Failed;
}

/// Between the decision and the first byte lie a claim, a wait or a connect, in
/// which the target may have asked for a rest.
TargetSend::Failure Forwarding::withhold(TargetSend &Send) const {
  if (Home_.shared().Others_.Steering_.mayWrite(
          Decision_.Ticket_, base::SystemClock::monotonicNow()))
    return std::nullopt;
  Send.releaseUnused();
  return SendOutcome::Withheld;
}

HostForwarding Forwarding::hostForwarding(base::TimePoint Now) const {
  GatewayState &Shared = Home_.shared();
  Shared.Versions_.noteOwn(Decision_.SettingsVersion_, Now);
  return {Shared.Settings_.Host_.name(), Decision_.SendsLeft_,
          Shared.Versions_.floor(Now), Read_.PresentedKey_};
}

Task<TargetSend::Failure> Forwarding::writeRequest(TargetSend &Send) {
  ForwardedRequest Added;
  Added.RequestId_ = Request_.Id_.name();
  if (Decision_.Host_.empty())
    Added.Customer_ = Request_.Customer_.name();
  else
    Added.ToHost_ = hostForwarding(base::SystemClock::monotonicNow());
  Added.ExpectedTarget_ = Decision_.ExpectedTarget_;
  Added.TimeLeft_ = Request_.Deadline_ - base::SystemClock::monotonicNow();
  const auto Length = Reader_.bodyLength();
  if (Reader_.isWhole() && (Length || !Held_.empty() || Reader_.isChunked()))
    Added.Body_.Length_ = Held_.size();
  else if (Length)
    Added.Body_.Length_ = Length;
  else
    Added.Body_.Chunked_ = Reader_.isChunked();
  const bool Streams = !Reader_.isWhole();
  const std::string Head =
      requestHeadFor(Read_, Fields_, Added, Home_.shared().Settings_.Names_);
  const bool HeldIsChunk = Added.Body_.Chunked_;
  const std::string_view First =
      HeldIsChunk ? std::string_view() : std::string_view(Held_);
  TargetSend::Failure Failed = co_await Send.write(Head, First, !Streams);
  if (Failed || !Streams || Send.hasAnsweredEarly())
    co_return Failed;
  // Where the caller names no deadline, the service's own counts from the end
  // of a long upload: how long that takes is the caller's line's affair, and
  // its progress is bounded.
  if (!Read_.Deadline_)
    Send.setDeadline(base::TimePoint::max());
  Failed = co_await streamBody(Send);
  if (!Read_.Deadline_)
    Request_.Deadline_ = base::SystemClock::monotonicNow() + ServiceDeadline_;
  Send.setDeadline(Request_.Deadline_);
  co_return Failed;
}

Task<TargetSend::Failure> Forwarding::streamBody(TargetSend &Send) {
  const bool Chunked = Reader_.isChunked();
  co_await Answer_.sendContinue();
  TargetSend::Failure Failed;
  if (Chunked)
    Failed = co_await writePiece(Send, Held_, false);
  std::string Piece;
  while (!Failed && !Send.hasAnsweredEarly() && !Reader_.isWhole()) {
    Failed = co_await readPiece(Piece);
    if (!Failed)
      Failed = co_await writePiece(Send, Piece, Reader_.isWhole());
  }
  if (!Failed && Chunked)
    Failed = co_await Send.write("0\r\n\r\n", {}, true);
  co_return Failed;
}

Task<TargetSend::Failure>
Forwarding::writePiece(TargetSend &Send, std::string_view Piece, bool Last) {
  // An empty chunk would end the body.
  if (Piece.empty())
    co_return std::nullopt;
  if (!Reader_.isChunked())
    co_return co_await Send.write({}, Piece, Last);
  const std::string SizeLine = chunkSizeLine(Piece.size());
  TargetSend::Failure Failed = co_await Send.write(SizeLine, Piece, false);
  if (!Failed)
    Failed = co_await Send.write("\r\n", {}, false);
  co_return Failed;
}

Task<TargetSend::Failure> Forwarding::readPiece(std::string &Piece) {
  Piece.resize(StreamBytes);
  std::size_t Got = 0;
  BodyEnd_ = co_await readBody(Piece, Got);
  if (BodyEnd_ != ReadEnd::Ok)
    co_return SendOutcome::Cancelled;
  Piece.resize(Got);
  if (Got > 0 && !BodyGone_) {
    BodyGone_ = true;
    Held_ = std::string();
    Memory_.tryResize(StreamBytes + BodyReadBytes);
  }
  co_return std::nullopt;
}

std::optional<steering::Decision> Forwarding::recheckKey() {
  if (Identity_.Key_.empty())
    return std::nullopt;
  const steering::Refusal Why = Home_.shared().Others_.Authenticator_.recheck(
      Identity_, base::SystemClock::monotonicNow());
  if (Why == steering::Refusal::None)
    return std::nullopt;
  steering::Decision Refused;
  Refused.Refusal_ = Why;
  Refused.Ran_ = Ran_;
  Refused.SettingsVersion_ = Decision_.SettingsVersion_;
  return Refused;
}

std::optional<steering::Decision>
Forwarding::recheckStop(std::optional<base::Duration> Expected) {
  const auto Stop = Home_.shared().stopWindow();
  if (!Stop || Stop->mayBegin(answerLimit(), Expected,
                              base::SystemClock::monotonicNow()))
    return std::nullopt;
  return stoppingRefusal();
}

steering::Decision Forwarding::stoppingRefusal() const {
  steering::Decision Refused;
  Refused.Refusal_ = steering::Refusal::Stopping;
  Refused.Ran_ = Ran_;
  Refused.RetryAfter_ = CallerAnswer::ReturnToOtherHost;
  Refused.SettingsVersion_ = Home_.shared().Others_.Router_.settingsVersion();
  return Refused;
}

Task<Ending> Forwarding::answer(TargetSend &Send, bool &Again) {
  if (Send.isWhole()) {
    // Reported before the caller is written to: the target's room is free now,
    // however slowly the caller reads.
    finish(Send.report(SendOutcome::Answered));
    if (Decision_.Action_ == steering::Decision::Action::Send &&
        Send.report(SendOutcome::Answered).Status_ >= FirstServerFailure) {
      Send.release();
      noteDecision(base::SystemClock::monotonicNow());
      Again = true;
      co_return Ending::KeepAlive;
    }
    settle(ClaimEnd::Answered, Send.report(SendOutcome::Answered).Status_);
    Send.release();
    co_return co_await Answer_.sendHeld(Send);
  }
  SendOutcome End = SendOutcome::Answered;
  const Ending Ended = co_await Answer_.relay(Send, answerLimit(), End);
  steering::SendReport Report = Send.report(End);
  Report.AnswerStarted_ = true;
  finish(Report);
  settle(End == SendOutcome::Answered ? ClaimEnd::Answered : ClaimEnd::Unknown,
         Report.Status_);
  Send.release();
  co_return Ended;
}

base::TimePoint Forwarding::answerLimit() const {
  return IsTimeStated_ ? Request_.Deadline_ : base::TimePoint::max();
}

Task<Ending> Forwarding::handleFailure(TargetSend &Send, SendOutcome End,
                                       bool &Again) {
  finish(Send.report(End));
  if (End == SendOutcome::Cancelled)
    co_return co_await endCancelled(Send);
  Caller_.watch().rearm();
  Again = true;
  co_return Ending::Close;
}

Task<Ending> Forwarding::endCancelled(const TargetSend &Send) {
  const auto Ran = Send.hasWritten() ? steering::Ran::Maybe : Ran_;
  settle(Ran == steering::Ran::No ? ClaimEnd::NotRun : ClaimEnd::Unknown, 0);
  if (BodyEnd_ != ReadEnd::Ok)
    co_return co_await Answer_.refuseBody(BodyEnd_, Ran);
  if (Caller_.watch().cause() == Watch::Cause::HungUp)
    co_return Ending::Close;
  if (Caller_.watch().cause() == Watch::Cause::Stopped)
    co_return co_await Answer_.refuseStopping(Ran);
  co_return co_await Answer_.refuseFor(steering::Refusal::DeadlineExceeded,
                                       Ran);
}

void Forwarding::finish(steering::SendReport Report) {
  GatewayState &Shared = Home_.shared();
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Report.BodyGone_ = BodyGone_;
  Shared.Others_.Listener_.sendEnded(Request_, Decision_, Report, Now);
  std::vector<steering::Wakeup> Woken;
  Decision_ =
      Shared.Others_.Steering_.finish(Decision_.Ticket_, Report, Now, Woken);
  if (BodyGone_ && Decision_.Action_ != steering::Decision::Action::Refuse)
    dropDecision();
  if (Report.Outcome_ != SendOutcome::Answered &&
      Report.Outcome_ != SendOutcome::Cancelled)
    noteDecision(Now);
  if (!Woken.empty())
    Home_.deliver(Woken, Now);
}

void Forwarding::dropDecision() {
  steering::Steering &Steering = Home_.shared().Others_.Steering_;
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  std::vector<steering::Wakeup> Woken;
  if (Decision_.Action_ == steering::Decision::Action::Send)
    Steering.finish(Decision_.Ticket_, {.Outcome_ = SendOutcome::Cancelled},
                    Now, Woken);
  else
    Steering.cancel(Decision_.Ticket_, Now);
  if (!Woken.empty())
    Home_.deliver(Woken, Now);
  Decision_ = {};
  Decision_.Refusal_ = steering::Refusal::TargetFailed;
  Decision_.Ran_ = Ran_;
}

void Forwarding::settle(ClaimEnd End, int Status) {
  if (!Claimed_)
    return;
  Claimed_ = false;
  Home_.shared().Others_.Claims_.settle(Claim_, End, Status,
                                        base::SystemClock::monotonicNow());
}

void Forwarding::noteDecision(base::TimePoint Now) {
  if (lacksRoom(Decision_))
    Home_.shared().noteLackOfRoom(Now);
  Home_.shared().Others_.Listener_.decided(Request_, Decision_, Now);
}

} // namespace lychee::gateway
