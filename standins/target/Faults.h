#ifndef LYCHEE_STANDINS_TARGET_FAULTS_H
#define LYCHEE_STANDINS_TARGET_FAULTS_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::standins::target {

/// What is wrong with a stand-in target now. All off by default.
struct Faults {
  /// Added to each request's work time.
  base::Duration Slow_{};
  /// Health answers 500 and work is closed without an answer.
  bool Down_ = false;
  /// Work is refused with 503 and the mark that it was not run.
  bool Shed_ = false;
  /// Work is refused in the same way, with this as Retry-After; empty: it is
  /// not.
  std::string Rest_;
  /// Answers to work say that the target leaves, in the header
  /// TargetSettings::LeavingHeader_.
  bool Leaving_ = false;
  /// A request whose path, query or body holds this crashes the target: every
  /// connection is closed at once and none is accepted for RefuseFor_.
  std::string CrashOn_;
  base::Duration RefuseFor_ = std::chrono::milliseconds(500);
  /// Connections open when this was set never answer again; new ones work.
  bool Silent_ = false;
  /// What /load tells in place of the truth.
  std::optional<std::uint32_t> LoadLie_;
  /// An answer ends after half of its body.
  bool Cut_ = false;
  /// An answer goes out this long after its work is done.
  base::Duration Late_{};
  /// Each answer is sent twice.
  bool Duplicate_ = false;
  /// Answers to work state this rate, in requests per second, in the header
  /// TargetSettings::RateHeader_; empty: none.
  std::string StatedRate_;
};

/// Reads faults from a query such as "slow_ms=50&shed=1"; what is not named is
/// off. \returns nothing where a name is not known.
std::optional<Faults> parseFaults(std::string_view Query);

/// \returns the text after "NAME=" in a query, empty where it is absent.
std::string_view queryValue(std::string_view Query,
                            std::string_view Name) noexcept;

/// \returns the number after "NAME=" in a query, or \p Otherwise.
std::uint64_t queryNumber(std::string_view Query, std::string_view Name,
                          std::uint64_t Otherwise) noexcept;

} // namespace lychee::standins::target

#endif
