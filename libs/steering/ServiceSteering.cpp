#include "steering/ServiceSteering.h"

#include <algorithm>
#include <map>

namespace lychee::steering {

namespace {

/// Bits of a ticket that name the service.
constexpr unsigned IndexBits = 16;

bool provablyNotRun(SendEnd End) noexcept {
  return End == SendEnd::Shed || End == SendEnd::ConnectFailed ||
         End == SendEnd::ClosedUnwritten;
}

std::map<base::ZoneId, base::RegionId>
regionsByZone(const settings::Intent &Intent) {
  std::map<base::ZoneId, base::RegionId> Regions;
  for (const auto &[Id, Region] : Intent.Regions_)
    for (const base::ZoneId &Zone : Region.Zones_)
      Regions[Zone] = Id;
  return Regions;
}

} // namespace

ServiceSteering::ServiceSteering(base::ServiceId Service, std::uint16_t Index,
                                 const ServiceLimits &Limits,
                                 std::uint64_t Seed)
    : Service_(std::move(Service)), Index_(Index), Limits_(Limits),
      Random_(Seed) {}

void ServiceSteering::applyIntent(const settings::Intent &Intent) {
  const std::scoped_lock Guard(Lock_);
  Version_ = Intent.Version_;
  for (TargetState &Known : Targets_)
    Known.Listed_ = false;
  const auto Found = Intent.Services_.find(Service_);
  if (Found == Intent.Services_.end())
    return;
  const auto Regions = regionsByZone(Intent);
  for (const settings::Target &Wanted : Found->second.Targets_) {
    auto Place = std::ranges::find_if(Targets_, [&](const TargetState &Known) {
      return Known.Target_.Id_ == Wanted.Id_;
    });
    if (Place == Targets_.end())
      Place = Targets_.insert(Place, TargetState{});
    Place->Target_ = Wanted;
    Place->Listed_ = true;
    const auto Region = Regions.find(Wanted.Zone_);
    if (Region != Regions.end())
      Place->Region_ = Region->second;
  }
  std::erase_if(Targets_, [](const TargetState &Known) {
    return !Known.Listed_ && Known.InFlight_ == 0;
  });
}

Decision ServiceSteering::arrive(const Request &Arrived, base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  if (Arrived.Deadline_ <= Now)
    return refuse(Refusal::DeadlineTooShort, Ran::No);
  const std::uint64_t Ticket = (++LastSerial_ << IndexBits) | Index_;
  Pending &Wanted = Pending_[Ticket];
  Wanted.Request_ = Arrived;
  // The views point into the caller's header, which may be gone before a
  // waiting request is looked at again.
  Wanted.Request_.Method_ = {};
  Wanted.Request_.Path_ = {};
  return place(Ticket, Wanted, Now);
}

Decision ServiceSteering::finish(std::uint64_t Ticket, const SendReport &Report,
                                 base::TimePoint Now,
                                 std::vector<Wakeup> &Woken) {
  const std::scoped_lock Guard(Lock_);
  const auto Found = Pending_.find(Ticket);
  if (Found == Pending_.end() || Found->second.Waits_)
    return refuse(Refusal::None, Ran::Maybe);
  for (TargetState &Known : Targets_)
    if (Known.Target_.Id_ == Found->second.SentTo_ && Known.InFlight_ > 0)
      --Known.InFlight_;
  Decision Next = retry(Ticket, Report, Now);
  if (Next.Action_ == Decision::Action::Refuse)
    Pending_.erase(Ticket);
  letWaitingGo(Now, Woken);
  return Next;
}

void ServiceSteering::cancel(std::uint64_t Ticket, base::TimePoint) {
  const std::scoped_lock Guard(Lock_);
  const auto Found = Pending_.find(Ticket);
  if (Found == Pending_.end() || !Found->second.Waits_)
    return;
  std::erase(Waiting_, Ticket);
  Pending_.erase(Found);
}

void ServiceSteering::tick(base::TimePoint Now, std::vector<Wakeup> &Woken) {
  const std::scoped_lock Guard(Lock_);
  std::erase_if(Waiting_, [&](std::uint64_t Ticket) {
    if (Pending_[Ticket].Request_.Deadline_ > Now)
      return false;
    Woken.push_back({Ticket, refuse(Refusal::DeadlinePassed, Ran::No)});
    Pending_.erase(Ticket);
    return true;
  });
  letWaitingGo(Now, Woken);
}

ServiceSteering::Choice ServiceSteering::choose(const Pending &Wanted) {
  Choice Best;
  for (const base::RegionId &Region : Wanted.Request_.Preference_) {
    std::uint32_t Ties = 0;
    for (TargetState &Known : Targets_) {
      if (Known.Region_ != Region || !Known.Listed_ || Known.Target_.Leaving_)
        continue;
      if (Wanted.Sends_ > 0 && Known.Target_.Id_ == Wanted.SentTo_)
        continue;
      if (Best.Room_ == Room::NoTarget)
        Best.Room_ = Room::AllBusy;
      if (Known.InFlight_ >= Known.Target_.Slots_)
        continue;
      const bool Better =
          !Best.Target_ || Known.InFlight_ < Best.Target_->InFlight_;
      const bool Equal = !Better && Known.InFlight_ == Best.Target_->InFlight_;
      Ties = Better ? 1 : Ties + (Equal ? 1 : 0);
      if (Better || (Equal && base::drawBelow(Random_, Ties) == 0))
        Best.Target_ = &Known;
    }
    if (Best.Target_) {
      Best.Room_ = Room::Found;
      return Best;
    }
  }
  return Best;
}

Decision ServiceSteering::place(std::uint64_t Ticket, Pending &Wanted,
                                base::TimePoint) {
  const Choice Chosen = choose(Wanted);
  if (Chosen.Room_ == Room::Found)
    return send(Ticket, Wanted, *Chosen.Target_);
  const bool Queueable =
      Chosen.Room_ == Room::AllBusy && Waiting_.size() < Limits_.QueueLength_;
  if (Queueable)
    return hold(Ticket, Wanted);
  Pending_.erase(Ticket);
  return refuse(Chosen.Room_ == Room::AllBusy ? Refusal::QueueFull
                                              : Refusal::NoHealthyTarget,
                Ran::No);
}

Decision ServiceSteering::send(std::uint64_t Ticket, Pending &Wanted,
                               TargetState &Target) {
  ++Target.InFlight_;
  ++Wanted.Sends_;
  Wanted.SentTo_ = Target.Target_.Id_;
  Wanted.Waits_ = false;
  Decision Taken;
  Taken.Action_ = Decision::Action::Send;
  Taken.Ticket_ = Ticket;
  Taken.Target_ = Target.Target_.Id_;
  Taken.Address_ = Target.Target_.Address_;
  Taken.Region_ = Target.Region_;
  Taken.Reason_ = Wanted.Sends_ > 1 ? "retry" : "least-in-flight";
  Taken.SettingsVersion_ = Version_;
  return Taken;
}

Decision ServiceSteering::hold(std::uint64_t Ticket, Pending &Wanted) {
  Wanted.Waits_ = true;
  Waiting_.push_back(Ticket);
  Decision Taken;
  Taken.Action_ = Decision::Action::Wait;
  Taken.Ticket_ = Ticket;
  Taken.Reason_ = "no-free-slot";
  Taken.WaitUntil_ = Wanted.Request_.Deadline_;
  Taken.SettingsVersion_ = Version_;
  return Taken;
}

Decision ServiceSteering::refuse(Refusal Reason, Ran MayHaveRun) const {
  Decision Taken;
  Taken.Refusal_ = Reason;
  Taken.Ran_ = MayHaveRun;
  Taken.Reason_ = nameOf(Reason);
  Taken.SettingsVersion_ = Version_;
  if (Reason == Refusal::QueueFull || Reason == Refusal::NoHealthyTarget)
    Taken.RetryAfter_ = std::chrono::seconds(1);
  return Taken;
}

Decision ServiceSteering::retry(std::uint64_t Ticket, const SendReport &Report,
                                base::TimePoint Now) {
  if (Report.End_ == SendEnd::Answered)
    return refuse(Refusal::None, Ran::Maybe);
  Pending &Failed = Pending_[Ticket];
  const bool NotRun = provablyNotRun(Report.End_);
  const Ran MayHaveRun = NotRun ? Ran::No : Ran::Maybe;
  if (Report.End_ == SendEnd::Cancelled || Failed.Request_.Deadline_ <= Now)
    return refuse(Refusal::DeadlinePassed, MayHaveRun);
  const bool Safe = NotRun || Failed.Request_.Idempotent_;
  if (!Safe || Report.AnswerStarted_ || Failed.Sends_ >= Limits_.Sends_)
    return refuse(Refusal::TargetFailed, MayHaveRun);
  Decision Next = place(Ticket, Failed, Now);
  // An earlier send may have run even where the last one found no room.
  if (Next.Action_ == Decision::Action::Refuse)
    Next.Ran_ = MayHaveRun;
  return Next;
}

void ServiceSteering::letWaitingGo(base::TimePoint Now,
                                   std::vector<Wakeup> &Woken) {
  while (!Waiting_.empty()) {
    const std::uint64_t Ticket = Waiting_.front();
    Pending &First = Pending_[Ticket];
    const Choice Chosen = choose(First);
    if (Chosen.Room_ != Room::Found || First.Request_.Deadline_ <= Now)
      return;
    Waiting_.pop_front();
    Woken.push_back({Ticket, send(Ticket, First, *Chosen.Target_)});
  }
}

} // namespace lychee::steering
