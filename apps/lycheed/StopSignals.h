#ifndef LYCHEE_APPS_LYCHEED_STOPSIGNALS_H
#define LYCHEE_APPS_LYCHEED_STOPSIGNALS_H

namespace lychee::daemon {

/// Decides which signals go on to the gateway, whose second request for a stop
/// ends what is left. Service managers send SIGTERM more than once, to a
/// process and to its group, and mean one stop; whoever presses Ctrl-C again
/// means at once. \see gateway::StopSequence
class StopSignals {
public:
  /// Logs the signal. \param Number  SIGTERM or SIGINT.
  /// \returns whether to request a stop.
  bool mayRequest(int Number);

private:
  bool Requested_ = false;
};

} // namespace lychee::daemon

#endif
