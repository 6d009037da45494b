#ifndef LYCHEE_OPERATIONS_HISTORY_H
#define LYCHEE_OPERATIONS_HISTORY_H

#include "base/Error.h"
#include "base/Time.h"
#include "settings/SettingsRoot.h"
#include "store/Store.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::operations {

/// One thing that happened to the fleet or its settings, as it is kept.
struct HistoryEntry {
  base::WallPoint Time_;
  /// "apply", "drain", "shift", "key-add", "member-joined" ...
  std::string Kind_;
  /// Who: an operator as he names himself, or a host.
  std::string Author_;
  std::string Team_;
  std::string Summary_;
  /// Tells two entries of one time apart; the settings' version for changes.
  std::string Id_;
  std::vector<std::string> Paths_;

  bool operator==(const HistoryEntry &) const = default;
};

/// \returns the entry that tells of a change of the settings.
HistoryEntry toEntry(const settings::SettingsChange &Change);

/// \returns JSON of one entry.
std::string encodeEntry(const HistoryEntry &Entry);

/// \returns nothing where \p Text is not an entry.
std::optional<HistoryEntry> decodeEntry(std::string_view Text);

/// What happened, as small immutable objects in the store, grouped by day so
/// that reading a day costs one list call whatever the years before hold. An
/// entry's path follows from its content: writing it twice changes nothing.
class History {
public:
  /// Entries told at most: at five reads a second these take 12 s, which is
  /// within the 15 s that lychee waits for an answer.
  static constexpr std::size_t LargestLimit = 60;
  /// Days looked through for enough entries, each one list call.
  static constexpr int DaysBack = 14;

  /// \param Patience  how long append() tries to reach the store.
  History(store::Store &Kept, base::Duration Patience) noexcept
      : Store_(Kept), Patience_(Patience) {}
  History(const History &) = delete;
  History &operator=(const History &) = delete;

  /// \returns whether the entry is there now.
  boost::asio::awaitable<bool> append(HistoryEntry Entry, base::Error &Last);

  /// Reads at a bounded pace: the same budget of calls carries the host's
  /// lease, which an operator's curiosity must not cost it.
  /// \param Known  entries that need no reading, such as the root's.
  /// \returns the newest \p Limit entries up to the end of \p Until's day,
  /// newest first; or nothing where the store does not answer.
  boost::asio::awaitable<std::optional<std::vector<HistoryEntry>>>
  newest(std::size_t Limit, base::WallPoint Until,
         const std::vector<HistoryEntry> &Known, base::Error &Last);

private:
  /// Entries by path.
  using Entries = std::map<std::string, HistoryEntry>;

  boost::asio::awaitable<bool> readDay(std::string_view Day, std::size_t Limit,
                                       const Entries &Known,
                                       std::vector<HistoryEntry> &Into,
                                       base::Error &Last);
  boost::asio::awaitable<std::optional<HistoryEntry>>
  readEntry(const std::string &Path, base::Error &Last);

  store::Store &Store_;
  const base::Duration Patience_;
};

/// \returns "2026-12-03" for the day of \p Time, in UTC.
std::string dayOf(base::WallPoint Time);

} // namespace lychee::operations

#endif
