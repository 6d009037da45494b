#include "lycheed/DaemonParts.h"

#include "base/SystemClock.h"
#include "exchange/ExchangeNode.h"
#include "reporting/Log.h"
#include "transport/DescriptorShares.h"

#include <algorithm>
#include <random>

namespace lychee::daemon {

using reporting::LogLevel;

std::uint64_t drawSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

std::uint64_t drawIncarnation() {
  return static_cast<std::uint64_t>(
      base::toMilliseconds(base::SystemClock::wallNow().time_since_epoch()));
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
steeringSettings(const settings::DaemonSettings &Settings,
                 std::uint64_t Incarnation, budget::RateBudgets &Rates) {
  steering::SteeringSettings Made;
  Made.Host_ =
      exchange::ExchangeNode::incarnationId(Settings.Host_, Incarnation);
  Made.Region_ = Settings.Region_;
  Made.Seed_ = drawSeed();
  Made.Rates_ = &Rates;
  return Made;
}

transport::HttpServerOptions optionsFor(const settings::DaemonSettings &Host,
                                        const settings::Endpoint &Where,
                                        std::size_t BodyLimit) {
  transport::HttpServerOptions Options;
  Options.Address_ = Where.Address_;
  Options.Port_ = Where.Port_;
  Options.BodyLimitBytes_ = BodyLimit;
  Options.ConnectionLimit_ =
      std::min(Options.ConnectionLimit_,
               transport::divideDescriptors(descriptorsOf(Host)).Server_);
  return Options;
}

std::uint64_t descriptorsOf(const settings::DaemonSettings &Settings) {
  const std::uint64_t Allowed = transport::descriptorLimit();
  return Settings.Descriptors_ == 0
             ? Allowed
             : std::min<std::uint64_t>(Allowed, Settings.Descriptors_);
}

gateway::GatewaySettings
boundedGatewaySettings(const settings::DaemonSettings &Settings) {
  gateway::GatewaySettings Made = gateway::gatewaySettingsOf(Settings);
  Made.ConnectionLimit_ =
      std::min(Made.ConnectionLimit_,
               transport::divideDescriptors(descriptorsOf(Settings)).Callers_);
  return Made;
}

gateway::HostEntry selfEntry(const settings::DaemonSettings &Settings) {
  return {Settings.Host_, Settings.Region_, Settings.Zone_,
          Settings.Callers_.text()};
}

std::vector<gateway::HostEntry> hostEntries(const fleet::Directory &From) {
  std::vector<gateway::HostEntry> Hosts;
  Hosts.reserve(From.hostCount());
  for (const auto &[Id, Zone] : From.Zones_)
    for (const fleet::Member &Each : Zone.Members_)
      if (!Each.Leaving_)
        Hosts.push_back({Each.Host_, Each.Region_, Id, Each.CallerAddress_});
  return Hosts;
}

std::vector<claims::ClaimMember> claimMembers(const fleet::Directory &From) {
  std::vector<claims::ClaimMember> Members;
  Members.reserve(From.hostCount());
  for (const auto &[Id, Zone] : From.Zones_)
    for (const fleet::Member &Each : Zone.Members_)
      Members.push_back(
          {exchange::ExchangeNode::incarnationId(Each.Host_, Each.Incarnation_),
           Each.PeerAddress_});
  return Members;
}

std::vector<gateway::TargetEntry> targetEntries(const settings::Intent &From) {
  std::vector<gateway::TargetEntry> Targets;
  for (const auto &[Id, Service] : From.Services_)
    for (const settings::Target &Each : Service.Targets_)
      Targets.push_back({Each.Id_, Id, Each.Address_, Each.Connections_});
  return Targets;
}

transport::HttpAnswer metricsAnswer(const transport::HttpRequest &Asked,
                                    const reporting::Metrics &Metrics) {
  constexpr unsigned StatusNotFound = 404;
  transport::HttpAnswer Answer;
  if (Asked.Method_ != "GET" || Asked.Target_ != "/metrics") {
    Answer.Status_ = StatusNotFound;
    return Answer;
  }
  Answer.Headers_.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Answer.Body_ = Metrics.text();
  return Answer;
}

void tellStartFailed(const base::Error &Last) {
  reporting::logLine(reporting::LogLevel::Error,
                     base::KeyValueLine()
                         .add("event", "start-failed")
                         .add("step", Last.Step_)
                         .add("peer", Last.Peer_)
                         .add("reason", Last.Reason_));
}

void tellStop(const gateway::StopSummary &Summary) {
  for (const gateway::CutRequest &Each : Summary.CutRequests_)
    reporting::logLine(LogLevel::Warning,
                       base::KeyValueLine()
                           .add("event", "stop-cut")
                           .add("request", Each.Id_)
                           .add("stage", gateway::nameOf(Each.Stage_))
                           .add("age_ms", base::toMilliseconds(Each.Age_)));
  reporting::logLine(LogLevel::Info,
                     base::KeyValueLine()
                         .add("event", "stop-ended")
                         .add("took_ms", base::toMilliseconds(Summary.Took_))
                         .add("cut_requests", Summary.CutRequests_.size())
                         .add("cut_connections", Summary.CutConnections_));
}

} // namespace lychee::daemon
