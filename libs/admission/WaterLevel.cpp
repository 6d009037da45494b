#include "admission/WaterLevel.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace lychee::admission {

double waterLevel(std::span<const WeightedDemand> Demands, double Share) {
  std::vector<WeightedDemand> Sorted;
  double Total = 0;
  double Weights = 0;
  for (const WeightedDemand &Each : Demands) {
    if (Each.PerSecond_ <= 0 || Each.Weight_ <= 0)
      continue;
    Sorted.push_back(Each);
    Total += Each.PerSecond_;
    Weights += Each.Weight_;
  }
  if (Share >= 1)
    return std::numeric_limits<double>::infinity();
  std::sort(Sorted.begin(), Sorted.end(),
            [](const WeightedDemand &Left, const WeightedDemand &Right) {
              return Left.PerSecond_ * Right.Weight_ <
                     Right.PerSecond_ * Left.Weight_;
            });
  double Left = Total * std::max(0.0, Share);
  for (const WeightedDemand &Each : Sorted) {
    const double Level = Left / Weights;
    if (Each.PerSecond_ > Level * Each.Weight_)
      return Level;
    Left -= Each.PerSecond_;
    Weights -= Each.Weight_;
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace lychee::admission
