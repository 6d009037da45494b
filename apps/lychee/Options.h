#ifndef LYCHEE_APPS_LYCHEE_OPTIONS_H
#define LYCHEE_APPS_LYCHEE_OPTIONS_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lychee::command {

/// What the command line said, flags and LYCHEE_... variables together.
struct Options {
  /// IP:PORT of any host's peer and operator listener; may be empty.
  std::string Server_;
  std::string Token_;
  std::string Author_;
  bool Json_ = false;
  bool Wait_ = false;
  base::Duration WaitTimeout_ = std::chrono::seconds(30);
  /// The one team whose subtree is meant; empty for all that are there.
  std::string Team_;
  /// Version that the documents were read at, where the folder does not tell.
  std::optional<std::uint64_t> Base_;
  /// Folder to write documents into.
  std::string Out_;
  std::uint32_t Limit_ = 20;
  bool Undo_ = false;
  /// Words after the command.
  std::vector<std::string> Words_;
};

} // namespace lychee::command

#endif
