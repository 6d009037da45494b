#include "support/RateWindows.h"

#include <algorithm>

namespace lychee::tests {

std::size_t mostInWindow(std::span<const base::TimePoint> Arrivals,
                         base::TimePoint Begin) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Arrivals.size(); ++Last) {
    while (Arrivals[First] < Begin && First < Last)
      ++First;
    while (Arrivals[Last] - Arrivals[First] >= RateWindow)
      ++First;
    if (Arrivals[First] >= Begin)
      Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

} // namespace lychee::tests
