#include "store/GuardedStore.h"

#include "base/SystemClock.h"

namespace lychee::store {

namespace asio = boost::asio;

GuardedStore::GuardedStore(Store &Inner, double CallsPerSecond)
    : Inner_(Inner), Budget_(CallsPerSecond) {}

bool GuardedStore::admit(std::uint64_t CallCounts::*Kind, const char *Step,
                         base::TimePoint Now, base::Error &Last) {
  const std::lock_guard Guard(Lock_);
  if (!Budget_.take(Now)) {
    ++Counts_.OverBudget_;
    Last = {Step, "", "budget of calls to the store is spent"};
    return false;
  }
  ++(Counts_.*Kind);
  return true;
}

void GuardedStore::finish(bool Answered, base::TimePoint Began) {
  const std::lock_guard Guard(Lock_);
  if (!Answered) {
    ++Counts_.Failures_;
    return;
  }
  if (!LastAnswer_ || *LastAnswer_ < Began)
    LastAnswer_ = Began;
}

asio::awaitable<std::optional<Object>> GuardedStore::get(std::string_view Path,
                                                         base::Error &Last) {
  const base::TimePoint Began = base::SystemClock::monotonicNow();
  if (!admit(&CallCounts::Gets_, "store.get", Began, Last))
    co_return std::nullopt;
  std::optional<Object> Found = co_await Inner_.get(Path, Last);
  finish(Found.has_value(), Began);
  co_return Found;
}

asio::awaitable<PutResult> GuardedStore::put(std::string_view Path,
                                             std::string_view Value,
                                             std::uint64_t Expected,
                                             base::Error &Last) {
  const base::TimePoint Began = base::SystemClock::monotonicNow();
  if (!admit(&CallCounts::Puts_, "store.put", Began, Last))
    co_return PutResult{};
  const PutResult Result = co_await Inner_.put(Path, Value, Expected, Last);
  finish(Result.Status_ == PutStatus::Written ||
             Result.Status_ == PutStatus::Conflict,
         Began);
  co_return Result;
}

asio::awaitable<std::optional<std::vector<Object>>>
GuardedStore::list(std::string_view Prefix, base::Error &Last) {
  const base::TimePoint Began = base::SystemClock::monotonicNow();
  if (!admit(&CallCounts::Lists_, "store.list", Began, Last))
    co_return std::nullopt;
  std::optional<std::vector<Object>> Found = co_await Inner_.list(Prefix, Last);
  finish(Found.has_value(), Began);
  co_return Found;
}

asio::awaitable<std::optional<Object>>
GuardedStore::watch(std::string_view Path, std::uint64_t Known,
                    base::Duration Wait, base::Error &Last) {
  const base::TimePoint Began = base::SystemClock::monotonicNow();
  if (!admit(&CallCounts::Watches_, "store.watch", Began, Last))
    co_return std::nullopt;
  std::optional<Object> Found = co_await Inner_.watch(Path, Known, Wait, Last);
  finish(Found.has_value(), Began);
  co_return Found;
}

CallCounts GuardedStore::counts() const {
  const std::lock_guard Guard(Lock_);
  return Counts_;
}

std::optional<base::TimePoint> GuardedStore::lastAnswer() const {
  const std::lock_guard Guard(Lock_);
  return LastAnswer_;
}

} // namespace lychee::store
