#include "admission/DeficitRing.h"

#include <algorithm>
#include <cassert>

namespace lychee::admission {

namespace {

using List = RingEntry::List;
constexpr std::uint32_t NoEntry = RingEntry::NoEntry;

base::Duration quantumOf(const RingEntry &Entry) noexcept {
  return DeficitRing::Quantum * Entry.Weight_;
}

/// Rounds until the entry may take its turn; none for one in credit, which a
/// negative number would push back into debt, turn after turn without end.
std::int64_t roundsInDebt(const RingEntry &Entry) noexcept {
  return std::max<std::int64_t>(0, -Entry.Deficit_ / quantumOf(Entry));
}

/// Slot time that the entry's turns since it left would have brought.
base::Duration earnedSince(const RingEntry &Entry, double Rounds) noexcept {
  const auto Quantum = static_cast<double>(quantumOf(Entry).count());
  return base::Duration(
      static_cast<std::int64_t>((Rounds - Entry.LeftAt_) * Quantum));
}

} // namespace

void DeficitRing::join(std::span<RingEntry> Entries,
                       std::uint32_t Index) noexcept {
  RingEntry &Entry = Entries[Index];
  assert(Entry.List_ == List::None && "a party joins once");
  assert(Entry.Weight_ > 0 && "a party without weight would never be served");
  if (Entry.Period_ != Period_)
    Entry.Deficit_ = creditOf(Entry);
  else
    Entry.Deficit_ =
        std::min(creditOf(Entry), Entry.Deficit_ + earnedSince(Entry, Rounds_));
  Entry.Period_ = Period_;
  const bool HasTurnLeft = Entry.Deficit_ > base::Duration::zero();
  // Whoever goes to the end of the served has its next turn's time already. A
  // larger debt gets none, or joining and leaving would wash it off.
  if (!HasTurnLeft && Entry.Deficit_ > -quantumOf(Entry))
    Entry.Deficit_ += quantumOf(Entry);
  append(Entries, Index, HasTurnLeft ? List::InCredit : List::Served);
  ++Count_;
}

void DeficitRing::leave(std::span<RingEntry> Entries,
                        std::uint32_t Index) noexcept {
  unlink(Entries, Index);
  Entries[Index].LeftAt_ = Rounds_;
  --Count_;
  if (Count_ == 0)
    ++Period_;
}

std::uint32_t DeficitRing::turn(std::span<RingEntry> Entries,
                                bool NewestFirst) noexcept {
  assert(Count_ > 0 && "an empty ring has no turn");
  std::uint32_t Passed = 0;
  for (;;) {
    const bool HasCredit = InCredit_.First_ != NoEntry;
    const std::uint32_t First =
        NewestFirst ? InCredit_.Last_ : InCredit_.First_;
    const std::uint32_t Index = HasCredit ? First : Served_.First_;
    RingEntry &Entry = Entries[Index];
    if (Entry.Deficit_ > base::Duration::zero())
      return Index;
    if (!HasCredit && ++Passed > Count_)
      skipRounds(Entries);
    Entry.Deficit_ += quantumOf(Entry);
    Rounds_ += 1.0 / Count_;
    unlink(Entries, Index);
    append(Entries, Index, List::Served);
  }
}

void DeficitRing::charge(RingEntry &Entry,
                         base::Duration Spent) const noexcept {
  // A charge from an earlier busy period is forgotten with its debts.
  if (Entry.Period_ != Period_)
    return;
  Entry.Deficit_ = std::min(Entry.Deficit_ - Spent, creditOf(Entry));
}

void DeficitRing::rotate(std::span<RingEntry> Entries,
                         std::uint32_t Index) noexcept {
  if (Entries[Index].List_ != List::InCredit)
    return;
  unlink(Entries, Index);
  append(Entries, Index, List::InCredit);
}

DeficitRing::Ends &DeficitRing::endsOf(List Which) noexcept {
  return Which == List::InCredit ? InCredit_ : Served_;
}

void DeficitRing::append(std::span<RingEntry> Entries, std::uint32_t Index,
                         List Which) noexcept {
  Ends &Target = endsOf(Which);
  RingEntry &Entry = Entries[Index];
  Entry.List_ = Which;
  Entry.Previous_ = Target.Last_;
  Entry.Next_ = NoEntry;
  if (Target.Last_ == NoEntry)
    Target.First_ = Index;
  else
    Entries[Target.Last_].Next_ = Index;
  Target.Last_ = Index;
}

void DeficitRing::unlink(std::span<RingEntry> Entries,
                         std::uint32_t Index) noexcept {
  RingEntry &Entry = Entries[Index];
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

void DeficitRing::skipRounds(std::span<RingEntry> Entries) noexcept {
  // All are in debt, as after long work: pass the rounds in which no one may
  // take a turn at once, or one decision would take as long as the debts.
  std::int64_t Rounds = INT64_MAX;
  for (auto Index = Served_.First_; Index != NoEntry;
       Index = Entries[Index].Next_)
    Rounds = std::min(Rounds, roundsInDebt(Entries[Index]));
  for (auto Index = Served_.First_; Index != NoEntry;
       Index = Entries[Index].Next_)
    Entries[Index].Deficit_ += quantumOf(Entries[Index]) * Rounds;
  Rounds_ += static_cast<double>(Rounds);
}

} // namespace lychee::admission
