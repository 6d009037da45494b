#ifndef LYCHEE_APPS_LYCHEED_DAEMON_H
#define LYCHEE_APPS_LYCHEED_DAEMON_H

#include "exchange/ExchangeNode.h"
#include "fleet/FleetNode.h"
#include "fleet/PeerServer.h"
#include "gateway/Gateway.h"
#include "lycheed/ClaimDesk.h"
#include "lycheed/ControlGauges.h"
#include "lycheed/DecisionReporter.h"
#include "lycheed/FleetDirectory.h"
#include "lycheed/IntentRouter.h"
#include "lycheed/KeyCheck.h"
#include "lycheed/LoadReporter.h"
#include "lycheed/StopSignals.h"
#include "operations/OperatorRpc.h"
#include "store/GuardedStore.h"
#include "store/HttpStore.h"
#include "transport/HttpServer.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace lychee::daemon {

/// One host of the fleet: builds every part from its settings, lets them know
/// each other, and takes them down in order. The parts decide and act; this
/// class only joins them. \see docs/ARCHITECTURE.md
class Daemon final : public operations::FleetView {
public:
  explicit Daemon(const settings::DaemonSettings &Settings);
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon() override;

  /// Serves until a signal ends it. \returns the process's exit code.
  int run();

  // What operators ask for.
  std::shared_ptr<const settings::Intent> intent() const override;
  operations::HostStatus status(base::TimePoint Now) const override;
  std::vector<operations::MemberStatus> members() const override;
  std::vector<std::string>
  explain(const base::RequestId &Request) const override;

private:
  bool startAll(base::Error &Last);
  void stopControl();
  void bindOperators();
  void awaitSignal();
  boost::asio::awaitable<void> tellWallTime();
  boost::asio::awaitable<transport::HttpAnswer>
  answerMetrics(transport::HttpRequest Asked);
  ControlReadings readControl() const;
  fleet::FleetNodeOptions fleetOptions() const;
  fleet::FleetListeners fleetListeners();
  exchange::ExchangeDependencies exchangeParts();
  base::TimePoint leaseEnd();
  void putInForce(const settings::SettingsTree &Tree);
  void takeDirectory(const fleet::Directory &Changed);

  const settings::DaemonSettings Settings_;
  /// Names this start of the process among all starts of this host.
  const std::uint64_t Incarnation_;
  boost::asio::io_context Control_;
  boost::asio::signal_set Signals_;
  StopSignals Stop_;
  std::vector<std::thread> ControlThreads_;

  reporting::Metrics Metrics_;
  ControlGauges Gauges_;
  reporting::DecisionLog Decisions_;
  SettingsHolder Holder_;

  store::HttpStore HttpStore_;
  store::GuardedStore Store_;

  budget::RateBudgets Rates_;
  steering::FleetSteering Steering_;
  KeyCheck Keys_;
  IntentRouter Router_;
  FleetDirectory Directory_;
  DecisionReporter Reporter_;
  LoadReporter Loads_;

  fleet::RpcDispatcher Handlers_;
  fleet::PeerAuthenticator Authenticator_;
  fleet::PeerClient PeerClient_;
  /// Claims have calls to the store of their own: a burst of bookings must not
  /// use up the calls that renew leases.
  store::GuardedStore ClaimStore_;
  claims::ClaimService ClaimService_;
  ClaimDesk Claims_;
  gateway::Gateway Gateway_;

  operations::OperatorApi Operators_;
  operations::OperatorRpc OperatorRpc_;
  fleet::FleetNode Fleet_;
  exchange::ExchangeNode Exchange_;
  std::unique_ptr<fleet::PeerServer> Peers_;
  std::unique_ptr<transport::HttpServer> MetricsServer_;

  /// Set once the directory has named this process.
  std::atomic<bool> WasMember_ = false;
  std::atomic<bool> Removed_ = false;
  /// The admission under which this process came into the fleet; 0: not yet.
  std::atomic<std::uint64_t> Admission_ = 0;
};

} // namespace lychee::daemon

#endif
