#include "base/KeyValueLine.h"

#include <algorithm>

namespace lychee::base {

namespace {

bool isPlain(unsigned char Character) noexcept {
  return Character > ' ' && Character < 0x7f && Character != '"' &&
         Character != '=' && Character != '\\';
}

void appendEscaped(std::string &Text, unsigned char Character) {
  static constexpr char HexDigits[] = "0123456789abcdef";
  if (Character == '"' || Character == '\\') {
    Text += '\\';
    Text += static_cast<char>(Character);
    return;
  }
  if (Character >= ' ' && Character < 0x7f) {
    Text += static_cast<char>(Character);
    return;
  }
  Text += "\\x";
  Text += HexDigits[Character >> 4];
  Text += HexDigits[Character & 0xf];
}

} // namespace

KeyValueLine &KeyValueLine::add(std::string_view Key, std::string_view Value) {
  if (!Text_.empty())
    Text_ += ' ';
  Text_ += Key;
  Text_ += '=';
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain)) {
    Text_ += Value;
    return *this;
  }
  Text_ += '"';
  for (const char Character : Value)
    appendEscaped(Text_, static_cast<unsigned char>(Character));
  Text_ += '"';
  return *this;
}

} // namespace lychee::base
