#include "fleet/SettingsSpread.h"

#include "base/KeyValueLine.h"
#include "base/SystemClock.h"
#include "fleet/Codec.h"
#include "settings/SettingsRoot.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace lychee::fleet {

namespace asio = boost::asio;

namespace {

/// A peer's answer holds up to this many chunks; \see FleetHandlers, which
/// also bounds their bytes.
constexpr std::size_t ChunksPerCall = 64;

/// A megabyte over a link between regions takes about 0.1 s at 100 Mbit/s.
constexpr base::Duration FetchTimeout = std::chrono::seconds(2);
constexpr base::Duration HintTimeout = std::chrono::seconds(1);

base::TimePoint now() { return base::SystemClock::monotonicNow(); }

std::string rootPath() { return std::string(settings::SettingsRoot::Path); }

} // namespace

SettingsSpread::SettingsSpread(asio::any_io_executor Strand, FleetState &State,
                               store::Store &Used, PeerClient &Peers,
                               const FleetListeners &Listeners,
                               std::uint64_t Seed)
    : Strand_(std::move(Strand)), State_(State), Store_(Used), Peers_(Peers),
      Listeners_(Listeners), Random_(Seed) {}

asio::awaitable<bool> SettingsSpread::checkStore() {
  // A listing tells the version without the value: the answer stays small
  // however many documents there are.
  const base::TimePoint AskedAt = now();
  base::Error Last;
  const auto Listed = co_await Store_.list(rootPath(), Last);
  if (!Listed)
    co_return false;
  std::uint64_t Version = 0;
  for (const store::Object &Each : *Listed)
    if (Each.Path_ == settings::SettingsRoot::Path)
      Version = Each.Version_;
  State_.withSettings([&](SettingsReplica &Replica) {
    Replica.confirmNewest(Version, AskedAt);
  });
  if (Version > State_.versions().Settings_)
    co_return co_await fetchRoot();
  co_await fetchChunks();
  co_return true;
}

asio::awaitable<bool> SettingsSpread::watchStore(base::Duration Wait) {
  base::Error Last;
  const std::uint64_t Known = State_.versions().Settings_;
  const auto Seen = co_await Store_.watch(rootPath(), Known, Wait, Last);
  if (!Seen)
    co_return false;
  // A watch may be stale: its answer may bring something newer, and is no
  // word on what is the newest.
  if (Seen->Version_ > Known && offerRoot(Seen->Version_, Seen->Value_))
    co_await fetchChunks();
  co_return true;
}

asio::awaitable<bool> SettingsSpread::fetchRoot() {
  base::Error Last;
  const auto Read = co_await Store_.get(rootPath(), Last);
  if (!Read)
    co_return false;
  if (offerRoot(Read->Version_, Read->Value_))
    co_await fetchChunks();
  co_return true;
}

asio::awaitable<void> SettingsSpread::fetchChunks() {
  const auto Missing = State_.withSettings(
      [](const SettingsReplica &Replica) { return Replica.missing(); });
  for (const std::string &Hash : Missing) {
    base::Error Last;
    const std::string Path = settings::chunkPath(Hash);
    const auto Read = co_await Store_.get(Path, Last);
    if (!Read)
      break;
    State_.withSettings([&](SettingsReplica &Replica) {
      return Replica.offerChunk(Hash, Read->Value_);
    });
  }
  tellIfNewer("store");
}

bool SettingsSpread::offerRoot(std::uint64_t StoreVersion,
                               std::string_view Text) {
  base::Error Last;
  const bool Taken = State_.withSettings([&](SettingsReplica &Replica) {
    return Replica.offerRoot(StoreVersion, Text, Last);
  });
  if (!Taken)
    log(base::KeyValueLine()
            .add("event", "settings_root_malformed")
            .add("version", StoreVersion)
            .add("reason", Last.Reason_)
            .text());
  return Taken;
}

void SettingsSpread::wrote(std::uint64_t StoreVersion, std::string RootText,
                           std::map<std::string, std::string> Chunks) {
  asio::co_spawn(
      Strand_,
      takeWritten(StoreVersion, std::move(RootText), std::move(Chunks)),
      asio::detached);
}

asio::awaitable<void>
SettingsSpread::takeWritten(std::uint64_t StoreVersion, std::string RootText,
                            std::map<std::string, std::string> Chunks) {
  if (!offerRoot(StoreVersion, RootText))
    co_return;
  State_.withSettings([&](SettingsReplica &Replica) {
    for (const auto &[Hash, Text] : Chunks)
      Replica.offerChunk(Hash, Text);
  });
  tellIfNewer("own_write");
}

void SettingsSpread::fetchFrom(const std::string &Peer) {
  asio::co_spawn(Strand_, pullInTurn(Peer), asio::detached);
}

asio::awaitable<void> SettingsSpread::pullInTurn(std::string Peer) {
  PullNext_.insert(std::move(Peer));
  if (Pulling_)
    co_return;
  Pulling_ = true;
  while (!PullNext_.empty()) {
    const std::string Next = *PullNext_.begin();
    PullNext_.erase(PullNext_.begin());
    co_await pull(Next);
  }
  Pulling_ = false;
}

asio::awaitable<void> SettingsSpread::pull(const std::string &Peer) {
  base::Error Last;
  const std::optional<std::string> Answer =
      co_await Peers_.call(Peer, "settings.root", "{}", FetchTimeout, Last);
  const auto Parsed = Answer ? Codec::parse(*Answer) : std::nullopt;
  if (!Parsed || !(*Parsed)["version"].isUInt64() ||
      !(*Parsed)["root"].isString())
    co_return;
  const bool Taken =
      offerRoot((*Parsed)["version"].asUInt64(), (*Parsed)["root"].asString());
  while (Taken && co_await pullChunks(Peer)) {
  }
  tellIfNewer(Peer);
}

asio::awaitable<bool> SettingsSpread::pullChunks(const std::string &Peer) {
  const auto Missing = State_.withSettings(
      [](const SettingsReplica &Replica) { return Replica.missing(); });
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
        Replica.offerChunk(Hash, Chunks[Hash].asString());
  });
  // An answer that brought nothing would be asked for without end.
  co_return State_
          .withSettings(
              [](const SettingsReplica &Replica) { return Replica.missing(); })
          .size() < Missing.size();
}

void SettingsSpread::tellIfNewer(std::string_view From) {
  settings::SettingsTree Tree;
  const std::uint64_t InForce =
      State_.withSettings([&](const SettingsReplica &Replica) {
        if (Replica.inForce() > Told_)
          Tree = Replica.tree();
        return Replica.inForce();
      });
  if (InForce <= Told_)
    return;
  Told_ = InForce;
  log(base::KeyValueLine()
          .add("event", "settings_in_force")
          .add("version", Tree.Version_)
          .add("from", From)
          .text());
  if (Listeners_.SettingsApplied_)
    Listeners_.SettingsApplied_(Tree);
  for (const std::string &Peer : hinted())
    asio::co_spawn(Strand_, hint(Peer), asio::detached);
}

std::set<std::string> SettingsSpread::hinted() {
  std::set<std::string> Found;
  // In a large zone the hosts that talk to the store tell all; the others
  // have it from them.
  for (const Member &Each : State_.zonePeers())
    Found.insert(Each.PeerAddress_);
  std::vector<std::string> Others;
  const ZoneRecord Own = State_.record();
  for (const auto &[Zone, Each] : State_.directory().Zones_)
    for (const Member &Listed : Each.Members_)
      if (Zone != Own.Zone_)
        Others.push_back(Listed.PeerAddress_);
  for (std::size_t Count = 0; Count < OtherZoneHints && !Others.empty();
       ++Count)
    Found.insert(Others[base::drawBelow(
        Random_, static_cast<std::uint32_t>(Others.size()))]);
  return Found;
}

asio::awaitable<void> SettingsSpread::hint(std::string Peer) {
  Json::Value Made(Json::objectValue);
  Made["settings"] = Json::UInt64(Told_);
  Made["from"] = State_.selfAddress();
  base::Error Last;
  co_await Peers_.call(std::move(Peer), "fleet.hint", Codec::write(Made),
                       HintTimeout, Last);
}

void SettingsSpread::log(std::string_view Line) const {
  if (Listeners_.Log_)
    Listeners_.Log_(Line);
}

} // namespace lychee::fleet
