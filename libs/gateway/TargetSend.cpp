#include "gateway/TargetSend.h"

#include "base/SystemClock.h"
#include "gateway/HeaderPolicy.h"
#include "gateway/TargetAddress.h"
#include "gateway/Worker.h"

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>

namespace lychee::gateway {

namespace {

/// Interim answers (100 to 199) before the real one; more is a fault.
constexpr int MaximumInterimAnswers = 8;
/// Late answers to earlier requests before ours; more is a fault.
constexpr int MaximumForeignAnswers = 4;
/// Of such an answer; a longer one may have no end.
constexpr std::size_t MaximumForeignBytes = 4UL << 20;
/// A body longer than this may fill the connection, and the target may answer
/// meanwhile. Shorter ones go into the connection's buffers whole.
constexpr std::size_t WatchedBodyBytes = 16UL * 1024;
/// A request that is written this shortly before its target closes the
/// connection may be lost: the way there, and the wait for a processor.
constexpr base::Duration ReuseMargin = std::chrono::milliseconds(300);
/// A target's answer may be as long as it likes: it streams.
constexpr std::uint64_t AnswerLimitBytes = 1ULL << 50;

} // namespace

TargetSend::TargetSend(Worker &Home, CallerConnection &Caller,
                       std::shared_ptr<TargetPool> Pool,
                       base::TimePoint Deadline, const base::RequestId &Id)
    : Home_(Home), Caller_(Caller), Pool_(std::move(Pool)), Deadline_(Deadline),
      Id_(Id) {
  Caller_.interruptAlso([this] { interrupt(); });
}

TargetSend::~TargetSend() {
  Caller_.watch().onExpiry({});
  Caller_.interruptAlso({});
}

void TargetSend::interrupt() {
  ErrorCode Ignored;
  if (Connection_ && Silent_)
    Connection_->socket().cancel(Ignored);
  else if (Connection_)
    Connection_->close();
  const bool EndsBoth =
      AwaitsBoth_ || Caller_.watch().cause() != Watch::Cause::Expired;
  if (Other_ && EndsBoth)
    Other_->close();
}

void TargetSend::bound(base::Duration Progress) {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Caller_.watch().expireAt(std::min(Deadline_, Now + Progress));
}

Task<TargetSend::Failure> TargetSend::open(bool Idempotent) {
  const GatewaySettings &Settings = Home_.shared().Settings_;
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  // A host is as silent as the target that works for it, and a second copy
  // would have sends of its own.
  const bool MayHedge = Idempotent && !ToHost_;
  const base::Duration Limit =
      MayHedge ? Settings.ReuseIdleLimit_ : Settings.ProvenLifeLimit_;
  if (ToHost_)
    Pool_->closeOlderThan(Now - Limit);
  Connection_ = Pool_->takeIdle(Home_.index(), Now - Limit, Now);
  if (!Connection_)
    co_return co_await connect();
  if (MayHedge)
    HedgeDelay_ = Pool_->hedgeDelay(Now - Connection_->lastLife(),
                                    Settings.HedgeIdleLimit_);
  co_return std::nullopt;
}

Task<TargetSend::Failure> TargetSend::openSecond() {
  Pool_->spendHedge();
  Silent_ = false;
  HedgeDelay_.reset();
  RequestWhole_ = false;
  Other_ = std::move(Connection_);
  const Failure Failed = co_await connect();
  // The second copy has as long as the first one had.
  if (Patience_ != base::TimePoint::max())
    Patience_ = base::SystemClock::monotonicNow() +
                std::max(Patience_ - FirstWrite_, base::Duration::zero());
  co_return Failed;
}

Task<TargetSend::Failure> TargetSend::readEitherAnswer(Failure SecondEnd,
                                                       bool WithoutBody) {
  Failure End = SecondEnd;
  if (End == steering::SendOutcome::Cancelled)
    co_return End;
  if (End)
    goOnWithOther();
  while (true) {
    if (hasOtherCopy())
      co_await awaitEither();
    End = co_await readAnswer(WithoutBody);
    const bool IsUseless =
        End ? End != steering::SendOutcome::Cancelled : saysNotRun();
    if (!IsUseless || !hasOtherCopy() || Caller_.watch().fired())
      break;
    goOnWithOther();
  }
  AwaitsBoth_ = false;
  Other_.reset();
  co_return End;
}

Task<void> TargetSend::awaitEither() {
  using boost::asio::experimental::awaitable_operators::operator||;
  AwaitsBoth_ = true;
  if (Connection_->buffer().size() > 0)
    co_return;
  if (Other_->buffer().size() > 0) {
    std::swap(Connection_, Other_);
    co_return;
  }
  bound(std::min(Deadline_, Patience_) - base::SystemClock::monotonicNow());
  watchPatience();
  const auto Ready =
      co_await (Connection_->socket().async_wait(Socket::wait_read, Await) ||
                Other_->socket().async_wait(Socket::wait_read, Await));
  if (Ready.index() == 1 && !Caller_.watch().fired())
    std::swap(Connection_, Other_);
}

void TargetSend::goOnWithOther() {
  if (Caller_.watch().cause() == Watch::Cause::Expired)
    Caller_.watch().rearm();
  Connection_ = std::move(Other_);
  Held_.clear();
  Received_ = 0;
  AnswerSeen_ = false;
  Unusable_ = false;
  AnsweredEarly_ = false;
  RequestWhole_ = true;
}

Task<TargetSend::Failure> TargetSend::connect() {
  const auto Where = parseTargetAddress(Pool_->address());
  Connection_ = Pool_->make(Home_.executor(), Home_.index());
  if (!Where)
    co_return steering::SendOutcome::ConnectFailed;
  // Its connections are all at work: it is full, as if it had said so itself.
  // Told as a failed connect it would count against the target's health.
  if (!Connection_)
    co_return steering::SendOutcome::Shed;
  bound(Home_.shared().Settings_.ConnectTimeout_);
  const ErrorCode Error =
      co_await Connection_->open(*Where, Home_.shared().Settings_.Source_);
  if (Caller_.watch().fired())
    co_return failed();
  if (Error)
    co_return steering::SendOutcome::ConnectFailed;
  Connection_->showLife(base::SystemClock::monotonicNow());
  co_return std::nullopt;
}

Task<TargetSend::Failure> TargetSend::write(std::string_view Head,
                                            std::string_view Body, bool Last) {
  if (AnsweredEarly_)
    co_return std::nullopt;
  bound(Home_.shared().Settings_.ProgressTimeout_);
  const bool IsFirst = Written_ == 0;
  if (IsFirst)
    FirstWrite_ = base::SystemClock::monotonicNow();
  Connection_->beginRequest();
  const bool IsWatched = Body.size() > WatchedBodyBytes;
  if (IsFirst) {
    const std::string_view Small = IsWatched ? std::string_view() : Body;
    const std::array Pieces{
        boost::asio::const_buffer(Head.data(), Head.size()),
        boost::asio::const_buffer(Small.data(), Small.size())};
    const auto [Error, Count] =
        co_await boost::asio::async_write(Connection_->socket(), Pieces, Await);
    Written_ += Count;
    if (Error)
      Connection_->noteWriteFailure();
    if (Error || Caller_.watch().fired())
      co_return writeEnded();
  }
  bool Whole = true;
  if (!IsFirst)
    Whole = co_await writeWhileSilent(Head);
  if (Whole && (!IsFirst || IsWatched))
    Whole = co_await writeWhileSilent(Body);
  if (!Whole)
    co_return writeEnded();
  RequestWhole_ = Last;
  co_return std::nullopt;
}

/// A write fails where the target closes right after its answer, and the answer
/// is there all the same.
TargetSend::Failure TargetSend::writeEnded() {
  ErrorCode Ignored;
  if (Written_ > 0 && !Caller_.watch().fired() &&
      Connection_->socket().available(Ignored) > 0)
    AnsweredEarly_ = true;
  return AnsweredEarly_ ? std::nullopt : failed();
}

/// A target may refuse a long request before it has read it, and stop reading:
/// a write that waits for room would then wait until the deadline, and the
/// answer that lies ready would be lost. So room to write and an answer are
/// waited for together.
Task<bool> TargetSend::writeWhileSilent(std::string_view Text) {
  Socket &Peer = Connection_->socket();
  if (!Peer.non_blocking())
    Peer.non_blocking(true);
  while (!Text.empty()) {
    ErrorCode Error;
    const std::size_t Count =
        Peer.write_some(boost::asio::buffer(Text.data(), Text.size()), Error);
    Written_ += Count;
    Text.remove_prefix(Count);
    if (!Error)
      continue;
    if (Error != boost::asio::error::would_block) {
      Connection_->noteWriteFailure();
      co_return false;
    }
    co_await waitForRoom();
    if (AnsweredEarly_ || Caller_.watch().fired())
      co_return false;
    bound(Home_.shared().Settings_.ProgressTimeout_);
  }
  co_return true;
}

Task<void> TargetSend::waitForRoom() {
  using boost::asio::experimental::awaitable_operators::operator||;
  Socket &Peer = Connection_->socket();
  const auto Ready = co_await (Peer.async_wait(Socket::wait_write, Await) ||
                               Peer.async_wait(Socket::wait_read, Await));
  if (Ready.index() == 0 || Caller_.watch().fired())
    co_return;
  if (!wantsRestOfBody()) {
    AnsweredEarly_ = true;
    co_return;
  }
  // Half of the time that is left: the answer must reach the caller in time.
  const base::Duration Left = Deadline_ - base::SystemClock::monotonicNow();
  Timer Patience(Peer.get_executor(),
                 std::min(Home_.shared().Settings_.ProgressTimeout_, Left / 2));
  const auto Room = co_await (Peer.async_wait(Socket::wait_write, Await) ||
                              Patience.async_wait(Await));
  AnsweredEarly_ = Room.index() == 1;
}

bool TargetSend::wantsRestOfBody() {
  constexpr std::string_view Version = "HTTP/1.1 ";
  std::array<char, Version.size() + 1> Text{};
  ErrorCode Error;
  const std::size_t Count = Connection_->socket().receive(
      boost::asio::buffer(Text), Socket::message_peek, Error);
  const std::string_view Begin(Text.data(), Error ? 0 : Count);
  return Begin.size() == Text.size() && Begin.starts_with(Version) &&
         (Begin.back() == '1' || Begin.back() == '2');
}

Task<bool> TargetSend::skipInterim(ReadEnd &End, bool WithoutBody) {
  for (int Interim = 0; Interim <= MaximumInterimAnswers; ++Interim) {
    Reader_ = std::make_unique<AnswerReader>(
        Connection_->socket(), Connection_->buffer(), Caller_.watch(),
        MessageLimits{Home_.shared().Settings_.HeaderLimitBytes_ * 4UL,
                      AnswerLimitBytes});
    if (Connection_->hasWriteFailed())
      Reader_->distrustEnd();
    End = co_await Reader_->readHead(WithoutBody);
    if (End != ReadEnd::Ok)
      co_return false;
    sawLife();
    const unsigned Status = Reader_->message().result_int();
    // 101 is never asked for, since Upgrade is stripped.
    if (Status >= 200 || Status == 101)
      co_return Status != 101;
  }
  co_return false;
}

bool TargetSend::isForeign() const {
  const Vocabulary &Names = Home_.shared().Settings_.Names_;
  if (!Names.CallerNamesRequest_)
    return false;
  const auto Named = Reader_->message().find(Names.RequestId_);
  return Named != Reader_->message().end() && Named->value() != Id_.name();
}

/// Failure: a target sends an answer twice, or late, on a kept connection.
/// Symptom without this: the next caller gets the answer to another's request.
/// The repeated name tells whose answer it is, so what is not ours is read to
/// its end and dropped, and ours is waited for.
Task<bool> TargetSend::skipForeign(ReadEnd &End, bool WithoutBody) {
  std::array<char, 4096> Unwanted{};
  for (int Foreign = 0; Foreign <= MaximumForeignAnswers; ++Foreign) {
    const bool Came = co_await skipInterim(End, WithoutBody);
    if (Came && Heard_ && !ToHost_)
      Heard_(answerHead());
    if (!Came || !isForeign())
      co_return Came;
    if (Reader_->endsWithConnection())
      break;
    std::size_t Total = 0;
    while (!Reader_->isWhole() && Total < MaximumForeignBytes) {
      std::size_t Got = 0;
      End = co_await Reader_->readBody(Unwanted, Got);
      if (End != ReadEnd::Ok)
        co_return false;
      Total += Got;
    }
    if (!Reader_->isWhole())
      break;
  }
  Unusable_ = true;
  co_return false;
}

bool TargetSend::saysNotRun() const {
  const Vocabulary &Names = Home_.shared().Settings_.Names_;
  if (!ToHost_)
    return gateway::saysNotRun(Reader_->message(), Names);
  return MayHaveRun_ ? refusedByHost(Reader_->message(), Names)
                     : refusedForHost(Reader_->message(), Names);
}

/// A send that is ended while its target works on it loses that work, so it
/// ends only where another target can still do it in time.
void TargetSend::watchPatience() {
  const bool MayEnd = MayAbandon_ && Patience_ < Deadline_;
  if (!MayEnd && !HedgeDelay_)
    return;
  Caller_.watch().onExpiry([this] {
    if (AnswerSeen_)
      return Deadline_;
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    if (HedgeDelay_) {
      // A moment long past: it fires at once.
      Silent_ = !MayRepeat_ || MayRepeat_();
      if (Silent_)
        return base::TimePoint();
      HedgeDelay_.reset();
    }
    if (!MayAbandon_ || Patience_ >= Deadline_)
      return Deadline_;
    if (Now < Patience_)
      return Patience_;
    const base::TimePoint Asked = Patience_;
    Patience_ = Deadline_;
    return MayAbandon_() ? Asked : Deadline_;
  });
}

Task<TargetSend::Failure> TargetSend::readAnswer(bool WithoutBody) {
  const base::TimePoint Begin = base::SystemClock::monotonicNow();
  bound(HedgeDelay_.value_or(std::min(Deadline_, Patience_) - Begin));
  watchPatience();
  ReadEnd End = ReadEnd::Ok;
  const bool Came = co_await skipForeign(End, WithoutBody);
  Caller_.watch().onExpiry({});
  if (!Came && Unusable_)
    co_return steering::SendOutcome::ResponseInvalid;
  if (!Came) {
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    const bool Expired = !AnswerSeen_ && Now < Deadline_ &&
                         Caller_.watch().cause() == Watch::Cause::Expired;
    Silent_ = HedgeDelay_ && Expired;
    LostPatience_ = !HedgeDelay_ && Expired;
    AnswerSeen_ = AnswerSeen_ || (End != ReadEnd::Closed && !Silent_);
    co_return failed();
  }
  Pool_->noteAnswer(LastRead_ - FirstWrite_);
  Caller_.watch().expireAt(Deadline_);
  const std::size_t HeldLimit = Home_.shared().Settings_.HeldAnswerBytes_;
  const auto Length = Reader_->bodyLength();
  if (Length && *Length > HeldLimit)
    co_return std::nullopt;
  while (!Reader_->isWhole() && Held_.size() < HeldLimit) {
    const std::size_t Before = Held_.size();
    const std::size_t Piece =
        Length ? static_cast<std::size_t>(*Length) - Before
               : std::min<std::size_t>(HeldLimit - Before, 16UL * 1024);
    Held_.resize(Before + Piece);
    std::size_t Got = 0;
    const Failure Cut = co_await readOn({Held_.data() + Before, Piece}, Got);
    Held_.resize(Before + Got);
    if (Cut)
      co_return Cut;
  }
  co_return std::nullopt;
}

Task<TargetSend::Failure> TargetSend::readOn(std::span<char> Out,
                                             std::size_t &Got) {
  const ReadEnd End = co_await Reader_->readBody(Out, Got);
  if (End != ReadEnd::Ok)
    co_return failed();
  Received_ += Got;
  sawLife();
  co_return std::nullopt;
}

void TargetSend::sawLife() {
  AnswerSeen_ = true;
  LastRead_ = base::SystemClock::monotonicNow();
  Connection_->showLife(LastRead_);
}

TargetSend::Failure TargetSend::failed() {
  const Watch &Bound = Caller_.watch();
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  // No byte came back on it: whatever lost it has most likely lost those that
  // have shown no life since either.
  if (!AnswerSeen_ && Written_ > 0 && Bound.cause() != Watch::Cause::HungUp)
    Pool_->closeOlderThan(FirstWrite_);
  if (Bound.cause() == Watch::Cause::HungUp ||
      Bound.cause() == Watch::Cause::Stopped ||
      (Bound.fired() && Now >= Deadline_))
    return steering::SendOutcome::Cancelled;
  if (AnswerSeen_)
    return steering::SendOutcome::ResponseTruncated;
  if (RequestWhole_)
    return steering::SendOutcome::LostBeforeResponse;
  if (Written_ > 0)
    return steering::SendOutcome::LostAfterPartialWrite;
  return Bound.fired() ? steering::SendOutcome::ConnectFailed
                       : steering::SendOutcome::ClosedBeforeWrite;
}

void TargetSend::release() {
  if (!Connection_)
    return;
  if (RequestWhole_ && Reader_ && Reader_->isWhole())
    Connection_->endRequest();
  const bool Clean = RequestWhole_ && !AnsweredEarly_ && Reader_ &&
                     Reader_->isWhole() && Connection_->buffer().size() == 0 &&
                     !Reader_->endsWithConnection() &&
                     Reader_->message().keep_alive();
  if (Clean) {
    if (const auto Kept = keepAliveOf(Reader_->message()))
      Connection_->limitReuse(LastRead_ + *Kept - ReuseMargin);
    Connection_->buffer().shrink_to_fit();
    Pool_->giveBack(std::move(Connection_));
  }
  Connection_.reset();
}

void TargetSend::releaseUnused() {
  if (Connection_)
    Pool_->giveBack(std::move(Connection_));
}

steering::AnswerHead TargetSend::answerHead() const {
  const Vocabulary &Names = Home_.shared().Settings_.Names_;
  const AnswerReader::Message &Head = Reader_->message();
  steering::AnswerHead Made;
  Made.Status_ = static_cast<int>(Head.result_int());
  Made.NotRun_ = saysNotRun();
  Made.WrongTarget_ =
      !Names.ExpectedTarget_.empty() &&
      Head.result() == boost::beast::http::status::misdirected_request;
  Made.Took_ = LastRead_ - FirstWrite_;
  Made.Statement_ = statementOf(Head, Names, base::SystemClock::wallNow());
  return Made;
}

std::optional<std::uint32_t> TargetSend::hostSends() const {
  if (!hasWritten())
    return 0;
  if (!Reader_ || !AnswerSeen_)
    return std::nullopt;
  return sendsMadeOf(Reader_->message(), Home_.shared().Settings_.Names_);
}

steering::SendReport TargetSend::report(steering::SendOutcome End) const {
  steering::SendReport Made;
  Made.Outcome_ = End;
  if (Reader_ && AnswerSeen_)
    Made.Status_ = static_cast<int>(Reader_->message().result_int());
  if (Written_ > 0)
    Made.Took_ = (LastRead_ > FirstWrite_ ? LastRead_
                                          : base::SystemClock::monotonicNow()) -
                 FirstWrite_;
  Made.AnswerBytes_ = Received_;
  Made.TimedOut_ = LostPatience_;
  Made.NewConnection_ = Connection_ && !Connection_->isReused();
  const Vocabulary &Names = Home_.shared().Settings_.Names_;
  if (ToHost_)
    Made.HostSends_ = hostSends();
  if (Reader_ && AnswerSeen_ && !ToHost_) {
    Made.Load_ = loadOf(Reader_->message(), Names);
    const steering::AnswerHead Head = answerHead();
    Made.Statement_ = Head.Statement_;
    Made.WrongTarget_ = Head.WrongTarget_;
  }
  return Made;
}

} // namespace lychee::gateway
