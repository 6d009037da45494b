#ifndef LYCHEE_BASE_ERROR_H
#define LYCHEE_BASE_ERROR_H

#include <string>

namespace lychee::base {

/// Why an operation gave no result: the last reason that goes with an empty
/// `std::optional`. A function that can fail returns `std::optional<T>` and
/// takes an `Error &` that it fills when it returns nothing.
struct Error {
  /// What was being done, such as "store.get".
  std::string Step_;
  /// With whom, as IP:PORT or a path; empty where no one else took part.
  std::string Peer_;
  /// What went wrong, in words for an operator; never holds a caller's key.
  std::string Reason_;

  /// \returns "step=... peer=... reason=..." for one log line.
  std::string describe() const;

  bool operator==(const Error &) const = default;
};

} // namespace lychee::base

#endif
