#ifndef LYCHEE_SETTINGS_SETTINGSROOT_H
#define LYCHEE_SETTINGS_SETTINGSROOT_H

#include "base/Error.h"
#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::settings {

/// One accepted change of the operators' settings: who, when and what.
struct SettingsChange {
  /// The settings' version that the change made.
  std::uint64_t Version_ = 0;
  /// Drawn by the operator's program: tells a change again after its answer
  /// was lost, and makes sending it twice harmless.
  std::string ChangeId_;
  /// As the operator names himself; the team is proven by its token.
  std::string Author_;
  base::TeamId Team_;
  /// "apply", "drain", "key-add" ...
  std::string Kind_;
  std::string Summary_;
  base::WallPoint Time_;
  std::vector<std::string> Paths_;

  bool operator==(const SettingsChange &) const = default;
};

/// The one object that names all settings in force: each document by the hash
/// of the immutable chunk that holds its text. One watch on it tells every
/// change, and one conditional update of it makes one. \see SettingsTree
struct SettingsRoot {
  static constexpr std::string_view Path = "settings/root";

  /// Changes that the root itself remembers, newest first: enough to tell who
  /// came first in a conflict, and a change again whose answer was lost.
  static constexpr std::size_t RecentLimit = 32;

  std::uint64_t Version_ = 0;
  /// SHA-256 by document path.
  std::map<std::string, std::string> Documents_;
  /// The version at which a team's subtree last changed.
  std::map<base::TeamId, std::uint64_t> TeamVersions_;
  std::vector<SettingsChange> Recent_;

  /// \returns the remembered change, or null.
  const SettingsChange *findChange(std::string_view ChangeId) const noexcept;

  bool operator==(const SettingsRoot &) const = default;
};

/// \returns where the store keeps the text whose SHA-256 is \p Hash.
std::string chunkPath(std::string_view Hash);

/// \returns JSON for the store.
std::string encodeRoot(const SettingsRoot &Root);

/// \returns nothing, and \p Last filled, where \p Text is not a root.
std::optional<SettingsRoot> decodeRoot(std::string_view Text,
                                       base::Error &Last);

} // namespace lychee::settings

#endif
