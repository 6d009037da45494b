#ifndef LYCHEE_RETRYING_CRASHSUSPECTS_H
#define LYCHEE_RETRYING_CRASHSUSPECTS_H

#include "base/Id.h"
#include "base/Time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace lychee::retrying {

/// One target that was lost while it ran a request, as hosts announce it to
/// each other.
struct CrashEvidence {
  std::uint64_t Fingerprint_ = 0;
  /// Hash of the target's name.
  std::uint64_t Target_ = 0;
  /// Time since the announcing host detected the loss or received it.
  base::Duration Age_{};

  bool operator==(const CrashEvidence &) const = default;
};

/// Detects requests that crash every target that runs them.
///
/// Load pattern: a caller sends the same request repeatedly, and each run
/// crashes a target with everything that runs there. Without detection, one
/// caller takes down a service of 30 targets in 30 sends.
///
/// A fingerprint (customer, method, path, body) is suspect for EvidenceLifetime
/// once two different targets were lost with it in flight. One loss proves
/// little, because all requests that ran on the target were lost as well. An
/// innocent request has two losses only if it is retried on the same target as
/// the crashing one, which is rare and costs that request a wait. A response
/// clears the evidence.
///
/// Evidence is a set: hosts may exchange it in any order, twice or late, and
/// reach the same verdict.
///
/// Thread-safe: sharded by fingerprint, each shard under its own lock.
class CrashSuspects {
public:
  /// Losses further apart than this count as unrelated: a caller that retries
  /// does so within seconds. A fingerprint stays suspect this long after its
  /// latest loss.
  static constexpr base::Duration EvidenceLifetime = std::chrono::seconds(60);
  /// Upper bound of the fingerprints kept. A full shard evicts its oldest one:
  /// a flood of losses is an outage and not caused by one request.
  static constexpr std::size_t MaxFingerprints = 4096;

  CrashSuspects() = default;
  CrashSuspects(const CrashSuspects &) = delete;
  CrashSuspects &operator=(const CrashSuspects &) = delete;

  /// Records that a target was lost with the request in flight: its connection
  /// was reset or closed, and did not merely time out.
  void recordTargetLoss(std::uint64_t Fingerprint, const base::TargetId &Target,
                        base::TimePoint Now);

  /// Records that a target answered the request, which clears its evidence.
  void recordResponse(std::uint64_t Fingerprint);

  /// Drops the losses since a moment: this host lost its links, and what it saw
  /// says nothing of the targets.
  void forgetSince(base::TimePoint Since);

  /// \returns when the request stops being suspect; \p Now if it is not
  /// suspect.
  base::TimePoint suspectUntil(std::uint64_t Fingerprint,
                               base::TimePoint Now) const;

  /// How long a loss of a request that is not suspect is announced to peers.
  /// Peers that received it keep it longer. Losses of suspect requests are
  /// announced for EvidenceLifetime, so that hosts that start later receive
  /// them, too.
  static constexpr base::Duration AnnouncePeriod = std::chrono::seconds(6);

  /// Upper bound of the losses in one announcement: each takes about 50 bytes
  /// in every datagram to every host.
  static constexpr std::size_t MaxAnnounced = 24;

  /// \returns the losses to announce to peers: first those of suspect requests,
  /// then other recent ones, each newest first. Losses beyond MaxAnnounced are
  /// left out, because those of many targets at once would fill the datagram.
  std::vector<CrashEvidence> evidence(base::TimePoint Now) const;

  /// Adds the losses that a peer announced.
  void merge(std::span<const CrashEvidence> Received, base::TimePoint Now);

private:
  static constexpr std::size_t ShardCount = 16;

  struct Loss {
    std::uint64_t Target_ = 0;
    base::TimePoint At_;
  };
  /// The two latest losses, at different targets.
  using Losses = std::array<Loss, 2>;

  struct Shard {
    mutable std::mutex Lock_;
    std::unordered_map<std::uint64_t, Losses> Losses_;
  };

  static bool isSuspect(const Losses &Seen) noexcept;
  /// \returns how long the losses of a request are announced.
  static base::Duration announcePeriodOf(const Losses &Seen) noexcept;
  Shard &shardOf(std::uint64_t Fingerprint) const noexcept;
  void add(std::uint64_t Fingerprint, Loss Seen);
  void evictOldest(Shard &Full);

  mutable std::array<Shard, ShardCount> Shards_;
  /// Number of fingerprints. Lets the check of a request skip the lock while it
  /// is 0, which it nearly always is.
  std::atomic<std::size_t> Count_{0};
};

} // namespace lychee::retrying

#endif
