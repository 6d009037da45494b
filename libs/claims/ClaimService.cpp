#include "claims/ClaimService.h"

#include "base/SystemClock.h"
#include "claims/ClaimCodec.h"
#include "fleet/Codec.h"
#include "reporting/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <utility>

namespace lychee::claims {

namespace asio = boost::asio;
using base::SystemClock;
using fleet::Codec;
using retrying::ClaimKey;
using retrying::ClaimOutcome;
using retrying::ClaimResult;

namespace {

constexpr const char *ClaimMethod = "claims.claim";
constexpr const char *VerdictMethod = "claims.verdict";
constexpr const char *FinishMethod = "claims.finish";
constexpr const char *Nothing = "{}";
constexpr base::Duration CallTimeout = std::chrono::seconds(1);
constexpr base::Duration SweepInterval = std::chrono::milliseconds(50);
/// An outcome that its owner never hears leaves the claim at "may have run":
/// correct, but worth a few tries.
constexpr int FinishTries = 3;

std::string wordText(const ClaimKey &Key, std::uint64_t Grant,
                     retrying::Ran Ended, std::uint16_t Status) {
  Json::Value Made(Json::objectValue);
  Made["key"] = ClaimCodec::toText(Key);
  Made["grant"] = Json::Value(static_cast<Json::UInt64>(Grant));
  Made["ran"] = static_cast<unsigned>(Ended);
  Made["status"] = Status;
  return Codec::write(Made);
}

void reportEnd(const std::exception_ptr &Thrown) {
  reporting::logThrown("claims-failed", Thrown);
}

} // namespace

ClaimService::ClaimService(asio::io_context &Context, store::Store &Kept,
                           fleet::PeerClient &Peers,
                           fleet::RpcDispatcher &Handlers, base::HostId Self,
                           std::uint64_t Incarnation)
    : Self_(std::move(Self)), Peers_(Peers),
      Strand_(asio::make_strand(Context)) {
  for (std::uint32_t Index = 0; Index < PartitionCount; ++Index)
    Partitions_[Index] = std::make_unique<ClaimPartition>(
        Strand_, Kept, Index, Incarnation,
        [this](const base::HostId &Asker, const ClaimResult &Verdict) {
          tell(Asker, Verdict);
        });
  bind(Handlers);
}

void ClaimService::bind(fleet::RpcDispatcher &Handlers) {
  const auto Bound = [&](const char *Method, std::string (ClaimService::*Heard)(
                                                 const std::string &)) {
    Handlers.bind(Method, [this, Heard](const fleet::RpcCaller &,
                                        const std::string &Text) {
      return fleet::RpcOutcome{
          0, onStrand([this, Heard, Text] { return (this->*Heard)(Text); })};
    });
  };
  Bound(ClaimMethod, &ClaimService::hearClaim);
  Bound(VerdictMethod, &ClaimService::hearVerdict);
  Bound(FinishMethod, &ClaimService::hearFinish);
}

std::string ClaimService::onStrand(std::function<std::string()> Made) {
  const auto Work =
      std::make_shared<std::packaged_task<std::string()>>(std::move(Made));
  std::future<std::string> Result = Work->get_future();
  asio::post(Strand_, [Work] { (*Work)(); });
  // While the process stops nobody may run the strand any more.
  if (Result.wait_for(CallTimeout) != std::future_status::ready)
    return Nothing;
  return Result.get();
}

void ClaimService::start() { asio::co_spawn(Strand_, sweep(), reportEnd); }

void ClaimService::stop() {
  Stopped_ = true;
  asio::post(Strand_, [this] {
    for (const auto &Each : Partitions_)
      Each->stop();
  });
}

std::uint64_t ClaimService::writes() const noexcept {
  std::uint64_t Sum = 0;
  for (const auto &Each : Partitions_)
    Sum += Each->writes();
  return Sum;
}

// Who owns what.

void ClaimService::updateMembers(std::uint64_t Epoch,
                                 std::vector<ClaimMember> Members) {
  asio::post(Strand_, [this, Epoch, Changed = std::move(Members)] {
    if (Epoch <= Epoch_ || Changed.empty())
      return;
    Epoch_ = Epoch;
    Members_ = Changed;
    Processes_.clear();
    for (const ClaimMember &Each : Members_)
      Processes_.push_back(Each.Process_);
    for (std::uint32_t Index = 0; Index < PartitionCount; ++Index) {
      const bool Owned =
          Processes_[retrying::ownerOf(Index, Processes_)] == Self_;
      if (Owned)
        Partitions_[Index]->own(Epoch);
      else
        Partitions_[Index]->disown();
    }
  });
}

ClaimPartition &ClaimService::partitionFor(const ClaimKey &Key) {
  return *Partitions_[retrying::partitionOf(Key, PartitionCount)];
}

const ClaimMember *ClaimService::ownerFor(const ClaimKey &Key) const {
  if (Members_.empty())
    return nullptr;
  return &Members_[retrying::ownerOf(retrying::partitionOf(Key, PartitionCount),
                                     Processes_)];
}

std::string ClaimService::addressOf(const base::HostId &Process) const {
  for (const ClaimMember &Each : Members_)
    if (Each.Process_ == Process)
      return Each.Address_;
  return {};
}

// A request's claim.

void ClaimService::claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                         Answered Done) {
  asio::post(Strand_, [this, Key, Fingerprint, Told = std::move(Done)] {
    claimOnStrand(Key, Fingerprint, Told);
  });
}

void ClaimService::claimOnStrand(const ClaimKey &Key, std::uint64_t Fingerprint,
                                 Answered Done) {
  const ClaimMember *Owner = ownerFor(Key);
  if (Owner == nullptr)
    return Done({ClaimOutcome::NotOwner, Key, 0, 0});
  // Another request with the key is on its way through this very host.
  if (Waiters_.contains(Key) || Grants_.contains(Key))
    return Done({ClaimOutcome::MayHaveRun, Key, 0, 0});
  Waiters_[Key] = {std::move(Done), SystemClock::monotonicNow() + Patience, 0,
                   Owner->Process_};
  if (Owner->Process_ == Self_)
    return settleWaiter(partitionFor(Key).claim(Key, Fingerprint, Self_),
                        Self_);
  asio::co_spawn(Strand_, claimRemotely(Key, Fingerprint, Owner->Process_),
                 reportEnd);
}

asio::awaitable<void> ClaimService::claimRemotely(ClaimKey Key,
                                                  std::uint64_t Fingerprint,
                                                  base::HostId Owner) {
  Json::Value Asked(Json::objectValue);
  Asked["key"] = ClaimCodec::toText(Key);
  Asked["fingerprint"] = Json::Value(static_cast<Json::UInt64>(Fingerprint));
  Asked["asker"] = Self_.name();
  base::Error Last;
  const auto Answer = co_await Peers_.call(
      addressOf(Owner), ClaimMethod, Codec::write(Asked), CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  const auto Verdict = Parsed ? ClaimCodec::toVerdict(*Parsed) : std::nullopt;
  // Unanswered, it may be granted all the same; it then stays at "may have
  // run", although it did not: the safe side.
  settleWaiter(Verdict.value_or(ClaimResult{ClaimOutcome::NotOwner, Key, 0, 0}),
               Owner);
}

/// A verdict on this host's own claim came, or that it is pending.
void ClaimService::settleWaiter(const ClaimResult &Verdict,
                                const base::HostId &Owner) {
  const auto Found = Waiters_.find(Verdict.Key_);
  // A verdict that nobody waits for is passed over, and its claim stays at "may
  // have run". Giving it back here would be wrong: a verdict is told again when
  // its first telling was not confirmed, and the second one may come after the
  // request has run and before the owner has heard so.
  if (Found == Waiters_.end() || Found->second.Owner_ != Owner)
    return;
  if (Verdict.Outcome_ == ClaimOutcome::Pending) {
    Found->second.Grant_ = Verdict.Grant_;
    return;
  }
  const Answered Done = std::move(Found->second.Done_);
  Waiters_.erase(Found);
  if (Verdict.Outcome_ == ClaimOutcome::Granted)
    Grants_[Verdict.Key_] = {Verdict.Grant_, Owner};
  Done(Verdict);
}

/// Ends the waits of claims whose patience is over.
asio::awaitable<void> ClaimService::sweep() {
  asio::steady_timer Timer(Strand_);
  while (!Stopped_) {
    Timer.expires_after(SweepInterval);
    co_await Timer.async_wait(asio::use_awaitable);
    const base::TimePoint Now = SystemClock::monotonicNow();
    std::vector<std::pair<ClaimKey, Waiter>> Over;
    for (auto &[Key, Each] : Waiters_)
      if (Now >= Each.Until_)
        Over.emplace_back(Key, std::move(Each));
    for (auto &[Key, Each] : Over) {
      Waiters_.erase(Key);
      if (Each.Grant_ != 0)
        finishAt(Each.Owner_, {Key, Each.Grant_, retrying::Ran::No, 0});
      Each.Done_({ClaimOutcome::StoreUnavailable, Key, 0, 0});
    }
  }
}

void ClaimService::finish(const ClaimKey &Key, retrying::Ran Ended,
                          std::uint16_t Status) {
  asio::post(Strand_, [this, Key, Ended, Status] {
    const auto Found = Grants_.find(Key);
    if (Found == Grants_.end())
      return;
    const Grant Held = Found->second;
    Grants_.erase(Found);
    finishAt(Held.Owner_, {Key, Held.Number_, Ended, Status});
  });
}

void ClaimService::finishAt(const base::HostId &Owner, const Word &Ended) {
  if (Owner == Self_)
    return partitionFor(Ended.Key_)
        .finish(Ended.Key_, Ended.Grant_, Ended.Ended_, Ended.Status_);
  const std::string Address = addressOf(Owner);
  if (Address.empty())
    return;
  asio::co_spawn(Strand_,
                 finishRemotely(Address, wordText(Ended.Key_, Ended.Grant_,
                                                  Ended.Ended_, Ended.Status_)),
                 reportEnd);
}

asio::awaitable<void> ClaimService::finishRemotely(std::string Address,
                                                   std::string Text) {
  for (int Try = 0; Try < FinishTries && !Stopped_; ++Try) {
    base::Error Ignored;
    const auto Heard =
        co_await Peers_.call(Address, FinishMethod, Text, CallTimeout, Ignored);
    if (Heard)
      co_return;
  }
}

// What peers call.

std::string ClaimService::hearClaim(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  const auto Key = Parsed && (*Parsed)["key"].isString()
                       ? ClaimCodec::toKey((*Parsed)["key"].asString())
                       : std::nullopt;
  if (!Key || !(*Parsed)["fingerprint"].isUInt64() ||
      !(*Parsed)["asker"].isString())
    return Nothing;
  return Codec::write(ClaimCodec::toJson(
      partitionFor(*Key).claim(*Key, (*Parsed)["fingerprint"].asUInt64(),
                               base::HostId((*Parsed)["asker"].asString()))));
}

std::string ClaimService::hearVerdict(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  const auto Verdict =
      Parsed ? ClaimCodec::toVerdict((*Parsed)["verdict"]) : std::nullopt;
  if (Verdict && (*Parsed)["owner"].isString())
    settleWaiter(*Verdict, base::HostId((*Parsed)["owner"].asString()));
  return Nothing;
}

std::string ClaimService::hearFinish(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  if (!Parsed || !(*Parsed)["key"].isString() ||
      !(*Parsed)["grant"].isUInt64() || !(*Parsed)["ran"].isUInt() ||
      !(*Parsed)["status"].isUInt())
    return Nothing;
  const auto Key = ClaimCodec::toKey((*Parsed)["key"].asString());
  const unsigned Ended = (*Parsed)["ran"].asUInt();
  if (Key && Ended <= static_cast<unsigned>(retrying::Ran::Yes))
    partitionFor(*Key).finish(
        *Key, (*Parsed)["grant"].asUInt64(), static_cast<retrying::Ran>(Ended),
        static_cast<std::uint16_t>((*Parsed)["status"].asUInt()));
  return Nothing;
}

void ClaimService::tell(const base::HostId &Asker, const ClaimResult &Verdict) {
  if (Asker == Self_)
    return settleWaiter(Verdict, Self_);
  const std::string Address = addressOf(Asker);
  if (Address.empty())
    return;
  Json::Value Made(Json::objectValue);
  Made["owner"] = Self_.name();
  Made["verdict"] = ClaimCodec::toJson(Verdict);
  asio::co_spawn(Strand_, tellRemotely(Address, Codec::write(Made)), reportEnd);
}

asio::awaitable<void> ClaimService::tellRemotely(std::string Address,
                                                 std::string Verdict) {
  for (int Try = 0; Try < FinishTries && !Stopped_; ++Try) {
    base::Error Ignored;
    const auto Heard = co_await Peers_.call(Address, VerdictMethod, Verdict,
                                            CallTimeout, Ignored);
    if (Heard)
      co_return;
  }
}

} // namespace lychee::claims
