#include "dispatch/StatementTable.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// \returns the newest \p MaxCount entries.
template <typename Statement>
std::vector<Statement> newestOf(std::vector<Statement> All,
                                std::size_t MaxCount) {
  std::sort(All.begin(), All.end(),
            [](const Statement &Left, const Statement &Right) {
              return Left.Age_ < Right.Age_;
            });
  All.resize(std::min(All.size(), MaxCount));
  return All;
}

} // namespace

std::shared_ptr<TargetStatements>
StatementTable::find(std::uint64_t Target) const {
  const auto Found = Entries_.find(Target);
  return Found == Entries_.end() ? nullptr : Found->second.Stated_;
}

std::shared_ptr<TargetStatements> StatementTable::at(std::uint64_t Target,
                                                     base::TimePoint Now) {
  Entry &Stored = Entries_[Target];
  if (!Stored.Stated_)
    Stored.Stated_ = std::make_shared<TargetStatements>();
  Stored.LastUsed_ = Now;
  return Stored.Stated_;
}

TargetStatements *StatementTable::atUnknown(std::uint64_t Target,
                                            base::TimePoint Now) {
  const auto Found = Entries_.find(Target);
  if (Found != Entries_.end())
    return Found->second.Stated_.get();
  const auto Unknown =
      std::count_if(Entries_.begin(), Entries_.end(),
                    [](const auto &Item) { return !isUsed(Item.second); });
  if (static_cast<std::size_t>(Unknown) >= MaxUnknownTargets)
    return nullptr;
  return at(Target, Now).get();
}

void StatementTable::expire(base::TimePoint Now) {
  for (auto &[Target, Stored] : Entries_)
    if (isUsed(Stored))
      Stored.LastUsed_ = Now;
  std::erase_if(Entries_, [Now](const auto &Item) {
    const Entry &Stored = Item.second;
    return !isUsed(Stored) && (!Stored.Stated_->isInForce(Now) ||
                               Now - Stored.LastUsed_ >= RetentionTime);
  });
}

std::vector<members::TargetRate>
StatementTable::rates(bool (Announcement::*IsDue)(base::TimePoint) const,
                      base::TimePoint Now) const {
  std::vector<members::TargetRate> Result;
  for (const auto &[Target, Stored] : Entries_)
    if ((Stored.Stated_->rate().announcement().*IsDue)(Now))
      Result.push_back(Stored.Stated_->rate().report(Target, Now));
  return newestOf(std::move(Result), members::MaxTargetRates);
}

std::vector<members::TargetLeaving>
StatementTable::leavings(bool (Announcement::*IsDue)(base::TimePoint) const,
                         base::TimePoint Now) const {
  std::vector<members::TargetLeaving> Result;
  for (const auto &[Target, Stored] : Entries_)
    if ((Stored.Stated_->leavingAnnouncement().*IsDue)(Now))
      Result.push_back(Stored.Stated_->reportLeaving(Target, Now));
  return newestOf(std::move(Result), members::MaxTargetLeavings);
}

} // namespace lychee::dispatch
