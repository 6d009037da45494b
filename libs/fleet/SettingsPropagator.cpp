#include "fleet/SettingsPropagator.h"

#include "base/KeyValueLine.h"
#include "base/SystemClock.h"
#include "fleet/Codec.h"
#include "settings/SettingsRoot.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace lychee::fleet {

namespace asio = boost::asio;

namespace {

/// Chunks requested in one call. FleetHandlers bounds the bytes of an answer as
/// well.
constexpr std::size_t ChunksPerCall = 64;

/// 1 MB over a link between regions takes about 0.1 s at 100 Mbit/s.
constexpr base::Duration FetchTimeout = std::chrono::seconds(2);
constexpr base::Duration HintTimeout = std::chrono::seconds(1);

base::TimePoint now() { return base::SystemClock::monotonicNow(); }

std::string rootPath() { return std::string(settings::SettingsRoot::Path); }

} // namespace

SettingsPropagator::SettingsPropagator(asio::any_io_executor Strand,
                                       FleetState &State, store::Store &Store,
                                       PeerClient &Peers,
                                       const FleetListeners &Listeners,
                                       std::uint64_t Seed)
    : Strand_(std::move(Strand)), State_(State), Store_(Store), Peers_(Peers),
      Listeners_(Listeners), Random_(Seed) {}

asio::awaitable<bool> SettingsPropagator::checkStore() {
  // A listing gives the version without the value, so the answer stays small
  // however many documents there are.
  const base::TimePoint SentAt = now();
  base::Error Last;
  const auto Listed = co_await Store_.list(rootPath(), Last);
  if (!Listed)
    co_return false;
  std::uint64_t Version = 0;
  for (const store::Object &Entry : *Listed)
    if (Entry.Path_ == settings::SettingsRoot::Path)
      Version = Entry.Version_;
  State_.withSettings([&](SettingsReplica &Replica) {
    Replica.confirmNewest(Version, SentAt);
  });
  if (Version > State_.versions().Settings_)
    co_return co_await fetchRoot();
  co_await fetchChunks();
  co_return true;
}

asio::awaitable<bool> SettingsPropagator::watchStore(base::Duration Timeout) {
  base::Error Last;
  const std::uint64_t Known = State_.versions().Settings_;
  const auto Seen = co_await Store_.watch(rootPath(), Known, Timeout, Last);
  if (!Seen)
    co_return false;
  // A watch may be stale: it may deliver something newer, but does not prove
  // that it is the newest.
  if (Seen->Version_ > Known && addRoot(Seen->Version_, Seen->Value_))
    co_await fetchChunks();
  co_return true;
}

asio::awaitable<bool> SettingsPropagator::fetchRoot() {
  base::Error Last;
  const auto Read = co_await Store_.get(rootPath(), Last);
  if (!Read)
    co_return false;
  if (addRoot(Read->Version_, Read->Value_))
    co_await fetchChunks();
  co_return true;
}

asio::awaitable<void> SettingsPropagator::fetchChunks() {
  const auto Missing = State_.withSettings(
      [](const SettingsReplica &Replica) { return Replica.missingChunks(); });
  for (const std::string &Hash : Missing) {
    base::Error Last;
    const std::string Path = settings::chunkPath(Hash);
    const auto Read = co_await Store_.get(Path, Last);
    if (!Read)
      break;
    State_.withSettings([&](SettingsReplica &Replica) {
      return Replica.addChunk(Hash, Read->Value_);
    });
  }
  announceIfNewer("store");
}

bool SettingsPropagator::addRoot(std::uint64_t StoreVersion,
                                 std::string_view Text) {
  base::Error Last;
  const bool Accepted = State_.withSettings([&](SettingsReplica &Replica) {
    return Replica.addRoot(StoreVersion, Text, Last);
  });
  if (!Accepted)
    log(base::KeyValueLine()
            .add("event", "settings_root_malformed")
            .add("version", StoreVersion)
            .add("reason", Last.Reason_)
            .text());
  return Accepted;
}

void SettingsPropagator::notifyWritten(
    std::uint64_t StoreVersion, std::string RootText,
    std::map<std::string, std::string> Chunks) {
  asio::co_spawn(
      Strand_,
      applyWritten(StoreVersion, std::move(RootText), std::move(Chunks)),
      asio::detached);
}

asio::awaitable<void>
SettingsPropagator::applyWritten(std::uint64_t StoreVersion,
                                 std::string RootText,
                                 std::map<std::string, std::string> Chunks) {
  if (!addRoot(StoreVersion, RootText))
    co_return;
  State_.withSettings([&](SettingsReplica &Replica) {
    for (const auto &[Hash, Text] : Chunks)
      Replica.addChunk(Hash, Text);
  });
  announceIfNewer("own_write");
}

void SettingsPropagator::fetchFrom(const std::string &Peer) {
  asio::co_spawn(Strand_, enqueuePull(Peer), asio::detached);
}

asio::awaitable<void> SettingsPropagator::enqueuePull(std::string Peer) {
  PendingPulls_.insert(std::move(Peer));
  if (Pulling_)
    co_return;
  Pulling_ = true;
  while (!PendingPulls_.empty()) {
    const std::string Next = *PendingPulls_.begin();
    PendingPulls_.erase(PendingPulls_.begin());
    co_await pull(Next);
  }
  Pulling_ = false;
}

asio::awaitable<void> SettingsPropagator::pull(const std::string &Peer) {
  base::Error Last;
  const std::optional<std::string> Answer =
      co_await Peers_.call(Peer, "settings.root", "{}", FetchTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (!Parsed || !(*Parsed)["version"].isUInt64() ||
      !(*Parsed)["root"].isString())
    co_return;
  const bool Accepted =
      addRoot((*Parsed)["version"].asUInt64(), (*Parsed)["root"].asString());
  while (Accepted && co_await pullChunks(Peer)) {
  }
  announceIfNewer(Peer);
}

asio::awaitable<bool> SettingsPropagator::pullChunks(const std::string &Peer) {
  const auto Missing = State_.withSettings(
      [](const SettingsReplica &Replica) { return Replica.missingChunks(); });
  if (Missing.empty())
    co_return false;
  Json::Value Wanted(Json::objectValue);
  for (const std::string &Hash : Missing)
    if (Wanted["hashes"].size() < ChunksPerCall)
      Wanted["hashes"].append(Hash);
  base::Error Last;
  const std::optional<std::string> Answer = co_await Peers_.call(
      Peer, "settings.chunks", Codec::write(Wanted), FetchTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (!Parsed || !(*Parsed)["chunks"].isObject())
    co_return false;
  const Json::Value &Chunks = (*Parsed)["chunks"];
  State_.withSettings([&](SettingsReplica &Replica) {
    for (const std::string &Hash : Chunks.getMemberNames())
      if (Chunks[Hash].isString())
        Replica.addChunk(Hash, Chunks[Hash].asString());
  });
  // Stop when an answer brought nothing; otherwise the request would repeat
  // forever.
  co_return State_
          .withSettings([](const SettingsReplica &Replica) {
            return Replica.missingChunks();
          })
          .size() < Missing.size();
}

void SettingsPropagator::announceIfNewer(std::string_view Source) {
  settings::SettingsTree Tree;
  const std::uint64_t InForce =
      State_.withSettings([&](const SettingsReplica &Replica) {
        if (Replica.appliedVersion() > AnnouncedVersion_)
          Tree = Replica.tree();
        return Replica.appliedVersion();
      });
  if (InForce <= AnnouncedVersion_)
    return;
  AnnouncedVersion_ = InForce;
  log(base::KeyValueLine()
          .add("event", "settings_in_force")
          .add("version", Tree.Version_)
          .add("from", Source)
          .text());
  if (Listeners_.SettingsApplied_)
    Listeners_.SettingsApplied_(Tree);
  for (const std::string &Peer : hintRecipients())
    asio::co_spawn(Strand_, sendHint(Peer), asio::detached);
}

std::set<std::string> SettingsPropagator::hintRecipients() {
  std::set<std::string> Recipients;
  // Every other host of the own zone gets a hint, whichever role it has.
  for (const Member &Entry : State_.zonePeers())
    Recipients.insert(Entry.PeerAddress_);
  std::vector<std::string> Others;
  const ZoneRecord Own = State_.zoneRecord();
  for (const auto &[Zone, Entry] : State_.directory().Zones_)
    for (const Member &Listed : Entry.Members_)
      if (Zone != Own.Zone_)
        Others.push_back(Listed.PeerAddress_);
  for (std::size_t Count = 0; Count < OtherZoneHintCount && !Others.empty();
       ++Count)
    Recipients.insert(Others[base::drawBelow(
        Random_, static_cast<std::uint32_t>(Others.size()))]);
  return Recipients;
}

asio::awaitable<void> SettingsPropagator::sendHint(std::string Peer) {
  Json::Value Message(Json::objectValue);
  Message["settings"] = Json::UInt64(AnnouncedVersion_);
  Message["from"] = State_.selfAddress();
  base::Error Last;
  co_await Peers_.call(std::move(Peer), "fleet.hint", Codec::write(Message),
                       HintTimeout, Last);
}

void SettingsPropagator::log(std::string_view Line) const {
  if (Listeners_.Log_)
    Listeners_.Log_(Line);
}

} // namespace lychee::fleet
