#include "settings/Problem.h"

#include <algorithm>

namespace lychee::settings {

namespace {

/// Long enough to recognize a value by; a report of many stays readable.
constexpr std::size_t ShownBytes = 60;

/// A settings text may hold any byte, and the report goes to terminals and
/// logs: a control character would move the cursor or end a log line.
std::string shown(std::string_view Text) {
  std::string Printable(Text.substr(0, ShownBytes));
  std::replace_if(
      Printable.begin(), Printable.end(),
      [](unsigned char Byte) { return Byte < ' ' || Byte >= 0x7f; }, '?');
  if (Text.size() > ShownBytes)
    Printable += "...";
  return Printable;
}

} // namespace

std::string Problem::describe() const {
  std::string Text = shown(File_);
  if (Line_ > 0)
    Text += ":" + std::to_string(Line_);
  Text += ": " + shown(Key_) + ": found " + shown(Found_);
  return Text + ", allowed " + Allowed_;
}

} // namespace lychee::settings
