#include "fleet/ClaimNode.h"

#include "base/SystemClock.h"
#include "fleet/Codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <mutex>
#include <utility>

namespace lychee::fleet {

namespace asio = boost::asio;
using retrying::ClaimAnswer;
using retrying::ClaimKey;
using retrying::ClaimVerdict;

namespace {

/// A healthy store writes a group in milliseconds; a claim that waits longer
/// is refused, not run, while its caller still has time to come back.
constexpr base::Duration GroupPatience = std::chrono::milliseconds(1500);
constexpr base::Duration AnswerMargin = std::chrono::milliseconds(300);
constexpr base::Duration CallTimeout = std::chrono::milliseconds(2500);

/// Calls of other owners' claims that may wait at once: half of PeerServer's
/// threads, so that heartbeats go on while the store is slow.
constexpr int BlockedLimit = 2;

constexpr int Busy = -32011;
constexpr int InvalidParameters = -32602;

Json::Value toJson(const ClaimVerdict &From) {
  Json::Value Made(Json::objectValue);
  Made["answer"] = static_cast<unsigned>(From.Answer_);
  Made["grant"] = Json::UInt64(From.Grant_);
  Made["status"] = From.Status_;
  return Made;
}

/// \returns what the owner said of \p Key; StoreDown where it said nothing
/// that can be read: no claim is known to stand, so nothing may run.
ClaimVerdict toVerdict(const Json::Value &From, const ClaimKey &Key) {
  ClaimVerdict Made{ClaimAnswer::StoreDown, Key, 0, 0};
  const bool Readable =
      From.isObject() && From["answer"].isUInt() && From["grant"].isUInt64() &&
      From["status"].isUInt() &&
      From["answer"].asUInt() <= static_cast<unsigned>(ClaimAnswer::StoreDown);
  if (!Readable)
    return Made;
  Made.Answer_ = static_cast<ClaimAnswer>(From["answer"].asUInt());
  Made.Grant_ = From["grant"].asUInt64();
  Made.Status_ = static_cast<std::uint16_t>(From["status"].asUInt());
  return Made;
}

bool readKey(const Json::Value &From, ClaimKey &Key) {
  if (!From.isObject() || !From["high"].isUInt64() || !From["low"].isUInt64())
    return false;
  Key = {From["high"].asUInt64(), From["low"].asUInt64()};
  return true;
}

/// Answers of one call's claims, which come in any order and may come late.
struct Answers {
  std::mutex Lock_;
  std::vector<ClaimVerdict> Given_;
  std::size_t Open_ = 0;
  bool Sent_ = false;
  std::promise<void> All_;

  /// \returns false where the answer has gone out without this verdict.
  bool give(std::size_t Index, const ClaimVerdict &Verdict) {
    const std::lock_guard Guard(Lock_);
    if (Sent_)
      return false;
    Given_[Index] = Verdict;
    if (--Open_ == 0)
      All_.set_value();
    return true;
  }
};

} // namespace

ClaimNode::ClaimNode(asio::io_context &Context, store::Store &Used,
                     PeerClient &Peers, RpcDispatcher &Handlers,
                     LeaseGuard &Guard, base::HostId Self, std::uint64_t Owner,
                     std::function<Directory()> Known)
    : Strand_(asio::make_strand(Context)), Store_(Used), Peers_(Peers),
      Guard_(Guard), Self_(std::move(Self)), Owner_(Owner),
      Known_(std::move(Known)) {
  Handlers.bind("claims.claim",
                [this](const RpcCaller &, const std::string &Text) {
                  return answerClaims(Text);
                });
  Handlers.bind("claims.finish",
                [this](const RpcCaller &, const std::string &Text) {
                  return answerFinish(Text);
                });
}

void ClaimNode::claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                      ClaimPartition::Answered Done) {
  asio::post(Strand_, [this, Claimed = Asked{Key, Fingerprint,
                                             std::move(Done)}]() mutable {
    route(std::move(Claimed));
  });
}

const Member *ClaimNode::ownerIn(const Directory &Known,
                                 std::uint32_t Number) const {
  std::vector<base::HostId> Hosts;
  std::vector<const Member *> Members;
  for (const auto &[Zone, Each] : Known.Zones_)
    for (const Member &Listed : Each.Members_) {
      Hosts.push_back(Listed.Host_);
      Members.push_back(&Listed);
    }
  if (Hosts.empty())
    return nullptr;
  return Members[retrying::ownerOf(Number, Hosts)];
}

void ClaimNode::route(Asked Claimed) {
  giveUpLost();
  const Directory Known = Known_();
  const std::uint32_t Number =
      retrying::partitionOf(Claimed.Key_, PartitionCount);
  const Member *Owner = ownerIn(Known, Number);
  if (!Owner)
    return Claimed.Done_({ClaimAnswer::NotOwner, Claimed.Key_, 0, 0});
  if (Owner->Host_ == Self_)
    return claimHere(Claimed, Known.Epoch_);
  Outbox &To = Outboxes_[Owner->Peers_];
  To.Waiting_.push_back(std::move(Claimed));
  if (To.Calling_)
    return;
  To.Calling_ = true;
  asio::co_spawn(Strand_, callOwner(Owner->Peers_), asio::detached);
}

void ClaimNode::claimHere(const Asked &Claimed, std::uint64_t Epoch) {
  // The store's version decides who owns it; this only spares the try.
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  if (Guard_.check(Now, Epoch) != LeaseState::Standing)
    return Claimed.Done_({ClaimAnswer::NotOwner, Claimed.Key_, 0, 0});
  const std::uint32_t Number =
      retrying::partitionOf(Claimed.Key_, PartitionCount);
  // While a write is in doubt nobody can tell; the caller must not wait for
  // the store's return. A grant that comes after is handed back unused.
  const auto Told = std::make_shared<bool>(false);
  const auto Timer =
      std::make_shared<asio::steady_timer>(Strand_, GroupPatience);
  Timer->async_wait([Told, Timer, Claimed](boost::system::error_code) {
    if (!std::exchange(*Told, true))
      Claimed.Done_({ClaimAnswer::StoreDown, Claimed.Key_, 0, 0});
  });
  partition(Number).claim(
      Claimed.Key_, Claimed.Fingerprint_, Epoch,
      [this, Told, Timer, Done = Claimed.Done_](const ClaimVerdict &Verdict) {
        if (!std::exchange(*Told, true)) {
          Timer->cancel();
          return Done(Verdict);
        }
        if (Verdict.Answer_ == ClaimAnswer::Granted)
          finish(Verdict.Key_, Verdict.Grant_, retrying::Ran::No, 0);
      });
}

ClaimPartition &ClaimNode::partition(std::uint32_t Number) {
  std::unique_ptr<ClaimPartition> &Found = Partitions_[Number];
  if (!Found)
    Found = std::make_unique<ClaimPartition>(Strand_, Store_, Number, Owner_);
  std::uint64_t Sum = 0;
  for (const auto &[Each, Part] : Partitions_)
    Sum += Part->writes();
  Writes_ = Sum;
  return *Found;
}

void ClaimNode::giveUpLost() {
  const Directory Known = Known_();
  if (Known.Epoch_ == EpochSeen_)
    return;
  EpochSeen_ = Known.Epoch_;
  for (const auto &[Number, Each] : Partitions_) {
    const Member *Owner = ownerIn(Known, Number);
    if (!Owner || Owner->Host_ != Self_)
      Each->giveUp();
  }
}

asio::awaitable<void> ClaimNode::callOwner(std::string Peer) {
  while (!Outboxes_[Peer].Waiting_.empty()) {
    const std::vector<Asked> Sent = std::exchange(Outboxes_[Peer].Waiting_, {});
    Json::Value Made(Json::objectValue);
    for (const Asked &Each : Sent) {
      Json::Value Claim(Json::objectValue);
      Claim["high"] = Json::UInt64(Each.Key_.High_);
      Claim["low"] = Json::UInt64(Each.Key_.Low_);
      Claim["fingerprint"] = Json::UInt64(Each.Fingerprint_);
      Made["claims"].append(std::move(Claim));
    }
    base::Error Last;
    const std::optional<std::string> Answer = co_await Peers_.call(
        Peer, "claims.claim", Codec::write(Made), CallTimeout, Last);
    const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
    const Json::Value Verdicts = Parsed ? (*Parsed)["verdicts"] : Json::Value();
    for (std::size_t Index = 0; Index < Sent.size(); ++Index) {
      const bool Told = Verdicts.isArray() && Index < Verdicts.size();
      const Json::Value Said =
          Told ? Verdicts[static_cast<Json::ArrayIndex>(Index)] : Json::Value();
      Sent[Index].Done_(toVerdict(Said, Sent[Index].Key_));
    }
  }
  Outboxes_[Peer].Calling_ = false;
}

RpcOutcome ClaimNode::answerClaims(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  if (!Parsed || !(*Parsed)["claims"].isArray())
    return {InvalidParameters, "no claims"};
  if (Blocked_.fetch_add(1) >= BlockedLimit) {
    --Blocked_;
    return {Busy, "claims of other hosts are waiting already"};
  }
  const auto Given = std::make_shared<Answers>();
  Given->Open_ = (*Parsed)["claims"].size();
  Given->Given_.resize(Given->Open_,
                       {ClaimAnswer::StoreDown, ClaimKey(), 0, 0});
  std::future<void> All = Given->All_.get_future();
  std::size_t Index = 0;
  for (const Json::Value &Each : (*Parsed)["claims"]) {
    ClaimKey Key;
    const bool Readable = readKey(Each, Key) && Each["fingerprint"].isUInt64();
    const std::size_t Place = Index++;
    if (!Readable) {
      Given->give(Place, {ClaimAnswer::NotOwner, Key, 0, 0});
      continue;
    }
    const auto Done = [this, Given, Place](const ClaimVerdict &Verdict) {
      const bool Told = Given->give(Place, Verdict);
      // The asker was told "not run" already, and runs nothing.
      if (!Told && Verdict.Answer_ == ClaimAnswer::Granted)
        finish(Verdict.Key_, Verdict.Grant_, retrying::Ran::No, 0);
    };
    Asked Claimed{Key, Each["fingerprint"].asUInt64(), Done};
    asio::post(Strand_, [this, Claimed] {
      giveUpLost();
      const Directory Known = Known_();
      const Member *Owner =
          ownerIn(Known, retrying::partitionOf(Claimed.Key_, PartitionCount));
      // Passing on would make a ring of two hosts that disagree.
      if (!Owner || Owner->Host_ != Self_)
        return Claimed.Done_({ClaimAnswer::NotOwner, Claimed.Key_, 0, 0});
      claimHere(Claimed, Known.Epoch_);
    });
  }
  if (Index > 0)
    All.wait_for(GroupPatience + AnswerMargin);
  --Blocked_;
  Json::Value Made(Json::objectValue);
  Made["verdicts"] = Json::Value(Json::arrayValue);
  const std::lock_guard Guard(Given->Lock_);
  Given->Sent_ = true;
  for (const ClaimVerdict &Each : Given->Given_)
    Made["verdicts"].append(toJson(Each));
  return {0, Codec::write(Made)};
}

void ClaimNode::finish(const ClaimKey &Key, std::uint64_t Grant,
                       retrying::Ran Ended, std::uint16_t Status) {
  asio::post(Strand_, [this, Key, Grant, Ended, Status] {
    const Directory Known = Known_();
    const std::uint32_t Number = retrying::partitionOf(Key, PartitionCount);
    const Member *Owner = ownerIn(Known, Number);
    if (!Owner)
      return;
    if (Owner->Host_ == Self_)
      return partition(Number).finish(Key, Grant, Ended, Status);
    Json::Value Made(Json::objectValue);
    Made["high"] = Json::UInt64(Key.High_);
    Made["low"] = Json::UInt64(Key.Low_);
    Made["grant"] = Json::UInt64(Grant);
    Made["ran"] = static_cast<unsigned>(Ended);
    Made["status"] = Status;
    asio::co_spawn(Strand_, tellOwner(Owner->Peers_, Codec::write(Made)),
                   asio::detached);
  });
}

/// Lost, it leaves the claim as "may have run", which is true.
asio::awaitable<void> ClaimNode::tellOwner(std::string Peer, std::string Text) {
  base::Error Last;
  co_await Peers_.call(std::move(Peer), "claims.finish", std::move(Text),
                       CallTimeout, Last);
}

RpcOutcome ClaimNode::answerFinish(const std::string &Text) {
  const auto Parsed = Codec::parse(Text);
  ClaimKey Key;
  const bool Readable =
      Parsed && readKey(*Parsed, Key) && (*Parsed)["grant"].isUInt64() &&
      (*Parsed)["ran"].isUInt() && (*Parsed)["ran"].asUInt() <= 2 &&
      (*Parsed)["status"].isUInt();
  if (!Readable)
    return {InvalidParameters, "no outcome"};
  const std::uint64_t Grant = (*Parsed)["grant"].asUInt64();
  const auto Ended = static_cast<retrying::Ran>((*Parsed)["ran"].asUInt());
  const auto Status = static_cast<std::uint16_t>((*Parsed)["status"].asUInt());
  asio::post(Strand_, [this, Key, Grant, Ended, Status] {
    partition(retrying::partitionOf(Key, PartitionCount))
        .finish(Key, Grant, Ended, Status);
  });
  return {0, "{}"};
}

} // namespace lychee::fleet
