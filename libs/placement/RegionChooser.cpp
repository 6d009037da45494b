#include "placement/RegionChooser.h"

namespace lychee::placement {

namespace {

/// \returns why the region cannot take steered requests; empty where it can.
std::string_view rejectionReason(const RegionOption &Option) noexcept {
  if (Option.UsableTargets_ == 0)
    return "no-healthy-target";
  if (!Option.HasFreeSlot_ || !Option.HasHeadroom_)
    return "no-headroom";
  if (!Option.LinkHasCapacity_)
    return "no-link";
  return {};
}

} // namespace

RegionChoice
RegionChooser::choose(std::span<const RegionOption> Options) noexcept {
  if (Options.empty())
    return {std::nullopt, "no-healthy-target"};
  const RegionOption &Nearest = Options.front();
  const bool NearestLost = Nearest.UsableTargets_ == 0;
  if (!NearestLost && Nearest.HasFreeSlot_)
    return {0, "nearest"};

  std::string_view RefusalReason = "no-healthy-target";
  for (std::size_t Index = 1; Index < Options.size(); ++Index) {
    const RegionOption &Other = Options[Index];
    const std::string_view Reason = rejectionReason(Other);
    if (!Reason.empty()) {
      // A full region is the more useful reason for the caller than a lost one.
      if (Reason != "no-healthy-target")
        RefusalReason = Reason;
      continue;
    }
    if (NearestLost)
      return {Index, "spill-lost"};
    if (Nearest.ExpectedWait_ > Other.RoundTrip_ * WaitFactor)
      return {Index, "spill-full"};
  }
  if (!NearestLost)
    return {0, "nearest-wait"};
  return {std::nullopt, RefusalReason};
}

} // namespace lychee::placement
