#include "base/Hash.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace lychee::base {

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) noexcept {
  return XXH64(Text.data(), Text.size(), Seed);
}

std::string sha256Hex(std::string_view Text) {
  static constexpr char HexDigits[] = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  std::string Hex;
  Hex.reserve(2 * Digest.size());
  for (const unsigned char Byte : Digest) {
    Hex += HexDigits[Byte >> 4];
    Hex += HexDigits[Byte & 0xf];
  }
  return Hex;
}

bool equalInConstantTime(std::string_view Left,
                         std::string_view Right) noexcept {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace lychee::base
