#include "retrying/ClaimTable.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace lychee::retrying {

namespace {

/// Bits of a grant number below the version: 4 billion grants between loads.
constexpr unsigned GrantBits = 32;

} // namespace

bool ClaimTable::load(const ClaimObject &Read, std::uint64_t Epoch) {
  assert(!Loaded_ && "a table is unloaded before it is loaded again");
  if (Read.Epoch_ > Epoch)
    return false;
  Epoch_ = Epoch;
  Version_ = Read.Version_;
  WriteState_ = WriteState::Idle;
  Queued_ = 0;
  OldestUnwrittenOutcome_.reset();
  Claims_.clear();
  for (const ClaimRecord &Each : Read.Records_) {
    const bool Done = Each.State_ == ClaimState::Done;
    Claims_[Each.Key_] = {Each, Done ? Phase::Done : Phase::Granted, false};
  }
  // Higher than every earlier grant number: an owner that granted a claim wrote
  // the object after loading it, so that this version is higher. If a number
  // were reused, a late outcome of the first run would release the second.
  LastGrant_ = Version_ << GrantBits;
  Loaded_ = true;
  return true;
}

void ClaimTable::unload(std::vector<ClaimResult> &Results) {
  rejectPending(ClaimOutcome::NotOwner, Results);
  Claims_.clear();
  Loaded_ = false;
  WriteState_ = WriteState::Idle;
}

ClaimResult ClaimTable::claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                              base::WallPoint Now) {
  if (!Loaded_)
    return {ClaimOutcome::NotOwner, Key, 0, 0};
  const auto Known = Claims_.find(Key);
  if (Known != Claims_.end())
    return claimExisting(Known->second, Fingerprint, Now);
  if (Claims_.size() >= Limits_.MaxClaims_)
    removeExpired(Now);
  if (Claims_.size() >= Limits_.MaxClaims_)
    return {ClaimOutcome::Full, Key, 0, 0};

  Claim Added;
  Added.Record_.Key_ = Key;
  Added.Record_.Fingerprint_ = Fingerprint;
  Added.Record_.Grant_ = ++LastGrant_;
  Added.Record_.At_ = Now;
  Claims_.emplace(Key, Added);
  ++Queued_;
  return {ClaimOutcome::Pending, Key, Added.Record_.Grant_, 0};
}

ClaimResult ClaimTable::claimExisting(Claim &Known, std::uint64_t Fingerprint,
                                      base::WallPoint Now) {
  const ClaimRecord &Record = Known.Record_;
  if (Record.Fingerprint_ != Fingerprint)
    return {ClaimOutcome::KeyReused, Record.Key_, 0, 0};
  if (Known.Phase_ == Phase::Done)
    return {ClaimOutcome::AlreadyRun, Record.Key_, 0, Record.Status_};
  if (Known.Phase_ != Phase::Released)
    return {ClaimOutcome::MayHaveRun, Record.Key_, 0, 0};
  // Granted again only after a write: an owner that was replaced while paused
  // could otherwise issue the grant that its successor issues as well. The new
  // number keeps a late outcome of the first grant from releasing it again.
  Known.Record_.Grant_ = ++LastGrant_;
  Known.Record_.At_ = Now;
  Known.Phase_ = Phase::Queued;
  ++Queued_;
  return {ClaimOutcome::Pending, Record.Key_, Known.Record_.Grant_, 0};
}

std::optional<ClaimObject> ClaimTable::planWrite(base::WallPoint Now) {
  if (!Loaded_ || WriteState_ != WriteState::Idle || !needsWrite(Now))
    return std::nullopt;
  removeExpired(Now);
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
  OldestUnwrittenOutcome_.reset();
  WriteState_ = WriteState::InFlight;
  return Planned;
}

void ClaimTable::written(std::uint64_t Version,
                         std::vector<ClaimResult> &Results) {
  assert(WriteState_ == WriteState::InFlight && "a write ends once");
  WriteState_ = WriteState::Idle;
  Version_ = Version;
  for (auto &[Key, Each] : Claims_)
    if (Each.Phase_ == Phase::Writing)
      grant(Each, Results);
}

void ClaimTable::failed(std::vector<ClaimResult> &Results) {
  assert(WriteState_ == WriteState::InFlight && "a write ends once");
  WriteState_ = WriteState::Idle;
  rejectPending(ClaimOutcome::StoreUnavailable, Results);
}

void ClaimTable::inDoubt() noexcept {
  assert(WriteState_ == WriteState::InFlight && "a write ends once");
  WriteState_ = WriteState::InDoubt;
}

void ClaimTable::readBack(const ClaimObject &Read,
                          std::vector<ClaimResult> &Results) {
  assert(WriteState_ == WriteState::InDoubt &&
         "only an in-doubt write is read back");
  // Unchanged: the write has not taken effect, but may still do so. The next
  // write expects the same version, so that at most one of the two succeeds.
  const bool Unchanged = Read.Version_ == Version_;
  if (!Unchanged && Read.Writer_ != Owner_)
    return unload(Results);
  WriteState_ = WriteState::Idle;
  Version_ = Read.Version_;
  for (const ClaimRecord &Each : Read.Records_) {
    const auto Known = Claims_.find(Each.Key_);
    if (Known != Claims_.end() && Known->second.Phase_ == Phase::Writing &&
        Known->second.Record_.Grant_ == Each.Grant_)
      grant(Known->second, Results);
  }
  for (auto &[Key, Each] : Claims_) {
    if (Each.Phase_ != Phase::Writing)
      continue;
    Each.Phase_ = Phase::Queued;
    ++Queued_;
  }
}

void ClaimTable::finish(const ClaimKey &Key, std::uint64_t Grant, Ran Result,
                        std::uint16_t Status, base::WallPoint Now) {
  const auto Known = Claims_.find(Key);
  if (Known == Claims_.end() || Known->second.Record_.Grant_ != Grant ||
      Known->second.Phase_ != Phase::Granted)
    return;
  Claim &Finished = Known->second;
  if (Result == Ran::No)
    Finished.Phase_ = Phase::Released;
  if (Result != Ran::Yes)
    return;
  Finished.Phase_ = Phase::Done;
  Finished.Record_.State_ = ClaimState::Done;
  Finished.Record_.Status_ = Status;
  if (!OldestUnwrittenOutcome_)
    OldestUnwrittenOutcome_ = Now;
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

void ClaimTable::grant(Claim &Written, std::vector<ClaimResult> &Results) {
  if (Written.Cancelled_) {
    Written.Cancelled_ = false;
    Written.Phase_ = Phase::Released;
    return;
  }
  Written.Phase_ = Phase::Granted;
  Results.push_back(
      {ClaimOutcome::Granted, Written.Record_.Key_, Written.Record_.Grant_, 0});
}

void ClaimTable::removeExpired(base::WallPoint Now) {
  const base::WallPoint Oldest = Now - Limits_.Retention_;
  std::erase_if(Claims_, [Oldest](const auto &Each) {
    const Phase Current = Each.second.Phase_;
    const bool IsPending =
        Current == Phase::Queued || Current == Phase::Writing;
    return !IsPending && Each.second.Record_.At_ < Oldest;
  });
}

void ClaimTable::rejectPending(ClaimOutcome Outcome,
                               std::vector<ClaimResult> &Results) {
  std::erase_if(Claims_, [Outcome, &Results](const auto &Each) {
    const Phase Current = Each.second.Phase_;
    if (Current != Phase::Queued && Current != Phase::Writing)
      return false;
    if (!Each.second.Cancelled_)
      Results.push_back({Outcome, Each.first, Each.second.Record_.Grant_, 0});
    return true;
  });
  Queued_ = 0;
}

bool ClaimTable::needsWrite(base::WallPoint Now) const noexcept {
  if (Queued_ > 0)
    return true;
  return OldestUnwrittenOutcome_ &&
         Now - *OldestUnwrittenOutcome_ >= Limits_.OutcomeDelay_;
}

std::string_view nameOf(ClaimOutcome Outcome) noexcept {
  static constexpr std::array<std::string_view, 8> Names = {
      "pending",       "granted", "already-run", "may-have-run",
      "other-request", "full",    "not-owner",   "store-down",
  };
  return Names[static_cast<std::size_t>(Outcome)];
}

} // namespace lychee::retrying
