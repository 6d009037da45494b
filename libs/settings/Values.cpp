#include "settings/Values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <span>

namespace lychee::settings {

namespace {

constexpr std::size_t NameLimit = 40;
constexpr std::string_view Digits = "0123456789";

struct Unit {
  std::string_view Name_;
  std::uint64_t Factor_;
};

constexpr std::array<Unit, 5> DurationUnits{{{"us", 1'000},
                                             {"ms", 1'000'000},
                                             {"s", 1'000'000'000},
                                             {"m", 60'000'000'000},
                                             {"h", 3'600'000'000'000}}};

constexpr std::array<Unit, 4> SizeUnits{
    {{"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}}};

constexpr std::array<Unit, 3> BitRateUnits{
    {{"kbit/s", 1'000}, {"Mbit/s", 1'000'000}, {"Gbit/s", 1'000'000'000}}};

/// \returns number times unit, unless that is beyond a Duration's range.
std::optional<std::uint64_t> parseWithUnit(std::string_view Text,
                                           std::span<const Unit> Units) {
  constexpr auto Largest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const std::size_t End = Text.find_first_not_of(Digits);
  if (End == std::string_view::npos)
    return std::nullopt;
  const std::optional<std::uint64_t> Count = parseCount(Text.substr(0, End));
  if (!Count)
    return std::nullopt;
  const auto Found = std::find_if(
      Units.begin(), Units.end(),
      [Name = Text.substr(End)](const Unit &U) { return U.Name_ == Name; });
  if (Found == Units.end() || *Count > Largest / Found->Factor_)
    return std::nullopt;
  return *Count * Found->Factor_;
}

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '-';
}

/// Reads a fixed number of digits and the separator after them.
std::optional<int> takeField(std::string_view &Rest, std::size_t Width,
                             char Separator) {
  if (Rest.size() <= Width || Rest[Width] != Separator)
    return std::nullopt;
  const std::optional<std::uint64_t> Value = parseCount(Rest.substr(0, Width));
  Rest.remove_prefix(Width + 1);
  if (!Value)
    return std::nullopt;
  return static_cast<int>(*Value);
}

} // namespace

std::optional<std::uint64_t> parseCount(std::string_view Text) noexcept {
  std::uint64_t Value = 0;
  const auto [Stop, Code] = std::from_chars(Text.begin(), Text.end(), Value);
  if (Text.empty() || Code != std::errc() || Stop != Text.end())
    return std::nullopt;
  return Value;
}

std::optional<double> parseNumber(std::string_view Text) noexcept {
  // Digits and a point only: from_chars would also take "nan", "inf", "1e308".
  if (Text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  double Value = 0;
  const auto [Stop, Code] = std::from_chars(Text.begin(), Text.end(), Value);
  if (Text.empty() || Code != std::errc() || Stop != Text.end())
    return std::nullopt;
  if (!std::isfinite(Value))
    return std::nullopt;
  return Value;
}

std::optional<base::Duration> parseDuration(std::string_view Text) noexcept {
  const auto Nanoseconds = parseWithUnit(Text, DurationUnits);
  if (!Nanoseconds)
    return std::nullopt;
  return base::Duration(static_cast<std::int64_t>(*Nanoseconds));
}

std::optional<std::uint64_t> parseSize(std::string_view Text) noexcept {
  return parseWithUnit(Text, SizeUnits);
}

std::optional<std::uint64_t> parseBitRate(std::string_view Text) noexcept {
  return parseWithUnit(Text, BitRateUnits);
}

std::optional<bool> parseYesNo(std::string_view Text) noexcept {
  if (Text == "yes")
    return true;
  if (Text == "no")
    return false;
  return std::nullopt;
}

std::optional<base::WallPoint> parseWallTime(std::string_view Text) noexcept {
  namespace chrono = std::chrono;
  // Years beyond this leave the range of nanoseconds since 1970.
  constexpr int LastYear = 2200;
  const auto Year = takeField(Text, 4, '-');
  const auto Month = takeField(Text, 2, '-');
  const auto Day = takeField(Text, 2, 'T');
  const auto Hour = takeField(Text, 2, ':');
  const auto Minute = takeField(Text, 2, ':');
  const auto Second = takeField(Text, 2, 'Z');
  if (!Year || !Month || !Day || !Hour || !Minute || !Second || !Text.empty())
    return std::nullopt;
  const chrono::year_month_day Date{
      chrono::year(*Year), chrono::month(static_cast<unsigned>(*Month)),
      chrono::day(static_cast<unsigned>(*Day))};
  if (!Date.ok() || *Year < 1970 || *Year > LastYear)
    return std::nullopt;
  if (*Hour > 23 || *Minute > 59 || *Second > 59)
    return std::nullopt;
  const auto Days = chrono::sys_days(Date).time_since_epoch();
  return base::WallPoint(Days + chrono::hours(*Hour) +
                         chrono::minutes(*Minute) + chrono::seconds(*Second));
}

std::string formatWallTime(base::WallPoint Time) {
  namespace chrono = std::chrono;
  const auto Seconds = chrono::floor<chrono::seconds>(
      chrono::sys_time<base::Duration>(Time.time_since_epoch()));
  const auto Day = chrono::floor<chrono::days>(Seconds);
  const chrono::year_month_day Date(Day);
  const chrono::hh_mm_ss OfDay(Seconds - Day);
  const auto Part = [](auto Number) {
    return (Number < 10 ? "0" : "") + std::to_string(Number);
  };
  return std::to_string(static_cast<int>(Date.year())) + "-" +
         Part(static_cast<unsigned>(Date.month())) + "-" +
         Part(static_cast<unsigned>(Date.day())) + "T" +
         Part(OfDay.hours().count()) + ":" + Part(OfDay.minutes().count()) +
         ":" + Part(OfDay.seconds().count()) + "Z";
}

std::optional<std::uint32_t> parseAddress(std::string_view Text) noexcept {
  constexpr int Octets = 4;
  std::uint32_t Address = 0;
  for (int Index = 0; Index < Octets; ++Index) {
    const bool Last = Index == Octets - 1;
    const std::size_t End = Last ? Text.size() : Text.find('.');
    if (End == std::string_view::npos || End == 0 || End > 3)
      return std::nullopt;
    const auto Octet = parseCount(Text.substr(0, End));
    if (!Octet || *Octet > 255 || (End > 1 && Text.front() == '0'))
      return std::nullopt;
    Address = Address << 8 | static_cast<std::uint32_t>(*Octet);
    Text.remove_prefix(Last ? End : End + 1);
  }
  return Address;
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos || !parseAddress(Text.substr(0, Colon)))
    return std::nullopt;
  const auto Port = parseCount(Text.substr(Colon + 1));
  if (!Port || *Port > std::numeric_limits<std::uint16_t>::max())
    return std::nullopt;
  return Endpoint{std::string(Text.substr(0, Colon)),
                  static_cast<std::uint16_t>(*Port)};
}

std::optional<ClientBlock> parseNetwork(std::string_view Text) noexcept {
  constexpr unsigned AddressBits = 32;
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const auto Network = parseAddress(Text.substr(0, Slash));
  const auto Length = parseCount(Text.substr(Slash + 1));
  if (!Network || !Length || *Length > AddressBits)
    return std::nullopt;
  const auto Prefix = static_cast<std::uint8_t>(*Length);
  if (Prefix < AddressBits && (*Network & (0xffffffffU >> Prefix)) != 0)
    return std::nullopt;
  ClientBlock Block;
  Block.Network_ = *Network;
  Block.PrefixLength_ = Prefix;
  return Block;
}

bool isName(std::string_view Text) noexcept {
  return !Text.empty() && Text.size() <= NameLimit &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter) &&
         Text.front() != '-' && Text.back() != '-';
}

bool isHexadecimal(std::string_view Text) noexcept {
  return Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::vector<std::string_view> splitWords(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  std::vector<std::string_view> Words;
  std::size_t Start = Text.find_first_not_of(Blanks);
  while (Start != std::string_view::npos) {
    const std::size_t End =
        std::min(Text.find_first_of(Blanks, Start), Text.size());
    Words.push_back(Text.substr(Start, End - Start));
    Start = Text.find_first_not_of(Blanks, End);
  }
  return Words;
}

} // namespace lychee::settings
