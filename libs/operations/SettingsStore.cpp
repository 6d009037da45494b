#include "operations/SettingsStore.h"

#include "base/Hash.h"
#include "base/SystemClock.h"
#include "store/ChangeWriter.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::operations {

namespace {

using boost::asio::awaitable;
using settings::SettingsRoot;
using store::PutResult;
using store::PutStatus;

SettingsRoot makeRoot(const SettingsRoot &Seen,
                      const settings::SettingsTree &Tree,
                      settings::SettingsChange Made) {
  SettingsRoot Root;
  Root.Version_ = Seen.Version_ + 1;
  Made.Version_ = Root.Version_;
  for (const auto &[Path, Text] : Tree.Documents_)
    Root.Documents_[Path] = base::sha256Hex(Text);
  Root.TeamVersions_ = Seen.TeamVersions_;
  for (const std::string &Path : Made.Paths_)
    Root.TeamVersions_[base::TeamId(Path.substr(0, Path.find('/')))] =
        Root.Version_;
  Root.Recent_.push_back(std::move(Made));
  const std::size_t Kept =
      std::min(Seen.Recent_.size(), SettingsRoot::RecentLimit - 1);
  Root.Recent_.insert(Root.Recent_.end(), Seen.Recent_.begin(),
                      Seen.Recent_.begin() + static_cast<std::ptrdiff_t>(Kept));
  return Root;
}

/// A chunk's path follows from its text: what is there already is the chunk.
std::vector<store::Change> newChunks(const SettingsRoot &Seen,
                                     const SettingsRoot &Root,
                                     const settings::SettingsTree &Tree) {
  std::vector<store::Change> Chunks;
  for (const auto &[Path, Hash] : Root.Documents_) {
    const auto Known = Seen.Documents_.find(Path);
    if (Known != Seen.Documents_.end() && Known->second == Hash)
      continue;
    Chunks.push_back({settings::chunkPath(Hash), Tree.Documents_.at(Path), 0,
                      [](std::string_view) { return true; }});
  }
  return Chunks;
}

/// A root holds a change while it remembers its id.
store::Change rootChange(const SettingsRoot &Root, const std::string &ChangeId,
                         std::uint64_t Expected) {
  return {std::string(SettingsRoot::Path), settings::encodeRoot(Root), Expected,
          [ChangeId](std::string_view Value) {
            base::Error Ignored;
            const auto Present = settings::decodeRoot(Value, Ignored);
            return Present && Present->findChange(ChangeId) != nullptr;
          }};
}

CommitStatus toCommitStatus(PutStatus Status) noexcept {
  switch (Status) {
  case PutStatus::Written:
    return CommitStatus::Committed;
  case PutStatus::Conflict:
    return CommitStatus::Overtaken;
  case PutStatus::Unknown:
    return CommitStatus::Unknown;
  case PutStatus::Failed:
    return CommitStatus::Failed;
  }
  return CommitStatus::Unknown;
}

/// A budget of 20 calls a second has five more by then.
constexpr base::Duration LoadPause = std::chrono::milliseconds(250);

awaitable<void> pauseBetweenLoads() {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor);
  Timer.expires_after(LoadPause);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace

awaitable<std::optional<StoredSettings>>
SettingsStore::load(base::Error &Last) {
  const base::TimePoint Deadline =
      base::SystemClock::monotonicNow() + Patience_;
  auto Loaded = co_await loadOnce(Last);
  while (!Loaded && base::SystemClock::monotonicNow() < Deadline) {
    co_await pauseBetweenLoads();
    Loaded = co_await loadOnce(Last);
  }
  co_return Loaded;
}

awaitable<std::optional<StoredSettings>>
SettingsStore::loadOnce(base::Error &Last) {
  const auto Object = co_await Store_.get(SettingsRoot::Path, Last);
  if (!Object)
    co_return std::nullopt;
  StoredSettings Stored;
  Stored.StoreVersion_ = Object->Version_;
  if (Object->Version_ == 0)
    co_return Stored;
  auto Root = settings::decodeRoot(Object->Value_, Last);
  if (!Root)
    co_return std::nullopt;
  Stored.Root_ = std::move(*Root);
  Stored.Tree_.Version_ = Stored.Root_.Version_;
  for (const auto &[Path, Hash] : Stored.Root_.Documents_)
    if (!co_await loadDocument(Hash, Stored.Tree_.Documents_[Path], Last))
      co_return std::nullopt;
  keepOnly(Stored.Root_, Stored.Tree_);
  co_return Stored;
}

awaitable<bool> SettingsStore::loadDocument(const std::string &Hash,
                                            std::string &Into,
                                            base::Error &Last) {
  if (auto Known = cached(Hash)) {
    Into = std::move(*Known);
    co_return true;
  }
  const std::string Path = settings::chunkPath(Hash);
  auto Object = co_await Store_.get(Path, Last);
  if (!Object)
    co_return false;
  if (Object->Version_ == 0 || base::sha256Hex(Object->Value_) != Hash) {
    Last = {"settings.load", Path, "the chunk is absent or damaged"};
    co_return false;
  }
  Into = std::move(Object->Value_);
  // Kept at once: under a budget of calls a load may fail half way, and the
  // next one must go on from there, or a large tree would never be read.
  const std::lock_guard Guard(Lock_);
  Cache_[Hash] = Into;
  co_return true;
}

awaitable<CommitStatus>
SettingsStore::commit(const StoredSettings &Seen,
                      const settings::SettingsTree &Tree,
                      settings::SettingsChange Made, base::Error &Last) {
  const std::string ChangeId = Made.ChangeId_;
  const SettingsRoot Root = makeRoot(Seen.Root_, Tree, std::move(Made));
  // Each try of a change has its own seed: two hosts that race on one root
  // would else wait for the same times and meet again.
  store::ChangeWriter Writer(Store_, base::stableHash(ChangeId, Root.Version_));
  const base::TimePoint Deadline =
      base::SystemClock::monotonicNow() + Patience_;
  for (const store::Change &Chunk : newChunks(Seen.Root_, Root, Tree)) {
    const PutResult Put = co_await Writer.write(Chunk, Deadline, Last);
    if (Put.Status_ != PutStatus::Written && Put.Status_ != PutStatus::Conflict)
      co_return CommitStatus::Failed;
  }
  const PutResult Put = co_await Writer.write(
      rootChange(Root, ChangeId, Seen.StoreVersion_), Deadline, Last);
  if (Put.Status_ == PutStatus::Written) {
    keepOnly(Root, Tree);
    tellCommit(Put.Version_, Seen.Root_, Root, Tree);
  }
  co_return toCommitStatus(Put.Status_);
}

void SettingsStore::tellCommit(std::uint64_t StoreVersion,
                               const SettingsRoot &Seen,
                               const SettingsRoot &Written,
                               const settings::SettingsTree &Tree) const {
  // After a lost answer the version that the store gave may not be known.
  if (!Told_ || StoreVersion == 0)
    return;
  std::map<std::string, std::string> Chunks;
  for (const auto &[Path, Hash] : Written.Documents_) {
    const auto Known = Seen.Documents_.find(Path);
    if (Known == Seen.Documents_.end() || Known->second != Hash)
      Chunks[Hash] = Tree.Documents_.at(Path);
  }
  Told_(StoreVersion, settings::encodeRoot(Written), std::move(Chunks));
}

std::optional<std::string>
SettingsStore::cached(const std::string &Hash) const {
  const std::lock_guard Guard(Lock_);
  const auto Match = Cache_.find(Hash);
  if (Match == Cache_.end())
    return std::nullopt;
  return Match->second;
}

void SettingsStore::keepOnly(const SettingsRoot &Root,
                             const settings::SettingsTree &Tree) {
  std::map<std::string, std::string> Kept;
  for (const auto &[Path, Hash] : Root.Documents_)
    Kept[Hash] = Tree.Documents_.at(Path);
  const std::lock_guard Guard(Lock_);
  Cache_.swap(Kept);
}

} // namespace lychee::operations
