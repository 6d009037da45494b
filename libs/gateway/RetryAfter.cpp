#include "gateway/RetryAfter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>
#include <string>

namespace lychee::gateway {

namespace {

/// A form of dates, and what follows it.
struct DateForm {
  const char *Form_;
  std::string_view Suffix_;
};

/// The present form and the two obsolete ones, which recipients must accept.
constexpr std::array<DateForm, 3> DateForms = {{
    {"%a, %d %b %Y %H:%M:%S", " GMT"},
    {"%a, %d-%b-%y %H:%M:%S", " GMT"},
    {"%a %b %d %H:%M:%S %Y", ""},
}};

/// \returns seconds since 1970: in nanoseconds, as time points have them, dates
/// after 2262 would overflow.
std::optional<std::chrono::seconds> parseDate(std::string_view Text,
                                              const DateForm &Form) {
  constexpr int Unset = -1;
  if (!Text.ends_with(Form.Suffix_))
    return std::nullopt;
  Text.remove_suffix(Form.Suffix_.size());
  std::istringstream Input{std::string(Text)};
  Input.imbue(std::locale::classic());
  std::tm Parts{};
  // A text that ends too early is no error for get_time.
  Parts.tm_sec = Unset;
  Parts.tm_year = Unset;
  Input >> std::get_time(&Parts, Form.Form_);
  if (Input.fail() || Parts.tm_sec == Unset || Parts.tm_year == Unset ||
      Input.peek() != std::istringstream::traits_type::eof())
    return std::nullopt;
  return std::chrono::seconds(timegm(&Parts));
}

std::optional<std::chrono::seconds> parseDate(std::string_view Text) {
  for (const DateForm &Form : DateForms)
    if (const auto Date = parseDate(Text, Form))
      return Date;
  return std::nullopt;
}

} // namespace

std::optional<base::Duration> parseRetryAfter(std::string_view Text,
                                              base::WallPoint Now) {
  double Seconds = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds,
                      std::chars_format::fixed);
  if (Error == std::errc() && End == Text.data() + Text.size()) {
    if (!std::isfinite(Seconds) || Seconds < 0)
      return std::nullopt;
    return base::fromSeconds(std::min(Seconds, base::toSeconds(MaxRetryAfter)));
  }
  const std::optional<std::chrono::seconds> Date = parseDate(Text);
  if (!Date)
    return std::nullopt;
  const auto NowSeconds =
      std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch());
  const base::Duration Left = std::clamp<std::chrono::seconds>(
      *Date - NowSeconds, std::chrono::seconds::zero(),
      std::chrono::duration_cast<std::chrono::seconds>(MaxRetryAfter));
  return std::max(base::Duration::zero(),
                  Left - (Now.time_since_epoch() - NowSeconds));
}

} // namespace lychee::gateway
