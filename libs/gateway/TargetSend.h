#ifndef LYCHEE_GATEWAY_TARGETSEND_H
#define LYCHEE_GATEWAY_TARGETSEND_H

#include "gateway/CallerConnection.h"
#include "gateway/MessageReader.h"
#include "gateway/TargetPool.h"
#include "steering/Steering.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lychee::gateway {

class Worker;

/// One send of a request to a target: takes a connection, writes the request,
/// reads the answer, and keeps account of how far it came, since that decides
/// whether the request may be sent again. Steps that return a SendOutcome have
/// failed by it. A connection goes back to its pool only after a whole answer
/// with nothing after it; in any other case it is closed.
///
/// A request may be written a second time, on another connection, where the
/// first one is silent: a dead connection and a target that works for long look
/// alike. The first answer is taken, and no copy ends the other by failing.
class TargetSend {
public:
  using Failure = std::optional<steering::SendOutcome>;

  /// \param Deadline  the request's; passing it ends the send as cancelled.
  TargetSend(Worker &Home, CallerConnection &Caller,
             std::shared_ptr<TargetPool> Pool, base::TimePoint Deadline,
             const base::RequestId &Id);
  TargetSend(const TargetSend &) = delete;
  TargetSend &operator=(const TargetSend &) = delete;
  ~TargetSend();

  /// From then on silence may count as a lost answer, where no byte has come.
  /// \param MayAbandon  asked once when that time is over; false: wait on.
  void bePatientUntil(base::TimePoint Moment,
                      std::function<bool()> MayAbandon) {
    Patience_ = Moment;
    MayAbandon_ = std::move(MayAbandon);
  }

  /// \param MayRepeat  asked once before the request is sent once more to the
  /// same target, as its kept connection may be dead; false: wait on.
  void repeatIf(std::function<bool()> MayRepeat) {
    MayRepeat_ = std::move(MayRepeat);
  }

  /// \param Heard  is passed what the head of each answer states, as soon as it
  /// is read, of late answers to earlier requests, too.
  void onAnswerHead(std::function<void(const steering::AnswerHead &)> Heard) {
    Heard_ = std::move(Heard);
  }

  /// It goes to another host, whose answer says nothing of a target.
  /// \param MayHaveRun  an earlier send may have run: a refusal that states the
  /// opposite is true of the other host only, and not for the caller.
  void goToHost(bool MayHaveRun) noexcept {
    ToHost_ = true;
    MayHaveRun_ = MayHaveRun;
  }

  /// Takes an idle connection or opens one. \param Idempotent  a request that
  /// is not, or that goes to another host, goes only on one that is new or has
  /// just shown life.
  Task<Failure> open(bool Idempotent);

  /// Moves the deadline: while an upload goes on, its progress bounds it.
  void setDeadline(base::TimePoint Deadline) noexcept { Deadline_ = Deadline; }

  /// Writes a piece of the request, and nothing once hasAnsweredEarly().
  /// \param Last  the request ends with it.
  Task<Failure> write(std::string_view Head, std::string_view Body, bool Last);

  /// \returns whether the target answered before it had the whole request, and
  /// gets no more of it.
  bool hasAnsweredEarly() const noexcept { return AnsweredEarly_; }

  /// Reads the answer's head, and its body while that is within the limit for
  /// held ones. \param WithoutBody  the request was a HEAD.
  Task<Failure> readAnswer(bool WithoutBody);

  /// Reads on in an answer that is not whole yet; 0 bytes at its end.
  Task<Failure> readOn(std::span<char> Out, std::size_t &Got);

  /// \returns whether the connection stayed silent for so long that the
  /// request, if it is held, is to be sent once more on a new one.
  bool isSilent() const noexcept { return Silent_; }

  /// Opens a connection for a second copy. What is written next goes there, and
  /// the silent one is kept.
  Task<Failure> openSecond();

  /// Reads the first answer to come, of either copy, as readAnswer() does.
  /// \param SecondEnd  how the second copy failed; nothing: it was written.
  Task<Failure> readEitherAnswer(Failure SecondEnd, bool WithoutBody);

  /// \returns whether the target, or the host, answered that the request did
  /// not run and may go elsewhere.
  bool saysNotRun() const;

  const AnswerReader &answer() const { return *Reader_; }
  const std::string &heldBody() const noexcept { return Held_; }
  bool isWhole() const { return Reader_->isWhole(); }

  /// Gives the connection back after a whole answer, or closes it.
  void release();

  /// Gives the connection back, on which nothing was written.
  void releaseUnused();

  /// \returns how it went, for the steering.
  steering::SendReport report(steering::SendOutcome End) const;

  /// \returns whether a byte of the request has been written.
  bool hasWritten() const noexcept { return Written_ > 0; }

private:
  Task<Failure> connect();
  Task<bool> skipInterim(ReadEnd &End, bool WithoutBody);
  steering::AnswerHead answerHead() const;
  /// \returns the sends to targets that the other host made.
  std::optional<std::uint32_t> hostSends() const;
  Task<bool> skipForeign(ReadEnd &End, bool WithoutBody);
  bool isForeign() const;
  /// \returns whether all was written.
  Task<bool> writeWhileSilent(std::string_view Text);
  /// Waits for room to write, or an answer that ends the request.
  Task<void> waitForRoom();
  /// \returns whether bytes of an answer are there that does not end the
  /// request: an interim one, or a success, whose body the target may still
  /// read.
  bool wantsRestOfBody();
  /// \returns whether a copy of the request is under way whose answer may yet
  /// come.
  bool hasOtherCopy() const noexcept { return Other_ != nullptr; }
  /// Waits for bytes of an answer to either copy, and makes that connection the
  /// one to read from.
  Task<void> awaitEither();
  /// Gives up the copy that is read from, and goes on with the other one.
  void goOnWithOther();
  /// Ends the pending operations; closes the connections unless the request
  /// is to be sent a second time.
  void interrupt();
  Failure failed();
  /// \returns how a write ended that did not write all; nothing where an answer
  /// is there.
  Failure writeEnded();
  void watchPatience();
  void bound(base::Duration Progress);
  void sawLife();

  Worker &Home_;
  CallerConnection &Caller_;
  const std::shared_ptr<TargetPool> Pool_;
  base::TimePoint Deadline_;
  const base::RequestId &Id_;
  base::TimePoint Patience_ = base::TimePoint::max();
  std::function<bool()> MayAbandon_;
  std::function<bool()> MayRepeat_;
  std::function<void(const steering::AnswerHead &)> Heard_;
  std::unique_ptr<TargetConnection> Connection_;
  /// Of the other copy; empty where there is one copy.
  std::unique_ptr<TargetConnection> Other_;
  std::unique_ptr<AnswerReader> Reader_;
  std::string Held_;
  std::uint64_t Written_ = 0;
  std::uint64_t Received_ = 0;
  bool RequestWhole_ = false;
  /// The target answered before it had the whole request, or ended the
  /// connection. What went out is a prefix of the request.
  bool AnsweredEarly_ = false;
  bool Unusable_ = false;
  bool ToHost_ = false;
  bool MayHaveRun_ = false;
  bool AnswerSeen_ = false;
  bool Silent_ = false;
  /// An answer of either copy is awaited.
  bool AwaitsBoth_ = false;
  /// No byte came until the time that the steering was patient for.
  bool LostPatience_ = false;
  /// How long to wait for the first byte before isSilent; nothing: no bound
  /// but the deadline.
  std::optional<base::Duration> HedgeDelay_;
  base::TimePoint FirstWrite_;
  base::TimePoint LastRead_;
};

} // namespace lychee::gateway

#endif
