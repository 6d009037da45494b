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

/// One host's copy of the operators' settings: a root in force with all its
/// chunks, and a newer root whose chunks are still on their way. Roots are told
/// apart by the store's version of their object, and only newer ones count, so
/// that no host ever goes back, whatever order things arrive in and whoever
/// sends them. Chunks are known by their hash and checked against it.
///
/// It also knows how fresh it is: the last moment, by this host's clock, up to
/// which every accepted change is known to be in force. No I/O, no clock.
/// \see docs/design/settings-spread.md
class SettingsReplica {
public:
  /// A root was seen. \returns false, \p Last filled, where it is malformed;
  /// older ones are passed over.
  bool offerRoot(std::uint64_t StoreVersion, std::string_view Text,
                 base::Error &Last);

  /// \returns hashes of the chunks that the newest root still needs.
  std::vector<std::string> missing() const;

  /// \returns false where \p Text is not what \p Hash names.
  bool offerChunk(const std::string &Hash, std::string Text);

  /// At \p At the newest root had \p StoreVersion, said the store, or all
  /// hosts; \p At is before the question went out.
  void confirmNewest(std::uint64_t StoreVersion, base::TimePoint At);

  /// \returns how long ago every change accepted until then was known to be in
  /// force; nothing where it never was.
  std::optional<base::Duration> age(base::TimePoint Now) const;

  /// The store's version of the root in force; 0 for none.
  std::uint64_t inForce() const noexcept { return InForce_.StoreVersion_; }
  /// The newest that is known of, in force or not.
  std::uint64_t newest() const noexcept;

  /// What is in force.
  const settings::SettingsTree &tree() const noexcept { return Tree_; }
  const std::string &rootText() const noexcept { return InForce_.Text_; }
  /// \returns the chunk, or null where this host has not got it.
  const std::string *chunk(const std::string &Hash) const noexcept;

private:
  struct Root {
    std::uint64_t StoreVersion_ = 0;
    std::string Text_;
    settings::SettingsRoot Parsed_;
  };

  void enforceIfWhole();

  Root InForce_;
  std::optional<Root> Coming_;
  std::map<std::string, std::string> Chunks_;
  settings::SettingsTree Tree_;
  std::optional<base::TimePoint> FreshAt_;
  /// A confirmation of a root that is not in force yet.
  std::uint64_t ConfirmedVersion_ = 0;
  base::TimePoint ConfirmedAt_;
};

} // namespace lychee::fleet

#endif
