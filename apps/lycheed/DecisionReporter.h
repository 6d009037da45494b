#ifndef LYCHEE_APPS_LYCHEED_DECISIONREPORTER_H
#define LYCHEE_APPS_LYCHEED_DECISIONREPORTER_H

#include "gateway/DecisionListener.h"
#include "reporting/DecisionLog.h"
#include "reporting/Metrics.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace lychee::daemon {

/// \returns a rate in requests per second as the log shows it: in the fewest
/// digits that tell it exactly.
std::string describeRate(double PerSecond);

/// Hands each decision on a request to the log, to the memory of the explain
/// command and to the metrics. \see reporting::DecisionLog
class DecisionReporter final : public gateway::DecisionListener {
public:
  DecisionReporter(reporting::DecisionLog &Log, reporting::Metrics &Metrics);

  void decided(const steering::Request &Request, const steering::Decision &Made,
               base::TimePoint Now) override;
  void hedged(const steering::Request &Request, const steering::Decision &Sent,
              base::TimePoint Now) override;
  void sendEnded(const steering::Request &Request,
                 const steering::Decision &Sent,
                 const steering::SendReport &Report,
                 base::TimePoint Now) override;
  void requestEnded(const steering::Request &Request,
                    const gateway::RequestEnd &End,
                    base::TimePoint Now) override;

private:
  /// Counts what a refused caller is told about its retry, and notes it in
  /// \p Record.
  void reportReturn(base::Duration RetryAfter,
                    const steering::ReturnInfo &Return,
                    reporting::DecisionRecord &Record) const;

  reporting::DecisionLog &Log_;
  reporting::Counter Sends_;
  reporting::Counter Forwards_;
  reporting::Counter ForwardedArrivals_;
  reporting::Counter Hedges_;
  reporting::Counter Waits_;
  reporting::Counter Refusals_;
  reporting::Counter ScheduledRetries_;
  reporting::Counter RefusedRetries_;
  reporting::Counter OverShares_;
  reporting::Counter LessUrgent_;
  reporting::Counter Answers_;
  reporting::Counter Failures_;
  reporting::Counter StatedRates_;
  reporting::Counter StatedRests_;
  reporting::Counter StatedLeavings_;
  reporting::Histogram TargetSeconds_;
};

} // namespace lychee::daemon

#endif
