#include "scenario/ServiceTime.h"

#include "scenario/Units.h"

#include <cmath>

namespace lychee::scenario {

base::Duration ServiceTime::draw(base::Random &Source) const {
  // One draw in every shape, so that a change of shape leaves the rest of a
  // seed's numbers where they were.
  const double Drawn = base::drawUnit(Source);
  switch (Shape_) {
  case Shape::Fixed:
    return Typical_;
  case Shape::Exponential:
    return base::fromSeconds(-std::log(1 - Drawn) * base::toSeconds(Typical_));
  case Shape::Mixed:
    return Drawn < LongShare_ ? Long_ : Typical_;
  }
  return Typical_;
}

base::Duration ServiceTime::mean() const noexcept {
  if (Shape_ != Shape::Mixed)
    return Typical_;
  return base::fromSeconds((1 - LongShare_) * base::toSeconds(Typical_) +
                           LongShare_ * base::toSeconds(Long_));
}

std::optional<ServiceTime> parseServiceTime(std::string_view Text) {
  const auto Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view Shape = Text.substr(0, Colon);
  std::string_view Rest = Text.substr(Colon + 1);
  ServiceTime Parsed;
  if (Shape == "fixed" || Shape == "exponential") {
    const auto Typical = parseDuration(Rest);
    if (!Typical)
      return std::nullopt;
    Parsed.Shape_ = Shape == "fixed" ? ServiceTime::Shape::Fixed
                                     : ServiceTime::Shape::Exponential;
    Parsed.Typical_ = *Typical;
    return Parsed;
  }
  const auto First = Rest.find(',');
  const auto Second = Rest.find(',', First + 1);
  if (Shape != "mixed" || First == std::string_view::npos ||
      Second == std::string_view::npos)
    return std::nullopt;
  const auto Typical = parseDuration(Rest.substr(0, First));
  const auto Long = parseDuration(Rest.substr(First + 1, Second - First - 1));
  const auto Share = parseShare(Rest.substr(Second + 1));
  if (!Typical || !Long || !Share)
    return std::nullopt;
  return ServiceTime{ServiceTime::Shape::Mixed, *Typical, *Long, *Share};
}

} // namespace lychee::scenario
