#include "scenario/Recorder.h"

#include <algorithm>
#include <cmath>

namespace lychee::scenario {

namespace {

/// Requests within the rate and requests answered are compared over this time:
/// long enough that a customer above its rate, of whose requests any may be
/// the ones let in, is not counted as wronged by chance.
constexpr base::Duration WindowLength = std::chrono::seconds(5);
/// Requests of each kind that a trace shows.
constexpr std::size_t TracedOfEachKind = 3;

std::int64_t wholeSeconds(base::Duration Span) {
  return std::chrono::duration_cast<std::chrono::seconds>(Span).count();
}

} // namespace

Recorder::Recorder(const Scenario &Played, base::TimePoint Start)
    : Played_(Played), Start_(Start) {
  for (const CustomerSpec &Customer : Played.Customers_) {
    const RateMeter Meter(Customer.RatePerSecond_, Customer.Burst_, Start);
    Asked_.emplace(Customer.Name_, Meter);
    LetIn_.emplace(Customer.Name_, Meter);
  }
  for (const LoadSpec &Load : Played.Loads_) {
    const auto Known =
        std::ranges::find(Result_.Loads_, Load.Label_, &LoadOutcome::Label_);
    LoadPlaces_.push_back(
        static_cast<std::size_t>(Known - Result_.Loads_.begin()));
    if (Known != Result_.Loads_.end())
      continue;
    LoadOutcome Added;
    Added.Label_ = Load.Label_;
    Added.Customer_ = Load.Customer_;
    Result_.Loads_.push_back(Added);
  }
  Windows_.resize(Result_.Loads_.size());
}

LoadOutcome &Recorder::loadOf(const CallerRequest &Asked) {
  return Result_.Loads_[LoadPlaces_[Asked.Load_]];
}

Recorder::Window &Recorder::windowOf(const CallerRequest &Asked) {
  return Windows_[LoadPlaces_[Asked.Load_]]
                 [(Asked.Began_ - Start_) / WindowLength];
}

void Recorder::offend(const CallerRequest &Asked, std::uint64_t &Count) {
  if (++Count <= TracedOfEachKind)
    Result_.Offenders_.push_back(Asked.Serial_);
}

void Recorder::asked(CallerRequest &Asked, base::TimePoint Now) {
  Asked.Conforming_ =
      Asked_.at(Played_.Loads_[Asked.Load_].Customer_).take(Now);
  if (!Asked.Counted_)
    return;
  LoadOutcome &Load = loadOf(Asked);
  ++Load.Asked_;
  if (!Asked.Conforming_)
    return;
  ++Load.Conforming_;
  ++windowOf(Asked).Conforming_;
}

void Recorder::letIn(const CallerRequest &Asked, base::TimePoint Now) {
  if (!LetIn_.at(Played_.Loads_[Asked.Load_].Customer_).take(Now))
    offend(Asked, Result_.Violations_.OverRate_);
}

void Recorder::answered(const CallerRequest &Asked, base::TimePoint Now) {
  if (!Asked.Counted_)
    return;
  const double Latency = 1000 * base::toSeconds(Now - Asked.Began_);
  loadOf(Asked).LatencyMilliseconds_.push_back(Latency);
  ++windowOf(Asked).Answered_;
  Slowest_.emplace_back(Latency, Asked.Serial_);
  std::ranges::push_heap(Slowest_, std::greater<>());
  if (Slowest_.size() <= TracedOfEachKind)
    return;
  std::ranges::pop_heap(Slowest_, std::greater<>());
  Slowest_.pop_back();
}

void Recorder::refused(const CallerRequest &Asked, steering::Refusal Reason,
                       steering::Ran MayHaveRun) {
  if (MayHaveRun == steering::Ran::No && Asked.Runs_ > 0)
    offend(Asked, Result_.Violations_.FalseNotRun_);
  if (!Asked.Counted_)
    return;
  ++loadOf(Asked).Refused_[Reason];
  ++windowOf(Asked).Refused_;
  if (Asked.Conforming_ && WronglyRefused_.size() < TracedOfEachKind)
    WronglyRefused_.push_back(Asked.Serial_);
}

void Recorder::lost(const CallerRequest &Asked) {
  if (!Asked.Counted_)
    return;
  ++loadOf(Asked).Lost_;
  ++windowOf(Asked).Lost_;
}

void Recorder::ran(const CallerRequest &Asked) {
  if (!Asked.Idempotent_ && Asked.Runs_ > 1)
    offend(Asked, Result_.Violations_.RanTwice_);
}

void Recorder::sent(const CallerRequest &Asked, std::size_t InFlight,
                    std::size_t Slots) {
  ++Result_.Sends_;
  if (Asked.Sends_ > 1)
    ++Result_.Resends_;
  const double Use = static_cast<double>(InFlight) /
                     static_cast<double>(std::max<std::size_t>(Slots, 1));
  Result_.PeakUse_ = std::max(Result_.PeakUse_, Use);
  if (InFlight > Slots)
    offend(Asked, Result_.Violations_.OverCapacity_);
}

void Recorder::sentToLeaving(const CallerRequest &Asked) {
  offend(Asked, Result_.SentToLeaving_);
}

void Recorder::drained(base::Duration Took) {
  Result_.DrainMilliseconds_ =
      std::max(Result_.DrainMilliseconds_, 1000 * base::toSeconds(Took));
}

void Recorder::placedUnderPlan(const EventSpec &Plan,
                               const CallerRequest &Asked, bool Moved,
                               base::TimePoint Now) {
  PlanWatch &Watch = Plans_[Plan.Name_];
  const std::int64_t Second = wholeSeconds(Now - Start_);
  if (Second != Watch.Second_) {
    endPlanSecond(Plan, Watch);
    Watch = {Second, {}};
  }
  const std::uint64_t Caller =
      (static_cast<std::uint64_t>(Asked.Load_) << 32) + Asked.Caller_;
  bool &WasMoved = Watch.Callers_[Caller];
  WasMoved = WasMoved || Moved;
}

double Recorder::capOf(const EventSpec &Plan) const {
  // Two plans between the same regions may both be used up; which of them
  // moved a caller cannot be seen from outside.
  double Sum = 0;
  for (const EventSpec &Other : Played_.Events_)
    if (Other.Kind_ == EventSpec::Kind::ShiftStart &&
        Other.Service_ == Plan.Service_ && Other.From_ == Plan.From_ &&
        Other.To_ == Plan.To_)
      Sum += Other.Cap_;
  return std::min(Sum, 1.0);
}

void Recorder::endPlanSecond(const EventSpec &Plan, PlanWatch &Watch) {
  /// Fewer callers say nothing of a share.
  constexpr std::size_t FewestCallers = 50;
  const auto Callers = static_cast<double>(Watch.Callers_.size());
  if (Watch.Callers_.size() < FewestCallers)
    return;
  const auto Moved = static_cast<double>(std::ranges::count_if(
      Watch.Callers_, [](const auto &Entry) { return Entry.second; }));
  double &Largest = Result_.MovedShare_[Plan.Name_];
  Largest = std::max(Largest, Moved / Callers);
  // Callers' places are hashes: the share of those who were seen strays from
  // the cap by chance, by more than four deviations once in 30,000 seconds.
  const double Cap = capOf(Plan);
  const double Stray = 4 * std::sqrt(Cap * (1 - Cap) / Callers);
  const double Over = Moved - Callers * (Cap + Stray);
  if (Over > 0)
    Result_.Violations_.OverCap_ += static_cast<std::uint64_t>(std::ceil(Over));
}

void Recorder::countWindows() {
  for (std::size_t Place = 0; Place < Windows_.size(); ++Place) {
    LoadOutcome &Load = Result_.Loads_[Place];
    for (const auto &[Number, Counted] : Windows_[Place]) {
      Load.ConformingAnswered_ +=
          std::min(Counted.Conforming_, Counted.Answered_);
      const std::uint64_t Served = Counted.Answered_ + Counted.Lost_;
      if (Counted.Conforming_ > Served)
        Load.WronglyRefused_ +=
            std::min(Counted.Refused_, Counted.Conforming_ - Served);
    }
  }
}

void Recorder::chooseOffenders() {
  for (const auto &[Latency, Serial] : Slowest_)
    Result_.Offenders_.push_back(Serial);
  Result_.Offenders_.insert(Result_.Offenders_.end(), WronglyRefused_.begin(),
                            WronglyRefused_.end());
}

Outcome Recorder::finish() {
  for (const EventSpec &Event : Played_.Events_)
    if (Event.Kind_ == EventSpec::Kind::ShiftStart)
      endPlanSecond(Event, Plans_[Event.Name_]);
  countWindows();
  chooseOffenders();
  if (!Headrooms_.empty())
    Result_.Headroom_ = quantile(Headrooms_, 0.05);
  return std::move(Result_);
}

} // namespace lychee::scenario
