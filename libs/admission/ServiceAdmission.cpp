#include "admission/ServiceAdmission.h"

#include <algorithm>

namespace lychee::admission {

namespace {

/// Work is told in hundredths of a slot.
constexpr double MinToldSlots = 0.01;

void add(const WorkPressure &More, WorkPressure &Sum) noexcept {
  Sum.Asked_ += More.Asked_;
  Sum.Admitted_ += More.Admitted_;
  Sum.Lacking_ += More.Lacking_;
}

} // namespace

double ServiceAdmission::fractionOf(const ShareQuery &Query) const noexcept {
  const double Share = Capacity_.share();
  if (!Query.Customer_)
    return Share;
  const auto &[PerSecond, Weight] = *Query.Customer_;
  if (PerSecond <= Level_ * Weight)
    return 1;
  return std::max(Level_ * Weight / PerSecond, Share * MinPart);
}

ShareDecision ServiceAdmission::decide(const ShareQuery &Query,
                                       base::TimePoint Now) noexcept {
  Meters &Own = Meters_[priorityIndex(Query.Priority_)];
  Own.Asked_.add(Query.Work_, Now);
  ShareDecision Result;
  if (Capacity_.share() < 1)
    Result = Order_.decide({fractionOf(Query), Query.Priority_,
                            Query.HasOwnPriority_, Query.Draw_});
  return Result;
}

void ServiceAdmission::recordAdmission(std::uint32_t Priority,
                                       base::Duration Work,
                                       base::TimePoint Now) noexcept {
  Meters_[priorityIndex(Priority)].Admitted_.add(Work, Now);
}

void ServiceAdmission::recordShortage(std::uint32_t Priority,
                                      base::Duration Work,
                                      base::TimePoint Now) noexcept {
  Meters_[priorityIndex(Priority)].Lacking_.add(Work, Now);
}

WorkPressure ServiceAdmission::ownPressure(std::size_t Priority,
                                           base::TimePoint Now) const noexcept {
  const Meters &Own = Meters_[Priority];
  return {Own.Asked_.slots(Now), Own.Admitted_.slots(Now),
          Own.Lacking_.slots(Now)};
}

void ServiceAdmission::followOthers(const RegionPressure &Others,
                                    base::TimePoint Now) noexcept {
  if (Others.Hosts_ == 0)
    return;
  const double Mean = Others.ShareSum_ / static_cast<double>(Others.Hosts_);
  const bool MostReport = Others.Reporting_ * 2 > Others.Hosts_;
  if (Capacity_.isLimited())
    Capacity_.approach(Mean, FollowWeight, Now);
  else if (MostReport && Mean < MaxAdoptedShare)
    Capacity_.approach(Mean, 1, Now);
}

void ServiceAdmission::update(const RegionPressure &Others,
                              base::TimePoint Now) noexcept {
  WorkPressure Sum{Others.UnreportedSlots_, Others.UnreportedSlots_, 0};
  std::array<double, PriorityCount> Demands{};
  const auto Count = [&](std::size_t Priority, const WorkPressure &Work) {
    add(Work, Sum);
    Demands[Priority] += Work.Asked_;
  };
  for (std::size_t Priority = 0; Priority < PriorityCount; ++Priority)
    Count(Priority, ownPressure(Priority, Now));
  for (const PriorityPressure &Row : Others.Rows_)
    Count(priorityIndex(Row.Priority_), Row.Work_);
  Capacity_.update(Sum, Others.SlotShare_, Now);
  followOthers(Others, Now);
  Order_.setDemands(Demands);
  Level_ = std::numeric_limits<double>::infinity();
}

std::vector<PriorityPressure>
ServiceAdmission::pressures(base::TimePoint Now) const {
  std::vector<PriorityPressure> Result;
  WorkPressure Sum;
  for (std::size_t Priority = 0; Priority < PriorityCount; ++Priority) {
    const WorkPressure Work = ownPressure(Priority, Now);
    add(Work, Sum);
    if (Work.Asked_ > MinToldSlots)
      Result.push_back({static_cast<std::uint32_t>(Priority), Work});
  }
  if (!Capacity_.isLimited() && Sum.Lacking_ <= Sum.Asked_ * ToldShortage)
    Result.clear();
  return Result;
}

} // namespace lychee::admission
