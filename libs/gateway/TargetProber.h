#ifndef LYCHEE_GATEWAY_TARGETPROBER_H
#define LYCHEE_GATEWAY_TARGETPROBER_H

#include "gateway/AsioTypes.h"
#include "steering/Steering.h"

namespace lychee::gateway {

class Worker;

/// Connects to the targets whose reach the steering asks about, and reports
/// whether they accepted and kept the connection open. A connection that was
/// accepted goes to the target's pool for a request to use. Of its worker's
/// thread.
/// \see TargetPoller, which asks targets for their health
class TargetProber {
public:
  explicit TargetProber(Worker &Home) : Home_(Home) {}
  TargetProber(const TargetProber &) = delete;
  TargetProber &operator=(const TargetProber &) = delete;

  /// Starts the probes that are due. To be called every few milliseconds.
  void startDue(base::TimePoint Now);

private:
  static Task<void> probe(Worker &Home, steering::TargetProbe Asked);

  Worker &Home_;
  base::TimePoint NextAsk_;
};

} // namespace lychee::gateway

#endif
