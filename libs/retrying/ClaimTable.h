#ifndef LYCHEE_RETRYING_CLAIMTABLE_H
#define LYCHEE_RETRYING_CLAIMTABLE_H

#include "retrying/Claim.h"
#include "retrying/RetryVerdict.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace lychee::retrying {

/// The outcome of a claim.
enum class ClaimOutcome : std::uint8_t {
  /// Decided once the claim is written. \see ClaimTable::written
  Pending,
  /// The request may run. No one else was or will be allowed to run it, unless
  /// this run is proven not to have happened.
  Granted,
  /// The request ran before and was answered with Status_.
  AlreadyRun,
  /// Another send of the request was granted and has not reported its end. The
  /// request may have run.
  MayHaveRun,
  /// The same idempotency key was used for another request.
  KeyReused,
  /// The table holds its maximum of claims. Not run.
  Full,
  /// This host does not own the partition, or was replaced. Not run.
  NotOwner,
  /// The store did not accept the claim. Not run.
  StoreUnavailable,
};

struct ClaimResult {
  ClaimOutcome Outcome_ = ClaimOutcome::NotOwner;
  ClaimKey Key_;
  /// Grant number, for finish() and cancel(); 0 if there is no grant.
  std::uint64_t Grant_ = 0;
  /// HTTP status of the earlier run; only with AlreadyRun.
  std::uint16_t Status_ = 0;
};

/// The rules of at-most-once claims for one partition of keys, at its owner.
/// Does no I/O: it plans writes as values and is told their results; the claims
/// library does the reads, the writes and the calls between hosts.
///
/// Invariant: a request runs only after its claim is stored, and a second grant
/// is issued only after the holder of the first one has proven that the request
/// did not run. So a request without a stored claim did not run, and a claim
/// whose host died counts as "may have run".
///
/// Load pattern: callers retry bookings through other hosts when a response is
/// late. Claims are written in groups: one conditional update holds all claims
/// that arrived while the previous one was in flight, so that the rate of
/// writes follows the store's round-trip time and not the callers' rate.
///
/// Fencing uses the object's version in the store. A paused owner that resumes
/// after its partition has moved expects an old version; its write conflicts,
/// and all claims that wait for the write get NotOwner before anything ran.
///
/// Not thread-safe: the owner guards each table by its shard's lock.
/// \see claims::ClaimPartition
class ClaimTable {
public:
  struct Limits {
    /// How long claims are kept. Callers retry within minutes; an hour covers
    /// an outage in between. With less, a late retry could run twice.
    base::Duration Retention_ = std::chrono::hours(1);
    /// Upper bound of the claims held. A record takes about 100 bytes as text,
    /// so that 8,000 stay below the store's limit of 1 MB per value. A full
    /// table refuses new claims, because removing one early would allow a
    /// second run.
    std::size_t MaxClaims_ = 8000;
    /// How long an outcome waits for a claim with which to share a write. If it
    /// is lost with the owner, "ran" only becomes "may have run".
    base::Duration OutcomeDelay_ = std::chrono::seconds(1);
  };

  /// \param Owner  incarnation of this host, never 0 and never reused.
  explicit ClaimTable(std::uint64_t Owner) : ClaimTable(Owner, Limits()) {}
  ClaimTable(std::uint64_t Owner, const Limits &Config)
      : Limits_(Config), Owner_(Owner) {}
  ClaimTable(const ClaimTable &) = delete;
  ClaimTable &operator=(const ClaimTable &) = delete;

  /// Takes ownership of the partition.
  /// \param Read  the object as read from the store in \p Epoch.
  /// \returns false if the object was written in a later epoch: this host is
  /// behind and must not own the partition.
  bool load(const ClaimObject &Read, std::uint64_t Epoch);

  /// Gives up ownership. Adds NotOwner to \p Results for each pending claim.
  void unload(std::vector<ClaimResult> &Results);

  bool isLoaded() const noexcept { return Loaded_; }

  /// Claims the right to run a request. The result of a Pending claim is
  /// delivered later by one of the functions that take \p Results.
  ClaimResult claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                    base::WallPoint Now);

  /// \returns the object to write now, if any: none while a write is in flight
  /// or in doubt, or while there is nothing new to write.
  std::optional<ClaimObject> planWrite(base::WallPoint Now);

  /// The planned write took effect.
  void written(std::uint64_t Version, std::vector<ClaimResult> &Results);

  /// The planned write certainly did not take effect, and its version was still
  /// current: the store is unavailable.
  void failed(std::vector<ClaimResult> &Results);

  /// The response to the planned write was lost, or the write met another
  /// version, so that the object must be read back. Until readBack() no claim
  /// is decided and nothing is written.
  void inDoubt() noexcept;

  bool needsReadBack() const noexcept {
    return WriteState_ == WriteState::InDoubt;
  }

  /// Resolves a write that is in doubt.
  /// \param Read  the object that is in the store. If this owner wrote it, the
  /// claims in it are granted and the others wait for the next write; if
  /// another one did, this owner has been replaced.
  void readBack(const ClaimObject &Read, std::vector<ClaimResult> &Results);

  /// Reports how the run of \p Grant ended. Ran::No releases the claim for
  /// another grant, Ran::Maybe leaves it as it is.
  void finish(const ClaimKey &Key, std::uint64_t Grant, Ran Result,
              std::uint16_t Status, base::WallPoint Now);

  /// Cancels a pending claim whose caller disconnected.
  void cancel(const ClaimKey &Key, std::uint64_t Grant);

  std::size_t size() const noexcept { return Claims_.size(); }

private:
  enum class Phase : std::uint8_t {
    /// Waits for the next write.
    Queued,
    /// Part of the write in flight.
    Writing,
    /// Stored; its holder may run the request.
    Granted,
    /// Stored; its holder proved that the request did not run.
    Released,
    Done,
  };
  enum class WriteState : std::uint8_t { Idle, InFlight, InDoubt };

  struct Claim {
    ClaimRecord Record_;
    Phase Phase_ = Phase::Queued;
    /// Its caller disconnected: release the claim as soon as it is stored.
    bool Cancelled_ = false;
  };

  using Claims = std::unordered_map<ClaimKey, Claim>;

  ClaimResult claimExisting(Claim &Known, std::uint64_t Fingerprint,
                            base::WallPoint Now);
  void grant(Claim &Written, std::vector<ClaimResult> &Results);
  void removeExpired(base::WallPoint Now);
  void rejectPending(ClaimOutcome Outcome, std::vector<ClaimResult> &Results);
  bool needsWrite(base::WallPoint Now) const noexcept;

  Limits Limits_;
  std::uint64_t Owner_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Version_ = 0;
  std::uint64_t LastGrant_ = 0;
  bool Loaded_ = false;
  WriteState WriteState_ = WriteState::Idle;
  std::size_t Queued_ = 0;
  std::optional<base::WallPoint> OldestUnwrittenOutcome_;
  Claims Claims_;
};

/// \returns the name used in log lines.
std::string_view nameOf(ClaimOutcome Outcome) noexcept;

} // namespace lychee::retrying

#endif
