#ifndef LYCHEE_SETTINGS_KEYRING_H
#define LYCHEE_SETTINGS_KEYRING_H

#include "settings/Intent.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lychee::settings {

/// Whose key it was.
struct KeyOwner {
  base::CustomerId Customer_;
  base::KeyId Key_;
};

/// Why a key was not accepted. A key with the right id and a wrong secret is
/// Unknown: the answer does not tell which ids exist.
enum class KeyRefusal { None, Malformed, Unknown, Withdrawn };

/// \returns the name that stands in log lines.
std::string_view nameOf(KeyRefusal Reason) noexcept;

/// \returns what stands in the settings for \p Presented, "ID.SECRET".
std::string hashKey(std::string_view Salt, std::string_view Presented);

/// Tells whose key a caller shows. Made from one version of the Intent and
/// immutable, so that any thread may ask; to be asked on each request, as a
/// withdrawn key has to stop on an open connection too.
class KeyRing {
public:
  /// A longer key is malformed: hashing it would let a caller choose how much
  /// work each refusal costs. Keys that we hand out have some 80 bytes.
  static constexpr std::size_t LongestKeyBytes = 256;

  KeyRing() = default;
  explicit KeyRing(const Intent &Wanted);

  /// \param Presented  "ID.SECRET", as the caller sent it; kept nowhere.
  /// \returns nothing, and \p Why, where the key opens nothing.
  std::optional<KeyOwner> check(std::string_view Presented,
                                KeyRefusal &Why) const;

private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const noexcept {
      return std::hash<std::string_view>()(Text);
    }
  };

  std::unordered_map<std::string, Key, TextHash, std::equal_to<>> Keys_;
};

} // namespace lychee::settings

#endif
