#ifndef LYCHEE_ADMISSION_DEFICITROUNDROBIN_H
#define LYCHEE_ADMISSION_DEFICITROUNDROBIN_H

#include "base/Time.h"

#include <cstdint>
#include <span>

namespace lychee::admission {

/// One entry of a DeficitRoundRobin: a customer, or a caller of a customer.
struct RoundRobinEntry {
  enum class List : std::uint8_t { None, InCredit, Exhausted };
  static constexpr std::uint32_t NoEntry = UINT32_MAX;

  /// Slot time it may still use in this round; negative for a debt.
  base::Duration Deficit_{};
  std::uint32_t Weight_ = 1;
  /// The scheduler's busy period in which Deficit_ was last set.
  std::uint64_t BusyPeriod_ = 0;
  /// The scheduler's number of rounds when the entry last left.
  double RoundsAtLeave_ = 0;
  std::uint32_t Previous_ = NoEntry;
  std::uint32_t Next_ = NoEntry;
  List List_ = List::None;
};

/// Weighted deficit round robin, charged by measured time: selects the entry
/// that is served next.
///
/// An entry that used less than its share has credit and is served before those
/// whose credit is used up, one request per turn, so that a short request does
/// not wait for a whole round (as for the new flows of FQ-CoDel). Time beyond
/// its credit is a debt, which an entry pays off in its turns and in the rounds
/// that pass while it has left. When the last entry leaves, all debts are
/// dropped, because no one is left to whom they are owed.
///
/// The caller owns the entries and may grow their storage between calls.
/// Not thread-safe. \see FairQueue
class DeficitRoundRobin {
public:
  /// Slot time that an entry of weight 1 gets per round: that of an ordinary
  /// request, so that a round serves about one request of each entry and a new
  /// entry waits for few.
  static constexpr base::Duration Quantum = std::chrono::milliseconds(20);

  /// \param CreditQuanta  upper bound of an entry's credit, in quanta.
  explicit DeficitRoundRobin(int CreditQuanta = 1) noexcept
      : CreditQuanta_(CreditQuanta) {}

  bool empty() const noexcept { return Count_ == 0; }

  /// \returns the number of entries that have joined.
  std::uint32_t count() const noexcept { return Count_; }

  /// Adds an entry that now has queued requests.
  void join(std::span<RoundRobinEntry> Entries, std::uint32_t Index) noexcept;

  /// Removes an entry that has no queued requests any more.
  void leave(std::span<RoundRobinEntry> Entries, std::uint32_t Index) noexcept;

  /// \returns the index of the entry to serve next. Must not be called while
  /// empty().
  /// \param NewestFirst  serves the entry that joined last before the others
  /// that have credit.
  std::uint32_t selectNext(std::span<RoundRobinEntry> Entries,
                           bool NewestFirst) noexcept;

  /// Charges slot time to an entry, or refunds it if \p Spent is negative.
  void charge(RoundRobinEntry &Entry, base::Duration Spent) const noexcept;

  /// Moves an entry behind the others that have credit. To be called when one
  /// of its requests was served and it has more queued.
  void rotate(std::span<RoundRobinEntry> Entries, std::uint32_t Index) noexcept;

private:
  struct Ends {
    std::uint32_t First_ = RoundRobinEntry::NoEntry;
    std::uint32_t Last_ = RoundRobinEntry::NoEntry;
  };

  base::Duration maxCreditOf(const RoundRobinEntry &Entry) const noexcept {
    return Quantum * Entry.Weight_ * CreditQuanta_;
  }
  Ends &endsOf(RoundRobinEntry::List List) noexcept;
  void append(std::span<RoundRobinEntry> Entries, std::uint32_t Index,
              RoundRobinEntry::List List) noexcept;
  void unlink(std::span<RoundRobinEntry> Entries, std::uint32_t Index) noexcept;
  void skipRounds(std::span<RoundRobinEntry> Entries) noexcept;

  int CreditQuanta_;
  Ends InCredit_;
  Ends Exhausted_;
  std::uint32_t Count_ = 0;
  /// Number of the busy period; incremented when the last entry leaves.
  std::uint64_t BusyPeriod_ = 1;
  /// Rounds so far; a turn of one entry counts as its part of a round.
  double Rounds_ = 0;
};

} // namespace lychee::admission

#endif
