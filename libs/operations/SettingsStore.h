#ifndef LYCHEE_OPERATIONS_SETTINGSSTORE_H
#define LYCHEE_OPERATIONS_SETTINGSSTORE_H

#include "settings/SettingsRoot.h"
#include "settings/SettingsTree.h"
#include "store/Store.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace lychee::operations {

/// The settings as the store holds them at one time.
struct StoredSettings {
  settings::SettingsRoot Root_;
  /// The store's version of the root object; 0 where there is none yet.
  std::uint64_t StoreVersion_ = 0;
  settings::SettingsTree Tree_;
};

/// How a commit ended.
enum class CommitStatus {
  /// In the store, whether or not the answer to the write was lost.
  Committed,
  /// Another change came first; nothing was written.
  Overtaken,
  /// The store did not answer: the change may be there or not.
  Unknown,
  /// Certainly not written.
  Failed,
};

/// Reads and writes the whole of the settings: immutable chunks by hash, and
/// one root that names them. A change is one conditional update of the root,
/// so other readers see all of it or nothing. \see settings::SettingsRoot
class SettingsStore {
public:
  /// Operators wait this long for a store that is slow or gone; then they are
  /// told, and may come back with the same change id.
  static constexpr base::Duration DefaultPatience = std::chrono::seconds(5);

  /// \param Patience  how long a load or a commit tries to reach the store.
  SettingsStore(store::Store &Kept, base::Duration Patience) noexcept
      : Store_(Kept), Patience_(Patience) {}
  SettingsStore(const SettingsStore &) = delete;
  SettingsStore &operator=(const SettingsStore &) = delete;

  /// Reads root and chunks; a chunk that was read once is not read again, so
  /// that a load over the budget of calls goes on where it stopped.
  /// \returns nothing, and \p Last, where a part could not be read in time.
  boost::asio::awaitable<std::optional<StoredSettings>> load(base::Error &Last);

  /// Writes \p Tree as the change \p Made, if the root still stands as in
  /// \p Seen. Versions and hashes are filled in here.
  /// Hears of each root that this host wrote, with the texts of the chunks that
  /// are new in it, by hash. \see onCommit
  using CommitListener =
      std::function<void(std::uint64_t StoreVersion, std::string RootText,
                         std::map<std::string, std::string> Chunks)>;

  /// Sets the one listener; before the first commit. A host that has written a
  /// change can spread it from its memory: were it to wait for a watch, a store
  /// that goes down right after the write would keep the change from all hosts.
  void onCommit(CommitListener Told) { Told_ = std::move(Told); }

  boost::asio::awaitable<CommitStatus>
  commit(const StoredSettings &Seen, const settings::SettingsTree &Tree,
         settings::SettingsChange Made, base::Error &Last);

private:
  boost::asio::awaitable<std::optional<StoredSettings>>
  loadOnce(base::Error &Last);
  boost::asio::awaitable<bool>
  loadDocument(const std::string &Hash, std::string &Into, base::Error &Last);
  std::optional<std::string> cached(const std::string &Hash) const;
  void keepOnly(const settings::SettingsRoot &Root,
                const settings::SettingsTree &Tree);

  void tellCommit(std::uint64_t StoreVersion,
                  const settings::SettingsRoot &Seen,
                  const settings::SettingsRoot &Written,
                  const settings::SettingsTree &Tree) const;

  store::Store &Store_;
  CommitListener Told_;
  const base::Duration Patience_;
  mutable std::mutex Lock_;
  /// Texts of the tree last read or written, by hash.
  std::map<std::string, std::string> Cache_;
};

} // namespace lychee::operations

#endif
