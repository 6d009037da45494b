#include "steering/ReturnTime.h"

#include <algorithm>

namespace lychee::steering {

namespace {

constexpr double SpreadShare = 0.5;
constexpr base::Duration MinSpread = std::chrono::milliseconds(200);
constexpr base::Duration MaxSpread = std::chrono::seconds(5);

} // namespace

base::Duration returnAfterRest(base::Duration First, base::Random &Random) {
  const double Spread = base::toSeconds(
      std::clamp(base::fromSeconds(base::toSeconds(First) * SpreadShare),
                 MinSpread, MaxSpread));
  return First + base::fromSeconds(Spread * base::drawUnit(Random));
}

} // namespace lychee::steering
