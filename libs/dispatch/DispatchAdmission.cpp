#include "dispatch/DispatchSteering.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

/// Which requests are admitted while their service lacks capacity.
/// \see admission::ServiceAdmission
namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;

namespace {

/// Part of a request's work that counts as lacking where the answer is late
/// because it waits. The work uses slots all the same: counted in full, it
/// would reduce the estimated capacity to a fraction of what targets complete.
/// A tenth admits less than they complete, so that their queues drain.
constexpr double LateLoss = 0.1;
/// Until then the shares are recomputed and a heartbeat of each host arrived.
/// Callers with the shortest deadline, 1.5 s, wait no longer than 500 ms.
constexpr base::Duration ShareRetryAfter = std::chrono::milliseconds(400);
/// Priority of customers with a weight of 1.
constexpr double UsualPriority = 1;

/// \returns the fraction of the demand that the slots can serve while few
/// requests wait for one.
/// \param BoundTo  the region that the requests are bound to; empty: none.
double slotShareOf(const std::map<base::RegionId, RegionLoad> &Regions,
                   const base::RegionId &BoundTo) {
  double Slots = 0;
  double Demand = 0;
  for (const auto &[Region, Load] : Regions) {
    if (!BoundTo.empty() && Region != BoundTo)
      continue;
    Slots += Load.Slots_;
    Demand += Load.BoundDemand_ + (BoundTo.empty() ? Load.Demand_ : 0);
  }
  return Demand > 0 ? RegionSplit::BoundUtilization * Slots / Demand : 1;
}

double weightOf(const live::CustomerRule &Customer) noexcept {
  const auto Priority = static_cast<double>(std::min<std::uint32_t>(
      Customer.Priority_.value_or(1), admission::PriorityCount - 1));
  return std::exp2(UsualPriority - Priority);
}

} // namespace

double DispatchSteering::admissionDraw(const base::RequestId &Id,
                                       std::uint64_t Ticket) const {
  constexpr unsigned Bits = 53;
  const std::uint64_t Hash =
      base::stableHash(Id.name(), Id.empty() ? Settings_.Seed_ + Ticket : 0);
  return static_cast<double>(Hash >> (64 - Bits)) * 0x1.0p-53;
}

base::RegionId
DispatchSteering::admissionRegion(const InFlightRequest &Request) const {
  const bool IsBound = Request.Homes_ && Request.Homes_->size() == 1 &&
                       Request.Homes_->front() != Settings_.Region_;
  return IsBound ? Request.Homes_->front() : base::RegionId();
}

admission::ServiceAdmission &
DispatchSteering::admissionOf(const InFlightRequest &Request) {
  return serviceState(Request.Service_).Admissions_[admissionRegion(Request)];
}

/// A request is refused only where it would wait: while a target has a free
/// slot, nobody is kept from it, however wrong the estimate of the capacity is.
void DispatchSteering::decideShare(InFlightRequest &Request,
                                   base::TimePoint Now) {
  if (!Settings_.Bounds_.Features_.FairShares_)
    return;
  admission::ServiceAdmission &Admission = admissionOf(Request);
  admission::ShareQuery Query;
  Query.Priority_ = Request.Priority_;
  Query.Draw_ = Request.Draw_;
  Query.Work_ = base::fromSeconds(executionTimesOf(Request).meanSeconds());
  if (const auto Customer = CustomerShares_.find(Request.Customer_);
      Customer != CustomerShares_.end()) {
    Query.Customer_ = Customer->second.Demand_;
    Query.HasOwnPriority_ = Customer->second.HasOwnPriority_;
  }
  const admission::ShareDecision Verdict = Admission.decide(Query, Now);
  if (Verdict.Outcome_ == admission::ShareOutcome::Admitted)
    return;
  Request.OverShare_ = {Verdict.Outcome_ == admission::ShareOutcome::OverShare
                            ? Refusal::OverShare
                            : Refusal::LessUrgent,
                        {Verdict.Fraction_,
                         Query.Customer_ ? Query.Customer_->PerSecond_ : 0,
                         Admission.share(), Verdict.Ahead_}};
}

void DispatchSteering::recordShare(InFlightRequest &Request,
                                   base::TimePoint Now) {
  if (!Settings_.Bounds_.Features_.FairShares_ || Request.IsAdmitted_)
    return;
  Request.IsAdmitted_ = true;
  admissionOf(Request).recordAdmission(
      Request.Priority_,
      base::fromSeconds(executionTimesOf(Request).meanSeconds()), Now);
}

Decision DispatchSteering::refuseUnshared(std::uint64_t Ticket,
                                          const InFlightRequest &Request,
                                          const ShareRefusal &OverShare) {
  if (Request.TookOwnToken_)
    RateLimiter_.refund(Request.Customer_);
  const ShareRefusal Why = OverShare;
  InFlight_.erase(Ticket);
  Decision Refused = refuse(Why.Reason_, ShareRetryAfter, false);
  Refused.Share_ = Why.Inputs_;
  return Refused;
}

void DispatchSteering::recordShortage(InFlightRequest &Request,
                                      const Choice &Chosen,
                                      base::TimePoint Now) {
  if (!Settings_.Bounds_.Features_.FairShares_ || Request.LacksCapacity_ ||
      Chosen.ExpectedWait_ <= base::Duration::zero())
    return;
  const base::TimePoint Answer = Now + Chosen.ExpectedResponseTime_;
  const base::TimePoint WithoutWait = Answer - Chosen.ExpectedWait_;
  const bool IsRefused = !canAnswerInTime(Request, Chosen, Now);
  const bool WaitDecides = IsRefused ? WithoutWait < Request.Deadline_
                                     : Answer > Request.ObjectiveAt_ &&
                                           WithoutWait <= Request.ObjectiveAt_;
  if (!WaitDecides)
    return;
  Request.LacksCapacity_ = true;
  const double Seconds = executionTimesOf(Request).meanSeconds();
  admissionOf(Request).recordShortage(
      Request.Priority_,
      base::fromSeconds(Seconds * (IsRefused ? 1 : LateLoss)), Now);
}

void DispatchSteering::recordTurnedAway(InFlightRequest &Request,
                                        const steering::SendReport &Report,
                                        base::TimePoint Now) {
  // A target that refuses with slots free is unhealthy, not full.
  const bool IsFull = Report.Outcome_ == steering::SendOutcome::Shed &&
                      Report.Load_ &&
                      Report.Load_->Running_ >= Report.Load_->Slots_;
  if (!Settings_.Bounds_.Features_.FairShares_ || Request.LacksCapacity_ ||
      !IsFull)
    return;
  admissionOf(Request).recordShortage(
      Request.Priority_,
      base::fromSeconds(executionTimesOf(Request).meanSeconds()), Now);
}

admission::RegionPressure
DispatchSteering::pressureOf(const base::ServiceId &Service,
                             const base::RegionId &BoundTo,
                             const FleetDemand &Fleet) const {
  admission::RegionPressure Result;
  for (const members::HostView &Other : Fleet.OtherHosts_) {
    if (!Other.Alive_ || Other.Descriptor_.Region_ != Settings_.Region_)
      continue;
    ++Result.Hosts_;
    std::optional<double> Share;
    for (const members::ServicePressure &Row : Other.Pressures_) {
      if (Row.Service_ != Service || Row.BoundTo_ != BoundTo)
        continue;
      Share = Row.Share_;
      Result.Rows_.push_back(
          {Row.Priority_,
           {Row.AskedSlots_, Row.AdmittedSlots_, Row.LackingSlots_}});
    }
    Result.ShareSum_ += Share.value_or(1);
    Result.Reporting_ += Share ? 1 : 0;
    if (Share)
      continue;
    for (const members::ServiceDemand &Load : Other.Loads_) {
      const bool IsOwn =
          Load.BoundTo_.empty() || Load.BoundTo_ == Settings_.Region_;
      if (Load.Service_ == Service &&
          (BoundTo.empty() ? IsOwn : Load.BoundTo_ == BoundTo))
        Result.UnreportedSlots_ += Load.Slots_;
    }
  }
  return Result;
}

void DispatchSteering::updateAdmissions(const FleetDemand &Fleet,
                                        base::TimePoint Now) {
  if (!Settings_.Bounds_.Features_.FairShares_)
    return;
  std::vector<admission::ServiceAdmission *> Full;
  for (auto &[Id, Service] : Services_) {
    Service.Admissions_.try_emplace(base::RegionId());
    for (auto &[BoundTo, Admission] : Service.Admissions_) {
      const bool WasLimited = Admission.isLimited();
      admission::RegionPressure Pressure = pressureOf(Id, BoundTo, Fleet);
      Pressure.SlotShare_ = slotShareOf(Service.RegionSlots_, BoundTo);
      Admission.update(Pressure, Now);
      if (Admission.share() < 1)
        Full.push_back(&Admission);
      if (Admission.isLimited() != WasLimited)
        Callbacks_.OnCapacity_(
            {Id, BoundTo, Admission.isLimited(), Admission.share()});
    }
  }
  CustomerShares_.clear();
  if (Full.empty() || !Intent_)
    return;
  std::vector<admission::WeightedDemand> Demands;
  for (const live::CustomerRule &Customer : Intent_->Customers_) {
    const admission::WeightedDemand Demand{
        RateLimiter_.fleetDemand(Customer.Id_).value_or(0), weightOf(Customer)};
    if (Demand.PerSecond_ <= 0)
      continue;
    Demands.push_back(Demand);
    CustomerShares_[Customer.Id_] = {Demand, Customer.Priority_.has_value()};
  }
  for (admission::ServiceAdmission *Each : Full)
    Each->divideAmong(Demands);
}

std::vector<members::ServicePressure>
DispatchSteering::servicePressures(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<members::ServicePressure> Result;
  for (const auto &[Id, Service] : Services_)
    for (const auto &[BoundTo, Admission] : Service.Admissions_)
      for (const auto &[Priority, Work] : Admission.pressures(Now)) {
        if (Result.size() >= members::MaxServicePressures)
          return Result;
        Result.push_back({Id, BoundTo, Priority, Work.Asked_, Work.Admitted_,
                          Work.Lacking_, Admission.share()});
      }
  return Result;
}

std::map<base::ServiceId, double> DispatchSteering::admittedShares() const {
  const std::lock_guard Guard(Lock_);
  std::map<base::ServiceId, double> Result;
  for (const auto &[Id, Service] : Services_)
    if (const auto Own = Service.Admissions_.find(base::RegionId());
        Own != Service.Admissions_.end())
      Result[Id] = Own->second.share();
  return Result;
}

} // namespace lychee::dispatch
