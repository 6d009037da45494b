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

/// Names a request that must run at most once: 128 bits, as a doubled hash
/// would refuse an innocent request as already run.
struct ClaimKey {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  /// \param IdempotencyKey  as the caller sent it; two customers' equal keys
  /// are different claims.
  static ClaimKey of(const base::CustomerId &Customer,
                     std::string_view IdempotencyKey);

  auto operator<=>(const ClaimKey &) const = default;
};

enum class ClaimState : std::uint8_t {
  /// Someone was let run it; whether it ran is not known.
  Granted,
  /// It ran, and was answered with Status_.
  Done,
};

/// One claim as it stands in the store.
struct ClaimRecord {
  ClaimKey Key_;
  /// Hash of what was asked, so that one key for two requests is noticed.
  std::uint64_t Fingerprint_ = 0;
  /// Which permission to run this is; no two of a key are the same.
  std::uint64_t Grant_ = 0;
  ClaimState State_ = ClaimState::Granted;
  std::uint16_t Status_ = 0;
  base::WallPoint At_;

  bool operator==(const ClaimRecord &) const = default;
};

/// One partition's claims: the value of one object in the store.
struct ClaimObject {
  /// The store's version of it; 0 where it does not exist yet. A write names
  /// the version that it expects, so a paused owner's write fails.
  std::uint64_t Version_ = 0;
  /// Membership epoch of the writer.
  std::uint64_t Epoch_ = 0;
  /// The writer: one start of one host.
  std::uint64_t Writer_ = 0;
  std::vector<ClaimRecord> Records_;
};

/// \returns the partition of \p Key, below \p Partitions.
std::uint32_t partitionOf(const ClaimKey &Key,
                          std::uint32_t Partitions) noexcept;

/// \returns the index in \p Members of the host that owns \p Partition, by
/// rendezvous hashing: when a host goes, only its own partitions move.
/// \param Members  at least one.
std::size_t ownerOf(std::uint32_t Partition,
                    std::span<const base::HostId> Members) noexcept;

} // namespace lychee::retrying

template <> struct std::hash<lychee::retrying::ClaimKey> {
  std::size_t operator()(const lychee::retrying::ClaimKey &Key) const noexcept {
    return Key.Low_;
  }
};

#endif
