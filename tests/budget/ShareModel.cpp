#include "budget/ShareModel.h"

#include <array>

namespace lychee::tests {

namespace {

constexpr const char *Budget = "customer";
constexpr double Rate = 60;
constexpr double Burst = 24;
constexpr base::Duration Step = std::chrono::milliseconds(5);
constexpr base::Duration LeaseTerm = std::chrono::seconds(2);
/// What the membership service waits beyond a lease for drift and pauses.
constexpr base::Duration LeaseMargin = std::chrono::milliseconds(50);
/// Hosts' clocks run by up to this much fast or slow.
constexpr double LargestDrift = 0.0004;

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
  // Lost messages lose budget, and a fleet that has lost budget cannot be
  // caught exceeding it by little: some worlds are calm on purpose.
  static constexpr std::array<double, 4> Losses = {0, 0, 0.02, 0.1};
  static constexpr std::array<double, 4> FaultRates = {0, 0.5, 1, 2};
  Loss_ = Losses[base::drawBelow(Random_, Losses.size())];
  Faults_ = FaultRates[base::drawBelow(Random_, FaultRates.size())];
  const std::uint32_t Count = 2 + base::drawBelow(Random_, 4);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    startHost();
  beginEpoch();
}

base::TimePoint ShareModel::localTime(const Host &Of) const {
  const double True = base::toSeconds(Now_.time_since_epoch());
  return base::TimePoint(Of.Offset_ +
                         base::fromSeconds(True * (1 + Of.Drift_)));
}

bool ShareModel::isRunning(const Host &Of) const {
  return !Of.Dead_ && Now_ >= Of.PausedUntil_;
}

void ShareModel::startHost() {
  auto Fresh = std::make_unique<Host>();
  Fresh->Id_ = base::HostId("host" + std::to_string(NextName_++));
  Fresh->Book_ = std::make_unique<budget::RateBudgets>(Fresh->Id_);
  Fresh->Drift_ = (2 * base::drawUnit(Random_) - 1) * LargestDrift;
  Fresh->Offset_ = std::chrono::seconds(base::drawBelow(Random_, 1000));
  static constexpr std::array<double, 4> Loads = {2, 20, 60, 300};
  Fresh->RequestsPerSecond_ = Loads[base::drawBelow(Random_, Loads.size())];
  Fresh->Book_->setTotal(Budget, budget::RateTotal::fromRequests(Rate, Burst),
                         localTime(*Fresh));
  Hosts_.push_back(std::move(Fresh));
}

/// Loses some messages, doubles one in ten, and delays each by its own time,
/// so that they cross.
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

/// The membership service writes a new epoch: every live host, and a paused
/// one as long as nobody has missed it.
void ShareModel::beginEpoch() {
  ++Epoch_;
  std::vector<base::HostId> Members;
  for (const auto &Each : Hosts_) {
    Each->Member_ = isRunning(*Each) || (!Each->Dead_ && chance(Random_, 0.3));
    if (Each->Member_)
      Members.push_back(Each->Id_);
  }
  Settlement_.begin(Epoch_, Members);
  SettledNow_ = false;
}

/// One host reads the epoch. Its lease runs from the reading's start by its own
/// clock, and at the service from the answer, which is never earlier.
void ShareModel::tellEpoch(Host &To) {
  if (!isRunning(To) || !To.Member_)
    return;
  const std::uint64_t Told = Epoch_;
  std::uint32_t Members = 0;
  for (const auto &Each : Hosts_)
    Members += Each->Member_ ? 1U : 0U;
  const base::TimePoint Until = localTime(To) + LeaseTerm;
  To.LeaseEnds_ = std::max(To.LeaseEnds_, Now_ + LeaseTerm);
  send([this, &To, Told, Members, Until] {
    if (!isRunning(To))
      return;
    To.Book_->enterEpoch({Told, Members, Until}, localTime(To));
    To.Entered_ = std::max(To.Entered_, Told);
    send([this, &To, Told] { Settlement_.acknowledge(To.Id_, Told); });
  });
}

/// The service renews only a member of the epoch in force.
void ShareModel::renew(Host &Of) {
  if (!isRunning(Of) || !Of.Member_)
    return;
  const std::uint64_t InForce = Epoch_;
  const base::TimePoint Until = localTime(Of) + LeaseTerm;
  Of.LeaseEnds_ = std::max(Of.LeaseEnds_, Now_ + LeaseTerm);
  send([this, &Of, InForce, Until] {
    if (isRunning(Of))
      Of.Book_->renewLease(InForce, Until, localTime(Of));
  });
}

void ShareModel::settleWhereDue() {
  for (const auto &Each : Hosts_)
    if (!Each->Member_ && Now_ > Each->LeaseEnds_ + LeaseMargin)
      Settlement_.recordLeaseEnd(Each->Id_);
  if (!Settlement_.settled())
    return;
  if (!SettledNow_)
    ++SettledEpochs_;
  SettledNow_ = true;
  const std::uint64_t Settled = Epoch_;
  for (const auto &Each : Hosts_) {
    Host &To = *Each;
    send([this, &To, Settled] {
      if (isRunning(To))
        To.Book_->settle(Settled, localTime(To));
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
    const budget::SpendOutcome Outcome = At.Book_->spend(Budget, localTime(At));
    if (Outcome.Result_ != budget::SpendResult::Granted)
      continue;
    ++Granted_;
    if (!Reference_.take(budget::TokensPerRequest, Now_))
      Violated_ = true;
  }
}

void ShareModel::exchange(Host &Asker) {
  if (!isRunning(Asker))
    return;
  for (const budget::ShareRequest &Asked :
       Asker.Book_->dueRequests(localTime(Asker))) {
    Host &Donor = *Hosts_[base::drawBelow(
        Random_, static_cast<std::uint32_t>(Hosts_.size()))];
    send([this, &Donor, &Asker, Asked] {
      if (!isRunning(Donor))
        return;
      const auto Given = Donor.Book_->donate(Asked, localTime(Donor));
      if (!Given)
        return;
      ++Transfers_;
      send([this, &Asker, Given] {
        if (isRunning(Asker))
          Asker.Book_->accept(*Given, localTime(Asker));
      });
    });
  }
}

void ShareModel::misbehave() {
  // Epochs come one by one, and now and then two within a lease.
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
  // Quiet times fill the buckets, and the rushes after them empty them.
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
    misbehave();
    const bool Often = chance(Random_, 0.05);
    for (std::size_t Index = 0; Index < Hosts_.size(); ++Index) {
      Host &Each = *Hosts_[Index];
      request(Each);
      exchange(Each);
      if (Often && Each.Entered_ < Epoch_)
        tellEpoch(Each);
      if (chance(Random_, 0.01))
        renew(Each);
    }
    if (Often)
      settleWhereDue();
  }
  return !Violated_;
}

} // namespace lychee::tests
