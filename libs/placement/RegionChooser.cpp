#include "placement/RegionChooser.h"

namespace lychee::placement {

namespace {

/// \returns why the region cannot take steered work; empty where it can.
std::string_view obstacle(const RegionOption &Option) noexcept {
  if (Option.Usable_ == 0)
    return "no-healthy-target";
  if (!Option.Room_ || !Option.Headroom_)
    return "no-headroom";
  if (!Option.Link_)
    return "no-link";
  return {};
}

} // namespace

RegionChoice
RegionChooser::choose(std::span<const RegionOption> Options) noexcept {
  if (Options.empty())
    return {std::nullopt, "no-healthy-target"};
  const RegionOption &Nearest = Options.front();
  const bool NearestLost = Nearest.Usable_ == 0;
  if (!NearestLost && Nearest.Room_)
    return {0, "nearest"};

  std::string_view LastObstacle = "no-healthy-target";
  for (std::size_t Index = 1; Index < Options.size(); ++Index) {
    const RegionOption &Other = Options[Index];
    const std::string_view Found = obstacle(Other);
    if (!Found.empty()) {
      // A region that is merely full tells the caller more than a lost one.
      if (Found != "no-healthy-target")
        LastObstacle = Found;
      continue;
    }
    if (NearestLost)
      return {Index, "spill-lost"};
    if (Nearest.Wait_ > Other.RoundTrip_ * WaitFactor)
      return {Index, "spill-full"};
  }
  if (!NearestLost)
    return {0, "nearest-wait"};
  return {std::nullopt, LastObstacle};
}

} // namespace lychee::placement
