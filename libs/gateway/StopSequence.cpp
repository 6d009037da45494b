#include "gateway/StopSequence.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>

namespace lychee::gateway {

namespace {

constexpr std::chrono::milliseconds Pace(20);
/// A connection idle for less may have a request on its way to us. Round trips
/// to callers are some tens of milliseconds; this is many of them.
constexpr base::Duration IdleBeforeClose = std::chrono::seconds(1);
/// Time in which callers of requests that are ended are told so.
constexpr base::Duration AnswerGrace = std::chrono::milliseconds(200);
/// Time for exchanges that are reset to report their ends.
constexpr base::Duration ResetGrace = std::chrono::milliseconds(50);

} // namespace

StopSequence::StopSequence(GatewayState &Shared,
                           std::span<const std::unique_ptr<Worker>> Workers,
                           Listener &Callers)
    : Shared_(Shared), Workers_(Workers), Callers_(Callers) {}

void StopSequence::request() {
  {
    const std::lock_guard Guard(Lock_);
    if (Requested_) {
      CutNow_ = true;
      return;
    }
    Requested_ = true;
  }
  boost::asio::co_spawn(Workers_.front()->executor(), run(),
                        boost::asio::detached);
}

StopSummary StopSequence::wait() {
  std::unique_lock Guard(Lock_);
  Over_.wait(Guard, [this] { return IsOver_; });
  return Summary_;
}

Task<void> StopSequence::run() {
  const base::TimePoint Begin = base::SystemClock::monotonicNow();
  const base::TimePoint Deadline = Begin + Shared_.Settings_.StopDeadline_;
  Shared_.beginStop(Begin);
  Shared_.Others_.Directory_.announceLeaving(Begin);
  co_await pauseUntil(
      std::min(Deadline, Begin + Shared_.Settings_.LookupTimeToLive_));
  Shared_.Phase_ = Phase::Finishing;
  co_await Callers_.close();
  co_await finishOpen(Deadline);
  if (Shared_.Connections_ > 0)
    co_await endAll();
  Shared_.Phase_ = Phase::Stopped;
  const std::lock_guard Guard(Lock_);
  Summary_.Took_ = base::SystemClock::monotonicNow() - Begin;
  IsOver_ = true;
  Over_.notify_all();
}

Task<void> StopSequence::pauseUntil(base::TimePoint Moment) {
  Timer Pause(Workers_.front()->executor());
  while (!CutNow_ && base::SystemClock::monotonicNow() < Moment) {
    Pause.expires_after(Pace);
    co_await Pause.async_wait(Await);
  }
}

Task<void> StopSequence::finishOpen(base::TimePoint Deadline) {
  base::TimePoint Now = base::SystemClock::monotonicNow();
  while (!CutNow_ && Shared_.Connections_ > 0 && Now < Deadline) {
    for (const auto &Each : Workers_)
      Each->closeIdle(IdleBeforeClose, Now);
    co_await pauseUntil(Now + Pace);
    Now = base::SystemClock::monotonicNow();
  }
}

Task<void> StopSequence::endAll() {
  {
    const std::lock_guard Guard(Lock_);
    Summary_.CutConnections_ = Shared_.Connections_;
  }
  CutNow_ = false;
  for (const auto &Each : Workers_)
    Each->endAll([this](std::vector<CutRequest> Cut) {
      const std::lock_guard Guard(Lock_);
      std::move(Cut.begin(), Cut.end(),
                std::back_inserter(Summary_.CutRequests_));
    });
  co_await finishOpen(base::SystemClock::monotonicNow() + AnswerGrace);
  for (const auto &Each : Workers_)
    Each->resetAll();
  co_await finishOpen(base::SystemClock::monotonicNow() + ResetGrace);
}

} // namespace lychee::gateway
