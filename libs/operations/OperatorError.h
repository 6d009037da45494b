#ifndef LYCHEE_OPERATIONS_OPERATORERROR_H
#define LYCHEE_OPERATIONS_OPERATORERROR_H

#include "base/Error.h"
#include "settings/Problem.h"
#include "settings/SettingsRoot.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::operations {

/// Why a command did not do what it was asked.
enum class Failure {
  None,
  /// The token opens no such path.
  Denied,
  /// The settings would be wrong; Problems_ tells all of it.
  Invalid,
  /// Another change came first; Overtaking_ and Present_ tell it.
  Conflict,
  NotFound,
  /// The store did not answer; nothing was changed.
  Unavailable,
  /// The store's answer was lost: the change may be there. The same command
  /// with the same change id settles it.
  Unknown,
};

/// \returns the name that stands in answers.
std::string_view nameOf(Failure Kind) noexcept;

/// The last reason that goes with an empty result of the operators' side.
struct OperatorError {
  Failure Kind_ = Failure::None;
  base::Error Cause_;
  settings::Problems Problems_;
  /// The changes of the same subtree since the version it was read at.
  std::vector<settings::SettingsChange> Overtaking_;
  /// Version and documents of the subtree as they stand now.
  std::uint64_t PresentVersion_ = 0;
  std::map<std::string, std::string> Present_;
};

} // namespace lychee::operations

#endif
