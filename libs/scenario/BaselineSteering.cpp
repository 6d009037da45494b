#include "scenario/BaselineSteering.h"

#include <algorithm>

namespace lychee::scenario {

void BaselineSteering::applyIntent(
    std::shared_ptr<const settings::Intent> Intent, double RateShare,
    base::TimePoint Now) {
  Intent_ = std::move(Intent);
  for (const auto &[Id, Region] : Intent_->Regions_)
    for (const base::ZoneId &Zone : Region.Zones_)
      Regions_[Zone] = Id;
  Rates_.applyIntent(*Intent_, Now);
  Rates_.setDefaultShare(RateShare, Now);
}

void BaselineSteering::report(const LoadReport &Heard) {
  Loads_[Heard.Target_] = Heard.Load_;
}

std::vector<const settings::Target *>
BaselineSteering::candidates(const Sent &Wanted,
                             const base::RegionId &Region) const {
  std::vector<const settings::Target *> Found;
  for (const settings::Target &Target :
       Intent_->Services_.at(Wanted.Request_.Service_).Targets_) {
    const bool TriedLast = Wanted.Sends_ > 0 && Target.Id_ == Wanted.Target_;
    if (!Target.Leaving_ && !TriedLast && Regions_.at(Target.Zone_) == Region)
      Found.push_back(&Target);
  }
  return Found;
}

const settings::Target *BaselineSteering::choose(const Sent &Wanted) {
  for (const base::RegionId &Region : Wanted.Request_.PreferredRegions_) {
    const auto Found = candidates(Wanted, Region);
    if (Found.empty())
      continue;
    // Turns break ties too: many targets report the same load.
    const std::uint64_t Turn = Turns_[Region]++;
    if (Rules_.Choice_ == BaselineRules::Choice::RoundRobin)
      return Found[Turn % Found.size()];
    const settings::Target *Best = nullptr;
    for (std::size_t Place = 0; Place < Found.size(); ++Place) {
      const settings::Target *Other = Found[(Turn + Place) % Found.size()];
      if (!Best || Loads_[Other->Id_] < Loads_[Best->Id_])
        Best = Other;
    }
    return Best;
  }
  return nullptr;
}

steering::Decision BaselineSteering::arrive(const steering::Request &Arrived,
                                            base::TimePoint Now) {
  if (Rates_.take(Arrived.Customer_, Now))
    return refuse(steering::Refusal::RateLimited, false);
  const std::uint64_t Ticket = ++LastTicket_;
  Sent &Added = Sent_[Ticket];
  Added.Request_ = Arrived;
  return send(Ticket, Added);
}

steering::Decision BaselineSteering::send(std::uint64_t Ticket, Sent &Wanted) {
  const settings::Target *Target = choose(Wanted);
  if (!Target) {
    const bool MayHaveRun = Wanted.MayHaveRun_;
    Sent_.erase(Ticket);
    return refuse(steering::Refusal::NoHealthyTarget, MayHaveRun);
  }
  Wanted.Target_ = Target->Id_;
  ++Wanted.Sends_;
  steering::Decision Taken;
  Taken.Action_ = steering::Decision::Action::Send;
  Taken.Ticket_ = Ticket;
  Taken.Target_ = Target->Id_;
  Taken.Address_ = Target->Address_;
  Taken.Region_ = Regions_.at(Target->Zone_);
  return Taken;
}

steering::Decision BaselineSteering::refuse(steering::Refusal Reason,
                                            bool MayHaveRun) {
  steering::Decision Taken;
  Taken.Refusal_ = Reason;
  Taken.Ran_ = MayHaveRun ? steering::Ran::Maybe : steering::Ran::No;
  Taken.Reason_ = steering::nameOf(Reason);
  return Taken;
}

steering::Decision BaselineSteering::finish(std::uint64_t Ticket,
                                            const steering::SendReport &Report,
                                            base::TimePoint Now,
                                            std::vector<steering::Wakeup> &) {
  const auto Found = Sent_.find(Ticket);
  if (Found == Sent_.end())
    return {};
  Sent &Failed = Found->second;
  using End = steering::SendOutcome;
  const bool NotRun = Report.Outcome_ == End::Shed ||
                      Report.Outcome_ == End::ConnectFailed ||
                      Report.Outcome_ == End::ClosedBeforeWrite;
  Failed.MayHaveRun_ = Failed.MayHaveRun_ || !NotRun;
  const bool Safe = NotRun || Failed.Request_.Idempotent_;
  const bool TimeLeft =
      Report.Outcome_ != End::Cancelled && Failed.Request_.Deadline_ > Now;
  if (Report.Outcome_ != End::Answered && Safe && TimeLeft &&
      Failed.Sends_ < Rules_.Sends_)
    return send(Ticket, Failed);
  const bool MayHaveRun = Failed.MayHaveRun_;
  Sent_.erase(Found);
  if (Report.Outcome_ == End::Answered)
    return refuse(steering::Refusal::None, true);
  return refuse(Report.Outcome_ == End::Cancelled
                    ? steering::Refusal::DeadlineExceeded
                    : steering::Refusal::TargetFailed,
                MayHaveRun);
}

void BaselineSteering::cancel(std::uint64_t, base::TimePoint) {}

void BaselineSteering::tick(base::TimePoint, std::vector<steering::Wakeup> &) {}

void BaselineStrategy::start(PeerNetwork Peers, std::uint64_t,
                             base::TimePoint) {
  for (std::size_t Host = 0; Host < Peers.Hosts_; ++Host)
    Hosts_.push_back(std::make_unique<BaselineSteering>(Rules_));
}

steering::Steering &BaselineStrategy::steering(std::size_t Host) {
  return *Hosts_[Host];
}

void BaselineStrategy::applyIntent(
    std::size_t Host, std::shared_ptr<const settings::Intent> Intent,
    base::TimePoint Now) {
  Hosts_[Host]->applyIntent(std::move(Intent),
                            1.0 / static_cast<double>(Hosts_.size()), Now);
}

void BaselineStrategy::report(std::size_t Host, const LoadReport &Heard,
                              base::TimePoint) {
  Hosts_[Host]->report(Heard);
}

void BaselineStrategy::tick(base::TimePoint) {}

void BaselineStrategy::hostGone(std::size_t, base::TimePoint) {}

void BaselineStrategy::hostBack(std::size_t Host, base::TimePoint) {
  Hosts_[Host] = std::make_unique<BaselineSteering>(Rules_);
}

} // namespace lychee::scenario
