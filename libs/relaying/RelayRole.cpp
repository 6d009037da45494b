#include "relaying/RelayRole.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::relaying {

/// Hosts without a recent store failure rank first. If all have one, the same
/// few hosts continue to read the store.
bool RelayRole::ranksBefore(const Candidate &Left,
                            const Candidate &Right) noexcept {
  if (Left.StoreFailing_ != Right.StoreFailing_)
    return !Left.StoreFailing_;
  return Left.Hash_ > Right.Hash_;
}

void RelayRole::update(std::span<const members::HostView> Others,
                       bool LocalLeaving, base::TimePoint Now) {
  skipStaleReaders(Now);
  std::vector<Candidate> Ranked;
  if (!LocalLeaving)
    Ranked.push_back({isInTrouble(Now), base::stableHash(Self_.Host_.name()),
                      Self_.Address_});
  for (const members::HostView &Entry : Others)
    if (Entry.Alive_ && !Entry.Leaving_ &&
        Entry.Descriptor_.Region_ == Self_.Region_)
      Ranked.push_back(
          {Entry.StoreTrouble_ || isSkipped(Entry.Descriptor_.Address_),
           base::stableHash(Entry.Descriptor_.Host_.name()),
           Entry.Descriptor_.Address_});
  std::sort(Ranked.begin(), Ranked.end(), ranksBefore);
  HostCount_ = Ranked.size();
  const auto Local = std::find_if(Ranked.begin(), Ranked.end(),
                                  [this](const Candidate &Entry) {
                                    return Entry.Address_ == Self_.Address_;
                                  });
  Rank_ = static_cast<std::size_t>(Local - Ranked.begin());
  const std::size_t Count = readersFor(Ranked.size());
  IsReader_ = Local != Ranked.end() && Rank_ < Count;
  Ranked.resize(std::min(Ranked.size(), Count));
  pickReaders(Ranked);
  trackReaders(Now);
}

/// Hosts start at different readers, so that all readers get about the same
/// number of polls.
void RelayRole::pickReaders(std::span<const Candidate> Ranked) {
  Readers_.clear();
  if (Ranked.empty())
    return;
  const std::size_t First = base::stableHash(Self_.Address_) % Ranked.size();
  for (std::size_t Step = 0;
       Step < Ranked.size() && Readers_.size() < ReadersPerHost; ++Step) {
    const Candidate &Entry = Ranked[(First + Step) % Ranked.size()];
    if (Entry.Address_ != Self_.Address_)
      Readers_.push_back(Entry.Address_);
  }
}

/// The state of skipped readers is kept until skipStaleReaders() drops it after
/// FailureMemory; then they get another chance.
void RelayRole::trackReaders(base::TimePoint Now) {
  for (const std::string &Entry : Readers_)
    ReaderStates_.try_emplace(Entry,
                              Reader{Now, std::nullopt, std::nullopt, Now});
  // A reader that is no longer polled starts over if it is polled again later.
  std::erase_if(ReaderStates_, [this](const auto &Entry) {
    const bool IsPolled = std::find(Readers_.begin(), Readers_.end(),
                                    Entry.first) != Readers_.end();
    return !IsPolled && !Entry.second.SkippedAt_;
  });
}

bool RelayRole::tryPoll(const std::string &Address, base::TimePoint Now) {
  const auto Found = ReaderStates_.find(Address);
  if (Found == ReaderStates_.end())
    return false;
  Reader &Polled = Found->second;
  const bool IsNew = Polled.StoreContact_ <= Polled.Since_ &&
                     Now - Polled.Since_ < FastPollTime;
  const base::Duration Interval = IsNew ? FastPollInterval : PollInterval;
  // Half an interval early is accepted, because timers fire late.
  if (Polled.PolledAt_ &&
      Now - *Polled.PolledAt_ < Interval - FastPollInterval / 2)
    return false;
  Polled.PolledAt_ = Now;
  return true;
}

void RelayRole::skipStaleReaders(base::TimePoint Now) {
  for (auto &[Address, Entry] : ReaderStates_)
    if (!Entry.SkippedAt_ &&
        Now - Entry.StoreContact_ >= Timeouts_.SkipReaderAfter_)
      Entry.SkippedAt_ = Now;
  std::erase_if(ReaderStates_, [Now](const auto &Entry) {
    const auto &SkippedAt = Entry.second.SkippedAt_;
    return SkippedAt && Now - *SkippedAt >= FailureMemory;
  });
}

bool RelayRole::isSkipped(const std::string &Address) const {
  const auto Found = ReaderStates_.find(Address);
  return Found != ReaderStates_.end() && Found->second.SkippedAt_;
}

void RelayRole::noteResponse(const std::string &Address,
                             std::optional<base::TimePoint> StoreContact,
                             base::TimePoint Now) {
  RespondedAt_ = Now;
  if (!StoreContact)
    return;
  StoreContact_ =
      std::max(StoreContact_.value_or(*StoreContact), *StoreContact);
  if (const auto Found = ReaderStates_.find(Address);
      Found != ReaderStates_.end())
    Found->second.StoreContact_ =
        std::max(Found->second.StoreContact_, *StoreContact);
}

double RelayRole::backoffFactor(base::TimePoint Now) const noexcept {
  const bool HasResponse = RespondedAt_ && Now - *RespondedAt_ < SilenceLimit;
  if (IsReader_ || !HasResponse)
    return 1;
  return std::max(1.0, static_cast<double>(HostCount_) /
                           static_cast<double>(readersFor(HostCount_)));
}

base::Duration RelayRole::readDelay() const noexcept {
  const double RelativeRank =
      static_cast<double>(Rank_) /
      static_cast<double>(std::max<std::size_t>(1, HostCount_));
  return Timeouts_.ReadStoreAfter_ +
         base::fromSeconds(base::toSeconds(Timeouts_.ReadStoreSpread_) *
                           RelativeRank);
}

bool RelayRole::mustReadStore(base::TimePoint Now) const noexcept {
  const bool HasResponse = RespondedAt_ && Now - *RespondedAt_ < SilenceLimit;
  return IsReader_ || !HasResponse || !StoreContact_ ||
         Now - *StoreContact_ >= readDelay();
}

} // namespace lychee::relaying
