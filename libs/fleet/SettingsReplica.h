#ifndef LYCHEE_FLEET_SETTINGSREPLICA_H
#define LYCHEE_FLEET_SETTINGSREPLICA_H

#include "base/Error.h"
#include "base/Time.h"
#include "settings/SettingsRoot.h"
#include "settings/SettingsTree.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::fleet {

/// One host's copy of the operators' settings: an applied root with all its
/// chunks, and possibly a newer root that still lacks chunks. Roots are ordered
/// by the store version of their object and only newer ones are accepted, so
/// that no host ever goes back, whatever the order or the sender of messages.
/// Chunks are named by their hash and checked against it.
///
/// Also tracks freshness: the last moment, by this host's clock, up to which
/// every accepted change is known to be applied. Does no I/O and reads no
/// clock.
/// \see docs/design/settings-spread.md
class SettingsReplica {
public:
  /// Takes a root; older ones are ignored. \returns false, with \p Last filled,
  /// if \p Text is malformed.
  bool addRoot(std::uint64_t StoreVersion, std::string_view Text,
               base::Error &Last);

  /// \returns the hashes of the chunks that the newest root still lacks.
  std::vector<std::string> missingChunks() const;

  /// \returns false if \p Text does not match \p Hash.
  bool addChunk(const std::string &Hash, std::string Text);

  /// Records that at \p At the newest root was at \p StoreVersion, according to
  /// the store or to all hosts. \p At must be a time before the query was sent.
  void confirmNewest(std::uint64_t StoreVersion, base::TimePoint At);

  /// \returns how long ago every change accepted by then was known to be
  /// applied; nothing if it never was.
  std::optional<base::Duration> age(base::TimePoint Now) const;

  /// The store version of the applied root; 0 if there is none.
  std::uint64_t appliedVersion() const noexcept {
    return Applied_.StoreVersion_;
  }
  /// The store version of the newest known root, applied or not.
  std::uint64_t newestVersion() const noexcept;

  /// The applied settings.
  const settings::SettingsTree &tree() const noexcept { return Tree_; }
  const std::string &rootText() const noexcept { return Applied_.Text_; }
  /// \returns the chunk, or null if this host does not have it.
  const std::string *chunk(const std::string &Hash) const noexcept;

private:
  struct Root {
    std::uint64_t StoreVersion_ = 0;
    std::string Text_;
    settings::SettingsRoot Parsed_;
  };

  void applyIfComplete();

  Root Applied_;
  std::optional<Root> Pending_;
  std::map<std::string, std::string> Chunks_;
  settings::SettingsTree Tree_;
  std::optional<base::TimePoint> FreshAt_;
  /// Confirmation of a root that is not applied yet.
  std::uint64_t ConfirmedVersion_ = 0;
  base::TimePoint ConfirmedAt_;
};

} // namespace lychee::fleet

#endif
