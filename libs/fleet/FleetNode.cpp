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

/// Within a heartbeat's span, so that a silent peer costs one heartbeat.
constexpr base::Duration CallTimeout = std::chrono::milliseconds(800);

/// The store's word on the newest settings is sought this often; with a
/// heartbeat on top, every host knows within half of the 5 s for keys.
constexpr base::Duration CheckEvery = std::chrono::seconds(1);
constexpr base::Duration DirectoryEvery = std::chrono::seconds(1);
constexpr base::Duration WatchWait = std::chrono::seconds(20);

/// Settings older than this are confirmed by all hosts' word if possible, and
/// heartbeats come more often: three steps of 250 ms fit below 5 s.
constexpr base::Duration StaleAfter = std::chrono::seconds(2);
constexpr int BeatsWhenStale = 4;

/// Superiors tried within one heartbeat.
constexpr std::size_t TriesPerBeat = 3;
/// Heartbeats that reach nobody before a host looks at the store itself.
constexpr int BeatsBeforeStore = 2;

base::TimePoint now() { return base::SystemClock::monotonicNow(); }

asio::awaitable<void> waitFor(base::Duration Span) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Span);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string zonePath(const base::ZoneId &Zone) {
  return "fleet/zones/" + Zone.name();
}

} // namespace

FleetNode::FleetNode(asio::io_context &Context, store::Store &Used,
                     PeerClient &Peers, RpcDispatcher &Handlers,
                     FleetNodeOptions Options, FleetListeners Listeners)
    : Strand_(asio::make_strand(Context)), Store_(Used), Peers_(Peers),
      Options_(std::move(Options)), Listeners_(std::move(Listeners)),
      State_(Options_.LeaseTiming_, Options_.Zone_, Options_.Self_, now()),
      Spread_(Strand_, State_, Store_, Peers_, Listeners_,
              Options_.RandomSeed_),
      Random_(Options_.RandomSeed_) {
  FleetHandlers::bind(Handlers, State_, Spread_,
                      [this](const std::string &From) {
                        asio::co_spawn(Strand_, beatBack(From), asio::detached);
                      });
}

void FleetNode::start() {
  asio::co_spawn(Strand_, beatLoop(), asio::detached);
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

base::Duration FleetNode::beatSpan() {
  const auto Age = settingsAge(now());
  const base::Duration Span = Options_.LeaseTiming_.HeartbeatInterval_;
  return Age && *Age < StaleAfter ? Span : Span / BeatsWhenStale;
}

asio::awaitable<void> FleetNode::beatLoop() {
  while (!Stopped_) {
    co_await beatOnce();
    if (State_.needsPledges(now()))
      for (const Member &Each : State_.zonePeers())
        asio::co_spawn(Strand_, askPledge(Each), asio::detached);
    State_.vote(now());
    tellDirectory();
    co_await waitFor(beatSpan());
  }
}

asio::awaitable<void> FleetNode::beatOnce() {
  const std::string Request = Codec::write(State_.beat(now()));
  std::vector<Member> Superiors = State_.superiors();
  bool Heard = Superiors.empty();
  for (std::size_t Try = 0; Try < Superiors.size() && Try < TriesPerBeat;
       ++Try) {
    Heard = co_await beatTo(Superiors[Try].PeerAddress_, Request);
    if (Heard)
      break;
  }
  BeatsFailed_ = Heard ? 0 : BeatsFailed_ + 1;
  if (State_.talksToStore() || !Heard)
    co_await compareElsewhere(Request);
}

/// Anti-entropy: one host of another zone, or a seed, drawn anew each time.
asio::awaitable<void> FleetNode::compareElsewhere(std::string Request) {
  const std::vector<std::string> Others = othersElsewhere();
  if (Others.empty())
    co_return;
  const std::string &Peer = Others[base::drawBelow(
      Random_, static_cast<std::uint32_t>(Others.size()))];
  co_await beatTo(Peer, std::move(Request));
  const auto Age = settingsAge(now());
  if (!Age || *Age >= StaleAfter)
    co_await askViews(Peer);
}

std::vector<std::string> FleetNode::othersElsewhere() const {
  std::vector<std::string> Found;
  for (const auto &[Zone, Each] : State_.directory().Zones_)
    if (Zone != Options_.Zone_)
      for (const Member &Listed : Each.Members_)
        Found.push_back(Listed.PeerAddress_);
  if (!Found.empty())
    return Found;
  for (const std::string &Seed : Options_.SeedPeers_)
    if (Seed != Options_.Self_.PeerAddress_)
      Found.push_back(Seed);
  return Found;
}

asio::awaitable<bool> FleetNode::beatTo(std::string Peer, std::string Request) {
  const base::TimePoint AskedAt = now();
  base::Error Last;
  const std::optional<std::string> Answer = co_await Peers_.call(
      Peer, "fleet.beat", std::move(Request), CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (!Parsed)
    co_return false;
  if (State_.beatAnswered(*Parsed, AskedAt, now()))
    Spread_.fetchFrom(Peer);
  co_return true;
}

asio::awaitable<void> FleetNode::beatBack(std::string Peer) {
  co_await beatTo(std::move(Peer), Codec::write(State_.beat(now())));
}

/// A relay that was taken over knows no superior, and hears of no other relay
/// while it is cut off from the store: the new one tells the zone itself.
asio::awaitable<void> FleetNode::hintRecord(std::string Peer) {
  Json::Value Made(Json::objectValue);
  Made["zone"] = Options_.Zone_.name();
  Made["from"] = Options_.Self_.PeerAddress_;
  Made["record"] = Json::UInt64(State_.versions().Record_);
  base::Error Last;
  co_await Peers_.call(std::move(Peer), "fleet.hint", Codec::write(Made),
                       CallTimeout, Last);
}

asio::awaitable<void> FleetNode::askPledge(Member Peer) {
  Json::Value Asked(Json::objectValue);
  Asked["admitted"] = Json::UInt64(State_.admitted());
  const base::TimePoint AskedAt = now();
  base::Error Last;
  const std::optional<std::string> Answer =
      co_await Peers_.call(Peer.PeerAddress_, "fleet.pledge",
                           Codec::write(Asked), CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (Parsed && (*Parsed)["pledged"].isBool() && (*Parsed)["pledged"].asBool())
    State_.pledged(Peer.Host_, AskedAt, now());
}

asio::awaitable<void> FleetNode::askViews(std::string Peer) {
  const base::TimePoint AskedAt = now();
  base::Error Last;
  const std::optional<std::string> Answer = co_await Peers_.call(
      std::move(Peer), "fleet.views", "{}", CallTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (Parsed)
    State_.viewsAnswered(*Parsed, AskedAt);
}

bool FleetNode::mustReadRecord() const {
  if (ReadBack_ || BeatsFailed_ > BeatsBeforeStore)
    return true;
  return State_.talksToStore() && !State_.isRelay();
}

asio::awaitable<void> FleetNode::recordLoop() {
  while (!Stopped_) {
    if (mustReadRecord())
      co_await readRecord();
    if (!ReadBack_)
      if (std::optional<RecordPlan> Plan = State_.beginWrite(now()))
        co_await writeRecord(std::move(*Plan));
    co_await waitFor(Options_.LeaseTiming_.RenewalInterval_ / 4);
  }
}

asio::awaitable<void> FleetNode::readRecord() {
  base::Error Last;
  const std::string Path = zonePath(Options_.Zone_);
  const auto Read = co_await Store_.get(Path, Last);
  if (!Read)
    co_return;
  ReadBack_ = false;
  if (Read->Version_ == 0)
    co_return;
  const auto Parsed = Codec::parse(Read->Value_);
  const auto Record = Parsed ? Codec::toZoneRecord(*Parsed) : std::nullopt;
  if (Record)
    State_.sawRecord(*Record, Read->Version_, now());
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
      co_await Store_.put(Path, Value, Plan.Expected_, Last);
  if (Result.Status_ == store::PutStatus::Written)
    State_.sawRecord(Plan.Next_, Result.Version_, now());
  if (Result.Status_ == store::PutStatus::Written && Plan.Reason_ != "renew")
    for (const Member &Each : State_.zonePeers())
      asio::co_spawn(Strand_, hintRecord(Each.PeerAddress_), asio::detached);
  // What stands there now tells what became of a lost answer.
  ReadBack_ = Result.Status_ == store::PutStatus::Unknown ||
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
    if (std::optional<Directory> Next = State_.directoryPlan(Version))
      co_await writeDirectory(std::move(*Next), Version);
    tellDirectory();
    co_await waitFor(DirectoryEvery);
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
    State_.sawDirectory(*Seen, Read->Version_);
}

asio::awaitable<void> FleetNode::writeDirectory(Directory Next,
                                                std::uint64_t Version) {
  base::Error Last;
  const std::string Path(Directory::Path);
  const std::string Value = Codec::write(Codec::toJson(Next));
  const store::PutResult Result =
      co_await Store_.put(Path, Value, Version, Last);
  // A conflict or a lost answer is read back by the next round's check.
  if (Result.Status_ == store::PutStatus::Written)
    State_.sawDirectory(Next, Result.Version_);
}

asio::awaitable<void> FleetNode::settingsLoop() {
  store::Backoff Wait;
  while (!Stopped_) {
    const bool Answered =
        !State_.talksToStore() || co_await Spread_.checkStore();
    if (Answered)
      Wait.reset();
    co_await waitFor(Answered ? CheckEvery : Wait.next(Random_));
  }
}

asio::awaitable<void> FleetNode::watchLoop() {
  store::Backoff Wait;
  while (!Stopped_) {
    if (!State_.talksToStore()) {
      co_await waitFor(CheckEvery);
      continue;
    }
    if (co_await Spread_.watchStore(WatchWait))
      Wait.reset();
    // Also after an answer: a watch that is stale answers at once each time.
    co_await waitFor(Wait.next(Random_));
  }
}

asio::awaitable<void> FleetNode::leave() {
  Stopped_ = true;
  std::vector<Member> Told = State_.superiors();
  if (Told.empty())
    Told = State_.zonePeers();
  if (Told.empty())
    co_await leaveAlone();
  if (Told.size() > TriesPerBeat)
    Told.resize(TriesPerBeat);
  for (const Member &Each : Told) {
    base::Error Last;
    co_await Peers_.call(Each.PeerAddress_, "fleet.leave", "{}", CallTimeout,
                         Last);
  }
  State_.guard().drop();
}

/// The last host of a zone has nobody to tell: it writes the empty zone itself.
asio::awaitable<void> FleetNode::leaveAlone() {
  ZoneRecord Empty;
  Empty.Zone_ = Options_.Zone_;
  Empty.Generation_ = State_.record().Generation_ + 1;
  RecordPlan Plan{Empty, State_.versions().Record_, "leave"};
  if (Plan.Expected_ == 0)
    co_return;
  State_.guard().drop();
  co_await writeRecord(Plan);
  co_await checkDirectory();
  if (const auto Next = State_.directory().with(Empty))
    co_await writeDirectory(*Next, State_.versions().Directory_);
}

void FleetNode::tellDirectory() {
  const Directory Known = State_.directory();
  if (Known.Epoch_ <= EpochTold_)
    return;
  EpochTold_ = Known.Epoch_;
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
