#ifndef LYCHEE_APPS_LYCHEED_LIVEDAEMON_H
#define LYCHEE_APPS_LYCHEED_LIVEDAEMON_H

#include "dispatch/DispatchSteering.h"
#include "gateway/Gateway.h"
#include "live/ActiveIntent.h"
#include "lycheed/DecisionReporter.h"
#include "lycheed/HostRegistration.h"
#include "lycheed/LiveEntry.h"
#include "lycheed/LiveFeed.h"
#include "lycheed/LiveReports.h"
#include "lycheed/StopSignals.h"
#include "members/HeartbeatExchange.h"
#include "members/RegionExchange.h"
#include "members/TokenExchange.h"
#include "platform/ObjectClient.h"
#include "relaying/RelayExchange.h"
#include "reporting/DecisionLog.h"
#include "reporting/Metrics.h"
#include "settings/DaemonSettings.h"
#include "transport/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <memory>
#include <set>
#include <span>
#include <thread>

namespace lychee::daemon {

/// One host where intent and targets are live: makes the parts, joins them and
/// takes them down in order. \see Daemon, the host of the operators' own tree
class LiveDaemon {
public:
  /// \param Path  where \p Settings were read from, for reading them again.
  LiveDaemon(const settings::DaemonSettings &Settings,
             const settings::LiveSettings &Live,
             const live::DeploymentBounds &Bounds, std::string Path);
  LiveDaemon(const LiveDaemon &) = delete;
  LiveDaemon &operator=(const LiveDaemon &) = delete;
  ~LiveDaemon();

  /// Serves until a signal ends it. \returns the process's exit code.
  int run();

private:
  /// Claims of idempotency keys need hosts that hold parts of them; no such
  /// thing is kept here, so that work is refused as not run.
  class NoClaims;
  /// Targets are not polled; what they do is seen by requests.
  class NoPolls;

  bool startAll(base::Error &Last);
  void stopControl();
  void awaitSignal();
  void reloadSettings();
  bool settingsFileChanged();
  boost::asio::awaitable<void> keepTime();
  /// Tells of hosts that fell silent, and of trust in keys lost or regained.
  void noteLosses(std::span<const members::HostView> Others,
                  base::TimePoint Now);
  void noteRelayTrouble(const std::string &Address, const base::Error &Why);
  void setGauges(base::TimePoint Now) const;
  /// Decides anew whether this host asks the store.
  void takeRole(std::span<const members::HostView> Others, base::TimePoint Now);
  void tellTrouble(base::TimePoint Now);
  void hearHeartbeat(const members::Heartbeat &Said, bool News,
                     base::TimePoint Now);
  boost::asio::awaitable<transport::HttpAnswer>
  answerDirectory(transport::HttpRequest Asked);
  boost::asio::awaitable<transport::HttpAnswer>
  answerReadiness(transport::HttpRequest Asked);
  boost::asio::awaitable<transport::HttpAnswer>
  answerHost(transport::HttpRequest Asked);
  boost::asio::awaitable<transport::HttpAnswer>
  answerMetrics(transport::HttpRequest Asked);

  const settings::DaemonSettings Settings_;
  const settings::LiveSettings Live_;
  const std::string Path_;
  std::filesystem::file_time_type SettingsRead_;
  boost::asio::io_context Control_{1};
  boost::asio::signal_set Signals_;
  reporting::Metrics Metrics_;
  reporting::DecisionLog Decisions_;
  DecisionReporter Reporter_;
  platform::ObjectClient Objects_;
  live::ActiveIntent Intents_;
  members::HostTable Hosts_;
  dispatch::DispatchSteering Steering_;
  HostRegistration Registration_;
  LiveEntry Entry_;
  std::unique_ptr<gateway::ClaimGate> Claims_;
  std::unique_ptr<gateway::TargetObserver> Polls_;
  gateway::Gateway Gateway_;
  LiveGauges Gauges_;
  relaying::RelayRole Role_;
  LiveFeed Feed_;
  relaying::RelayExchange Relays_;
  LiveReports Reports_;
  members::TokenExchange Tokens_;
  members::HeartbeatExchange Heartbeats_;
  members::RegionExchange News_;
  std::vector<std::unique_ptr<transport::HttpServer>> Servers_;
  StopSignals Stop_;
  std::thread ControlThread_;
  std::set<base::HostId> Heard_;
  bool Trusted_ = false;
  bool Asking_ = true;
  bool Troubled_ = false;
};

} // namespace lychee::daemon

#endif
