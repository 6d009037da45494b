#include "lycheed/Daemon.h"

#include "base/SystemClock.h"
#include "lycheed/DaemonParts.h"
#include "reporting/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <csignal>
#include <map>
#include <utility>

namespace lychee::daemon {

namespace asio = boost::asio;
using base::SystemClock;
using reporting::LogLevel;

namespace {

/// Threads for peers, operators and the store: one may be busy checking a large
/// tree of settings while the other answers heartbeats.
constexpr int ControlThreadCount = 2;

/// A withdrawn key stops working this soon, on every host, whatever fails: a
/// host that cannot know its settings to be this fresh refuses. The bound that
/// users were promised is "within seconds".
constexpr base::Duration KeyFreshnessBound = std::chrono::seconds(5);

/// Shift plans step by minutes; their clock is told much more often.
constexpr base::Duration WallTimeInterval = std::chrono::seconds(1);

/// Three partitions' writes and as many reads back.
constexpr double ClaimCallsPerSecond = 80;

/// One change of the settings tree.
constexpr std::size_t PeerBodyLimit = 4UL << 20;
constexpr int ExitStartFailed = 1;
constexpr int ExitRequestsCut = 3;
constexpr int ExitRemoved = 4;

} // namespace

Daemon::Daemon(const settings::DaemonSettings &Settings)
    : Settings_(Settings), Incarnation_(drawIncarnation()), Signals_(Control_),
      Gauges_(Metrics_), Decisions_([](const std::string &Line) {
        reporting::logLine(LogLevel::Info, std::string_view(Line));
      }),
      Holder_(Settings.Region_),
      HttpStore_(Control_.get_executor(), storeOptions(Settings)),
      Store_(HttpStore_, Settings.StoreCallsPerSecond_),
      Rates_(
          exchange::ExchangeNode::incarnationId(Settings.Host_, Incarnation_)),
      Steering_(steeringSettings(Settings, Incarnation_, Rates_)),
      Keys_(Holder_,
            [this](base::TimePoint Now) {
              const auto Age = Fleet_.settingsAge(Now);
              return Age && *Age <= KeyFreshnessBound;
            }),
      Router_(Holder_),
      Directory_(Holder_, Settings.Host_, Settings.LookupTimeToLive_,
                 [this] { Fleet_.setLeaving(); }),
      Reporter_(Decisions_, Metrics_), Loads_(Steering_),
      Authenticator_(Settings.FleetSecret_),
      PeerClient_(Control_.get_executor(), Settings.Host_, Authenticator_,
                  drawSeed()),
      ClaimStore_(HttpStore_, ClaimCallsPerSecond),
      ClaimService_(
          Control_, ClaimStore_, PeerClient_, Handlers_,
          exchange::ExchangeNode::incarnationId(Settings.Host_, Incarnation_),
          Incarnation_),
      Claims_(ClaimService_), Gateway_(boundedGatewaySettings(Settings),
                                       {Steering_, Keys_, Router_, Directory_,
                                        Claims_, Reporter_, Loads_},
                                       drawSeed()),
      Operators_(Store_, *this, Settings.BootstrapTokenHash_),
      OperatorRpc_(Operators_), Fleet_(Control_, Store_, PeerClient_, Handlers_,
                                       fleetOptions(), fleetListeners()),
      Exchange_(Control_.get_executor(), PeerClient_, Handlers_, Settings.Host_,
                Incarnation_, exchangeParts()) {
  Directory_.setHosts({selfEntry(Settings)});
  bindOperators();
  Operators_.onCommit([this](std::uint64_t StoreVersion, std::string RootText,
                             std::map<std::string, std::string> Chunks) {
    Fleet_.notifySettingsWritten(StoreVersion, std::move(RootText),
                                 std::move(Chunks));
  });
}

Daemon::~Daemon() { stopControl(); }

// Joining the parts.

fleet::FleetNodeOptions Daemon::fleetOptions() const {
  fleet::FleetNodeOptions Options;
  Options.Zone_ = Settings_.Zone_;
  Options.Self_.Host_ = Settings_.Host_;
  Options.Self_.Region_ = Settings_.Region_;
  Options.Self_.PeerAddress_ = Settings_.Peers_.text();
  Options.Self_.CallerAddress_ = Settings_.Callers_.text();
  Options.Self_.Incarnation_ = Incarnation_;
  for (const settings::Endpoint &Each : Settings_.Seeds_)
    Options.SeedPeers_.push_back(Each.text());
  Options.RandomSeed_ = drawSeed();
  return Options;
}

fleet::FleetListeners Daemon::fleetListeners() {
  fleet::FleetListeners Listeners;
  Listeners.SettingsApplied_ = [this](const settings::SettingsTree &Tree) {
    putInForce(Tree);
  };
  Listeners.DirectoryChanged_ = [this](const fleet::Directory &Changed) {
    takeDirectory(Changed);
  };
  Listeners.Log_ = [](std::string_view Line) {
    reporting::logLine(LogLevel::Info, Line);
  };
  return Listeners;
}

exchange::ExchangeDependencies Daemon::exchangeParts() {
  return {Steering_, Rates_,
          [this](std::vector<steering::Wakeup> &Woken) {
            Gateway_.deliver(Woken, SystemClock::monotonicNow());
          },
          [this](std::uint64_t) { return leaseEnd(); }};
}

/// A process that was removed and admitted anew while it was paused may see
/// only the newer record. Its lease then stands, but its shares are others'
/// since: they stay unused, and the directory ends the process. The end of the
/// lease is read first, so that it never belongs to a newer record than the
/// admission.
base::TimePoint Daemon::leaseEnd() {
  const base::TimePoint Until = Fleet_.leaseGuard().expiry();
  const std::uint64_t Admitted = Fleet_.admissionGeneration();
  if (Admitted == 0)
    return {};
  std::uint64_t First = 0;
  if (Admission_.compare_exchange_strong(First, Admitted))
    return Until;
  return First == Admitted ? Until : base::TimePoint();
}

void Daemon::bindOperators() {
  for (const std::string &Method : operations::OperatorRpc::methods())
    Handlers_.bind(Method, [this, Method](const fleet::RpcCaller &Caller,
                                          const std::string &Parameters) {
      std::future<std::string> Answer = asio::co_spawn(
          Control_,
          OperatorRpc_.call(Method, Parameters, Caller.OperatorToken_,
                            SystemClock::wallNow(),
                            SystemClock::monotonicNow()),
          asio::use_future);
      return fleet::RpcOutcome{0, Answer.get()};
    });
}

// What the fleet tells.

void Daemon::putInForce(const settings::SettingsTree &Tree) {
  settings::Problems Found;
  const std::shared_ptr<const SettingsSnapshot> Fresh =
      Holder_.offer(Tree, Found);
  for (const settings::Problem &Each : Found)
    reporting::logLine(LogLevel::Error, base::KeyValueLine()
                                            .add("event", "settings-refused")
                                            .add("version", Tree.Version_)
                                            .add("problem", Each.describe()));
  if (!Fresh)
    return;
  const base::TimePoint Now = SystemClock::monotonicNow();
  for (const auto &[Id, Customer] : Fresh->intent()->Customers_)
    Rates_.setTotal(steering::FleetSteering::rateBudgetName(Id),
                    budget::RateTotal::fromRequests(Customer.RatePerSecond_,
                                                    Customer.Burst_),
                    Now);
  Steering_.applyIntent(Fresh->intent(), Now);
  Gateway_.setTargets(targetEntries(*Fresh->intent()));
  reporting::logLine(LogLevel::Info, base::KeyValueLine()
                                         .add("event", "settings-in-force")
                                         .add("version", Tree.Version_));
}

void Daemon::takeDirectory(const fleet::Directory &Changed) {
  Directory_.setHosts(hostEntries(Changed));
  Exchange_.directoryChanged(Changed, SystemClock::monotonicNow());
  ClaimService_.updateMembers(Changed.Epoch_, claimMembers(Changed));
  const fleet::Member *Self = Changed.find(Settings_.Host_);
  const std::uint64_t First = Admission_;
  const bool IsMember = Self != nullptr && Self->Incarnation_ == Incarnation_ &&
                        (First == 0 || Self->AdmissionGeneration_ == First);
  if (IsMember) {
    WasMember_ = true;
    return;
  }
  if (!WasMember_ || Directory_.leaving() || Removed_.exchange(true))
    return;
  // Left out while paused or cut off: its shares belong to others. Coming back
  // under the same process id, its counts of slots given and received would no
  // longer match its peers'. A new start has a new id and holds nothing.
  reporting::logLine(LogLevel::Error, base::KeyValueLine()
                                          .add("event", "removed")
                                          .add("action", "stop")
                                          .add("epoch", Changed.Epoch_));
  Gateway_.requestStop();
  Control_.stop();
}

// Start and stop.

bool Daemon::startAll(base::Error &Last) {
  Peers_ = std::make_unique<fleet::PeerServer>(
      Control_.get_executor(),
      optionsFor(Settings_, Settings_.Peers_, PeerBodyLimit), Handlers_,
      Authenticator_);
  MetricsServer_ = std::make_unique<transport::HttpServer>(
      Control_.get_executor(),
      optionsFor(Settings_, Settings_.Metrics_, QueryBodyLimit),
      [this](transport::HttpRequest Asked) {
        return answerMetrics(std::move(Asked));
      });
  if (!Peers_->listen(Last) || !MetricsServer_->listen(Last))
    return false;
  if (!Gateway_.start(Last))
    return false;
  Fleet_.start();
  Exchange_.start();
  ClaimService_.start();
  asio::co_spawn(Control_, tellWallTime(),
                 [](const std::exception_ptr &Thrown) {
                   reporting::logThrown("wall-time-failed", Thrown);
                 });
  return true;
}

asio::awaitable<transport::HttpAnswer>
Daemon::answerMetrics(transport::HttpRequest Asked) {
  Gauges_.set(readControl());
  co_return metricsAnswer(Asked, Metrics_);
}

ControlReadings Daemon::readControl() const {
  const base::TimePoint Now = SystemClock::monotonicNow();
  ControlReadings Read;
  Read.PeerCalls_ = PeerClient_.calls();
  Read.PeerFailures_ = PeerClient_.failures();
  Read.PeerBytesOut_ = PeerClient_.bytesOut();
  Read.PeerBytesIn_ = PeerClient_.bytesIn();
  Read.Listener_ = Peers_->counts();
  Read.Store_ = Store_.counts();
  Read.ClaimWrites_ = ClaimService_.writes();
  const std::shared_ptr<const settings::Intent> Current = intent();
  Read.SettingsVersion_ = Current ? Current->Version_ : 0;
  Read.SettingsAge_ = Fleet_.settingsAge(Now);
  Read.LeaseStands_ = Now < Fleet_.leaseGuard().expiry();
  Read.Epoch_ = Exchange_.epoch();
  Read.EpochSettled_ = Exchange_.settled();
  Read.InFlight_ = Gateway_.inFlight();
  Read.Connections_ = Gateway_.connections();
  return Read;
}

asio::awaitable<void> Daemon::tellWallTime() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    Steering_.setWallTime(SystemClock::wallNow(), SystemClock::monotonicNow());
    Timer.expires_after(WallTimeInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void Daemon::awaitSignal() {
  Signals_.async_wait(
      [this](const boost::system::error_code &Failure, int Number) {
        if (Failure)
          return;
        if (Stop_.mayRequest(Number))
          Gateway_.requestStop();
        awaitSignal();
      });
}

int Daemon::run() {
  base::Error Last;
  Signals_.add(SIGTERM);
  Signals_.add(SIGINT);
  awaitSignal();
  if (!startAll(Last)) {
    tellStartFailed(Last);
    return ExitStartFailed;
  }
  for (int Index = 0; Index < ControlThreadCount; ++Index)
    ControlThreads_.emplace_back([this] { Control_.run(); });
  reporting::logLine(LogLevel::Info,
                     base::KeyValueLine()
                         .add("event", "serving")
                         .add("host", Settings_.Host_.name())
                         .add("incarnation", Incarnation_)
                         .add("callers", Gateway_.callers().text())
                         .add("peers", Settings_.Peers_.text()));
  const gateway::StopSummary Summary = Gateway_.waitUntilStopped();
  tellStop(Summary);
  if (!Removed_)
    asio::co_spawn(Control_, Fleet_.leave(), asio::use_future).wait();
  stopControl();
  if (Removed_)
    return ExitRemoved;
  return Summary.CutRequests_.empty() ? 0 : ExitRequestsCut;
}

void Daemon::stopControl() {
  // First what waits for the control threads: its handlers end while these run.
  Peers_.reset();
  ClaimService_.stop();
  Fleet_.stop();
  Exchange_.stop();
  Control_.stop();
  for (std::thread &Each : ControlThreads_)
    Each.join();
  ControlThreads_.clear();
}

// What operators ask for.

std::shared_ptr<const settings::Intent> Daemon::intent() const {
  const std::shared_ptr<const SettingsSnapshot> Current = Holder_.current();
  return Current ? Current->intent() : nullptr;
}

operations::HostStatus Daemon::status(base::TimePoint Now) const {
  operations::HostStatus Status;
  Status.Host_ = Settings_.Host_;
  Status.Region_ = Settings_.Region_;
  Status.Zone_ = Settings_.Zone_;
  const std::shared_ptr<const settings::Intent> Current = intent();
  Status.SettingsVersion_ = Current ? Current->Version_ : 0;
  Status.SettingsAge_ = Fleet_.settingsAge(Now).value_or(base::Duration::max());
  Status.LeaseValid_ = Now < Fleet_.leaseGuard().expiry();
  Status.Stopping_ = Directory_.leaving();
  Status.RequestsInFlight_ = Gateway_.inFlight();
  return Status;
}

std::vector<operations::MemberStatus> Daemon::members() const {
  std::vector<operations::MemberStatus> Members;
  for (const auto &[Id, Zone] : Fleet_.directory().Zones_)
    for (const fleet::Member &Each : Zone.Members_)
      Members.push_back({Each.Host_, Id, Each.PeerAddress_, Each.Leaving_});
  return Members;
}

std::vector<std::string> Daemon::explain(const base::RequestId &Request) const {
  return Decisions_.explain(Request);
}

} // namespace lychee::daemon
