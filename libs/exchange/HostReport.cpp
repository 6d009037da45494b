#include "exchange/HostReport.h"

#include "base/Hash.h"

#include <bit>
#include <string>

namespace lychee::exchange {

namespace {

/// \returns \p Amount to a quarter of its power of two.
std::uint64_t coarse(std::int64_t Amount) noexcept {
  if (Amount <= 0)
    return 0;
  const auto Value = static_cast<std::uint64_t>(Amount);
  const auto Width = static_cast<std::uint64_t>(std::bit_width(Value));
  constexpr std::uint64_t KeptBits = 3;
  return Width <= KeptBits ? Value
                           : (Value >> (Width - KeptBits)) + 100 * Width;
}

} // namespace

std::uint64_t significanceOf(const HostReport &Report) {
  std::string Text = std::to_string(Report.Entered_);
  const auto Add = [&Text](std::string_view Name, std::uint64_t Value) {
    Text += ' ';
    Text += Name;
    Text += std::to_string(Value);
  };
  for (const steering::PeerLoad &Each : Report.Round_.Loads_)
    Add(Each.Target_.name(), Each.InFlight_);
  for (const steering::SpareSlots &Each : Report.Round_.SpareSlots_) {
    Add(Each.Service_.name(), 0);
    Add(Each.Region_.name(), Each.Free_);
  }
  for (const budget::SpareOffer &Each : Report.Offers_) {
    Add(Each.Budget_, coarse(Each.Rate_));
    Add("tokens", coarse(Each.Tokens_));
  }
  for (const retrying::CrashEvidence &Each : Report.Evidence_)
    Add("evidence", Each.Fingerprint_ ^ Each.Target_);
  return base::stableHash(Text);
}

} // namespace lychee::exchange
