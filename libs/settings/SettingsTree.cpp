#include "settings/SettingsTree.h"

#include "settings/IntentParser.h"

namespace lychee::settings {

std::optional<Intent> parseIntent(const SettingsTree &Tree, Problems &Found) {
  const std::size_t Before = Found.size();
  IntentDraft Draft;
  Draft.Wanted_.Version_ = Tree.Version_;
  for (const auto &[Path, Text] : Tree.Documents_)
    readDocument(Path, Text, Draft, Found);
  checkIntent(Draft, Found);
  if (Found.size() != Before)
    return std::nullopt;
  return std::move(Draft.Wanted_);
}

} // namespace lychee::settings
