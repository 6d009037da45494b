#include "operations/SecretScan.h"

#include "settings/KeyRing.h"

namespace lychee::operations {

namespace {

/// What stands around a word in INI text.
constexpr std::string_view Separators = " \t\r\n;#=[]\"'`,()|";

/// \returns the key that \p Word opens, or null. Hashes only words that begin
/// with a known id, so that a large document costs a look-up a word.
const settings::Key *openedBy(std::string_view Word,
                              const settings::Intent &Wanted) {
  const std::size_t Dot = Word.find('.');
  if (Dot == std::string_view::npos || Dot + 1 == Word.size() ||
      Word.size() > settings::KeyRing::LongestKeyBytes)
    return nullptr;
  const auto Match = Wanted.Keys_.find(base::KeyId(Word.substr(0, Dot)));
  if (Match == Wanted.Keys_.end())
    return nullptr;
  const settings::Key &Entry = Match->second;
  return settings::hashKey(Entry.Salt_, Word) == Entry.Hash_ ? &Entry : nullptr;
}

} // namespace

void findKeys(std::string_view Path, std::string_view Text,
              const settings::Intent &Wanted, settings::Problems &Found) {
  int Line = 1;
  while (!Text.empty()) {
    const std::size_t End = Text.find_first_of(Separators);
    if (const settings::Key *Opened = openedBy(Text.substr(0, End), Wanted))
      Found.push_back({std::string(Path), Line, "text",
                       "the key " + Opened->Id_.name() + " itself",
                       "its salted hash only; withdraw this key, it is known"});
    if (End == std::string_view::npos)
      return;
    Line += Text[End] == '\n' ? 1 : 0;
    Text.remove_prefix(End + 1);
  }
}

} // namespace lychee::operations
