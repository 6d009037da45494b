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

/// One target lost while it worked on a request: what hosts tell each other.
struct CrashEvidence {
  std::uint64_t Fingerprint_ = 0;
  /// Hash of the target's name.
  std::uint64_t Target_ = 0;
  /// How long ago the host that tells it saw or learned it.
  base::Duration Age_{};

  bool operator==(const CrashEvidence &) const = default;
};

/// Finds requests that crash each target that runs them.
///
/// Load pattern: a caller sends the same request again and again, and each run
/// takes a target down with all that runs there. Without this, one caller
/// takes down a service of 30 targets in 30 sends.
///
/// A fingerprint (customer, method, path, body) is suspect for a while once
/// two different targets were lost with it in flight. One loss proves little:
/// all that ran beside the guilty request was lost too. Two losses of an
/// innocent one need it to be sent again beside the guilty one, which rarely
/// happens and costs that one request a wait. An answer clears the evidence.
///
/// Evidence is a set: hosts exchange it in any order, twice or late, and come
/// to the same verdict.
///
/// Thread-safe: shards by fingerprint, each under its own lock.
class CrashSuspects {
public:
  /// Losses further apart than this are taken to be unrelated; a caller that
  /// sends again does so within seconds.
  static constexpr base::Duration EvidenceAge = std::chrono::seconds(60);
  /// Fingerprints remembered. Full, the oldest of a shard go: a flood of
  /// losses is an outage, and not the work of one request.
  static constexpr std::size_t MostFingerprints = 4096;

  CrashSuspects() = default;
  CrashSuspects(const CrashSuspects &) = delete;
  CrashSuspects &operator=(const CrashSuspects &) = delete;

  /// A target was lost (its connection reset or ended, not merely silent)
  /// with the request in flight.
  void recordTargetLoss(std::uint64_t Fingerprint, const base::TargetId &Target,
                        base::TimePoint Now);

  /// A target answered the request: it does not crash targets.
  void recordResponse(std::uint64_t Fingerprint);

  /// \returns when the request stops being suspect; \p Now where it is not.
  base::TimePoint suspectUntil(std::uint64_t Fingerprint,
                               base::TimePoint Now) const;

  /// A loss is told to peers for so long. One that is no longer told is
  /// remembered by those that heard it; a host that starts later hears of the
  /// requests that are suspect.
  static constexpr base::Duration ToldFor = std::chrono::seconds(6);

  /// Losses that are told at once: some 50 bytes each, in every datagram to
  /// every host.
  static constexpr std::size_t MostTold = 24;

  /// \returns what this host knows, for its peers: first losses of requests
  /// that are suspect, then those of late, the newest first. Where many targets
  /// end at once the rest is left out: it would fill the datagram.
  std::vector<CrashEvidence> evidence(base::TimePoint Now) const;

  /// Takes in what a peer knows.
  void merge(std::span<const CrashEvidence> Told, base::TimePoint Now);

private:
  static constexpr std::size_t ShardCount = 16;

  struct Loss {
    std::uint64_t Target_ = 0;
    base::TimePoint At_;
  };
  /// The two latest losses at different targets.
  using Losses = std::array<Loss, 2>;

  struct Shard {
    mutable std::mutex Lock_;
    std::unordered_map<std::uint64_t, Losses> Known_;
  };

  static bool isSuspect(const Losses &Seen) noexcept;
  /// \returns how long losses of a request are told.
  static base::Duration toldFor(const Losses &Seen) noexcept;
  Shard &shardOf(std::uint64_t Fingerprint) const noexcept;
  void add(std::uint64_t Fingerprint, Loss Seen);
  void makeRoom(Shard &Full);

  mutable std::array<Shard, ShardCount> Shards_;
  /// Lets the check of each request pass without a lock while nothing is
  /// known, which is nearly always.
  std::atomic<std::size_t> Count_{0};
};

} // namespace lychee::retrying

#endif
