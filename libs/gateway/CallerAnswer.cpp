#include "gateway/CallerAnswer.h"

#include "base/SystemClock.h"
#include "gateway/HeaderPolicy.h"
#include "gateway/Worker.h"

#include <algorithm>
#include <array>

namespace lychee::gateway {

namespace {

/// Piece in which an answer is passed on; this much of it is in memory.
constexpr std::size_t RelayBytes = 64UL * 1024;
constexpr std::string_view ContinueText = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";

boost::asio::const_buffer bufferOf(std::string_view Text) {
  return {Text.data(), Text.size()};
}

Framing framingOf(const TargetSend &Send, bool WithoutBody) {
  Framing Made;
  if (WithoutBody || Send.answer().bodyLength())
    Made.Length_ = Send.answer().bodyLength();
  else if (Send.isWhole())
    Made.Length_ = Send.heldBody().size();
  else
    Made.Chunked_ = true;
  return Made;
}

/// 204 and 304 have no body, and 204 no length either (RFC 9110 8.6).
bool hasNoBody(unsigned Status) noexcept {
  return Status == 204 || Status == 304;
}

} // namespace

CallerAnswer::CallerAnswer(Worker &Home, CallerConnection &Caller,
                           RequestReader &Reader, const CallerRequest &Read,
                           const base::RequestId &Id)
    : Home_(Home), Caller_(Caller), Reader_(Reader), Read_(Read), Id_(Id) {}

const Vocabulary &CallerAnswer::names() const {
  return Home_.shared().Settings_.Names_;
}

void CallerAnswer::bound(base::TimePoint Limit) {
  Watch &Bound = Caller_.watch();
  if (Bound.cause() != Watch::Cause::HungUp)
    Bound.rearm();
  Bound.watchHangUp(-1);
  Bound.expireAt(
      std::min(Limit, base::SystemClock::monotonicNow() +
                          Home_.shared().Settings_.ProgressTimeout_));
}

bool CallerAnswer::keepsAlive() const {
  return Read_.KeepAlive_ && Home_.shared().isServing() && Reader_.isWhole();
}

Ending CallerAnswer::endingOf(bool KeepAlive) const {
  if (KeepAlive)
    return Ending::KeepAlive;
  return Reader_.isWhole() ? Ending::Close : Ending::Linger;
}

std::optional<ToldToHost> CallerAnswer::toldToHost() const {
  if (Read_.ForwardedBy_.empty())
    return std::nullopt;
  return ToldToHost{Home_.shared().Others_.Router_.settingsVersion(), Sends_};
}

Task<void> CallerAnswer::sendContinue() {
  if (!Read_.ExpectsContinue_ || ContinueSent_ || Reader_.isWhole())
    co_return;
  ContinueSent_ = true;
  bound();
  const std::array Pieces{bufferOf(ContinueText)};
  co_await Caller_.write(Pieces);
}

Task<bool> CallerAnswer::dropSmallBody() {
  // Only what has come already: a refusal is never held back for its body.
  const auto Length = Reader_.bodyLength();
  if (Reader_.isWhole() || !Length || Caller_.buffer().size() < *Length)
    co_return Reader_.isWhole();
  std::array<char, 4096> Unwanted{};
  std::size_t Got = 0;
  while (!Reader_.isWhole()) {
    const ReadEnd End = co_await Reader_.readBody(Unwanted, Got);
    if (End != ReadEnd::Ok)
      co_return false;
  }
  co_return true;
}

Task<Ending> CallerAnswer::writeText(const std::string &Text, bool KeepAlive) {
  Caller_.noteStage(RequestStage::Answering);
  bound();
  const std::array Pieces{bufferOf(Text)};
  const bool Written = co_await Caller_.write(Pieces);
  co_return Written ? endingOf(KeepAlive) : Ending::Close;
}

Task<Ending> CallerAnswer::refuse(ProblemDocument Problem) {
  co_await dropSmallBody();
  Problem.RequestId_ = Id_.name();
  Problem.ToHost_ = toldToHost();
  Status_ = Problem.Status_;
  Outcome_ = Problem.Reason_;
  const bool KeepAlive = keepsAlive();
  co_return co_await writeText(Problem.render(names(), KeepAlive, isHead()),
                               KeepAlive);
}

Task<Ending> CallerAnswer::refuseFor(steering::Refusal Reason,
                                     steering::Ran Ran,
                                     base::Duration RetryAfter) {
  steering::Decision Refused;
  Refused.Refusal_ = Reason;
  Refused.Ran_ = Ran;
  Refused.RetryAfter_ = RetryAfter;
  co_return co_await refuse(problemFor(Refused, Id_.name()));
}

Task<Ending> CallerAnswer::refuseStopping(steering::Ran Ran) {
  co_return co_await refuseFor(steering::Refusal::Stopping, Ran,
                               ReturnToOtherHost);
}

Task<Ending> CallerAnswer::refuseBody(ReadEnd End, steering::Ran Ran) {
  if (Caller_.watch().cause() == Watch::Cause::Stopped)
    co_return co_await refuseStopping(Ran);
  const bool TimedOut = Caller_.watch().cause() == Watch::Cause::Expired;
  if (End == ReadEnd::Closed || (End == ReadEnd::Cut && !TimedOut)) {
    Outcome_ = "hung-up";
    co_return Ending::Close;
  }
  ProblemDocument Problem;
  Problem.Ran_ = Ran;
  Problem.Status_ = 400;
  Problem.Reason_ = "malformed-request";
  Problem.Detail_ = "The body of the request is not well formed.";
  if (TimedOut) {
    Problem.Status_ = Ran == steering::Ran::No ? 408 : 502;
    Problem.Reason_ = "request-timeout";
    Problem.Detail_ = "The body of the request did not go on.";
  } else if (End == ReadEnd::BodyTooLarge) {
    Problem.Status_ = 413;
    Problem.Reason_ = "body-too-large";
    Problem.Detail_ = "The body of the request is over the limit.";
  }
  co_return co_await refuse(std::move(Problem));
}

Task<Ending> CallerAnswer::sendJson(int Status, std::string_view Body) {
  co_await dropSmallBody();
  Status_ = Status;
  Outcome_ = "answered";
  const bool KeepAlive = keepsAlive();
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += phraseOf(Status);
  Text += "\r\nContent-Type: application/json\r\n" + names().RequestId_ + ": ";
  Text += Id_.name();
  if (!KeepAlive)
    Text += "\r\nConnection: close";
  Text += "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  if (!isHead())
    Text += Body;
  co_return co_await writeText(Text, KeepAlive);
}

Task<Ending> CallerAnswer::sendHeld(const TargetSend &Send) {
  Caller_.noteStage(RequestStage::Answering);
  const auto &Head = Send.answer().message();
  Status_ = static_cast<int>(Head.result_int());
  Outcome_ = "answered";
  const bool KeepAlive = keepsAlive();
  const bool WithoutBody = isHead() || hasNoBody(Head.result_int());
  const std::string Text = answerHeadFor(
      Head, {Id_.name(), framingOf(Send, WithoutBody), KeepAlive, toldToHost()},
      names());
  bound();
  const std::array Pieces{bufferOf(Text), bufferOf(Send.heldBody())};
  const bool Written = co_await Caller_.write(Pieces);
  co_return Written ? endingOf(KeepAlive) : Ending::Close;
}

Task<Ending> CallerAnswer::relay(TargetSend &Send, base::TimePoint Limit,
                                 steering::SendOutcome &End) {
  Caller_.noteStage(RequestStage::Answering);
  const auto &Head = Send.answer().message();
  Status_ = static_cast<int>(Head.result_int());
  Outcome_ = "answer-cut";
  const bool KeepAlive = keepsAlive();
  const Framing Body = framingOf(Send, false);
  const std::string Text =
      answerHeadFor(Head, {Id_.name(), Body, KeepAlive, toldToHost()}, names());
  End = steering::SendOutcome::Cancelled;
  bound(Limit);
  const std::array First{bufferOf(Text)};
  bool Written = co_await Caller_.write(First);
  if (!Written)
    co_return Ending::Close;
  std::string Piece = Send.heldBody();
  while (true) {
    const bool HasChunk = Body.Chunked_ && !Piece.empty();
    const std::string SizeLine = HasChunk ? chunkSizeLine(Piece.size()) : "";
    const std::string_view After = HasChunk ? "\r\n" : "";
    const std::array Pieces{bufferOf(SizeLine), bufferOf(Piece),
                            bufferOf(After)};
    bound(Limit);
    if (!Piece.empty())
      Written = co_await Caller_.write(Pieces);
    if (!Written)
      co_return Ending::Reset;
    if (Send.isWhole())
      break;
    Piece.resize(RelayBytes);
    std::size_t Got = 0;
    bound(Limit);
    const TargetSend::Failure Cut = co_await Send.readOn(Piece, Got);
    if (Cut) {
      End = *Cut;
      co_return Ending::Reset;
    }
    Piece.resize(Got);
  }
  End = steering::SendOutcome::Answered;
  Outcome_ = "answered";
  const std::array Last{bufferOf(Body.Chunked_ ? LastChunk : "")};
  if (Body.Chunked_)
    Written = co_await Caller_.write(Last);
  co_return Written ? endingOf(KeepAlive) : Ending::Close;
}

} // namespace lychee::gateway
