#include "scenario/Units.h"

#include <array>
#include <charconv>

namespace lychee::scenario {

namespace {

struct Unit {
  std::string_view Suffix_;
  double Factor_;
};

/// Longer suffixes first, as "ms" ends in "s".
constexpr std::array<Unit, 4> TimeUnits{
    {{"min", 60e9}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}}};
constexpr std::array<Unit, 3> ByteUnits{{{"kB", 1e3}, {"MB", 1e6}, {"B", 1}}};
constexpr std::array<Unit, 2> RateUnits{{{"Mbit", 1e6}, {"Gbit", 1e9}}};

template <std::size_t Count>
std::optional<double> parseWithUnit(std::string_view Text,
                                    const std::array<Unit, Count> &Units) {
  for (const Unit &Known : Units) {
    if (!Text.ends_with(Known.Suffix_))
      continue;
    Text.remove_suffix(Known.Suffix_.size());
    const auto Value = parseNumber(Text);
    if (!Value)
      return std::nullopt;
    return *Value * Known.Factor_;
  }
  return std::nullopt;
}

} // namespace

std::optional<double> parseNumber(std::string_view Text) {
  if (Text.empty())
    return std::nullopt;
  double Value = 0;
  const char *const Begin = &*Text.begin();
  const char *const End = Begin + Text.size();
  const auto Result = std::from_chars(Begin, End, Value);
  const bool Whole = Result.ec == std::errc() && Result.ptr == End;
  if (!Whole || !(Value >= 0) || Value > 1e15)
    return std::nullopt;
  return Value;
}

std::optional<base::Duration> parseDuration(std::string_view Text) {
  const auto Value = parseWithUnit(Text, TimeUnits);
  if (!Value || *Value > 1e15)
    return std::nullopt;
  return base::Duration(static_cast<std::int64_t>(*Value));
}

std::optional<double> parseShare(std::string_view Text) {
  if (!Text.ends_with('%'))
    return parseNumber(Text);
  Text.remove_suffix(1);
  const auto Value = parseNumber(Text);
  if (!Value)
    return std::nullopt;
  return *Value / 100;
}

std::optional<std::uint64_t> parseBytes(std::string_view Text) {
  const auto Value = parseWithUnit(Text, ByteUnits);
  if (!Value)
    return std::nullopt;
  return static_cast<std::uint64_t>(*Value);
}

std::optional<std::uint64_t> parseBitRate(std::string_view Text) {
  const auto Value = parseWithUnit(Text, RateUnits);
  if (!Value)
    return std::nullopt;
  return static_cast<std::uint64_t>(*Value);
}

} // namespace lychee::scenario
