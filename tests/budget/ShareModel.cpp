#include "budget/ShareModel.h"

#include <array>

namespace lychee::tests {

namespace {

constexpr const char *Budget = "customer";
constexpr double Rate = 60;
constexpr double Burst = 24;
constexpr base::Duration Step = std::chrono::milliseconds(5);
constexpr base::Duration LeaseTerm = std::chrono::seconds(2);
/// Time that the membership service waits beyond a lease for drift and pauses.
constexpr base::Duration LeaseMargin = std::chrono::milliseconds(50);
/// Maximum drift of a host's clock in either direction.
constexpr double MaxDrift = 0.0004;

bool chance(base::Random &Source, double Probability) {
  return base::drawUnit(Source) < Probability;
}

base::Duration between(base::Random &Source, base::Duration Low,
                       base::Duration High) {
  return Low + base::fromSeconds(base::toSeconds(High - Low) *
                                 base::drawUnit(Source));
}

} // namespace

ShareModel::ShareModel(std::uint64_t Seed) : Random_(Seed), Reference_(Now_) {
  const budget::RateTotal Total = budget::RateTotal::fromRequests(Rate, Burst);
  Reference_.setLimits(Total.MicroRequestsPerSecond_, Total.Burst_, Now_);
  Reference_.add(Total.Burst_, Now_);
  // Lost messages lose budget, and hosts that have lost budget hide a small
  // excess, so that some seeds have few or no faults.
  static constexpr std::array<double, 4> Losses = {0, 0, 0.02, 0.1};
  static constexpr std::array<double, 4> FaultRates = {0, 0.5, 1, 2};
  Loss_ = Losses[base::drawBelow(Random_, Losses.size())];
  Faults_ = FaultRates[base::drawBelow(Random_, FaultRates.size())];
  const std::uint32_t Count = 2 + base::drawBelow(Random_, 4);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    startHost();
  beginEpoch();
}

base::TimePoint ShareModel::localTime(const Host &Each) const {
  const double True = base::toSeconds(Now_.time_since_epoch());
  return base::TimePoint(Each.Offset_ +
                         base::fromSeconds(True * (1 + Each.Drift_)));
}

bool ShareModel::isRunning(const Host &Each) const {
  return !Each.Dead_ && Now_ >= Each.PausedUntil_;
}

void ShareModel::startHost() {
  auto Added = std::make_unique<Host>();
  Added->Id_ = base::HostId("host" + std::to_string(NextName_++));
  Added->Budgets_ = std::make_unique<budget::RateBudgets>(Added->Id_);
  Added->Drift_ = (2 * base::drawUnit(Random_) - 1) * MaxDrift;
  Added->Offset_ = std::chrono::seconds(base::drawBelow(Random_, 1000));
  static constexpr std::array<double, 4> Loads = {2, 20, 60, 300};
  Added->RequestsPerSecond_ = Loads[base::drawBelow(Random_, Loads.size())];
  Added->Budgets_->setTotal(
      Budget, budget::RateTotal::fromRequests(Rate, Burst), localTime(*Added));
  Hosts_.push_back(std::move(Added));
}

/// Loses some messages, duplicates one in ten, and delays each by a random
/// time, so that they are reordered.
void ShareModel::send(std::function<void()> Deliver) {
  if (chance(Random_, Loss_))
    return;
  const base::Duration Longest = chance(Random_, 0.05)
                                     ? base::Duration(std::chrono::seconds(4))
                                     : std::chrono::milliseconds(60);
  const base::Duration Delay = between(Random_, Step, Longest);
  if (chance(Random_, 0.1))
    Messages_.emplace(Now_ + Delay + between(Random_, Step, Longest), Deliver);
  Messages_.emplace(Now_ + Delay, std::move(Deliver));
}

void ShareModel::deliverDue() {
  while (!Messages_.empty() && Messages_.begin()->first <= Now_) {
    const std::function<void()> Deliver = std::move(Messages_.begin()->second);
    Messages_.erase(Messages_.begin());
    Deliver();
  }
}

/// The membership service begins a new epoch with every running host. A paused
/// host is sometimes kept, as if its pause had not been detected yet.
void ShareModel::beginEpoch() {
  ++Epoch_;
  std::vector<base::HostId> Members;
  for (const auto &Each : Hosts_) {
    Each->Member_ = isRunning(*Each) || (!Each->Dead_ && chance(Random_, 0.3));
    if (Each->Member_)
      Members.push_back(Each->Id_);
  }
  Settlement_.begin(Epoch_, Members);
  EpochSettled_ = false;
}

/// A host reads the epoch. By its own clock its lease runs from the start of
/// the read, and at the service from the response, which is never earlier.
void ShareModel::announceEpoch(Host &Receiver) {
  if (!isRunning(Receiver) || !Receiver.Member_)
    return;
  const std::uint64_t Announced = Epoch_;
  std::uint32_t Members = 0;
  for (const auto &Each : Hosts_)
    Members += Each->Member_ ? 1U : 0U;
  const base::TimePoint Until = localTime(Receiver) + LeaseTerm;
  Receiver.LeaseEnds_ = std::max(Receiver.LeaseEnds_, Now_ + LeaseTerm);
  send([this, &Receiver, Announced, Members, Until] {
    if (!isRunning(Receiver))
      return;
    Receiver.Budgets_->enterEpoch({Announced, Members, Until},
                                  localTime(Receiver));
    Receiver.Entered_ = std::max(Receiver.Entered_, Announced);
    send([this, &Receiver, Announced] {
      Settlement_.acknowledge(Receiver.Id_, Announced);
    });
  });
}

/// The service renews only members of the current epoch.
void ShareModel::renew(Host &Each) {
  if (!isRunning(Each) || !Each.Member_)
    return;
  const std::uint64_t Current = Epoch_;
  const base::TimePoint Until = localTime(Each) + LeaseTerm;
  Each.LeaseEnds_ = std::max(Each.LeaseEnds_, Now_ + LeaseTerm);
  send([this, &Each, Current, Until] {
    if (isRunning(Each))
      Each.Budgets_->renewLease(Current, Until, localTime(Each));
  });
}

void ShareModel::settleIfDue() {
  for (const auto &Each : Hosts_)
    if (!Each->Member_ && Now_ > Each->LeaseEnds_ + LeaseMargin)
      Settlement_.recordLeaseEnd(Each->Id_);
  if (!Settlement_.settled())
    return;
  if (!EpochSettled_)
    ++SettledEpochs_;
  EpochSettled_ = true;
  const std::uint64_t Settled = Epoch_;
  for (const auto &Each : Hosts_) {
    Host &Receiver = *Each;
    send([this, &Receiver, Settled] {
      if (isRunning(Receiver))
        Receiver.Budgets_->settle(Settled, localTime(Receiver));
    });
  }
}

void ShareModel::request(Host &At) {
  if (!isRunning(At))
    return;
  while (At.NextRequest_ <= Now_) {
    At.NextRequest_ =
        std::max(At.NextRequest_, Now_ - Step) +
        base::fromSeconds(2 * base::drawUnit(Random_) / At.RequestsPerSecond_);
    const budget::SpendOutcome Outcome =
        At.Budgets_->spend(Budget, localTime(At));
    if (Outcome.Result_ != budget::SpendResult::Granted)
      continue;
    ++Granted_;
    if (!Reference_.take(budget::TokensPerRequest, Now_))
      Violated_ = true;
  }
}

void ShareModel::exchange(Host &Requester) {
  if (!isRunning(Requester))
    return;
  for (const budget::ShareRequest &Request :
       Requester.Budgets_->dueRequests(localTime(Requester))) {
    Host &Donor = *Hosts_[base::drawBelow(
        Random_, static_cast<std::uint32_t>(Hosts_.size()))];
    send([this, &Donor, &Requester, Request] {
      if (!isRunning(Donor))
        return;
      const auto Donated = Donor.Budgets_->donate(Request, localTime(Donor));
      if (!Donated)
        return;
      ++Transfers_;
      send([this, &Requester, Donated] {
        if (isRunning(Requester))
          Requester.Budgets_->accept(*Donated, localTime(Requester));
      });
    });
  }
}

void ShareModel::injectFaults() {
  // Epochs change one by one, and sometimes twice within a lease.
  const bool Soon = Now_ < LastEpoch_ + std::chrono::milliseconds(500);
  if (chance(Random_, (Soon ? 0.01 : 0.002) * Faults_)) {
    LastEpoch_ = Now_;
    beginEpoch();
  }
  if (chance(Random_, 0.0008 * Faults_) && Hosts_.size() < 12)
    startHost();
  Host &Any = *Hosts_[base::drawBelow(
      Random_, static_cast<std::uint32_t>(Hosts_.size()))];
  if (chance(Random_, 0.0004 * Faults_))
    Any.Dead_ = true;
  if (chance(Random_, 0.001 * Faults_))
    Any.PausedUntil_ =
        Now_ + between(Random_, Step, std::chrono::milliseconds(6000));
  // Low load fills the buckets, and the peaks after it empty them.
  if (chance(Random_, 0.004)) {
    static constexpr std::array<double, 5> Loads = {0.2, 1, 30, 100, 600};
    Any.RequestsPerSecond_ = Loads[base::drawBelow(Random_, Loads.size())];
  }
}

bool ShareModel::run(base::Duration Span) {
  const base::TimePoint End = Now_ + Span;
  while (Now_ < End && !Violated_) {
    Now_ += Step;
    deliverDue();
    injectFaults();
    const bool Often = chance(Random_, 0.05);
    for (std::size_t Index = 0; Index < Hosts_.size(); ++Index) {
      Host &Each = *Hosts_[Index];
      request(Each);
      exchange(Each);
      if (Often && Each.Entered_ < Epoch_)
        announceEpoch(Each);
      if (chance(Random_, 0.01))
        renew(Each);
    }
    if (Often)
      settleIfDue();
  }
  return !Violated_;
}

} // namespace lychee::tests
