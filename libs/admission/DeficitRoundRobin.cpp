#include "admission/DeficitRoundRobin.h"

#include <algorithm>
#include <cassert>

namespace lychee::admission {

namespace {

using List = RoundRobinEntry::List;
constexpr std::uint32_t NoEntry = RoundRobinEntry::NoEntry;

base::Duration quantumOf(const RoundRobinEntry &Entry) noexcept {
  return DeficitRoundRobin::Quantum * Entry.Weight_;
}

/// Rounds until the entry has paid its debt; 0 for an entry in credit, because
/// a negative number would put it back into debt in each pass, without end.
std::int64_t roundsInDebt(const RoundRobinEntry &Entry) noexcept {
  return std::max<std::int64_t>(0, -Entry.Deficit_ / quantumOf(Entry));
}

/// Slot time of the rounds that have passed since the entry left.
base::Duration earnedSince(const RoundRobinEntry &Entry,
                           double Rounds) noexcept {
  const auto Quantum = static_cast<double>(quantumOf(Entry).count());
  return base::Duration(
      static_cast<std::int64_t>((Rounds - Entry.RoundsAtLeave_) * Quantum));
}

} // namespace

void DeficitRoundRobin::join(std::span<RoundRobinEntry> Entries,
                             std::uint32_t Index) noexcept {
  RoundRobinEntry &Entry = Entries[Index];
  assert(Entry.List_ == List::None && "an entry joins once");
  assert(Entry.Weight_ > 0 && "an entry without weight would never be served");
  if (Entry.BusyPeriod_ != BusyPeriod_)
    Entry.Deficit_ = maxCreditOf(Entry);
  else
    Entry.Deficit_ = std::min(maxCreditOf(Entry),
                              Entry.Deficit_ + earnedSince(Entry, Rounds_));
  Entry.BusyPeriod_ = BusyPeriod_;
  const bool HasTurnLeft = Entry.Deficit_ > base::Duration::zero();
  // An entry that joins the exhausted ones gets the quantum of its next turn in
  // advance. An entry with a larger debt does not, or joining and leaving
  // repeatedly would pay off the debt.
  if (!HasTurnLeft && Entry.Deficit_ > -quantumOf(Entry))
    Entry.Deficit_ += quantumOf(Entry);
  append(Entries, Index, HasTurnLeft ? List::InCredit : List::Exhausted);
  ++Count_;
}

void DeficitRoundRobin::leave(std::span<RoundRobinEntry> Entries,
                              std::uint32_t Index) noexcept {
  unlink(Entries, Index);
  Entries[Index].RoundsAtLeave_ = Rounds_;
  --Count_;
  if (Count_ == 0)
    ++BusyPeriod_;
}

std::uint32_t DeficitRoundRobin::selectNext(std::span<RoundRobinEntry> Entries,
                                            bool NewestFirst) noexcept {
  assert(Count_ > 0 && "an empty scheduler has no next entry");
  std::uint32_t Skipped = 0;
  for (;;) {
    const bool HasCredit = InCredit_.First_ != NoEntry;
    const std::uint32_t First =
        NewestFirst ? InCredit_.Last_ : InCredit_.First_;
    const std::uint32_t Index = HasCredit ? First : Exhausted_.First_;
    RoundRobinEntry &Entry = Entries[Index];
    if (Entry.Deficit_ > base::Duration::zero())
      return Index;
    if (!HasCredit && ++Skipped > Count_)
      skipRounds(Entries);
    Entry.Deficit_ += quantumOf(Entry);
    Rounds_ += 1.0 / Count_;
    unlink(Entries, Index);
    append(Entries, Index, List::Exhausted);
  }
}

void DeficitRoundRobin::charge(RoundRobinEntry &Entry,
                               base::Duration Spent) const noexcept {
  // A charge from an earlier busy period is dropped like the debts of that
  // period.
  if (Entry.BusyPeriod_ != BusyPeriod_)
    return;
  Entry.Deficit_ = std::min(Entry.Deficit_ - Spent, maxCreditOf(Entry));
}

void DeficitRoundRobin::rotate(std::span<RoundRobinEntry> Entries,
                               std::uint32_t Index) noexcept {
  if (Entries[Index].List_ != List::InCredit)
    return;
  unlink(Entries, Index);
  append(Entries, Index, List::InCredit);
}

DeficitRoundRobin::Ends &DeficitRoundRobin::endsOf(List Which) noexcept {
  return Which == List::InCredit ? InCredit_ : Exhausted_;
}

void DeficitRoundRobin::append(std::span<RoundRobinEntry> Entries,
                               std::uint32_t Index, List Which) noexcept {
  Ends &Target = endsOf(Which);
  RoundRobinEntry &Entry = Entries[Index];
  Entry.List_ = Which;
  Entry.Previous_ = Target.Last_;
  Entry.Next_ = NoEntry;
  if (Target.Last_ == NoEntry)
    Target.First_ = Index;
  else
    Entries[Target.Last_].Next_ = Index;
  Target.Last_ = Index;
}

void DeficitRoundRobin::unlink(std::span<RoundRobinEntry> Entries,
                               std::uint32_t Index) noexcept {
  RoundRobinEntry &Entry = Entries[Index];
  Ends &Source = endsOf(Entry.List_);
  if (Entry.Previous_ == NoEntry)
    Source.First_ = Entry.Next_;
  else
    Entries[Entry.Previous_].Next_ = Entry.Next_;
  if (Entry.Next_ == NoEntry)
    Source.Last_ = Entry.Previous_;
  else
    Entries[Entry.Next_].Previous_ = Entry.Previous_;
  Entry.List_ = List::None;
}

void DeficitRoundRobin::skipRounds(
    std::span<RoundRobinEntry> Entries) noexcept {
  // All entries are in debt, as after long requests. The rounds in which none
  // can be served are skipped at once, or the time of one selection would grow
  // with the debts.
  std::int64_t Rounds = INT64_MAX;
  for (auto Index = Exhausted_.First_; Index != NoEntry;
       Index = Entries[Index].Next_)
    Rounds = std::min(Rounds, roundsInDebt(Entries[Index]));
  for (auto Index = Exhausted_.First_; Index != NoEntry;
       Index = Entries[Index].Next_)
    Entries[Index].Deficit_ += quantumOf(Entries[Index]) * Rounds;
  Rounds_ += static_cast<double>(Rounds);
}

} // namespace lychee::admission
