#ifndef LYCHEE_SETTINGS_INIDOCUMENT_H
#define LYCHEE_SETTINGS_INIDOCUMENT_H

#include "settings/Problem.h"

#include <string>
#include <string_view>
#include <vector>

namespace lychee::settings {

/// One "key = value" line.
struct IniEntry {
  std::string Key_;
  std::string Value_;
  int Line_ = 0;
};

/// One heading, such as "[region fukuoka]", and the entries under it.
struct IniSection {
  /// First word of the heading: what it describes.
  std::string Kind_;
  /// Second word: which one; empty where the heading has one word.
  std::string Name_;
  int Line_ = 0;
  std::vector<IniEntry> Entries_;
};

/// An INI text, cut into sections and entries but not yet understood.
struct IniDocument {
  std::vector<IniSection> Sections_;
};

/// Cuts \p Text up with libinih. A line that is too long, holds a NUL byte or
/// bad UTF-8, or is neither heading, comment nor "key = value" is a problem of
/// its own; the other lines are read all the same.
/// \param File  names the text in problems.
IniDocument readIni(std::string_view Text, std::string_view File,
                    Problems &Found);

} // namespace lychee::settings

#endif
