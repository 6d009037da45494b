#ifndef LYCHEE_OPERATIONS_INIEDITOR_H
#define LYCHEE_OPERATIONS_INIEDITOR_H

#include <optional>
#include <string>
#include <string_view>

namespace lychee::operations {

/// One section of an INI text, as its heading names it.
struct SectionName {
  std::string_view Kind_;
  std::string_view Name_;
};

/// \returns whether \p Text holds the section.
bool hasSection(std::string_view Text, SectionName Section);

/// Sets one key of a section and leaves every other byte as the operators
/// wrote it, comments and order included.
/// \returns the new text, or nothing where the section does not stand in it.
std::optional<std::string> setEntry(std::string_view Text, SectionName Section,
                                    std::string_view Key,
                                    std::string_view Value);

} // namespace lychee::operations

#endif
