#include "settings/SettingsTree.h"

#include "settings/IntentParser.h"

namespace lychee::settings {

namespace {

/// The root names each document in some 150 bytes and has to fit into one
/// value of the store, a megabyte, with the changes that it remembers.
constexpr std::size_t DocumentCountLimit = 5000;

} // namespace

std::optional<Intent> parseIntent(const SettingsTree &Tree, Problems &Found) {
  const std::size_t Before = Found.size();
  if (Tree.Documents_.size() > DocumentCountLimit)
    Found.push_back({"tree", 0, "documents",
                     std::to_string(Tree.Documents_.size()),
                     "at most " + std::to_string(DocumentCountLimit)});
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
