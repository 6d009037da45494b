#include "transport/PercentEncoding.h"

namespace lychee::transport {

namespace {

bool isUnreserved(char Character) noexcept {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '.' || Character == '_' || Character == '~';
}

} // namespace

std::string percentEncode(std::string_view Text) {
  static constexpr std::string_view HexDigits = "0123456789ABCDEF";
  std::string Encoded;
  Encoded.reserve(Text.size());
  for (const char Character : Text) {
    if (isUnreserved(Character)) {
      Encoded += Character;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Character);
    Encoded += '%';
    Encoded += HexDigits[Byte >> 4];
    Encoded += HexDigits[Byte & 0xf];
  }
  return Encoded;
}

} // namespace lychee::transport
