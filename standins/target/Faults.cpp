#include "standins/target/Faults.h"

#include <charconv>

namespace lychee::standins::target {

namespace {

std::uint64_t numberOf(std::string_view Text,
                       std::uint64_t Otherwise) noexcept {
  std::uint64_t Number = Otherwise;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

bool setFault(Faults &Set, std::string_view Name, std::string_view Value) {
  const std::uint64_t Number = numberOf(Value, 0);
  const auto Span = std::chrono::milliseconds(Number);
  if (Name == "slow_ms")
    Set.Slow_ = Span;
  else if (Name == "down")
    Set.Down_ = Number != 0;
  else if (Name == "shed")
    Set.Shed_ = Number != 0;
  else if (Name == "rest")
    Set.Rest_ = Value;
  else if (Name == "leaving")
    Set.Leaving_ = Number != 0;
  else if (Name == "crash_on")
    Set.CrashOn_ = Value;
  else if (Name == "refuse_ms")
    Set.RefuseFor_ = Span;
  else if (Name == "silent")
    Set.Silent_ = Number != 0;
  else if (Name == "load")
    Set.LoadLie_ = static_cast<std::uint32_t>(Number);
  else if (Name == "cut")
    Set.Cut_ = Number != 0;
  else if (Name == "late_ms")
    Set.Late_ = Span;
  else if (Name == "duplicate")
    Set.Duplicate_ = Number != 0;
  else if (Name == "rate")
    Set.StatedRate_ = Value;
  else
    return false;
  return true;
}

} // namespace

std::optional<Faults> parseFaults(std::string_view Query) {
  Faults Set;
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Equals == std::string_view::npos ||
        !setFault(Set, Pair.substr(0, Equals), Pair.substr(Equals + 1)))
      return std::nullopt;
    if (End == std::string_view::npos)
      break;
    Query.remove_prefix(End + 1);
  }
  return Set;
}

std::string_view queryValue(std::string_view Query,
                            std::string_view Name) noexcept {
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    if (Pair.size() > Name.size() && Pair.starts_with(Name) &&
        Pair[Name.size()] == '=')
      return Pair.substr(Name.size() + 1);
    if (End == std::string_view::npos)
      break;
    Query.remove_prefix(End + 1);
  }
  return {};
}

std::uint64_t queryNumber(std::string_view Query, std::string_view Name,
                          std::uint64_t Otherwise) noexcept {
  return numberOf(queryValue(Query, Name), Otherwise);
}

} // namespace lychee::standins::target
