#include "claims/ClaimPartition.h"

#include "base/SystemClock.h"
#include "claims/ClaimCodec.h"
#include "reporting/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace lychee::claims {

namespace asio = boost::asio;
using base::SystemClock;
using retrying::ClaimObject;
using retrying::ClaimOutcome;
using retrying::ClaimResult;

namespace {

/// Delay between two attempts to reach a store that does not respond.
constexpr base::Duration StoreRetryDelay = std::chrono::milliseconds(200);

void logStoreFailure(std::string_view Event, std::string_view Path,
                     const base::Error &Last) {
  reporting::logLine(reporting::LogLevel::Warning,
                     base::KeyValueLine()
                         .add("event", Event)
                         .add("path", Path)
                         .add("step", Last.Step_)
                         .add("reason", Last.Reason_));
}

void logException(const std::exception_ptr &Thrown) {
  reporting::logThrown("claims-failed", Thrown);
}

} // namespace

ClaimPartition::ClaimPartition(asio::any_io_executor Strand,
                               store::Store &Store, std::uint32_t Index,
                               std::uint64_t Owner, ResultHandler OnResult)
    : Strand_(std::move(Strand)), Store_(Store),
      Path_("claims/" + std::to_string(Index)), Table_(Owner),
      OnResult_(std::move(OnResult)) {}

void ClaimPartition::acquire(std::uint64_t Epoch) {
  OwnedEpoch_ = Epoch;
  if (!Table_.isLoaded())
    startLoop();
}

void ClaimPartition::release() {
  OwnedEpoch_ = 0;
  std::vector<ClaimResult> Results;
  if (Table_.isLoaded() && !LoopRunning_)
    Table_.unload(Results);
  deliver(Results);
}

ClaimResult ClaimPartition::claim(const retrying::ClaimKey &Key,
                                  std::uint64_t Fingerprint,
                                  const base::HostId &Requester) {
  if (OwnedEpoch_ == 0)
    return {ClaimOutcome::NotOwner, Key, 0, 0};
  const ClaimResult Result =
      Table_.claim(Key, Fingerprint, SystemClock::wallNow());
  if (Result.Outcome_ == ClaimOutcome::Pending)
    Requesters_[Key] = Requester;
  startLoop();
  return Result;
}

void ClaimPartition::finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
                            retrying::Ran Result, std::uint16_t Status) {
  if (Result == retrying::Ran::No)
    Table_.cancel(Key, Grant);
  Table_.finish(Key, Grant, Result, Status, SystemClock::wallNow());
  startLoop();
}

void ClaimPartition::deliver(const std::vector<ClaimResult> &Results) {
  for (const ClaimResult &Each : Results) {
    const auto Requester = Requesters_.find(Each.Key_);
    if (Requester == Requesters_.end())
      continue;
    const base::HostId Name = std::move(Requester->second);
    Requesters_.erase(Requester);
    OnResult_(Name, Each);
  }
}

void ClaimPartition::startLoop() {
  if (LoopRunning_ || Stopped_)
    return;
  LoopRunning_ = true;
  asio::co_spawn(Strand_, runLoop(), logException);
}

/// Runs until there is nothing left to load, write or read back.
asio::awaitable<void> ClaimPartition::runLoop() {
  while (!Stopped_) {
    if (OwnedEpoch_ == 0) {
      std::vector<ClaimResult> Results;
      if (Table_.isLoaded())
        Table_.unload(Results);
      deliver(Results);
      break;
    }
    if (!Table_.isLoaded()) {
      co_await load();
      continue;
    }
    if (Table_.needsReadBack()) {
      co_await readBack();
      continue;
    }
    const base::Duration Since = SystemClock::monotonicNow() - LastWrite_;
    if (Since < MinWriteInterval)
      co_await waitFor(MinWriteInterval - Since);
    auto Planned = Table_.planWrite(SystemClock::wallNow());
    if (!Planned)
      break;
    co_await write(std::move(*Planned));
  }
  LoopRunning_ = false;
}

asio::awaitable<void> ClaimPartition::waitFor(base::Duration Span) {
  asio::steady_timer Timer(Strand_, Span);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> ClaimPartition::load() {
  base::Error Last;
  const std::uint64_t Epoch = OwnedEpoch_;
  const auto Read = co_await Store_.get(Path_, Last);
  const auto Object =
      Read ? ClaimCodec::decodeObject(Read->Value_, Read->Version_)
           : std::nullopt;
  if (OwnedEpoch_ == 0)
    co_return;
  if (Object && Table_.load(*Object, Epoch))
    co_return;
  if (!Read)
    logStoreFailure("claims-not-loaded", Path_, Last);
  else
    logStoreFailure("claims-not-loaded", Path_,
                    {"claims.load", Path_,
                     Object ? "object was written in a later epoch"
                            : "object is malformed"});
  co_await waitFor(StoreRetryDelay);
}

asio::awaitable<void> ClaimPartition::write(ClaimObject Planned) {
  base::Error Last;
  LastWrite_ = SystemClock::monotonicNow();
  ++Writes_;
  const store::PutResult Put = co_await Store_.put(
      Path_, ClaimCodec::encode(Planned), Planned.Version_, Last);
  std::vector<ClaimResult> Results;
  switch (Put.Status_) {
  case store::PutStatus::Written:
    Table_.written(Put.Version_, Results);
    break;
  case store::PutStatus::Failed:
    logStoreFailure("claims-not-written", Path_, Last);
    Table_.failed(Results);
    break;
  case store::PutStatus::Conflict:
  case store::PutStatus::Unknown:
    logStoreFailure("claims-in-doubt", Path_, Last);
    Table_.inDoubt();
    break;
  }
  deliver(Results);
}

asio::awaitable<void> ClaimPartition::readBack() {
  base::Error Last;
  const auto Read = co_await Store_.get(Path_, Last);
  const auto Object =
      Read ? ClaimCodec::decodeObject(Read->Value_, Read->Version_)
           : std::nullopt;
  if (!Object) {
    co_await waitFor(StoreRetryDelay);
    co_return;
  }
  std::vector<ClaimResult> Results;
  Table_.readBack(*Object, Results);
  deliver(Results);
}

} // namespace lychee::claims
