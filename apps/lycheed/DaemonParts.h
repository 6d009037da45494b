#ifndef LYCHEE_APPS_LYCHEED_DAEMONPARTS_H
#define LYCHEE_APPS_LYCHEED_DAEMONPARTS_H

#include "budget/RateBudgets.h"
#include "claims/ClaimService.h"
#include "fleet/Directory.h"
#include "gateway/GatewaySettings.h"
#include "gateway/HostDirectory.h"
#include "gateway/StopSequence.h"
#include "gateway/TargetObserver.h"
#include "reporting/Metrics.h"
#include "settings/DaemonSettings.h"
#include "settings/Intent.h"
#include "steering/FleetSteering.h"
#include "store/HttpStore.h"
#include "transport/HttpServer.h"

#include <vector>

/// What the daemon makes its parts from, and turns one part's words into
/// another's. \see Daemon
namespace lychee::daemon {

/// A new start has a seed of its own, so that request ids never repeat.
std::uint64_t drawSeed();

/// \returns milliseconds since 1970: rises with each start of a host.
std::uint64_t drawIncarnation();

store::HttpStoreOptions storeOptions(const settings::DaemonSettings &Settings);

steering::SteeringSettings
steeringSettings(const settings::DaemonSettings &Settings,
                 std::uint64_t Incarnation, budget::RateBudgets &Rates);

/// \returns the options of one of a host's own servers.
/// \param BodyLimit  in bytes; \see QueryBodyLimit
transport::HttpServerOptions optionsFor(const settings::DaemonSettings &Host,
                                        const settings::Endpoint &Where,
                                        std::size_t BodyLimit);

/// For servers that anyone may ask, and whose requests need no body.
inline constexpr std::size_t QueryBodyLimit = 4UL << 10;

/// \returns the descriptors that the process may have.
std::uint64_t descriptorsOf(const settings::DaemonSettings &Settings);

/// \returns a gateway's settings, with callers' connections within their part
/// of the descriptors.
gateway::GatewaySettings
boundedGatewaySettings(const settings::DaemonSettings &Settings);

gateway::HostEntry selfEntry(const settings::DaemonSettings &Settings);

/// \returns the hosts that callers may use: leaving ones are absent.
std::vector<gateway::HostEntry> hostEntries(const fleet::Directory &From);

std::vector<claims::ClaimMember> claimMembers(const fleet::Directory &From);

std::vector<gateway::TargetEntry> targetEntries(const settings::Intent &From);

/// \returns the answer of a metrics listener: 404 but for GET /metrics.
transport::HttpAnswer metricsAnswer(const transport::HttpRequest &Asked,
                                    const reporting::Metrics &Metrics);

/// Logs a stop's end, and each request that it cut.
void tellStartFailed(const base::Error &Last);
void tellStop(const gateway::StopSummary &Summary);

} // namespace lychee::daemon

#endif
