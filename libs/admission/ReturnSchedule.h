#ifndef LYCHEE_ADMISSION_RETURNSCHEDULE_H
#define LYCHEE_ADMISSION_RETURNSCHEDULE_H

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lychee::admission {

/// When a refused caller may retry, counted from now.
struct ReturnWindow {
  /// Latest time at which the retry can still be answered within its
  /// objective; zero or less: no retry can.
  base::Duration InTime_{};
  /// Latest time for which the caller waits and at which the retry can be
  /// answered at all.
  base::Duration Latest_{};
};

/// A position in a ReturnSchedule.
struct ReturnPosition {
  base::Duration Wait_{};
  /// Positions reserved before.
  std::uint32_t Ahead_ = 0;
};

/// Times at which refused callers retry, of one customer's tokens or of one
/// service and priority.
///
/// Load pattern: some thousand requests are refused in one second. Told the
/// time to the next token, all of them retry at the same moment, one finds the
/// token, and the others are refused again; 0.03 to 0.042 of a day's worth was
/// lost so. With a schedule, each refusal reserves a position, and positions
/// are no more frequent than the tokens or the capacity that retries may use. A
/// caller whose turn cannot come in time is told at once.
///
/// Holds the number of positions in each of some hundred slots of time. The
/// positions up to any slot stay below what becomes available until then, so a
/// caller with little time may get a free position before one that was reserved
/// earlier. A position that is not claimed within HoldTime is released. What
/// became available without a position is saved up to one position, so that a
/// host that places a few requests per second can offer a short wait, too.
///
/// No clock, no lock: part of its owner, which passes the time.
/// \see UsualDeadline, which tells a retry from a new request
class ReturnSchedule {
public:
  /// Resolution of the schedule. Within a slot, waits are spread evenly, which
  /// is a jitter of a few tens of percent for the usual waits of 50 to 300 ms.
  static constexpr base::Duration SlotTime = std::chrono::milliseconds(50);
  /// Callers whose deadline is 18 s wait for 6 s at most.
  static constexpr std::size_t SlotCount = 128;
  /// Time for which a position that is due is kept for its caller: a round trip
  /// between regions (40 ms) for the refusal, two for a new connection, and a
  /// wait for a processor.
  static constexpr base::Duration HoldTime = 4 * SlotTime;
  /// Callers that retry sooner find the same state, and cannot be told from
  /// callers that do not wait.
  static constexpr base::Duration MinWait = std::chrono::milliseconds(50);
  /// Share of the rate for retries that can be answered within their objective.
  /// New requests keep the other half.
  static constexpr double Share = 0.5;
  /// The same for retries that are late in any case. A late response is worth a
  /// fifth to a third of one in time, and while demand exceeds the rate each
  /// takes the token of a new request that would be in time.
  static constexpr double LateShare = 0.03;

  /// Reserves a position.
  /// \param PerSecond  rate at which tokens or capacity become available.
  /// \param FirstAvailable  time until the first one is.
  /// \returns nothing where none is free within the window.
  std::optional<ReturnPosition> book(const ReturnWindow &Window,
                                     double PerSecond,
                                     base::Duration FirstAvailable,
                                     base::TimePoint Now);

  /// The same without a reservation, for a caller that is refused again.
  std::optional<ReturnPosition> find(const ReturnWindow &Window,
                                     double PerSecond,
                                     base::Duration FirstAvailable,
                                     base::TimePoint Now);

  /// Uses a position that is due, for a retry.
  /// \returns false: none is due, so that the retry is not expected now.
  bool claim(base::TimePoint Now);

  /// \returns the positions that are due and not claimed yet.
  std::uint32_t expected(base::TimePoint Now);

private:
  static constexpr std::int64_t HoldSlots = HoldTime / SlotTime;

  /// A free slot, and the positions up to it.
  struct FreeSlot {
    std::int64_t Slot_ = 0;
    std::uint32_t Ahead_ = 0;
  };

  static std::int64_t slotAt(base::TimePoint Moment) noexcept;
  std::uint32_t &countOf(std::int64_t Slot) noexcept {
    return Counts_[static_cast<std::size_t>(Slot) % SlotCount];
  }
  /// Notes the positions that become due, and releases those whose HoldTime is
  /// over.
  void advance(base::TimePoint Now) noexcept;
  std::optional<FreeSlot> findSlot(base::Duration Latest, double PerSecond,
                                   base::Duration FirstAvailable,
                                   base::TimePoint Now);
  std::optional<FreeSlot> findSlot(const ReturnWindow &Window, double PerSecond,
                                   base::Duration FirstAvailable,
                                   base::TimePoint Now);
  ReturnPosition positionIn(const FreeSlot &Free, base::TimePoint Now);

  /// Positions by slot, from HoldSlots before the present one on.
  std::array<std::uint32_t, SlotCount> Counts_{};
  std::int64_t FirstSlot_ = 0;
  /// The present slot; positions up to it are due.
  std::int64_t DueSlot_ = 0;
  /// Positions that are not due yet, and those that became due since Saved_ was
  /// computed.
  std::uint32_t Ahead_ = 0;
  std::uint32_t Used_ = 0;
  /// Positions that became available and were not used; negative where the rate
  /// fell after positions were reserved.
  double Saved_ = 1;
  base::TimePoint SavedAt_;
  std::uint64_t Drawn_ = 0;
};

} // namespace lychee::admission

#endif
