#include "retrying/ClaimTable.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace lychee::retrying {

namespace {

/// Grants between two loads: 4 billion.
constexpr unsigned GrantBits = 32;

} // namespace

bool ClaimTable::load(const ClaimObject &Read, std::uint64_t Epoch) {
  assert(!Loaded_ && "a table is given up before it is loaded again");
  if (Read.Epoch_ > Epoch)
    return false;
  Epoch_ = Epoch;
  Version_ = Read.Version_;
  Writing_ = Writing::Idle;
  Queued_ = 0;
  OldestOutcome_.reset();
  Claims_.clear();
  for (const ClaimRecord &Each : Read.Records_) {
    const bool Done = Each.State_ == ClaimState::Done;
    Claims_[Each.Key_] = {Each, Done ? Phase::Done : Phase::Held, false};
  }
  // Above every number granted before: whoever granted one wrote the object
  // since it was loaded, so that this version is higher. A number used twice
  // would let a late word about the first run free the second.
  LastGrant_ = Version_ << GrantBits;
  Loaded_ = true;
  return true;
}

void ClaimTable::unload(std::vector<ClaimResult> &Told) {
  denyWaiting(ClaimOutcome::NotOwner, Told);
  Claims_.clear();
  Loaded_ = false;
  Writing_ = Writing::Idle;
}

ClaimResult ClaimTable::claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                              base::WallPoint Now) {
  if (!Loaded_)
    return {ClaimOutcome::NotOwner, Key, 0, 0};
  const auto Known = Claims_.find(Key);
  if (Known != Claims_.end())
    return answerKnown(Known->second, Fingerprint, Now);
  if (Claims_.size() >= Limits_.Most_)
    forgetOld(Now);
  if (Claims_.size() >= Limits_.Most_)
    return {ClaimOutcome::Full, Key, 0, 0};

  Claim Fresh;
  Fresh.Record_.Key_ = Key;
  Fresh.Record_.Fingerprint_ = Fingerprint;
  Fresh.Record_.Grant_ = ++LastGrant_;
  Fresh.Record_.At_ = Now;
  Claims_.emplace(Key, Fresh);
  ++Queued_;
  return {ClaimOutcome::Pending, Key, Fresh.Record_.Grant_, 0};
}

ClaimResult ClaimTable::answerKnown(Claim &Known, std::uint64_t Fingerprint,
                                    base::WallPoint Now) {
  const ClaimRecord &Record = Known.Record_;
  if (Record.Fingerprint_ != Fingerprint)
    return {ClaimOutcome::KeyReused, Record.Key_, 0, 0};
  if (Known.Phase_ == Phase::Done)
    return {ClaimOutcome::AlreadyRun, Record.Key_, 0, Record.Status_};
  if (Known.Phase_ != Phase::Free)
    return {ClaimOutcome::MayHaveRun, Record.Key_, 0, 0};
  // Granted anew only by a write: an owner that was replaced while paused could
  // otherwise give the permission that its successor gives as well. The new
  // number keeps the first holder's late word from freeing it again.
  Known.Record_.Grant_ = ++LastGrant_;
  Known.Record_.At_ = Now;
  Known.Phase_ = Phase::Queued;
  ++Queued_;
  return {ClaimOutcome::Pending, Record.Key_, Known.Record_.Grant_, 0};
}

std::optional<ClaimObject> ClaimTable::planWrite(base::WallPoint Now) {
  if (!Loaded_ || Writing_ != Writing::Idle || !hasWork(Now))
    return std::nullopt;
  forgetOld(Now);
  ClaimObject Planned;
  Planned.Version_ = Version_;
  Planned.Epoch_ = Epoch_;
  Planned.Writer_ = Owner_;
  Planned.Records_.reserve(Claims_.size());
  for (auto &[Key, Each] : Claims_) {
    if (Each.Phase_ == Phase::Queued)
      Each.Phase_ = Phase::Writing;
    Planned.Records_.push_back(Each.Record_);
  }
  Queued_ = 0;
  OldestOutcome_.reset();
  Writing_ = Writing::UnderWay;
  return Planned;
}

void ClaimTable::written(std::uint64_t Version,
                         std::vector<ClaimResult> &Told) {
  assert(Writing_ == Writing::UnderWay && "a write ends once");
  Writing_ = Writing::Idle;
  Version_ = Version;
  for (auto &[Key, Each] : Claims_)
    if (Each.Phase_ == Phase::Writing)
      grant(Each, Told);
}

void ClaimTable::failed(std::vector<ClaimResult> &Told) {
  assert(Writing_ == Writing::UnderWay && "a write ends once");
  Writing_ = Writing::Idle;
  denyWaiting(ClaimOutcome::StoreUnavailable, Told);
}

void ClaimTable::inDoubt() noexcept {
  assert(Writing_ == Writing::UnderWay && "a write ends once");
  Writing_ = Writing::InDoubt;
}

void ClaimTable::readBack(const ClaimObject &Read,
                          std::vector<ClaimResult> &Told) {
  assert(Writing_ == Writing::InDoubt && "only a write in doubt is read back");
  // Unchanged: the write has not taken effect, and may yet. The next group
  // expects the same version, so at most one of the two does.
  const bool Unchanged = Read.Version_ == Version_;
  if (!Unchanged && Read.Writer_ != Owner_)
    return unload(Told);
  Writing_ = Writing::Idle;
  Version_ = Read.Version_;
  for (const ClaimRecord &Each : Read.Records_) {
    const auto Known = Claims_.find(Each.Key_);
    if (Known != Claims_.end() && Known->second.Phase_ == Phase::Writing &&
        Known->second.Record_.Grant_ == Each.Grant_)
      grant(Known->second, Told);
  }
  for (auto &[Key, Each] : Claims_) {
    if (Each.Phase_ != Phase::Writing)
      continue;
    Each.Phase_ = Phase::Queued;
    ++Queued_;
  }
}

void ClaimTable::finish(const ClaimKey &Key, std::uint64_t Grant, Ran Ended,
                        std::uint16_t Status, base::WallPoint Now) {
  const auto Known = Claims_.find(Key);
  if (Known == Claims_.end() || Known->second.Record_.Grant_ != Grant ||
      Known->second.Phase_ != Phase::Held)
    return;
  Claim &Held = Known->second;
  if (Ended == Ran::No)
    Held.Phase_ = Phase::Free;
  if (Ended != Ran::Yes)
    return;
  Held.Phase_ = Phase::Done;
  Held.Record_.State_ = ClaimState::Done;
  Held.Record_.Status_ = Status;
  if (!OldestOutcome_)
    OldestOutcome_ = Now;
}

void ClaimTable::cancel(const ClaimKey &Key, std::uint64_t Grant) {
  const auto Known = Claims_.find(Key);
  if (Known == Claims_.end() || Known->second.Record_.Grant_ != Grant)
    return;
  if (Known->second.Phase_ == Phase::Writing)
    Known->second.Cancelled_ = true;
  if (Known->second.Phase_ != Phase::Queued)
    return;
  Claims_.erase(Known);
  --Queued_;
}

void ClaimTable::grant(Claim &Written, std::vector<ClaimResult> &Told) {
  if (Written.Cancelled_) {
    Written.Cancelled_ = false;
    Written.Phase_ = Phase::Free;
    return;
  }
  Written.Phase_ = Phase::Held;
  Told.push_back(
      {ClaimOutcome::Granted, Written.Record_.Key_, Written.Record_.Grant_, 0});
}

void ClaimTable::forgetOld(base::WallPoint Now) {
  const base::WallPoint Oldest = Now - Limits_.Retention_;
  std::erase_if(Claims_, [Oldest](const auto &Each) {
    const Phase Stands = Each.second.Phase_;
    const bool Waits = Stands == Phase::Queued || Stands == Phase::Writing;
    return !Waits && Each.second.Record_.At_ < Oldest;
  });
}

void ClaimTable::denyWaiting(ClaimOutcome Answer,
                             std::vector<ClaimResult> &Told) {
  std::erase_if(Claims_, [Answer, &Told](const auto &Each) {
    const Phase Stands = Each.second.Phase_;
    if (Stands != Phase::Queued && Stands != Phase::Writing)
      return false;
    if (!Each.second.Cancelled_)
      Told.push_back({Answer, Each.first, Each.second.Record_.Grant_, 0});
    return true;
  });
  Queued_ = 0;
}

bool ClaimTable::hasWork(base::WallPoint Now) const noexcept {
  if (Queued_ > 0)
    return true;
  return OldestOutcome_ && Now - *OldestOutcome_ >= Limits_.OutcomeDelay_;
}

std::string_view nameOf(ClaimOutcome Answer) noexcept {
  static constexpr std::array<std::string_view, 8> Names = {
      "pending",       "granted", "already-run", "may-have-run",
      "other-request", "full",    "not-owner",   "store-down",
  };
  return Names[static_cast<std::size_t>(Answer)];
}

} // namespace lychee::retrying
