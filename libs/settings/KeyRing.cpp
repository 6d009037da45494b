#include "settings/KeyRing.h"

#include "base/Hash.h"

namespace lychee::settings {

std::string_view nameOf(KeyRefusal Reason) noexcept {
  switch (Reason) {
  case KeyRefusal::None:
    return "none";
  case KeyRefusal::Malformed:
    return "malformed-key";
  case KeyRefusal::Unknown:
    return "unknown-key";
  case KeyRefusal::Withdrawn:
    return "key-withdrawn";
  }
  return "none";
}

std::string hashKey(std::string_view Salt, std::string_view Presented) {
  std::string Text(Salt);
  Text += Presented;
  return base::sha256Hex(Text);
}

KeyRing::KeyRing(const Intent &Wanted) {
  Keys_.reserve(Wanted.Keys_.size());
  for (const auto &[Id, Entry] : Wanted.Keys_)
    Keys_.emplace(Id.name(), Entry);
}

std::optional<KeyOwner> KeyRing::check(std::string_view Presented,
                                       KeyRefusal &Why) const {
  Why = KeyRefusal::Malformed;
  if (Presented.size() > LongestKeyBytes)
    return std::nullopt;
  const std::size_t Dot = Presented.find('.');
  if (Dot == 0 || Dot == std::string_view::npos || Dot + 1 == Presented.size())
    return std::nullopt;
  const auto Match = Keys_.find(Presented.substr(0, Dot));
  // An unknown id costs the same hash as a known one: the time to refuse
  // would else tell a guesser which ids exist.
  static const Key NoKey{{}, {}, std::string(32, '0'), std::string(64, '-')};
  const Key &Entry = Match == Keys_.end() ? NoKey : Match->second;
  Why = KeyRefusal::Unknown;
  if (!base::equalInConstantTime(hashKey(Entry.Salt_, Presented), Entry.Hash_))
    return std::nullopt;
  Why = KeyRefusal::Withdrawn;
  if (Entry.Withdrawn_)
    return std::nullopt;
  Why = KeyRefusal::None;
  return KeyOwner{Entry.Customer_, Entry.Id_};
}

} // namespace lychee::settings
