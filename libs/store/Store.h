#ifndef LYCHEE_STORE_STORE_H
#define LYCHEE_STORE_STORE_H

#include "base/Error.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::store {

/// A value of the platform's store, with the version that the store gave it.
struct Object {
  std::string Path_;
  std::string Value_;
  /// Rises with each write of the path; 0 means "does not exist".
  std::uint64_t Version_ = 0;
};

/// How a conditional write ended.
enum class PutStatus {
  Written,
  /// The path was at another version; nothing was written.
  Conflict,
  /// The answer was lost: it may have been written. Read back to know.
  Unknown,
  /// Certainly not written.
  Failed,
};

/// A conditional write's end, and the path's new version where it is known.
struct PutResult {
  PutStatus Status_ = PutStatus::Failed;
  std::uint64_t Version_ = 0;
};

/// The platform's object service, as narrow as the system needs it. Every call
/// counts against the platform's limits, a waiting watch as one.
/// \see HttpStore, the one file that knows the platform's protocol.
class Store {
public:
  Store() = default;
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;
  virtual ~Store() = default;

  /// \returns the object, with Version_ 0 where the path does not exist; or
  /// nothing, and \p Last filled, where the store did not answer in time.
  virtual boost::asio::awaitable<std::optional<Object>>
  get(std::string_view Path, base::Error &Last) = 0;

  /// Writes \p Value if the path is at \p Expected (0: does not exist yet).
  virtual boost::asio::awaitable<PutResult> put(std::string_view Path,
                                                std::string_view Value,
                                                std::uint64_t Expected,
                                                base::Error &Last) = 0;

  /// \returns the paths below \p Prefix with their versions, without values.
  virtual boost::asio::awaitable<std::optional<std::vector<Object>>>
  list(std::string_view Prefix, base::Error &Last) = 0;

  /// Waits until the path is past \p Known, or \p Wait has passed.
  /// \returns the object as it then is (its version may still be \p Known).
  virtual boost::asio::awaitable<std::optional<Object>>
  watch(std::string_view Path, std::uint64_t Known, base::Duration Wait,
        base::Error &Last) = 0;
};

} // namespace lychee::store

#endif
