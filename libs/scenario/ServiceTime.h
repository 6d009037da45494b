#ifndef LYCHEE_SCENARIO_SERVICETIME_H
#define LYCHEE_SCENARIO_SERVICETIME_H

#include "base/Random.h"
#include "base/Time.h"

#include <optional>
#include <string_view>

namespace lychee::scenario {

/// How long a target works on a request, as a distribution.
struct ServiceTime {
  enum class Shape {
    Fixed,
    Exponential,
    /// Mostly Typical_, and LongShare_ of them Long_: long work among short.
    Mixed,
  };

  Shape Shape_ = Shape::Exponential;
  base::Duration Typical_ = std::chrono::milliseconds(50);
  base::Duration Long_{};
  double LongShare_ = 0;

  base::Duration draw(base::Random &Source) const;
  base::Duration mean() const noexcept;
};

/// Parses "fixed:20ms", "exponential:50ms" or "mixed:20ms,2s,5%".
std::optional<ServiceTime> parseServiceTime(std::string_view Text);

} // namespace lychee::scenario

#endif
