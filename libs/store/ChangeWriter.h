#ifndef LYCHEE_STORE_CHANGEWRITER_H
#define LYCHEE_STORE_CHANGEWRITER_H

#include "base/Random.h"
#include "store/Store.h"

#include <functional>
#include <string>
#include <string_view>

namespace lychee::store {

/// A conditional write whose value tells whose it is.
struct Change {
  std::string Path_;
  std::string Value_;
  std::uint64_t Expected_ = 0;
  /// \returns true where a value of the path, read back, holds this change: it
  /// is this write's value, or a later one that names this change's id.
  std::function<bool(std::string_view)> HeldIn_;
};

/// Writes a change and finds out what became of it when the answer is lost.
///
/// After a lost answer the write may have taken effect, may never do so, or may
/// still be on its way. Reading back settles the first. In the other two the
/// path is still at the expected version: then the same write is made again,
/// and as both ask for the same version the store takes at most one of them.
/// \see GuardedStore
class ChangeWriter {
public:
  /// \param Used  outlives this.
  /// \param Seed  seeds the waits between tries.
  ChangeWriter(Store &Used, std::uint64_t Seed) : Store_(Used), Random_(Seed) {}
  ChangeWriter(const ChangeWriter &) = delete;
  ChangeWriter &operator=(const ChangeWriter &) = delete;

  /// Not for two calls at once. \returns Written, Conflict or Failed for
  /// certain; Unknown only where \p Deadline came before the store could tell.
  boost::asio::awaitable<PutResult>
  write(const Change &Written, base::TimePoint Deadline, base::Error &Last);

private:
  boost::asio::awaitable<PutResult> resolve(const Change &Written,
                                            base::Error &Last);

  Store &Store_;
  base::Random Random_;
};

} // namespace lychee::store

#endif
