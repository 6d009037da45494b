#include "admission/ReturnSchedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lychee::admission {

namespace {

/// One position: more would let callers retry in bursts.
constexpr double MaxSaved = 1;

} // namespace

std::int64_t ReturnSchedule::slotAt(base::TimePoint Moment) noexcept {
  return Moment.time_since_epoch() / SlotTime;
}

void ReturnSchedule::advance(base::TimePoint Now) noexcept {
  const std::int64_t Present = slotAt(Now);
  // After a long pause each slot is visited once: positions that are not due
  // are less than this many slots ahead.
  const std::int64_t LastDue = std::min(
      Present, DueSlot_ + static_cast<std::int64_t>(SlotCount) - HoldSlots - 1);
  for (std::int64_t Slot = DueSlot_ + 1; Slot <= LastDue; ++Slot) {
    Used_ += countOf(Slot);
    Ahead_ -= countOf(Slot);
  }
  DueSlot_ = std::max(DueSlot_, Present);
  const std::int64_t First = std::max(FirstSlot_, Present - HoldSlots);
  const std::int64_t End =
      std::min(First, FirstSlot_ + static_cast<std::int64_t>(SlotCount));
  for (std::int64_t Slot = FirstSlot_; Slot < End; ++Slot)
    countOf(Slot) = 0;
  FirstSlot_ = First;
}

/// Goes back from the last slot while one more position fits below what becomes
/// available until each later slot.
std::optional<ReturnSchedule::FreeSlot>
ReturnSchedule::findSlot(base::Duration Latest, double PerSecond,
                         base::Duration FirstAvailable, base::TimePoint Now) {
  constexpr base::Duration JustBelow = SlotTime - base::Duration(1);
  const std::int64_t First =
      slotAt(Now + std::max(MinWait, FirstAvailable) + JustBelow);
  const std::int64_t End = FirstSlot_ + static_cast<std::int64_t>(SlotCount);
  const std::int64_t Last = slotAt(Now + Latest);
  std::optional<FreeSlot> Result;
  std::uint32_t Before = Ahead_;
  for (std::int64_t Slot = End - 1; Slot >= First; --Slot) {
    const base::Duration Until = Slot * SlotTime - Now.time_since_epoch();
    if (Before + 1 > Saved_ + PerSecond * base::toSeconds(Until))
      break;
    if (Slot < Last)
      Result = {Slot, Before};
    Before -= countOf(Slot);
  }
  return Result;
}

std::optional<ReturnSchedule::FreeSlot>
ReturnSchedule::findSlot(const ReturnWindow &Window, double PerSecond,
                         base::Duration FirstAvailable, base::TimePoint Now) {
  advance(Now);
  // Positions become due by whole slots, and are paid for during the slot.
  const double Rate = PerSecond * Share;
  Saved_ = std::clamp(Saved_ + Rate * base::toSeconds(Now - SavedAt_) -
                          std::exchange(Used_, 0),
                      -MaxSaved - Rate * base::toSeconds(SlotTime), MaxSaved);
  SavedAt_ = Now;
  if (const auto InTime = findSlot(std::min(Window.InTime_, Window.Latest_),
                                   PerSecond * Share, FirstAvailable, Now))
    return InTime;
  return findSlot(Window.Latest_, PerSecond * LateShare, FirstAvailable, Now);
}

ReturnPosition ReturnSchedule::positionIn(const FreeSlot &Free,
                                          base::TimePoint Now) {
  // Multiples of the golden ratio are spread evenly, however many there are.
  constexpr double GoldenRatio = 0.618033988749895;
  double Whole = 0;
  const double Place = std::modf(
      static_cast<double>(++Drawn_ % SlotCount) * GoldenRatio, &Whole);
  const base::Duration Start = Free.Slot_ * SlotTime - Now.time_since_epoch();
  return {Start + base::fromSeconds(base::toSeconds(SlotTime) * Place),
          Free.Ahead_};
}

std::optional<ReturnPosition>
ReturnSchedule::find(const ReturnWindow &Window, double PerSecond,
                     base::Duration FirstAvailable, base::TimePoint Now) {
  const auto Free = findSlot(Window, PerSecond, FirstAvailable, Now);
  return Free ? std::optional(positionIn(*Free, Now)) : std::nullopt;
}

std::optional<ReturnPosition>
ReturnSchedule::book(const ReturnWindow &Window, double PerSecond,
                     base::Duration FirstAvailable, base::TimePoint Now) {
  const auto Free = findSlot(Window, PerSecond, FirstAvailable, Now);
  if (!Free)
    return std::nullopt;
  ++countOf(Free->Slot_);
  ++Ahead_;
  return positionIn(*Free, Now);
}

bool ReturnSchedule::claim(base::TimePoint Now) {
  advance(Now);
  for (std::int64_t Slot = FirstSlot_; Slot <= slotAt(Now); ++Slot) {
    if (countOf(Slot) == 0)
      continue;
    --countOf(Slot);
    return true;
  }
  return false;
}

std::uint32_t ReturnSchedule::expected(base::TimePoint Now) {
  advance(Now);
  std::uint32_t Result = 0;
  for (std::int64_t Slot = FirstSlot_; Slot <= slotAt(Now); ++Slot)
    Result += countOf(Slot);
  return Result;
}

} // namespace lychee::admission
