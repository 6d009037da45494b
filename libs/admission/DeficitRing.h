#ifndef LYCHEE_ADMISSION_DEFICITRING_H
#define LYCHEE_ADMISSION_DEFICITRING_H

#include "base/Time.h"

#include <cstdint>
#include <span>

namespace lychee::admission {

/// One party of a DeficitRing: a customer, or a caller within a customer.
struct RingEntry {
  enum class List : std::uint8_t { None, InCredit, Served };
  static constexpr std::uint32_t NoEntry = UINT32_MAX;

  /// Slot time it may still take in this round; below zero, a debt.
  base::Duration Deficit_{};
  std::uint32_t Weight_ = 1;
  /// The ring's busy period in which Deficit_ was last touched.
  std::uint64_t Period_ = 0;
  /// The ring's rounds when it last left.
  double LeftAt_ = 0;
  std::uint32_t Previous_ = NoEntry;
  std::uint32_t Next_ = NoEntry;
  List List_ = List::None;
};

/// Weighted deficit round robin, charged by measured time: whose turn is it?
///
/// A party below its share has credit and is served before those that have
/// used theirs up, request by request in turn; so one short request does not
/// wait for a whole round (as the new flows of FQ-CoDel). What a party takes
/// beyond its credit is a debt that it works off in its turns, and in the
/// rounds that pass while it does not wait. Debts are forgotten when the ring
/// runs empty: no one is left whom they could be owed to.
///
/// The entries belong to the caller, who may grow their storage between calls.
/// Not thread-safe. \see FairQueue
class DeficitRing {
public:
  /// Slot time a party of weight 1 gets in a round: an ordinary request's, so
  /// that a round serves about one request each and a newcomer waits for few.
  static constexpr base::Duration Quantum = std::chrono::milliseconds(20);

  /// \param CreditQuanta  most that a party can have saved up, in quanta.
  explicit DeficitRing(int CreditQuanta = 1) noexcept
      : CreditQuanta_(CreditQuanta) {}

  bool empty() const noexcept { return Count_ == 0; }

  /// Parties in the ring.
  std::uint32_t count() const noexcept { return Count_; }

  /// Puts a party in that has begun to wait.
  void join(std::span<RingEntry> Entries, std::uint32_t Index) noexcept;

  /// Takes out a party that no longer waits.
  void leave(std::span<RingEntry> Entries, std::uint32_t Index) noexcept;

  /// \returns whose turn it is; the ring must not be empty.
  /// \param NewestFirst  serve the party that came last before the others that
  /// have credit.
  std::uint32_t turn(std::span<RingEntry> Entries, bool NewestFirst) noexcept;

  /// Charges time to a party, or gives it back where \p Spent is negative.
  void charge(RingEntry &Entry, base::Duration Spent) const noexcept;

  /// Lets the others that have credit go before the party's next request. To
  /// be called when one of its requests was served and it still waits.
  void rotate(std::span<RingEntry> Entries, std::uint32_t Index) noexcept;

private:
  struct Ends {
    std::uint32_t First_ = RingEntry::NoEntry;
    std::uint32_t Last_ = RingEntry::NoEntry;
  };

  base::Duration creditOf(const RingEntry &Entry) const noexcept {
    return Quantum * Entry.Weight_ * CreditQuanta_;
  }
  Ends &endsOf(RingEntry::List List) noexcept;
  void append(std::span<RingEntry> Entries, std::uint32_t Index,
              RingEntry::List List) noexcept;
  void unlink(std::span<RingEntry> Entries, std::uint32_t Index) noexcept;
  void skipRounds(std::span<RingEntry> Entries) noexcept;

  int CreditQuanta_;
  Ends InCredit_;
  Ends Served_;
  std::uint32_t Count_ = 0;
  /// Rises whenever the ring runs empty.
  std::uint64_t Period_ = 1;
  /// Rounds made, in turns by parties.
  double Rounds_ = 0;
};

} // namespace lychee::admission

#endif
