#include "store/ChangeWriter.h"

#include "base/SystemClock.h"
#include "store/Backoff.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::store {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> waitFor(base::Duration Span) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Span);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool isFinal(PutStatus Status) noexcept {
  return Status == PutStatus::Written || Status == PutStatus::Conflict;
}

} // namespace

asio::awaitable<PutResult> ChangeWriter::write(const Change &Written,
                                               base::TimePoint Deadline,
                                               base::Error &Last) {
  Backoff Wait;
  // Once one try may have taken effect, a later failure proves nothing.
  PutResult Result;
  bool MayBeWritten = false;
  do {
    Result = co_await Store_.put(Written.Path_, Written.Value_,
                                 Written.Expected_, Last);
    if (Result.Status_ == PutStatus::Unknown)
      MayBeWritten = true;
    // A conflict may be with this change's own earlier try.
    const bool Doubtful = MayBeWritten && Result.Status_ != PutStatus::Written;
    if (Doubtful)
      Result = co_await resolve(Written, Last);
    if (isFinal(Result.Status_))
      co_return Result;
    co_await waitFor(Wait.next(Random_));
  } while (base::SystemClock::monotonicNow() < Deadline);
  Result.Status_ = MayBeWritten ? PutStatus::Unknown : PutStatus::Failed;
  co_return Result;
}

asio::awaitable<PutResult> ChangeWriter::resolve(const Change &Written,
                                                 base::Error &Last) {
  const std::optional<Object> Found = co_await Store_.get(Written.Path_, Last);
  if (!Found || Found->Version_ <= Written.Expected_)
    co_return PutResult{PutStatus::Unknown, 0};
  const bool Held = Written.HeldIn_(Found->Value_);
  if (!Held)
    Last = {"store.put", Written.Path_, "another change was written first"};
  co_return PutResult{Held ? PutStatus::Written : PutStatus::Conflict,
                      Found->Version_};
}

} // namespace lychee::store
