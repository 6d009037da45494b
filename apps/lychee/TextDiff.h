#ifndef LYCHEE_APPS_LYCHEE_TEXTDIFF_H
#define LYCHEE_APPS_LYCHEE_TEXTDIFF_H

#include <map>
#include <string>
#include <string_view>

namespace lychee::command {

/// \returns the lines that differ, those of \p Before with "-" and those of
/// \p After with "+", each with its line number; empty where nothing differs.
std::string diffText(std::string_view Before, std::string_view After);

/// \returns the differences of all documents, each under its path.
std::string diffDocuments(const std::map<std::string, std::string> &Before,
                          const std::map<std::string, std::string> &After);

} // namespace lychee::command

#endif
