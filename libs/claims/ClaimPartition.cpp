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

/// Between two tries to reach a store that does not answer.
constexpr base::Duration StorePause = std::chrono::milliseconds(200);

void logStep(std::string_view Event, std::string_view Path,
             const base::Error &Last) {
  reporting::logLine(reporting::LogLevel::Warning,
                     base::KeyValueLine()
                         .add("event", Event)
                         .add("path", Path)
                         .add("step", Last.Step_)
                         .add("reason", Last.Reason_));
}

void reportEnd(const std::exception_ptr &Thrown) {
  reporting::logThrown("claims-failed", Thrown);
}

} // namespace

ClaimPartition::ClaimPartition(asio::any_io_executor Strand, store::Store &Kept,
                               std::uint32_t Index, std::uint64_t Owner,
                               Tell Told)
    : Strand_(std::move(Strand)), Store_(Kept),
      Path_("claims/" + std::to_string(Index)), Table_(Owner),
      Tell_(std::move(Told)) {}

void ClaimPartition::own(std::uint64_t Epoch) {
  OwnedIn_ = Epoch;
  if (!Table_.isLoaded())
    wakeLoop();
}

void ClaimPartition::disown() {
  OwnedIn_ = 0;
  std::vector<ClaimResult> Told;
  if (Table_.isLoaded() && !Looping_)
    Table_.unload(Told);
  tellAll(Told);
}

ClaimResult ClaimPartition::claim(const retrying::ClaimKey &Key,
                                  std::uint64_t Fingerprint,
                                  const base::HostId &Asker) {
  if (OwnedIn_ == 0)
    return {ClaimOutcome::NotOwner, Key, 0, 0};
  const ClaimResult Verdict =
      Table_.claim(Key, Fingerprint, SystemClock::wallNow());
  if (Verdict.Outcome_ == ClaimOutcome::Pending)
    Askers_[Key] = Asker;
  wakeLoop();
  return Verdict;
}

void ClaimPartition::finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
                            retrying::Ran Ended, std::uint16_t Status) {
  if (Ended == retrying::Ran::No)
    Table_.cancel(Key, Grant);
  Table_.finish(Key, Grant, Ended, Status, SystemClock::wallNow());
  wakeLoop();
}

void ClaimPartition::tellAll(const std::vector<ClaimResult> &Verdicts) {
  for (const ClaimResult &Each : Verdicts) {
    const auto Asker = Askers_.find(Each.Key_);
    if (Asker == Askers_.end())
      continue;
    const base::HostId Name = std::move(Asker->second);
    Askers_.erase(Asker);
    Tell_(Name, Each);
  }
}

void ClaimPartition::wakeLoop() {
  if (Looping_ || Stopped_)
    return;
  Looping_ = true;
  asio::co_spawn(Strand_, loop(), reportEnd);
}

/// Runs while there is something to load, write or read back, and ends then.
asio::awaitable<void> ClaimPartition::loop() {
  while (!Stopped_) {
    if (OwnedIn_ == 0) {
      std::vector<ClaimResult> Told;
      if (Table_.isLoaded())
        Table_.unload(Told);
      tellAll(Told);
      break;
    }
    if (!Table_.isLoaded()) {
      co_await loadOnce();
      continue;
    }
    if (Table_.needsReadBack()) {
      co_await readBackOnce();
      continue;
    }
    const base::Duration Since = SystemClock::monotonicNow() - LastWrite_;
    if (Since < WriteGap)
      co_await waitFor(WriteGap - Since);
    auto Planned = Table_.planWrite(SystemClock::wallNow());
    if (!Planned)
      break;
    co_await writeOnce(std::move(*Planned));
  }
  Looping_ = false;
}

asio::awaitable<void> ClaimPartition::waitFor(base::Duration Span) {
  asio::steady_timer Timer(Strand_, Span);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> ClaimPartition::loadOnce() {
  base::Error Last;
  const std::uint64_t Epoch = OwnedIn_;
  const auto Read = co_await Store_.get(Path_, Last);
  const auto Object =
      Read ? ClaimCodec::decodeObject(Read->Value_, Read->Version_)
           : std::nullopt;
  if (OwnedIn_ == 0)
    co_return;
  if (Object && Table_.load(*Object, Epoch))
    co_return;
  if (!Read)
    logStep("claims-not-loaded", Path_, Last);
  else
    logStep("claims-not-loaded", Path_,
            {"claims.load", Path_,
             Object ? "written in a later epoch" : "the object is damaged"});
  co_await waitFor(StorePause);
}

asio::awaitable<void> ClaimPartition::writeOnce(ClaimObject Planned) {
  base::Error Last;
  LastWrite_ = SystemClock::monotonicNow();
  ++Writes_;
  const store::PutResult Put = co_await Store_.put(
      Path_, ClaimCodec::encode(Planned), Planned.Version_, Last);
  std::vector<ClaimResult> Told;
  switch (Put.Status_) {
  case store::PutStatus::Written:
    Table_.written(Put.Version_, Told);
    break;
  case store::PutStatus::Failed:
    logStep("claims-not-written", Path_, Last);
    Table_.failed(Told);
    break;
  case store::PutStatus::Conflict:
  case store::PutStatus::Unknown:
    logStep("claims-in-doubt", Path_, Last);
    Table_.inDoubt();
    break;
  }
  tellAll(Told);
}

asio::awaitable<void> ClaimPartition::readBackOnce() {
  base::Error Last;
  const auto Read = co_await Store_.get(Path_, Last);
  const auto Object =
      Read ? ClaimCodec::decodeObject(Read->Value_, Read->Version_)
           : std::nullopt;
  if (!Object) {
    co_await waitFor(StorePause);
    co_return;
  }
  std::vector<ClaimResult> Told;
  Table_.readBack(*Object, Told);
  tellAll(Told);
}

} // namespace lychee::claims
