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
constexpr const char *ResultMethod = "claims.verdict";
constexpr const char *FinishMethod = "claims.finish";
constexpr const char *EmptyResponse = "{}";
constexpr base::Duration CallTimeout = std::chrono::seconds(1);
constexpr base::Duration ExpiryInterval = std::chrono::milliseconds(50);
/// Attempts to deliver a message to a peer. If an owner never receives the
/// outcome of a run, the claim stays at "may have run", which is safe, but
/// worth a few attempts to avoid.
constexpr int DeliveryAttempts = 3;

std::string encodeReport(const ClaimKey &Key, std::uint64_t Grant,
                         retrying::Ran Result, std::uint16_t Status) {
  Json::Value Encoded(Json::objectValue);
  Encoded["key"] = ClaimCodec::toText(Key);
  Encoded["grant"] = Json::Value(static_cast<Json::UInt64>(Grant));
  Encoded["ran"] = static_cast<unsigned>(Result);
  Encoded["status"] = Status;
  return Codec::write(Encoded);
}

void logException(const std::exception_ptr &Thrown) {
  reporting::logThrown("claims-failed", Thrown);
}

} // namespace

ClaimService::ClaimService(asio::io_context &Context, store::Store &Store,
                           fleet::PeerClient &Peers,
                           fleet::RpcDispatcher &Handlers, base::HostId Self,
                           std::uint64_t Incarnation)
    : Self_(std::move(Self)), Peers_(Peers),
      Strand_(asio::make_strand(Context)) {
  for (std::uint32_t Index = 0; Index < PartitionCount; ++Index)
    Partitions_[Index] = std::make_unique<ClaimPartition>(
        Strand_, Store, Index, Incarnation,
        [this](const base::HostId &Requester, const ClaimResult &Result) {
          deliver(Requester, Result);
        });
  bind(Handlers);
}

void ClaimService::bind(fleet::RpcDispatcher &Handlers) {
  const auto Bound =
      [&](const char *Method,
          std::string (ClaimService::*Handler)(const std::string &)) {
        Handlers.bind(Method, [this, Handler](const fleet::RpcCaller &,
                                              const std::string &Text) {
          return fleet::RpcOutcome{0, runOnStrand([this, Handler, Text] {
                                     return (this->*Handler)(Text);
                                   })};
        });
      };
  Bound(ClaimMethod, &ClaimService::handleClaim);
  Bound(ResultMethod, &ClaimService::handleResult);
  Bound(FinishMethod, &ClaimService::handleFinish);
}

std::string ClaimService::runOnStrand(std::function<std::string()> Work) {
  const auto Packaged =
      std::make_shared<std::packaged_task<std::string()>>(std::move(Work));
  std::future<std::string> Result = Packaged->get_future();
  asio::post(Strand_, [Packaged] { (*Packaged)(); });
  // While the process stops, the strand may no longer be running.
  if (Result.wait_for(CallTimeout) != std::future_status::ready)
    return EmptyResponse;
  return Result.get();
}

void ClaimService::start() {
  asio::co_spawn(Strand_, expirePending(), logException);
}

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

// Ownership of partitions.

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
        Partitions_[Index]->acquire(Epoch);
      else
        Partitions_[Index]->release();
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

// Claims of this host.

void ClaimService::claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                         ResultHandler Done) {
  asio::post(Strand_, [this, Key, Fingerprint, Callback = std::move(Done)] {
    claimOnStrand(Key, Fingerprint, Callback);
  });
}

void ClaimService::claimOnStrand(const ClaimKey &Key, std::uint64_t Fingerprint,
                                 ResultHandler Done) {
  const ClaimMember *Owner = ownerFor(Key);
  if (Owner == nullptr)
    return Done({ClaimOutcome::NotOwner, Key, 0, 0});
  // This host already has a pending or granted claim for the key.
  if (Pending_.contains(Key) || Grants_.contains(Key))
    return Done({ClaimOutcome::MayHaveRun, Key, 0, 0});
  Pending_[Key] = {std::move(Done), SystemClock::monotonicNow() + ClaimTimeout,
                   0, Owner->Process_};
  if (Owner->Process_ == Self_)
    return resolvePending(partitionFor(Key).claim(Key, Fingerprint, Self_),
                          Self_);
  asio::co_spawn(Strand_, claimRemotely(Key, Fingerprint, Owner->Process_),
                 logException);
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
  const auto Result = Parsed ? ClaimCodec::toResult(*Parsed) : std::nullopt;
  // If the call fails, the claim may still be granted. It then stays at "may
  // have run" although it did not run, which is the safe side.
  resolvePending(
      Result.value_or(ClaimResult{ClaimOutcome::NotOwner, Key, 0, 0}), Owner);
}

/// Handles the result of one of this host's claims, or that it is pending.
void ClaimService::resolvePending(const ClaimResult &Result,
                                  const base::HostId &Owner) {
  const auto Found = Pending_.find(Result.Key_);
  // A result that no claim waits for is ignored, and its claim stays at "may
  // have run". Releasing the grant here would be wrong: a result is sent again
  // if its first delivery was not confirmed, and the second one may arrive
  // after the request has run and before the owner has received its outcome.
  if (Found == Pending_.end() || Found->second.Owner_ != Owner)
    return;
  if (Result.Outcome_ == ClaimOutcome::Pending) {
    Found->second.Grant_ = Result.Grant_;
    return;
  }
  const ResultHandler Done = std::move(Found->second.Done_);
  Pending_.erase(Found);
  if (Result.Outcome_ == ClaimOutcome::Granted)
    Grants_[Result.Key_] = {Result.Grant_, Owner};
  Done(Result);
}

/// Refuses pending claims whose timeout has passed.
asio::awaitable<void> ClaimService::expirePending() {
  asio::steady_timer Timer(Strand_);
  while (!Stopped_) {
    Timer.expires_after(ExpiryInterval);
    co_await Timer.async_wait(asio::use_awaitable);
    const base::TimePoint Now = SystemClock::monotonicNow();
    std::vector<std::pair<ClaimKey, PendingClaim>> Expired;
    for (auto &[Key, Each] : Pending_)
      if (Now >= Each.Until_)
        Expired.emplace_back(Key, std::move(Each));
    for (auto &[Key, Each] : Expired) {
      Pending_.erase(Key);
      if (Each.Grant_ != 0)
        finishAt(Each.Owner_, {Key, Each.Grant_, retrying::Ran::No, 0});
      Each.Done_({ClaimOutcome::StoreUnavailable, Key, 0, 0});
    }
  }
}

void ClaimService::finish(const ClaimKey &Key, retrying::Ran Result,
                          std::uint16_t Status) {
  asio::post(Strand_, [this, Key, Result, Status] {
    const auto Found = Grants_.find(Key);
    if (Found == Grants_.end())
      return;
    const Grant Held = Found->second;
    Grants_.erase(Found);
    finishAt(Held.Owner_, {Key, Held.Number_, Result, Status});
  });
}

void ClaimService::finishAt(const base::HostId &Owner,
                            const RunReport &Report) {
  if (Owner == Self_)
    return partitionFor(Report.Key_)
        .finish(Report.Key_, Report.Grant_, Report.Result_, Report.Status_);
  const std::string Address = addressOf(Owner);
  if (Address.empty())
    return;
  asio::co_spawn(
      Strand_,
      finishRemotely(Address, encodeReport(Report.Key_, Report.Grant_,
                                           Report.Result_, Report.Status_)),
      logException);
}

asio::awaitable<void> ClaimService::finishRemotely(std::string Address,
                                                   std::string Text) {
  for (int Attempt = 0; Attempt < DeliveryAttempts && !Stopped_; ++Attempt) {
    base::Error Ignored;
    const auto Response =
        co_await Peers_.call(Address, FinishMethod, Text, CallTimeout, Ignored);
    if (Response)
      co_return;
  }
}

// Calls from peers.

std::string ClaimService::handleClaim(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  const auto Key = Parsed && (*Parsed)["key"].isString()
                       ? ClaimCodec::toKey((*Parsed)["key"].asString())
                       : std::nullopt;
  if (!Key || !(*Parsed)["fingerprint"].isUInt64() ||
      !(*Parsed)["asker"].isString())
    return EmptyResponse;
  return Codec::write(ClaimCodec::toJson(
      partitionFor(*Key).claim(*Key, (*Parsed)["fingerprint"].asUInt64(),
                               base::HostId((*Parsed)["asker"].asString()))));
}

std::string ClaimService::handleResult(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  const auto Result =
      Parsed ? ClaimCodec::toResult((*Parsed)["verdict"]) : std::nullopt;
  if (Result && (*Parsed)["owner"].isString())
    resolvePending(*Result, base::HostId((*Parsed)["owner"].asString()));
  return EmptyResponse;
}

std::string ClaimService::handleFinish(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  if (!Parsed || !(*Parsed)["key"].isString() ||
      !(*Parsed)["grant"].isUInt64() || !(*Parsed)["ran"].isUInt() ||
      !(*Parsed)["status"].isUInt())
    return EmptyResponse;
  const auto Key = ClaimCodec::toKey((*Parsed)["key"].asString());
  const unsigned Ran = (*Parsed)["ran"].asUInt();
  if (Key && Ran <= static_cast<unsigned>(retrying::Ran::Yes))
    partitionFor(*Key).finish(
        *Key, (*Parsed)["grant"].asUInt64(), static_cast<retrying::Ran>(Ran),
        static_cast<std::uint16_t>((*Parsed)["status"].asUInt()));
  return EmptyResponse;
}

void ClaimService::deliver(const base::HostId &Requester,
                           const ClaimResult &Result) {
  if (Requester == Self_)
    return resolvePending(Result, Self_);
  const std::string Address = addressOf(Requester);
  if (Address.empty())
    return;
  Json::Value Encoded(Json::objectValue);
  Encoded["owner"] = Self_.name();
  Encoded["verdict"] = ClaimCodec::toJson(Result);
  asio::co_spawn(Strand_, deliverRemotely(Address, Codec::write(Encoded)),
                 logException);
}

asio::awaitable<void> ClaimService::deliverRemotely(std::string Address,
                                                    std::string Text) {
  for (int Attempt = 0; Attempt < DeliveryAttempts && !Stopped_; ++Attempt) {
    base::Error Ignored;
    const auto Response =
        co_await Peers_.call(Address, ResultMethod, Text, CallTimeout, Ignored);
    if (Response)
      co_return;
  }
}

} // namespace lychee::claims
