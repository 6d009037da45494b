#include "gateway/TargetSend.h"

#include "base/SystemClock.h"
#include "gateway/TargetAddress.h"
#include "gateway/Worker.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

namespace lychee::gateway {

namespace {

/// Interim answers (100 to 199) before the real one; more is a fault.
constexpr int MaximumInterimAnswers = 8;
/// A target's answer may be as long as it likes: it streams.
constexpr std::uint64_t AnswerLimitBytes = 1ULL << 50;

} // namespace

TargetSend::TargetSend(Worker &Home, CallerConnection &Caller,
                       std::shared_ptr<TargetPool> Pool,
                       base::TimePoint Deadline)
    : Home_(Home), Caller_(Caller), Pool_(std::move(Pool)),
      Deadline_(Deadline) {
  Caller_.interruptAlso([this] {
    if (Connection_)
      Connection_->close();
  });
}

TargetSend::~TargetSend() { Caller_.interruptAlso({}); }

void TargetSend::bound(base::Duration Progress) {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Caller_.watch().expireAt(std::min(Deadline_, Now + Progress));
}

Task<TargetSend::Failure> TargetSend::open(bool Idempotent) {
  const GatewaySettings &Settings = Home_.shared().Settings_;
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  const base::Duration Limit =
      Idempotent ? Settings.ReuseIdleLimit_ : Settings.ProvenLifeLimit_;
  Connection_ = Pool_->takeIdle(Home_.index(), Now - Limit);
  if (!Connection_)
    co_return co_await connect();
  if (Idempotent)
    HedgeDelay_ = Pool_->hedgeDelay(Now - Connection_->lastLife(),
                                    Settings.HedgeIdleLimit_);
  co_return std::nullopt;
}

Task<TargetSend::Failure> TargetSend::reopen() {
  Pool_->spendHedge();
  Silent_ = false;
  HedgeDelay_.reset();
  RequestWhole_ = false;
  Connection_.reset();
  co_return co_await connect();
}

Task<TargetSend::Failure> TargetSend::connect() {
  const auto Where = parseTargetAddress(Pool_->address());
  Connection_ = Pool_->make(Home_.executor(), Home_.index());
  if (!Where || !Connection_)
    co_return steering::SendEnd::ConnectFailed;
  bound(Home_.shared().Settings_.ConnectTimeout_);
  const auto [Error] =
      co_await Connection_->socket().async_connect(*Where, Await);
  if (Caller_.watch().fired())
    co_return failed();
  if (Error)
    co_return steering::SendEnd::ConnectFailed;
  ErrorCode Ignored;
  Connection_->socket().set_option(Tcp::no_delay(true), Ignored);
  Connection_->showLife(base::SystemClock::monotonicNow());
  co_return std::nullopt;
}

Task<TargetSend::Failure> TargetSend::write(std::string_view Head,
                                            std::string_view Body, bool Last) {
  bound(Home_.shared().Settings_.ProgressTimeout_);
  if (Written_ == 0)
    FirstWrite_ = base::SystemClock::monotonicNow();
  const std::array Pieces{boost::asio::const_buffer(Head.data(), Head.size()),
                          boost::asio::const_buffer(Body.data(), Body.size())};
  const auto [Error, Count] =
      co_await boost::asio::async_write(Connection_->socket(), Pieces, Await);
  Written_ += Count;
  if (Error || Caller_.watch().fired())
    co_return failed();
  RequestWhole_ = Last;
  co_return std::nullopt;
}

Task<bool> TargetSend::skipInterim(ReadEnd &End, bool WithoutBody) {
  for (int Interim = 0; Interim <= MaximumInterimAnswers; ++Interim) {
    Reader_ = std::make_unique<AnswerReader>(
        Connection_->socket(), Connection_->buffer(), Caller_.watch(),
        MessageLimits{Home_.shared().Settings_.HeaderLimitBytes_ * 4UL,
                      AnswerLimitBytes});
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

Task<TargetSend::Failure> TargetSend::readAnswer(bool WithoutBody) {
  bound(HedgeDelay_.value_or(Deadline_ - base::SystemClock::monotonicNow()));
  ReadEnd End = ReadEnd::Ok;
  const bool Came = co_await skipInterim(End, WithoutBody);
  if (!Came) {
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    Silent_ = HedgeDelay_ && !AnswerSeen_ && Now < Deadline_ &&
              Caller_.watch().cause() == Watch::Cause::Expired;
    AnswerSeen_ = AnswerSeen_ || (End != ReadEnd::Closed && !Silent_);
    co_return failed();
  }
  Pool_->noteAnswer(LastRead_ - FirstWrite_);
  Caller_.watch().expireAt(Deadline_);
  // Without a length a cut cannot be told from the end, so it is not passed on
  // as whole.
  if (Reader_->endsWithConnection())
    co_return steering::SendEnd::AnswerCut;
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
      (Bound.fired() && Now >= Deadline_))
    return steering::SendEnd::Cancelled;
  if (AnswerSeen_)
    return steering::SendEnd::AnswerCut;
  if (RequestWhole_)
    return steering::SendEnd::LostUnanswered;
  if (Written_ > 0)
    return steering::SendEnd::LostPartlyWritten;
  return Bound.fired() ? steering::SendEnd::ConnectFailed
                       : steering::SendEnd::ClosedUnwritten;
}

void TargetSend::release() {
  if (!Connection_)
    return;
  const bool Clean = RequestWhole_ && Reader_ && Reader_->isWhole() &&
                     Connection_->buffer().size() == 0 &&
                     Reader_->message().keep_alive();
  if (Clean)
    Pool_->giveBack(std::move(Connection_));
  Connection_.reset();
}

steering::SendReport TargetSend::report(steering::SendEnd End) const {
  steering::SendReport Made;
  Made.End_ = End;
  if (Reader_ && AnswerSeen_)
    Made.Status_ = static_cast<int>(Reader_->message().result_int());
  if (Written_ > 0)
    Made.Took_ = std::max(LastRead_, FirstWrite_) - FirstWrite_;
  Made.AnswerBytes_ = Received_;
  return Made;
}

} // namespace lychee::gateway
