#include "fleet/FleetNode.h"

#include "base/KeyValueLine.h"
#include "base/SystemClock.h"
#include "fleet/Codec.h"
#include "fleet/FleetHandlers.h"
#include "store/Backoff.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::fleet {

namespace asio = boost::asio;

namespace {

/// Shorter than the heartbeat interval, so that an unresponsive peer costs one
/// heartbeat.
constexpr base::Duration CallTimeout = std::chrono::milliseconds(800);

/// The newest settings version is read from the store this often. Together with
/// one heartbeat interval every host learns of it within half of the 5 s
/// allowed for withdrawn keys.
constexpr base::Duration SettingsCheckInterval = std::chrono::seconds(1);
constexpr base::Duration DirectoryCheckInterval = std::chrono::seconds(1);
constexpr base::Duration WatchTimeout = std::chrono::seconds(20);

/// Settings older than this are confirmed by a freshness vote of all hosts if
/// possible, and heartbeats are sent more often: three steps of 250 ms fit
/// below 5 s.
constexpr base::Duration SettingsStaleAge = std::chrono::seconds(2);
constexpr int StaleHeartbeatFactor = 4;

/// Recipients tried for one heartbeat.
constexpr std::size_t MaxRecipients = 3;
/// A host reads the zone record from the store itself once more heartbeats in a
/// row than this have reached nobody.
constexpr int MaxFailedHeartbeats = 2;

base::TimePoint now() { return base::SystemClock::monotonicNow(); }

asio::awaitable<void> sleepFor(base::Duration Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Delay);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string zonePath(const base::ZoneId &Zone) {
  return "fleet/zones/" + Zone.name();
}

} // namespace

FleetNode::FleetNode(asio::io_context &Context, store::Store &Store,
                     PeerClient &Peers, RpcDispatcher &Handlers,
                     FleetNodeOptions Options, FleetListeners Listeners)
    : Strand_(asio::make_strand(Context)), Store_(Store), Peers_(Peers),
      Options_(std::move(Options)), Listeners_(std::move(Listeners)),
      State_(Options_.LeaseTiming_, Options_.Zone_, Options_.Self_, now()),
      Propagator_(Strand_, State_, Store_, Peers_, Listeners_,
                  Options_.RandomSeed_),
      Random_(Options_.RandomSeed_) {
  FleetHandlers::bind(
      Handlers, State_, Propagator_, [this](const std::string &From) {
        asio::co_spawn(Strand_, fetchRecordFrom(From), asio::detached);
      });
}

void FleetNode::start() {
  asio::co_spawn(Strand_, heartbeatLoop(), asio::detached);
  asio::co_spawn(Strand_, recordLoop(), asio::detached);
  asio::co_spawn(Strand_, directoryLoop(), asio::detached);
  asio::co_spawn(Strand_, settingsLoop(), asio::detached);
  asio::co_spawn(Strand_, watchLoop(), asio::detached);
}

std::optional<base::Duration>
FleetNode::settingsAge(base::TimePoint Now) const {
  return State_.withSettings(
      [Now](const SettingsReplica &Replica) { return Replica.age(Now); });
}

base::Duration FleetNode::heartbeatInterval() {
  const auto Age = settingsAge(now());
  const base::Duration Interval = Options_.LeaseTiming_.HeartbeatInterval_;
  return Age && *Age < SettingsStaleAge ? Interval
                                        : Interval / StaleHeartbeatFactor;
}

asio::awaitable<void> FleetNode::heartbeatLoop() {
  while (!Stopped_) {
    co_await sendHeartbeat();
    if (State_.needsPledges(now()))
      for (const Member &Peer : State_.zonePeers())
        asio::co_spawn(Strand_, requestPledge(Peer), asio::detached);
    State_.applyFreshnessVote(now());
    announceDirectory();
    co_await sleepFor(heartbeatInterval());
  }
}

asio::awaitable<void> FleetNode::sendHeartbeat() {
  const std::string Request = Codec::write(State_.makeHeartbeat(now()));
  std::vector<Member> Recipients = State_.heartbeatRecipients();
  bool Delivered = Recipients.empty();
  for (std::size_t Attempt = 0;
       Attempt < Recipients.size() && Attempt < MaxRecipients; ++Attempt) {
    Delivered =
        co_await sendHeartbeatTo(Recipients[Attempt].PeerAddress_, Request);
    if (Delivered)
      break;
  }
  FailedHeartbeats_ = Delivered ? 0 : FailedHeartbeats_ + 1;
  if (State_.talksToStore() || !Delivered)
    co_await syncOtherZone(Request);
}

/// Anti-entropy: exchanges versions with one host of another zone, or with a
/// seed peer, chosen at random each time.
asio::awaitable<void> FleetNode::syncOtherZone(std::string Request) {
  const std::vector<std::string> Others = otherZonePeers();
  if (Others.empty())
    co_return;
  const std::string &Peer = Others[base::drawBelow(
      Random_, static_cast<std::uint32_t>(Others.size()))];
  co_await sendHeartbeatTo(Peer, std::move(Request));
  const auto Age = settingsAge(now());
  if (!Age || *Age >= SettingsStaleAge)
    co_await requestFreshnessViews(Peer);
}

std::vector<std::string> FleetNode::otherZonePeers() const {
  std::vector<std::string> Addresses;
  for (const auto &[Zone, Entry] : State_.directory().Zones_)
    if (Zone != Options_.Zone_)
      for (const Member &Listed : Entry.Members_)
        Addresses.push_back(Listed.PeerAddress_);
  if (!Addresses.empty())
    return Addresses;
  for (const std::string &Address : Options_.SeedPeers_)
    if (Address != Options_.Self_.PeerAddress_)
      Addresses.push_back(Address);
  return Addresses;
}

asio::awaitable<bool> FleetNode::sendHeartbeatTo(std::string Peer,
                                                 std::string Request) {
  const base::TimePoint SentAt = now();
  base::Error Last;
  const std::optional<std::string> Answer = co_await Peers_.call(
      Peer, "fleet.beat", std::move(Request), CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (!Parsed)
    co_return false;
  if (State_.handleHeartbeatAnswer(*Parsed, SentAt, now()))
    Propagator_.fetchFrom(Peer);
  co_return true;
}

asio::awaitable<void> FleetNode::fetchRecordFrom(std::string Peer) {
  co_await sendHeartbeatTo(std::move(Peer),
                           Codec::write(State_.makeHeartbeat(now())));
}

/// A relay that was replaced has nobody to send heartbeats to, and does not
/// learn of the new relay while it is cut off from the store. Hence the new
/// relay announces its record to the zone.
asio::awaitable<void> FleetNode::sendRecordHint(std::string Peer) {
  Json::Value Message(Json::objectValue);
  Message["zone"] = Options_.Zone_.name();
  Message["from"] = Options_.Self_.PeerAddress_;
  Message["record"] = Json::UInt64(State_.versions().Record_);
  base::Error Last;
  co_await Peers_.call(std::move(Peer), "fleet.hint", Codec::write(Message),
                       CallTimeout, Last);
}

asio::awaitable<void> FleetNode::requestPledge(Member Peer) {
  Json::Value Request(Json::objectValue);
  Request["admitted"] = Json::UInt64(State_.admissionGeneration());
  const base::TimePoint SentAt = now();
  base::Error Last;
  const std::optional<std::string> Answer =
      co_await Peers_.call(Peer.PeerAddress_, "fleet.pledge",
                           Codec::write(Request), CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (Parsed && (*Parsed)["pledged"].isBool() && (*Parsed)["pledged"].asBool())
    State_.handlePledge(Peer.Host_, SentAt, now());
}

asio::awaitable<void> FleetNode::requestFreshnessViews(std::string Peer) {
  const base::TimePoint SentAt = now();
  base::Error Last;
  const std::optional<std::string> Answer = co_await Peers_.call(
      std::move(Peer), "fleet.views", "{}", CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (Parsed)
    State_.handleFreshnessViews(*Parsed, SentAt);
}

bool FleetNode::mustReadRecord() const {
  if (ReadBackPending_ || FailedHeartbeats_ > MaxFailedHeartbeats)
    return true;
  return State_.talksToStore() && !State_.isRelay();
}

asio::awaitable<void> FleetNode::recordLoop() {
  while (!Stopped_) {
    if (mustReadRecord())
      co_await readRecord();
    if (!ReadBackPending_)
      if (std::optional<RecordPlan> Plan = State_.beginWrite(now()))
        co_await writeRecord(std::move(*Plan));
    co_await sleepFor(Options_.LeaseTiming_.RenewalInterval_ / 4);
  }
}

asio::awaitable<void> FleetNode::readRecord() {
  base::Error Last;
  const std::string Path = zonePath(Options_.Zone_);
  const auto Read = co_await Store_.get(Path, Last);
  if (!Read)
    co_return;
  ReadBackPending_ = false;
  if (Read->Version_ == 0)
    co_return;
  const auto Parsed = Codec::parse(Read->Value_);
  const auto Record = Parsed ? Codec::toZoneRecord(*Parsed) : std::nullopt;
  if (Record)
    State_.handleRecord(*Record, Read->Version_, now());
  else
    log(base::KeyValueLine()
            .add("event", "zone_record_malformed")
            .add("path", Path)
            .add("version", Read->Version_)
            .text());
}

asio::awaitable<void> FleetNode::writeRecord(RecordPlan Plan) {
  base::Error Last;
  const std::string Path = zonePath(Options_.Zone_);
  const std::string Value = Codec::write(Codec::toJson(Plan.Next_));
  const store::PutResult Result =
      co_await Store_.put(Path, Value, Plan.ExpectedVersion_, Last);
  if (Result.Status_ == store::PutStatus::Written)
    State_.handleRecord(Plan.Next_, Result.Version_, now());
  if (Result.Status_ == store::PutStatus::Written && Plan.Reason_ != "renew")
    for (const Member &Peer : State_.zonePeers())
      asio::co_spawn(Strand_, sendRecordHint(Peer.PeerAddress_),
                     asio::detached);
  // The object now in the store shows whether a write without an answer took
  // effect.
  ReadBackPending_ = Result.Status_ == store::PutStatus::Unknown ||
                     Result.Status_ == store::PutStatus::Conflict;
  if (Plan.Reason_ != "renew" || Result.Status_ != store::PutStatus::Written)
    log(base::KeyValueLine()
            .add("event", "zone_record")
            .add("reason", Plan.Reason_)
            .add("generation", Plan.Next_.Generation_)
            .add("written", Result.Status_ == store::PutStatus::Written ? 1 : 0)
            .add("error", Last.Reason_)
            .text());
}

asio::awaitable<void> FleetNode::directoryLoop() {
  while (!Stopped_) {
    if (State_.talksToStore())
      co_await checkDirectory();
    std::uint64_t Version = 0;
    if (std::optional<Directory> Next = State_.planDirectory(Version))
      co_await writeDirectory(std::move(*Next), Version);
    announceDirectory();
    co_await sleepFor(DirectoryCheckInterval);
  }
}

asio::awaitable<void> FleetNode::checkDirectory() {
  base::Error Last;
  const std::string Path(Directory::Path);
  const auto Listed = co_await Store_.list(Path, Last);
  if (!Listed || Listed->empty() ||
      Listed->front().Version_ <= State_.versions().Directory_)
    co_return;
  const auto Read = co_await Store_.get(Path, Last);
  const auto Parsed = Read ? Codec::parse(Read->Value_) : std::nullopt;
  const auto Seen = Parsed ? Codec::toDirectory(*Parsed) : std::nullopt;
  if (Seen)
    State_.handleDirectory(*Seen, Read->Version_);
}

asio::awaitable<void> FleetNode::writeDirectory(Directory Next,
                                                std::uint64_t Version) {
  base::Error Last;
  const std::string Path(Directory::Path);
  const std::string Value = Codec::write(Codec::toJson(Next));
  const store::PutResult Result =
      co_await Store_.put(Path, Value, Version, Last);
  // After a conflict or a lost answer, the next round's check reads the
  // directory back.
  if (Result.Status_ == store::PutStatus::Written)
    State_.handleDirectory(Next, Result.Version_);
}

asio::awaitable<void> FleetNode::settingsLoop() {
  store::Backoff Retry;
  while (!Stopped_) {
    const bool Answered =
        !State_.talksToStore() || co_await Propagator_.checkStore();
    if (Answered)
      Retry.reset();
    co_await sleepFor(Answered ? SettingsCheckInterval : Retry.next(Random_));
  }
}

asio::awaitable<void> FleetNode::watchLoop() {
  store::Backoff Retry;
  while (!Stopped_) {
    if (!State_.talksToStore()) {
      co_await sleepFor(SettingsCheckInterval);
      continue;
    }
    if (co_await Propagator_.watchStore(WatchTimeout))
      Retry.reset();
    // Waits after an answer as well: a stale watch answers at once each time.
    co_await sleepFor(Retry.next(Random_));
  }
}

asio::awaitable<void> FleetNode::leave() {
  Stopped_ = true;
  std::vector<Member> Recipients = State_.heartbeatRecipients();
  if (Recipients.empty())
    Recipients = State_.zonePeers();
  if (Recipients.empty())
    co_await writeEmptyZone();
  if (Recipients.size() > MaxRecipients)
    Recipients.resize(MaxRecipients);
  for (const Member &Peer : Recipients) {
    base::Error Last;
    co_await Peers_.call(Peer.PeerAddress_, "fleet.leave", "{}", CallTimeout,
                         Last);
  }
  State_.leaseGuard().revoke();
}

/// The last host of a zone has no peer to notify, so it writes the empty zone
/// itself.
asio::awaitable<void> FleetNode::writeEmptyZone() {
  ZoneRecord Empty;
  Empty.Zone_ = Options_.Zone_;
  Empty.Generation_ = State_.zoneRecord().Generation_ + 1;
  RecordPlan Plan{Empty, State_.versions().Record_, "leave"};
  if (Plan.ExpectedVersion_ == 0)
    co_return;
  State_.leaseGuard().revoke();
  co_await writeRecord(Plan);
  co_await checkDirectory();
  if (const auto Next = State_.directory().withZone(Empty))
    co_await writeDirectory(*Next, State_.versions().Directory_);
}

void FleetNode::announceDirectory() {
  const Directory Known = State_.directory();
  if (Known.Epoch_ <= AnnouncedEpoch_)
    return;
  AnnouncedEpoch_ = Known.Epoch_;
  log(base::KeyValueLine()
          .add("event", "epoch")
          .add("epoch", Known.Epoch_)
          .add("hosts", Known.hostCount())
          .text());
  if (Listeners_.DirectoryChanged_)
    Listeners_.DirectoryChanged_(Known);
}

void FleetNode::log(std::string_view Line) const {
  if (Listeners_.Log_)
    Listeners_.Log_(Line);
}

} // namespace lychee::fleet
