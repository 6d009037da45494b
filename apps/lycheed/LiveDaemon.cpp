#include "lycheed/LiveDaemon.h"

#include "base/SystemClock.h"
#include "lycheed/DaemonParts.h"
#include "lycheed/SettingsFile.h"
#include "platform/EntryPoints.h"
#include "platform/Names.h"
#include "reporting/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <csignal>

namespace lychee::daemon {

namespace asio = boost::asio;
using base::KeyValueLine;
using base::SystemClock;
using reporting::LogLevel;

namespace {

/// A confirmed intent is trusted for the promised bound less this: a request
/// that passed the check reaches its target within a few tens of milliseconds,
/// and clocks of hosts run apart by less than a thousandth.
constexpr base::Duration KeyMargin = std::chrono::milliseconds(300);
/// Shares are divided and missing targets dropped at this pace.
constexpr std::chrono::milliseconds TimePace(200);
/// A change of the settings file without a signal is seen within this.
constexpr int FileCheckPaces = 10;
/// From a stop's end to the end of the process by force: callers of what is
/// left are told so, and a host that is short of processor time is late.
constexpr base::Duration StopMargin = std::chrono::milliseconds(400);
/// Callers that keep an answer of the directory three times as long as they
/// should go on coming for this long.
constexpr int LookupKeepFactor = 3;
constexpr base::Duration LeavingExtra = std::chrono::milliseconds(200);
/// A target that does not take a connection within a round trip between
/// regions (40 ms) and some tens of milliseconds is down.
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(250);
/// Below the 10 s after which targets close idle connections.
constexpr base::Duration ReuseIdleLimit = std::chrono::seconds(5);
/// Uploads up to this size can be sent again when a target refuses them.
constexpr std::uint32_t HeldBodyBytes = 1U << 20;
/// No command line asks this host to explain a request; its log does. 0.5 MB
/// were kept here for nobody.
constexpr std::size_t ExplainBytes = 32UL << 10;
/// What hosts ask each other names revisions only.
constexpr std::size_t RelayBodyLimit = 64UL << 10;
constexpr unsigned StatusNotFound = 404;
constexpr int ExitStartFailed = 1;
constexpr int ExitRequestsCut = 3;

gateway::GatewaySettings
liveGatewaySettings(const settings::DaemonSettings &Settings,
                    const live::DeploymentBounds &Bounds) {
  gateway::GatewaySettings Made = boundedGatewaySettings(Settings);
  Made.Names_ = platform::vocabulary();
  Made.Threads_ = 1;
  Made.HeldBodyBytes_ = HeldBodyBytes;
  Made.ConnectTimeout_ = ConnectTimeout;
  Made.ReuseIdleLimit_ = ReuseIdleLimit;
  Made.PollInterval_ = base::Duration::zero();
  Made.LookupTimeToLive_ =
      LiveEntry::TimeToLive * LookupKeepFactor + LeavingExtra;
  Made.StopDeadline_ = Bounds.StopGrace_ - StopMargin;
  return Made;
}

members::HostDescriptor cardOf(const settings::DaemonSettings &Settings,
                               const settings::LiveSettings &Live) {
  return {Settings.Host_,           Settings.Region_,
          Settings.Zone_,           Live.Heartbeats_.Address_,
          Settings.Callers_.text(), drawIncarnation()};
}

dispatch::DispatchSettings
dispatchSettings(const settings::DaemonSettings &Settings,
                 const live::DeploymentBounds &Bounds) {
  return {Settings.Region_, Settings.Zone_, Bounds, drawSeed()};
}

std::size_t regionCount(const settings::LiveSettings &Live) {
  std::set<base::RegionId> Regions;
  for (const auto &[Zone, Region] : Live.Zones_)
    Regions.insert(Region);
  return Regions.size();
}

std::string_view eventOf(const dispatch::TargetStatementChange &Change) {
  using Kind = dispatch::TargetStatementChange::Kind;
  switch (Change.Kind_) {
  case Kind::Rest:
    return "target-rest";
  case Kind::Leaving:
    return "target-says-leaving";
  case Kind::Rate:
    break;
  }
  return Change.PerSecond_ ? "target-rate" : "target-rate-ended";
}

void logStatement(const dispatch::TargetStatementChange &Change) {
  KeyValueLine Line;
  Line.add("event", eventOf(Change)).add("target", Change.Target_.name());
  if (Change.PerSecond_)
    Line.add("stated_rate", describeRate(*Change.PerSecond_));
  if (Change.Kind_ == dispatch::TargetStatementChange::Kind::Rest)
    Line.add("rest_ms", base::toMilliseconds(Change.Rest_));
  reporting::logLine(LogLevel::Info,
                     Line.add("from", Change.IsReported_ ? "host" : "answer")
                         .add("age_ms", base::toMilliseconds(Change.Age_)));
}

void logReach(const dispatch::ReachChange &Change) {
  reporting::logLine(Change.IsReached_ ? LogLevel::Info : LogLevel::Warning,
                     KeyValueLine()
                         .add("event", Change.IsReached_ ? "targets-reached"
                                                         : "targets-unreached")
                         .add("target", Change.Target_.name())
                         .add("since_ms", base::toMilliseconds(Change.Since_)));
}

void logCapacity(const dispatch::CapacityChange &Change) {
  constexpr double Percent = 100;
  KeyValueLine Line;
  Line.add("event", Change.IsFull_ ? "service-full" : "service-has-room")
      .add("service", Change.Service_.name());
  if (!Change.BoundTo_.empty())
    Line.add("region", Change.BoundTo_.name());
  Line.add("threshold", std::lround(Change.Share_ * Percent));
  reporting::logLine(Change.IsFull_ ? LogLevel::Warning : LogLevel::Info, Line);
}

void spawnLogged(asio::io_context &Where, asio::awaitable<void> What,
                 const char *Event) {
  asio::co_spawn(Where, std::move(What),
                 [Event](const std::exception_ptr &Thrown) {
                   reporting::logThrown(Event, Thrown);
                 });
}

} // namespace

class LiveDaemon::NoClaims final : public gateway::ClaimGate {
public:
  void acquire(const gateway::ClaimRequest & /*Asked*/, base::TimePoint /*Now*/,
               Answered Done) override {
    Done({});
  }
  void settle(const gateway::ClaimRequest & /*Granted*/,
              gateway::ClaimEnd /*End*/, int /*Status*/,
              base::TimePoint /*Now*/) override {}
};

class LiveDaemon::NoPolls final : public gateway::TargetObserver {
public:
  void observed(const gateway::TargetObservation & /*Seen*/,
                base::TimePoint /*Now*/) override {}
};

LiveDaemon::LiveDaemon(const settings::DaemonSettings &Settings,
                       const settings::LiveSettings &Live,
                       const live::DeploymentBounds &Bounds, std::string Path)
    : Settings_(Settings), Live_(Live), Path_(std::move(Path)),
      Signals_(Control_),
      Decisions_(
          [](const std::string &Line) {
            reporting::logLine(LogLevel::Info, std::string_view(Line));
          },
          ExplainBytes),
      Reporter_(Decisions_, Metrics_),
      Objects_(Control_.get_executor(), Settings.Store_,
               Settings.StoreTimeout_),
      Intents_(Bounds.KeyWithdrawal_ - KeyMargin),
      Hosts_(cardOf(Settings, Live)),
      Steering_(
          dispatchSettings(Settings, Bounds),
          {[this](const std::string &Owner, std::uint64_t Number,
                  const members::TokenRequest &Wanted) {
             asio::post(Control_, [this, Owner, Number, Wanted] {
               Gauges_.countTokenAsked();
               Tokens_.ask(Owner, Number, Wanted);
             });
           },
           [this](const std::string &Owner, const base::CustomerId &Customer) {
             asio::post(Control_, [this, Owner, Customer] {
               Tokens_.refund(Owner, Customer);
             });
           },
           logStatement,
           [this](const dispatch::ReachChange &Change) {
             logReach(Change);
             asio::post(Control_, [this] {
               const base::TimePoint Now = SystemClock::monotonicNow();
               Heartbeats_.sendNow(Now);
               News_.sendNow(Now);
             });
           },
           logCapacity},
          SystemClock::monotonicNow()),
      Registration_(Objects_, Hosts_.self()),
      Entry_({Hosts_, Intents_, [this] { return Feed_.knowsAll(); },
              [this] { return Steering_.reachesTargets(); },
              [this] {
                asio::post(Control_, [this] {
                  Heartbeats_.sendNow(SystemClock::monotonicNow());
                });
                spawnLogged(Control_, Registration_.leave(), "withdraw-failed");
              }}),
      Claims_(std::make_unique<NoClaims>()),
      Polls_(std::make_unique<NoPolls>()),
      Gateway_(
          liveGatewaySettings(Settings, Bounds),
          {Steering_, Intents_, Intents_, Entry_, *Claims_, Reporter_, *Polls_},
          drawSeed()),
      Gauges_(Metrics_),
      Role_(Hosts_.self(), relaying::freshnessTimeoutsFor(Bounds)),
      Feed_({Objects_, Intents_, Steering_, Gateway_, Hosts_, Role_, Gauges_,
             Live_.Zones_, Bounds.TargetDrain_,
             relaying::freshnessTimeoutsFor(Bounds),
             [this] {
               if (!Entry_.leaving())
                 spawnLogged(Control_, Registration_.enter(),
                             "register-failed");
             }},
            drawSeed()),
      Relays_(Control_.get_executor(), Role_, Live.Relays_.Port_,
              {[this](base::TimePoint Now) { return Feed_.question(Now); },
               [this](const relaying::RelayRequest &Asked,
                      base::TimePoint Now) { return Feed_.answer(Asked, Now); },
               [this](const relaying::RelayResponse &Told,
                      base::TimePoint AskedAt, base::TimePoint Now) {
                 Gauges_.countRelayAnswer(Told.IsSynced_);
                 Feed_.take(Told, AskedAt, Now);
               },
               [this](const std::string &Address, const base::Error &Why) {
                 noteRelayTrouble(Address, Why);
               }}),
      Reports_({Entry_, Intents_, Hosts_, Role_, Steering_}),
      Tokens_(
          Control_.get_executor(), Live.Relays_, Hosts_.self().Incarnation_,
          {[this](const members::TokenRequest &Wanted, base::TimePoint Now) {
             const auto Wait = Steering_.grantToken(Wanted, Now);
             Gauges_.countTokenGiven(!Wait);
             return Wait;
           },
           [this](std::uint64_t Number, std::optional<base::Duration> Wait,
                  base::TimePoint Now) {
             Gauges_.countTokenHeard(!Wait);
             std::vector<steering::Wakeup> Woken;
             Steering_.handleTokenResponse(Number, Wait, Now, Woken);
             Gateway_.deliver(Woken, Now);
           },
           [this](const base::CustomerId &Customer) {
             Steering_.takeBackToken(Customer);
           }}),
      Heartbeats_(
          Control_.get_executor(), Hosts_, Live.Heartbeats_,
          {[this](bool Whole, bool WithCard, base::TimePoint Now) {
             return Reports_.heartbeat(Whole, WithCard, Now);
           },
           [this](base::TimePoint Now) { return Reports_.answer(Now); },
           [this](const members::Heartbeat &Said, bool News,
                  base::TimePoint Now) { hearHeartbeat(Said, News, Now); }}),
      News_(Control_.get_executor(), Hosts_, Live.Heartbeats_,
            {[this](base::TimePoint Now) { return Reports_.summary(Now); },
             [this] { return Entry_.leaving(); },
             [this](const members::RegionUpdate &Said, base::TimePoint Now) {
               Steering_.mergeCrashEvidence(Said.Summary_.Evidence_, Now);
               Steering_.mergeTargetRates(Said.Summary_.TargetRates_, false,
                                          Now);
               Steering_.mergeTargetLeavings(Said.Summary_.TargetLeavings_,
                                             false, Now);
             }}) {
  Hosts_.addSeeds(Live_.SeedAddresses_);
}

LiveDaemon::~LiveDaemon() { stopControl(); }

// Heartbeats.

void LiveDaemon::hearHeartbeat(const members::Heartbeat &Said, bool News,
                               base::TimePoint Now) {
  if (Said.VersionAhead_)
    Intents_.noteAnnouncedVersion(*Said.VersionAhead_, Now);
  if (!Said.Evidence_.empty())
    Steering_.mergeCrashEvidence(Said.Evidence_, Now);
  if (!Said.TargetRates_.empty())
    Steering_.mergeTargetRates(Said.TargetRates_, true, Now);
  if (!Said.TargetLeavings_.empty())
    Steering_.mergeTargetLeavings(Said.TargetLeavings_, true, Now);
  if (!Said.Times_.empty())
    Steering_.mergeExecutionTimes(Said.Times_);
  if (!News)
    return;
  // Callers of other regions may be sent there, too.
  if (Said.Leaving_ || Said.TargetsUnreached_)
    News_.sendNow(Now);
  else if (Said.HasDescriptor_)
    Heartbeats_.sendFullTo(Said.Sender_.Address_, Now);
  reporting::logLine(
      LogLevel::Info,
      KeyValueLine()
          .add("event", "host-heard")
          .add("host", Said.Sender_.Host_.name())
          .add("start", Said.Sender_.Incarnation_)
          .add("ready", Said.Ready_ ? 1 : 0)
          .add("leaving", Said.Leaving_ ? 1 : 0)
          .add("targets_unreached", Said.TargetsUnreached_ ? 1 : 0));
}

// Listeners of the host itself.

asio::awaitable<transport::HttpAnswer>
LiveDaemon::answerDirectory(transport::HttpRequest Asked) {
  const auto Query = platform::decodeResolve(Asked);
  if (!Query) {
    transport::HttpAnswer Answer;
    Answer.Status_ = StatusNotFound;
    co_return Answer;
  }
  members::EntryQuery Wanted;
  Wanted.Region_ = base::RegionId(Query->Region_);
  Wanted.Zone_ = base::ZoneId(Query->Zone_);
  Wanted.Name_ = Query->Name_;
  Wanted.MaxEntries_ = platform::MostAddresses;
  co_return platform::encodeResolve(
      Entry_.resolve(std::move(Wanted), SystemClock::monotonicNow()),
      LiveEntry::TimeToLive);
}

asio::awaitable<transport::HttpAnswer>
LiveDaemon::answerReadiness(transport::HttpRequest Asked) {
  co_return platform::encodeReady(Asked, Entry_.isReady());
}

asio::awaitable<transport::HttpAnswer>
LiveDaemon::answerHost(transport::HttpRequest Asked) {
  transport::HttpAnswer Told =
      Relays_.answer(Asked, SystemClock::monotonicNow());
  Gauges_.countRelayTold(Told.Body_.size());
  co_return Told;
}

asio::awaitable<transport::HttpAnswer>
LiveDaemon::answerMetrics(transport::HttpRequest Asked) {
  co_return metricsAnswer(Asked, Metrics_);
}

// Start and stop.

bool LiveDaemon::startAll(base::Error &Last) {
  const auto Serve = [this](const settings::Endpoint &Where,
                            std::size_t BodyLimit,
                            transport::HttpServer::Handler Answers) {
    Servers_.push_back(std::make_unique<transport::HttpServer>(
        Control_.get_executor(), optionsFor(Settings_, Where, BodyLimit),
        std::move(Answers)));
  };
  Serve(Live_.Directory_, QueryBodyLimit, [this](transport::HttpRequest Asked) {
    return answerDirectory(std::move(Asked));
  });
  Serve(Live_.Readiness_, QueryBodyLimit, [this](transport::HttpRequest Asked) {
    return answerReadiness(std::move(Asked));
  });
  Serve(Live_.Relays_, RelayBodyLimit, [this](transport::HttpRequest Asked) {
    return answerHost(std::move(Asked));
  });
  Serve(Settings_.Metrics_, QueryBodyLimit,
        [this](transport::HttpRequest Asked) {
          return answerMetrics(std::move(Asked));
        });
  for (const auto &Each : Servers_)
    if (!Each->listen(Last))
      return false;
  if (!Heartbeats_.open(Last) || !News_.open(Last) || !Tokens_.open(Last) ||
      !Gateway_.start(Last))
    return false;
  Feed_.start(Control_.get_executor());
  spawnLogged(Control_, Heartbeats_.sendAll(), "heartbeats-failed");
  spawnLogged(Control_, Heartbeats_.receiveAll(), "heartbeats-failed");
  spawnLogged(Control_, News_.sendAll(), "region-news-failed");
  spawnLogged(Control_, News_.receiveAll(), "region-news-failed");
  spawnLogged(Control_, Tokens_.receiveAll(), "tokens-failed");
  spawnLogged(Control_, Relays_.pollAll(), "relays-failed");
  spawnLogged(Control_, keepTime(), "time-failed");
  spawnLogged(Control_, Registration_.enter(), "register-failed");
  return true;
}

asio::awaitable<void> LiveDaemon::keepTime() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  int Paces = 0;
  while (true) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    Feed_.expire(Now);
    const std::vector<members::HostView> Others = Hosts_.others(Now);
    takeRole(Others, Now);
    noteLosses(Others, Now);
    setGauges(Now);
    const members::LocalHostState Own = Entry_.ownState(Now);
    Steering_.updateFleetDemand(
        {Others, Hosts_.regions(Now), Hosts_.self(),
         Own.Ready_ && !Own.Leaving_, Own.TargetsUnreached_,
         Hosts_.shareHolders(Now), regionCount(Live_), Hosts_.isCutOff(Now)},
        Now);
    reporting::flushLog();
    if (++Paces % FileCheckPaces == 0 && settingsFileChanged())
      reloadSettings();
    Timer.expires_after(TimePace);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void LiveDaemon::takeRole(std::span<const members::HostView> Others,
                          base::TimePoint Now) {
  tellTrouble(Now);
  Role_.update(Others, Entry_.ownState(Now).Leaving_, Now);
  const bool Asking = Role_.mustReadStore(Now);
  if (std::exchange(Asking_, Asking) == Asking)
    return;
  const auto Age = Intents_.age(Now);
  reporting::logLine(
      LogLevel::Info,
      KeyValueLine()
          .add("event", Asking ? "store-asked-here" : "store-asked-by-others")
          .add("trouble", Role_.isInTrouble(Now) ? 1 : 0)
          .add("confirmed_ms_ago", Age ? base::toMilliseconds(*Age) : -1));
}

/// Others rely on a host that asks the store, so they hear at once that it no
/// longer can, and not with the next heartbeat.
void LiveDaemon::tellTrouble(base::TimePoint Now) {
  const bool Troubled = Role_.isInTrouble(Now);
  if (!std::exchange(Troubled_, Troubled) && Troubled && Role_.isReader())
    Heartbeats_.sendNow(Now);
}

void LiveDaemon::noteRelayTrouble(const std::string &Address,
                                  const base::Error &Why) {
  Gauges_.countRelayFailure();
  reporting::logLine(LogLevel::Warning, KeyValueLine()
                                            .add("event", "relay-unanswered")
                                            .add("peer", Address)
                                            .add("step", Why.Step_)
                                            .add("reason", Why.Reason_));
}

void LiveDaemon::setGauges(base::TimePoint Now) const {
  const auto Intent = Intents_.current();
  Gauges_.set({Intent ? Intent->Version_ : 0, Intents_.age(Now), Trusted_,
               Asking_, Heard_.size(), Feed_.targetCount(),
               Feed_.evacuatedCount(), Steering_.limitedTargetCount(),
               Steering_.restingTargetCount(Now),
               Steering_.ejectedTargetCount(Now), !Steering_.reachesTargets(),
               Feed_.storeEra()});
  for (const auto &[Service, Share] : Steering_.admittedShares())
    Gauges_.setAdmittedShare(Service, Share);
}

void LiveDaemon::noteLosses(std::span<const members::HostView> Others,
                            base::TimePoint Now) {
  std::set<base::HostId> Alive;
  for (const members::HostView &Each : Others)
    if (Each.Alive_)
      Alive.insert(Each.Descriptor_.Host_);
  for (const base::HostId &Each : Heard_)
    if (!Alive.contains(Each))
      reporting::logLine(
          LogLevel::Warning,
          KeyValueLine().add("event", "host-silent").add("host", Each.name()));
  Heard_ = std::move(Alive);
  const bool Trusted = Intents_.isTrusted(Now);
  if (Trusted == Trusted_)
    return;
  Trusted_ = Trusted;
  const auto Age = Intents_.age(Now);
  reporting::logLine(
      Trusted ? LogLevel::Info : LogLevel::Warning,
      KeyValueLine()
          .add("event", Trusted ? "keys-trusted" : "keys-not-trusted")
          .add("confirmed_ms_ago", Age ? base::toMilliseconds(*Age) : -1));
}

void LiveDaemon::awaitSignal() {
  Signals_.async_wait(
      [this](const boost::system::error_code &Failure, int Number) {
        if (Failure)
          return;
        if (Number == SIGHUP)
          reloadSettings();
        else if (Stop_.mayRequest(Number))
          Gateway_.requestStop();
        awaitSignal();
      });
}

bool LiveDaemon::settingsFileChanged() {
  std::error_code Failure;
  const auto Written = std::filesystem::last_write_time(Path_, Failure);
  return !Failure && Written != SettingsRead_;
}

/// Seeds and the log's level take effect at once; everything else at the next
/// start. A file with errors changes nothing.
void LiveDaemon::reloadSettings() {
  std::error_code Ignored;
  SettingsRead_ = std::filesystem::last_write_time(Path_, Ignored);
  settings::Problems Found;
  const auto Fresh = readSettingsFile(Path_, Found);
  for (const settings::Problem &Each : Found)
    reporting::logLine(LogLevel::Error, KeyValueLine()
                                            .add("event", "settings-refused")
                                            .add("problem", Each.describe()));
  if (!Fresh || !Fresh->Live_)
    return;
  Hosts_.addSeeds(Fresh->Live_->SeedAddresses_);
  reporting::configureLog(Fresh->LogLevel_);
  reporting::logLine(LogLevel::Info,
                     KeyValueLine().add("event", "settings-reloaded"));
}

int LiveDaemon::run() {
  base::Error Last;
  std::error_code Ignored;
  SettingsRead_ = std::filesystem::last_write_time(Path_, Ignored);
  // A peer or a reader of the log that has gone is an error at the write.
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    Signals_.add(Number);
  awaitSignal();
  if (!startAll(Last)) {
    tellStartFailed(Last);
    return ExitStartFailed;
  }
  ControlThread_ = std::thread([this] { Control_.run(); });
  reporting::logLine(LogLevel::Info,
                     KeyValueLine()
                         .add("event", "serving")
                         .add("host", Settings_.Host_.name())
                         .add("start", Hosts_.self().Incarnation_)
                         .add("callers", Settings_.Callers_.text()));
  const gateway::StopSummary Summary = Gateway_.waitUntilStopped();
  tellStop(Summary);
  stopControl();
  reporting::flushLog();
  return Summary.CutRequests_.empty() ? 0 : ExitRequestsCut;
}

void LiveDaemon::stopControl() {
  Control_.stop();
  if (ControlThread_.joinable())
    ControlThread_.join();
}

} // namespace lychee::daemon
