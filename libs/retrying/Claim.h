#ifndef LYCHEE_RETRYING_CLAIM_H
#define LYCHEE_RETRYING_CLAIM_H

#include "base/Id.h"
#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace lychee::retrying {

/// Identifies a request that must run at most once. 128 bits wide, because a
/// hash collision would refuse an unrelated request as already run.
struct ClaimKey {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  /// \param IdempotencyKey  as the caller sent it. Equal keys of two customers
  /// are different claims.
  static ClaimKey of(const base::CustomerId &Customer,
                     std::string_view IdempotencyKey);

  auto operator<=>(const ClaimKey &) const = default;
};

enum class ClaimState : std::uint8_t {
  /// A host was allowed to run the request; whether it ran is not known.
  Granted,
  /// The request ran and was answered with Status_.
  Done,
};

/// One claim as it is stored.
struct ClaimRecord {
  ClaimKey Key_;
  /// Hash of the request, to detect a key that is used for two requests.
  std::uint64_t Fingerprint_ = 0;
  /// Number of the grant; no two grants of a key have the same number.
  std::uint64_t Grant_ = 0;
  ClaimState State_ = ClaimState::Granted;
  std::uint16_t Status_ = 0;
  base::WallPoint At_;

  bool operator==(const ClaimRecord &) const = default;
};

/// One partition's claims: the value of one object in the store.
struct ClaimObject {
  /// Version of the object in the store; 0 if it does not exist yet. A write
  /// is conditional on the version, so that the write of an owner that was
  /// paused and replaced fails.
  std::uint64_t Version_ = 0;
  /// Membership epoch of the writer.
  std::uint64_t Epoch_ = 0;
  /// Incarnation of the host that wrote it.
  std::uint64_t Writer_ = 0;
  std::vector<ClaimRecord> Records_;
};

/// \returns the partition of \p Key, less than \p Partitions.
std::uint32_t partitionOf(const ClaimKey &Key,
                          std::uint32_t Partitions) noexcept;

/// \returns the index in \p Members of the host that owns \p Partition, by
/// rendezvous hashing: when a host leaves, only its own partitions move.
/// \param Members  must not be empty.
std::size_t ownerOf(std::uint32_t Partition,
                    std::span<const base::HostId> Members) noexcept;

} // namespace lychee::retrying

template <> struct std::hash<lychee::retrying::ClaimKey> {
  std::size_t operator()(const lychee::retrying::ClaimKey &Key) const noexcept {
    return Key.Low_;
  }
};

#endif
