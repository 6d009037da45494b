#include "fleet/ClaimPartition.h"

#include "base/SystemClock.h"
#include "fleet/ClaimCodec.h"
#include "store/Backoff.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace lychee::fleet {

namespace asio = boost::asio;
using retrying::ClaimAnswer;
using retrying::ClaimObject;
using retrying::ClaimVerdict;

namespace {

base::WallPoint wallNow() { return base::SystemClock::wallNow(); }

asio::awaitable<void> waitFor(base::Duration Span) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Span);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

ClaimPartition::ClaimPartition(asio::any_io_executor Strand, store::Store &Used,
                               std::uint32_t Number, std::uint64_t Owner)
    : Strand_(std::move(Strand)), Store_(Used),
      Path_("claims/" + std::to_string(Number)), Random_(Owner + Number),
      Table_(Owner) {}

void ClaimPartition::claim(const retrying::ClaimKey &Key,
                           std::uint64_t Fingerprint, std::uint64_t Epoch,
                           Answered Done) {
  Waiting Asked{Key, Fingerprint, std::move(Done)};
  if (Table_.isLoaded())
    return ask(Asked);
  BeforeLoad_.push_back(std::move(Asked));
  if (Loading_)
    return;
  Loading_ = true;
  asio::co_spawn(Strand_, load(Epoch), asio::detached);
}

asio::awaitable<std::optional<ClaimObject>> ClaimPartition::read() {
  base::Error Last;
  const auto Found = co_await Store_.get(Path_, Last);
  if (!Found)
    co_return std::nullopt;
  if (Found->Version_ == 0)
    co_return ClaimObject{};
  co_return ClaimCodec::decode(Found->Value_, Found->Version_);
}

asio::awaitable<void> ClaimPartition::load(std::uint64_t Epoch) {
  const std::optional<ClaimObject> Found = co_await read();
  Loading_ = false;
  const bool Loaded = Found && Table_.load(*Found, Epoch);
  const std::vector<Waiting> Asked = std::exchange(BeforeLoad_, {});
  for (const Waiting &Each : Asked) {
    if (Loaded)
      ask(Each);
    else
      Each.Done_({Found ? ClaimAnswer::NotOwner : ClaimAnswer::StoreDown,
                  Each.Key_, 0, 0});
  }
}

void ClaimPartition::ask(const Waiting &Asked) {
  const ClaimVerdict Verdict =
      Table_.claim(Asked.Key_, Asked.Fingerprint_, wallNow());
  if (Verdict.Answer_ != ClaimAnswer::Pending)
    return Asked.Done_(Verdict);
  Pending_[Asked.Key_] = Asked.Done_;
  startWriting();
}

void ClaimPartition::startWriting() {
  if (std::exchange(Running_, true))
    return;
  asio::co_spawn(Strand_, writeGroups(), asio::detached);
}

asio::awaitable<void> ClaimPartition::writeGroups() {
  store::Backoff Wait;
  while (true) {
    if (Table_.needsReadBack()) {
      co_await resolve();
      if (Table_.needsReadBack())
        co_await waitFor(Wait.next(Random_));
      continue;
    }
    Wait.reset();
    std::optional<ClaimObject> Planned = Table_.planWrite(wallNow());
    if (!Planned)
      break;
    co_await writeOne(std::move(*Planned));
  }
  Running_ = false;
}

asio::awaitable<void> ClaimPartition::writeOne(ClaimObject Planned) {
  ++Writes_;
  const std::uint64_t Tenure = Tenure_;
  base::Error Last;
  const std::string Value = ClaimCodec::encode(Planned);
  const store::PutResult Result =
      co_await Store_.put(Path_, Value, Planned.Version_, Last);
  // Given up while the write was under way: its callers were told already.
  if (Tenure != Tenure_)
    co_return;
  std::vector<ClaimVerdict> Told;
  if (Result.Status_ == store::PutStatus::Written)
    Table_.written(Result.Version_, Told);
  else if (Result.Status_ == store::PutStatus::Failed)
    Table_.failed(Told);
  else
    Table_.inDoubt();
  tell(Told);
}

asio::awaitable<void> ClaimPartition::resolve() {
  const std::optional<ClaimObject> Found = co_await read();
  if (!Found || !Table_.isLoaded() || !Table_.needsReadBack())
    co_return;
  std::vector<ClaimVerdict> Told;
  Table_.readBack(*Found, Told);
  tell(Told);
}

void ClaimPartition::tell(const std::vector<ClaimVerdict> &Told) {
  for (const ClaimVerdict &Each : Told) {
    const auto Found = Pending_.find(Each.Key_);
    if (Found == Pending_.end())
      continue;
    const Answered Done = std::move(Found->second);
    Pending_.erase(Found);
    Done(Each);
  }
}

void ClaimPartition::finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
                            retrying::Ran Ended, std::uint16_t Status) {
  Table_.finish(Key, Grant, Ended, Status, wallNow());
  if (Ended != retrying::Ran::Yes || std::exchange(OutcomesDue_, true))
    return;
  asio::co_spawn(Strand_, writeOutcomes(), asio::detached);
}

/// Outcomes wait for a claim to share its write with, but not for ever.
asio::awaitable<void> ClaimPartition::writeOutcomes() {
  co_await waitFor(retrying::ClaimTable::Limits().OutcomeDelay_);
  OutcomesDue_ = false;
  startWriting();
}

void ClaimPartition::giveUp() {
  if (!Table_.isLoaded())
    return;
  ++Tenure_;
  std::vector<ClaimVerdict> Told;
  Table_.unload(Told);
  tell(Told);
}

} // namespace lychee::fleet
