#ifndef LYCHEE_SCENARIO_RECORDER_H
#define LYCHEE_SCENARIO_RECORDER_H

#include "scenario/CallerRequest.h"
#include "scenario/Outcome.h"
#include "scenario/RateMeter.h"
#include "scenario/Scenario.h"

#include <map>
#include <vector>

namespace lychee::scenario {

/// Takes down what each caller got, and watches what must never happen, with
/// the knowledge of the whole fleet that no host has. \see Engine
class Recorder {
public:
  Recorder(const Scenario &Played, base::TimePoint Start);
  Recorder(const Recorder &) = delete;
  Recorder &operator=(const Recorder &) = delete;

  /// A request reached a host. Marks whether its customer is within its rate.
  void asked(CallerRequest &Asked, base::TimePoint Now);
  /// A host let a request in, which counts against its customer's rate.
  void letIn(const CallerRequest &Asked, base::TimePoint Now);
  void answered(const CallerRequest &Asked, base::TimePoint Now);
  void refused(const CallerRequest &Asked, steering::Refusal Reason,
               steering::Ran MayHaveRun);
  void lost(const CallerRequest &Asked);
  /// A target began to run a request.
  void ran(const CallerRequest &Asked);

  /// A send made \p InFlight of a region's \p Slots.
  void sent(const CallerRequest &Asked, std::size_t InFlight,
            std::size_t Slots);
  void sentToLeaving(const CallerRequest &Asked);
  void drained(base::Duration Took);
  void sampledHeadroom(double Headroom) { Headrooms_.push_back(Headroom); }
  /// A caller of a plan's source region was or was not moved by it.
  void placedUnderPlan(const EventSpec &Plan, const CallerRequest &Asked,
                       bool Moved, base::TimePoint Now);

  Outcome &result() noexcept { return Result_; }
  /// Sums up; to be called once, at the end.
  Outcome finish();

private:
  /// Requests of one load that began in one window.
  struct Window {
    std::uint64_t Conforming_ = 0;
    std::uint64_t Answered_ = 0;
    std::uint64_t Lost_ = 0;
    std::uint64_t Refused_ = 0;
  };
  struct PlanWatch {
    std::int64_t Second_ = 0;
    /// Callers seen in this second, and whether they were moved.
    std::map<std::uint64_t, bool> Callers_;
  };

  LoadOutcome &loadOf(const CallerRequest &Asked);
  Window &windowOf(const CallerRequest &Asked);
  void offend(const CallerRequest &Asked, std::uint64_t &Count);
  double capOf(const EventSpec &Plan) const;
  void endPlanSecond(const EventSpec &Plan, PlanWatch &Watch);
  void countWindows();
  void chooseOffenders();

  const Scenario &Played_;
  const base::TimePoint Start_;
  Outcome Result_;
  /// Place of each load's label in Result_.Loads_.
  std::vector<std::size_t> LoadPlaces_;
  std::map<std::string, RateMeter> Asked_;
  std::map<std::string, RateMeter> LetIn_;
  std::vector<std::map<std::int64_t, Window>> Windows_;
  std::map<std::string, PlanWatch> Plans_;
  std::vector<double> Headrooms_;
  std::vector<std::pair<double, std::uint64_t>> Slowest_;
  std::vector<std::uint64_t> WronglyRefused_;
};

} // namespace lychee::scenario

#endif
