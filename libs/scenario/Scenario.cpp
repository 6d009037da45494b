#include "scenario/Scenario.h"

#include <array>

namespace lychee::scenario {

std::string_view nameOf(EventSpec::Kind Kind) noexcept {
  static constexpr std::array<std::string_view, 17> Names = {
      "slow",       "down",        "sheds",        "silent",
      "lies",       "reports-lag", "reports-stop", "region-lost",
      "host-gone",  "peers-cut",   "load-factor",  "poison",
      "drain",      "shift-start", "shift-hold",   "shift-resume",
      "shift-abort"};
  return Names[static_cast<std::size_t>(Kind)];
}

} // namespace lychee::scenario
