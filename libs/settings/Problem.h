#ifndef LYCHEE_SETTINGS_PROBLEM_H
#define LYCHEE_SETTINGS_PROBLEM_H

#include <string>
#include <vector>

namespace lychee::settings {

/// One fault in a settings text, told so that an operator can mend it.
struct Problem {
  std::string File_;
  /// From 1; 0 where the fault is that something is absent.
  int Line_ = 0;
  /// "section.key".
  std::string Key_;
  std::string Found_;
  std::string Allowed_;

  /// \returns "FILE:LINE: KEY: found ..., allowed ...".
  std::string describe() const;
};

/// All faults of a text at once: a parse function goes on after the first.
using Problems = std::vector<Problem>;

} // namespace lychee::settings

#endif
