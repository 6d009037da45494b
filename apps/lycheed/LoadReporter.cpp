#include "lycheed/LoadReporter.h"

namespace lychee::daemon {

void LoadReporter::observed(const gateway::TargetObservation &Seen,
                            base::TimePoint Now) {
  if (Seen.HasLoad_)
    Steering_.reportTargetLoad(Seen.Service_, Seen.Target_,
                               Seen.Running_ + Seen.Waiting_, Now);
}

bool LoadReporter::mayPoll(const gateway::TargetEntry &Entry,
                           base::TimePoint Now) {
  return !Steering_.isResting(Entry.Service_, Entry.Target_, Now);
}

} // namespace lychee::daemon
