#ifndef LYCHEE_OPERATIONS_TOKENGUARD_H
#define LYCHEE_OPERATIONS_TOKENGUARD_H

#include "settings/Intent.h"

#include <optional>
#include <string>
#include <string_view>

namespace lychee::operations {

/// What a token opens: one team's subtree, or every path.
struct Session {
  base::TeamId Team_;
  bool OpensAll_ = false;

  /// \returns whether the session may read and change \p Path.
  bool opens(std::string_view Path) const;
};

/// Tells which paths an operator's token opens. Tokens are never kept: the
/// settings hold a hash for each team, the daemon's file one for all paths.
class TokenGuard {
public:
  /// A longer token is refused unread, as hashing it costs time.
  static constexpr std::size_t LongestTokenBytes = 256;

  explicit TokenGuard(std::string BootstrapHash);

  /// \param Wanted  the settings in force, null before the first.
  std::optional<Session> check(std::string_view Token,
                               const settings::Intent *Wanted) const;

private:
  const std::string BootstrapHash_;
};

} // namespace lychee::operations

#endif
