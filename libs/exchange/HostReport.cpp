#include "exchange/HostReport.h"

#include "base/Hash.h"

#include <bit>
#include <string>

namespace lychee::exchange {

namespace {

/// \returns \p Amount rounded down to a quarter of its power of two.
std::uint64_t quantize(std::int64_t Amount) noexcept {
  if (Amount <= 0)
    return 0;
  const auto Value = static_cast<std::uint64_t>(Amount);
  const auto Width = static_cast<std::uint64_t>(std::bit_width(Value));
  constexpr std::uint64_t KeptBits = 3;
  return Width <= KeptBits ? Value
                           : (Value >> (Width - KeptBits)) + 100 * Width;
}

} // namespace

std::uint64_t significanceHash(const HostReport &Report) {
  std::string Text = std::to_string(Report.EnteredEpoch_);
  const auto Add = [&Text](std::string_view Name, std::uint64_t Value) {
    Text += ' ';
    Text += Name;
    Text += std::to_string(Value);
  };
  for (const steering::PeerLoad &Entry : Report.LoadUpdate_.Loads_)
    Add(Entry.Target_.name(), Entry.InFlight_);
  for (const steering::SpareSlots &Entry : Report.LoadUpdate_.SpareSlots_) {
    Add(Entry.Service_.name(), 0);
    Add(Entry.Region_.name(), Entry.Free_);
  }
  for (const budget::SpareOffer &Entry : Report.Offers_) {
    Add(Entry.Budget_, quantize(Entry.Rate_));
    Add("tokens", quantize(Entry.Tokens_));
  }
  for (const retrying::CrashEvidence &Entry : Report.Evidence_)
    Add("evidence", Entry.Fingerprint_ ^ Entry.Target_);
  return base::stableHash(Text);
}

} // namespace lychee::exchange
