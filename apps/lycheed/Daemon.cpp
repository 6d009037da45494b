#include "lycheed/Daemon.h"

#include "base/SystemClock.h"
#include "reporting/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <csignal>
#include <exception>
#include <random>

namespace lychee::daemon {

namespace asio = boost::asio;
using reporting::LogLevel;

namespace {

/// Threads for peers, operators and the store: one may be busy checking a large
/// tree of settings while the other answers heartbeats.
constexpr int ControlThreadCount = 2;

/// A new start has a seed of its own, so that request ids never repeat.
std::uint64_t drawSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

store::HttpStoreOptions storeOptions(const settings::DaemonSettings &Settings) {
  store::HttpStoreOptions Options;
  Options.Address_ = Settings.Store_.Address_;
  Options.Port_ = Settings.Store_.Port_;
  Options.Host_ = Settings.Host_.name();
  Options.Timeout_ = Settings.StoreTimeout_;
  return Options;
}

steering::SteeringSettings
steeringSettings(const settings::DaemonSettings &Settings) {
  steering::SteeringSettings Made;
  Made.Host_ = Settings.Host_;
  Made.Region_ = Settings.Region_;
  Made.Seed_ = drawSeed();
  return Made;
}

/// A control coroutine that ends with an exception has a fault of ours; without
/// this line the host would go on with settings that never change again.
void reportEnd(const std::exception_ptr &Thrown) {
  if (!Thrown)
    return;
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Failure) {
    reporting::logLine(LogLevel::Error, base::KeyValueLine()
                                            .add("event", "control-failed")
                                            .add("reason", Failure.what()));
  }
}

gateway::HostEntry selfEntry(const settings::DaemonSettings &Settings) {
  return {Settings.Host_, Settings.Region_, Settings.Zone_,
          Settings.Callers_.text()};
}

} // namespace

Daemon::Daemon(const settings::DaemonSettings &Settings)
    : Settings_(Settings), Decisions_([](const std::string &Line) {
        reporting::logLine(LogLevel::Info, std::string_view(Line));
      }),
      Holder_(Settings.Region_),
      HttpStore_(Control_.get_executor(), storeOptions(Settings)),
      Store_(HttpStore_, Settings.StoreCallsPerSecond_),
      Feed_(Store_,
            [this](const settings::SettingsTree &Tree) { putInForce(Tree); }),
      Steering_(steeringSettings(Settings)),
      Keys_(Holder_, [](base::TimePoint) { return true; }), Router_(Holder_),
      Directory_(Holder_, Settings.Host_, Settings.LookupTimeToLive_, {}),
      Reporter_(Decisions_, Metrics_), Loads_(Steering_),
      Gateway_(
          gateway::gatewaySettingsOf(Settings),
          {Steering_, Keys_, Router_, Directory_, Claims_, Reporter_, Loads_},
          drawSeed()),
      Operators_(Store_, *this, Settings.BootstrapTokenHash_),
      OperatorRpc_(Operators_), Authenticator_(Settings.FleetSecret_) {
  Directory_.setHosts({selfEntry(Settings)});
}

Daemon::~Daemon() { stopAll(); }

transport::HttpServerOptions
Daemon::optionsFor(const settings::Endpoint &Where) {
  transport::HttpServerOptions Options;
  Options.Address_ = Where.Address_;
  Options.Port_ = Where.Port_;
  return Options;
}

void Daemon::bindOperators() {
  for (const std::string &Method : operations::OperatorRpc::methods())
    Handlers_.bind(Method, [this, Method](const fleet::RpcCaller &Caller,
                                          const std::string &Parameters) {
      std::future<std::string> Answer = asio::co_spawn(
          Control_,
          OperatorRpc_.call(Method, Parameters, Caller.OperatorToken_,
                            base::SystemClock::wallNow(),
                            base::SystemClock::monotonicNow()),
          asio::use_future);
      return fleet::RpcOutcome{0, Answer.get()};
    });
}

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
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Steering_.applyIntent(Fresh->intent(), Now);
  std::vector<gateway::TargetEntry> Targets;
  for (const auto &[Id, Service] : Fresh->intent()->Services_)
    for (const settings::Target &Each : Service.Targets_)
      Targets.push_back({Each.Id_, Id, Each.Address_, Each.Connections_});
  Gateway_.setTargets(Targets);
  reporting::logLine(LogLevel::Info, base::KeyValueLine()
                                         .add("event", "settings-in-force")
                                         .add("version", Tree.Version_));
}

bool Daemon::startAll(base::Error &Last) {
  bindOperators();
  Peers_ = std::make_unique<fleet::PeerServer>(Control_.get_executor(),
                                               optionsFor(Settings_.Peers_),
                                               Handlers_, Authenticator_);
  MetricsServer_ = std::make_unique<transport::HttpServer>(
      Control_.get_executor(), optionsFor(Settings_.Metrics_),
      [this](transport::HttpRequest) -> asio::awaitable<transport::HttpAnswer> {
        transport::HttpAnswer Answer;
        Answer.Headers_.push_back(
            {"Content-Type", "text/plain; version=0.0.4"});
        Answer.Body_ = Metrics_.text();
        co_return Answer;
      });
  if (!Peers_->listen(Last) || !MetricsServer_->listen(Last))
    return false;
  asio::co_spawn(Control_, Feed_.run(), reportEnd);
  return Gateway_.start(Last);
}

int Daemon::run() {
  asio::signal_set Signals(Control_, SIGTERM, SIGINT);
  asio::io_context Waiting;
  base::Error Last;
  if (!startAll(Last)) {
    reporting::logLine(LogLevel::Error, base::KeyValueLine()
                                            .add("event", "start-failed")
                                            .add("step", Last.Step_)
                                            .add("peer", Last.Peer_)
                                            .add("reason", Last.Reason_));
    return 1;
  }
  Signals.async_wait([this](auto, auto) { Control_.stop(); });
  for (int Index = 1; Index < ControlThreadCount; ++Index)
    ControlThreads_.emplace_back([this] { Control_.run(); });
  reporting::logLine(LogLevel::Info,
                     base::KeyValueLine()
                         .add("event", "serving")
                         .add("host", Settings_.Host_.name())
                         .add("callers", Gateway_.callers().text())
                         .add("peers", Settings_.Peers_.text()));
  Control_.run();
  stopAll();
  reporting::logLine(LogLevel::Info,
                     base::KeyValueLine().add("event", "stopped"));
  return 0;
}

void Daemon::stopAll() {
  Feed_.stop();
  Control_.stop();
  for (std::thread &Each : ControlThreads_)
    Each.join();
  ControlThreads_.clear();
}

std::shared_ptr<const settings::Intent> Daemon::intent() const {
  const std::shared_ptr<const SettingsSnapshot> Current = Holder_.current();
  return Current ? Current->intent() : nullptr;
}

operations::HostStatus Daemon::status(base::TimePoint /*Now*/) const {
  operations::HostStatus Status;
  Status.Host_ = Settings_.Host_;
  Status.Region_ = Settings_.Region_;
  Status.Zone_ = Settings_.Zone_;
  const std::shared_ptr<const settings::Intent> Current = intent();
  Status.SettingsVersion_ = Current ? Current->Version_ : 0;
  Status.Stopping_ = Directory_.leaving();
  return Status;
}

std::vector<operations::MemberStatus> Daemon::members() const {
  return {{Settings_.Host_, Settings_.Zone_, Settings_.Peers_.text(),
           Directory_.leaving()}};
}

std::vector<std::string> Daemon::explain(const base::RequestId &Request) const {
  return Decisions_.explain(Request);
}

} // namespace lychee::daemon
