#include "operations/TokenGuard.h"

#include "base/Hash.h"

#include <utility>

namespace lychee::operations {

bool Session::opens(std::string_view Path) const {
  return OpensAll_ || Path.substr(0, Path.find('/')) == Team_.name();
}

TokenGuard::TokenGuard(std::string BootstrapHash)
    : BootstrapHash_(std::move(BootstrapHash)) {}

std::optional<Session> TokenGuard::check(std::string_view Token,
                                         const settings::Intent *Wanted) const {
  if (Token.empty() || Token.size() > LongestTokenBytes)
    return std::nullopt;
  const std::string Hash = base::sha256Hex(Token);
  if (base::equalInConstantTime(Hash, BootstrapHash_))
    return Session{base::TeamId(), true};
  if (Wanted == nullptr)
    return std::nullopt;
  for (const auto &[Team, TeamHash] : Wanted->TeamTokenHashes_)
    if (base::equalInConstantTime(Hash, TeamHash))
      return Session{Team, false};
  return std::nullopt;
}

} // namespace lychee::operations
