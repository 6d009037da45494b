#ifndef LYCHEE_RETRYING_CLAIMTABLE_H
#define LYCHEE_RETRYING_CLAIMTABLE_H

#include "retrying/Claim.h"
#include "retrying/RetryVerdict.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace lychee::retrying {

/// What a claim came to.
enum class ClaimOutcome : std::uint8_t {
  /// Will be told once its group is written. \see ClaimTable::written
  Pending,
  /// Run it: no one else ever was, or will be, let run it unless it is proven
  /// not to have run.
  Granted,
  /// It ran before and was answered with Status_.
  AlreadyRun,
  /// Another send of it was let run and has not told its end. May have run.
  MayHaveRun,
  /// The same idempotency key stands for another request.
  KeyReused,
  /// The table holds as many claims as it may. Not run.
  Full,
  /// This host does not own the partition, or was replaced. Not run.
  NotOwner,
  /// The store did not take the claim. Not run.
  StoreUnavailable,
};

/// A claim's answer.
struct ClaimResult {
  ClaimOutcome Outcome_ = ClaimOutcome::NotOwner;
  ClaimKey Key_;
  /// Names the permission in finish() and cancel(); 0 where there is none.
  std::uint64_t Grant_ = 0;
  /// With AlreadyRun: how it was answered then.
  std::uint16_t Status_ = 0;
};

/// The rules of at-most-once claims for one partition of keys, at its owner.
/// Pure: it plans writes as values and is told how they ended; fleet does the
/// reads, writes and calls between hosts.
///
/// The invariant: a request runs only after its claim stands in the store, and
/// a second permission is given only after the first one's holder has proven
/// that it did not run. So no claim recorded means not run, and a host that
/// dies with a claim leaves "may have run".
///
/// Load pattern: callers resend bookings through other hosts when an answer is
/// late. Claims are written in groups, one conditional update for all that
/// came while the last was under way, so that the store's writes follow its
/// round-trip time and not the callers' rate.
///
/// Fencing: the store's version of the object. A paused owner that wakes after
/// its partition has moved expects an old version; its write conflicts, and
/// all that waited on it are told NotOwner before anything ran.
///
/// Not thread-safe: the owner guards each table by its shard's lock.
class ClaimTable {
public:
  struct Limits {
    /// A caller's resends come within minutes; an hour covers an outage in
    /// between. Forgetting sooner would let a late resend run twice.
    base::Duration Retention_ = std::chrono::hours(1);
    /// Claims held at once. A record takes about 100 bytes as text, so that
    /// 8,000 stay below the store's limit of 1 MB a value. Full, new claims
    /// are refused: forgetting one early would break the promise.
    std::size_t Most_ = 8000;
    /// Outcomes wait this long for a claim to share the write with. Lost with
    /// the owner, an outcome only turns "ran" into "may have run".
    base::Duration OutcomeDelay_ = std::chrono::seconds(1);
  };

  /// \param Owner  names this start of this host, never 0 and never reused.
  explicit ClaimTable(std::uint64_t Owner) : ClaimTable(Owner, Limits()) {}
  ClaimTable(std::uint64_t Owner, const Limits &Set)
      : Limits_(Set), Owner_(Owner) {}
  ClaimTable(const ClaimTable &) = delete;
  ClaimTable &operator=(const ClaimTable &) = delete;

  /// Takes the partition over, as read from the store in this epoch.
  /// \returns false where the object was written in a later epoch: this host
  /// is behind and must not own it.
  bool load(const ClaimObject &Read, std::uint64_t Epoch);

  /// Gives the partition up; what waits is told NotOwner.
  void unload(std::vector<ClaimResult> &Told);

  bool isLoaded() const noexcept { return Loaded_; }

  /// Asks to run a request. An answer that is Pending comes later, by one of
  /// the functions with a \p Told.
  ClaimResult claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                    base::WallPoint Now);

  /// \returns the group to be written now, if any: none while one is under
  /// way, in doubt, or while nothing new waits.
  std::optional<ClaimObject> planWrite(base::WallPoint Now);

  /// The planned write took effect.
  void written(std::uint64_t Version, std::vector<ClaimResult> &Told);

  /// It certainly did not, and its version was still right: store down.
  void failed(std::vector<ClaimResult> &Told);

  /// Its answer was lost, or it met another version: what stands in the store
  /// must be read. No claim is answered and none written until readBack().
  void inDoubt() noexcept;

  bool needsReadBack() const noexcept { return Writing_ == Writing::InDoubt; }

  /// What stands in the store after a write in doubt. Where this owner wrote
  /// it last, the claims in it are granted and the others wait for the next
  /// group; where another did, this owner has been replaced.
  void readBack(const ClaimObject &Read, std::vector<ClaimResult> &Told);

  /// The holder of \p Grant tells how it ended. Ran::No frees the claim for
  /// another try, Ran::Maybe leaves it as it is.
  void finish(const ClaimKey &Key, std::uint64_t Grant, Ran Ended,
              std::uint16_t Status, base::WallPoint Now);

  /// The caller of a pending claim is gone.
  void cancel(const ClaimKey &Key, std::uint64_t Grant);

  std::size_t size() const noexcept { return Claims_.size(); }

private:
  enum class Phase : std::uint8_t {
    /// Waits for a group.
    Queued,
    /// Stands in the write under way.
    Writing,
    /// Stands in the store; the holder may run it.
    Held,
    /// Stands in the store; the holder proved that it did not run.
    Free,
    Done,
  };
  enum class Writing : std::uint8_t { Idle, UnderWay, InDoubt };

  struct Claim {
    ClaimRecord Record_;
    Phase Phase_ = Phase::Queued;
    /// Its caller is gone: free it as soon as it stands in the store.
    bool Cancelled_ = false;
  };

  using Claims = std::unordered_map<ClaimKey, Claim>;

  ClaimResult answerKnown(Claim &Known, std::uint64_t Fingerprint,
                          base::WallPoint Now);
  void grant(Claim &Written, std::vector<ClaimResult> &Told);
  void forgetOld(base::WallPoint Now);
  void denyWaiting(ClaimOutcome Answer, std::vector<ClaimResult> &Told);
  bool hasWork(base::WallPoint Now) const noexcept;

  Limits Limits_;
  std::uint64_t Owner_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Version_ = 0;
  std::uint64_t LastGrant_ = 0;
  bool Loaded_ = false;
  Writing Writing_ = Writing::Idle;
  std::size_t Queued_ = 0;
  std::optional<base::WallPoint> OldestOutcome_;
  Claims Claims_;
};

/// \returns the name that stands in log lines.
std::string_view nameOf(ClaimOutcome Answer) noexcept;

} // namespace lychee::retrying

#endif
