#ifndef LYCHEE_APPS_LYCHEED_LOADREPORTER_H
#define LYCHEE_APPS_LYCHEED_LOADREPORTER_H

#include "gateway/TargetObserver.h"
#include "steering/FleetSteering.h"

namespace lychee::daemon {

/// Hands what targets report of their load to steering, which ages it, and
/// spares targets polls while they rest.
class LoadReporter final : public gateway::TargetObserver {
public:
  explicit LoadReporter(steering::FleetSteering &Steering)
      : Steering_(Steering) {}

  void observed(const gateway::TargetObservation &Seen,
                base::TimePoint Now) override;
  bool mayPoll(const gateway::TargetEntry &Entry, base::TimePoint Now) override;

private:
  steering::FleetSteering &Steering_;
};

} // namespace lychee::daemon

#endif
