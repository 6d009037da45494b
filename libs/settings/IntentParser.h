#ifndef LYCHEE_SETTINGS_INTENTPARSER_H
#define LYCHEE_SETTINGS_INTENTPARSER_H

#include "settings/SectionReader.h"
#include "settings/SettingsTree.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::settings {

/// Where a thing was described, for problems that concern two of them.
struct Origin {
  std::string File_;
  int Line_ = 0;
  base::TeamId Team_;

  std::string text() const { return File_ + ":" + std::to_string(Line_); }
};

/// An Intent in the making, with the place that each of its parts came from:
/// what the cross-checks need to name file and line. \see checkIntent
struct IntentDraft {
  Intent Wanted_;
  /// Origin by heading, such as "region fukuoka".
  std::map<std::string, Origin, std::less<>> Origins_;
  /// Targets in the order of their documents, with the service each names.
  std::vector<std::pair<base::ServiceId, Target>> Targets_;
  /// Client blocks by the site that each heading names.
  struct SiteBlocks {
    base::SiteId Site_;
    Origin Origin_;
    std::vector<ClientBlock> Blocks_;
  };
  std::vector<SiteBlocks> SiteBlocks_;
};

/// Reads one document into the draft; its team is the first part of the path.
void readDocument(std::string_view Path, std::string_view Text,
                  IntentDraft &Draft, Problems &Found);

/// Puts the draft's parts together and checks them against one another.
void checkIntent(IntentDraft &Draft, Problems &Found);

} // namespace lychee::settings

#endif
