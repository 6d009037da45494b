#include "lycheed/ControlGauges.h"

#include <numeric>

namespace lychee::daemon {

ControlGauges::ControlGauges(reporting::Metrics &Metrics)
    : PeerCalls_(Metrics.gauge("lychee_peer_calls", "Calls made to peers")),
      PeerFailures_(Metrics.gauge("lychee_peer_call_failures",
                                  "Calls to peers without a good answer")),
      PeerBytesOut_(Metrics.gauge("lychee_peer_bytes_out",
                                  "Bytes sent between hosts, both ways of "
                                  "calling")),
      PeerBytesIn_(Metrics.gauge("lychee_peer_bytes_in",
                                 "Bytes received between hosts")),
      StrangersRefused_(Metrics.gauge("lychee_peer_calls_refused",
                                      "Calls refused for want of a proof")),
      StoreReads_(Metrics.gauge("lychee_store_reads",
                                "Reads and lists asked of the store")),
      StoreWrites_(
          Metrics.gauge("lychee_store_writes", "Writes asked of the store")),
      StoreWatches_(
          Metrics.gauge("lychee_store_watches", "Watches asked of the store")),
      StoreFailures_(Metrics.gauge("lychee_store_failures",
                                   "Calls to the store without an answer")),
      StoreOverBudget_(Metrics.gauge("lychee_store_over_budget",
                                     "Calls to the store that were not made")),
      ClaimWrites_(
          Metrics.gauge("lychee_claim_writes", "Group writes of claims")),
      SettingsVersion_(Metrics.gauge("lychee_settings_version",
                                     "Version of the settings in force")),
      SettingsAge_(Metrics.gauge(
          "lychee_settings_age_seconds",
          "Since the settings were known to be the newest; -1: never")),
      LeaseStands_(
          Metrics.gauge("lychee_lease_stands", "1 while the lease stands")),
      Epoch_(Metrics.gauge("lychee_epoch", "Membership epoch")),
      EpochSettled_(Metrics.gauge("lychee_epoch_settled",
                                  "1 once every member has entered it")),
      InFlight_(
          Metrics.gauge("lychee_requests_in_flight", "Requests in progress")),
      Connections_(Metrics.gauge("lychee_caller_connections",
                                 "Connections of callers")) {}

void ControlGauges::set(const ControlReadings &Read) const {
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  PeerCalls_.set(Number(Read.PeerCalls_));
  PeerFailures_.set(Number(Read.PeerFailures_));
  PeerBytesOut_.set(Number(Read.PeerBytesOut_ + Read.Listener_.BytesOut_));
  PeerBytesIn_.set(Number(Read.PeerBytesIn_ + Read.Listener_.BytesIn_));
  const auto &Refused = Read.Listener_.Refused_;
  StrangersRefused_.set(Number(
      std::accumulate(Refused.begin(), Refused.end(), std::uint64_t(0))));
  StoreReads_.set(Number(Read.Store_.Gets_ + Read.Store_.Lists_));
  StoreWrites_.set(Number(Read.Store_.Puts_));
  StoreWatches_.set(Number(Read.Store_.Watches_));
  StoreFailures_.set(Number(Read.Store_.Failures_));
  StoreOverBudget_.set(Number(Read.Store_.OverBudget_));
  ClaimWrites_.set(Number(Read.ClaimWrites_));
  SettingsVersion_.set(Number(Read.SettingsVersion_));
  SettingsAge_.set(Read.SettingsAge_ ? base::toSeconds(*Read.SettingsAge_)
                                     : -1);
  LeaseStands_.set(Read.LeaseStands_ ? 1 : 0);
  Epoch_.set(Number(Read.Epoch_));
  EpochSettled_.set(Read.EpochSettled_ ? 1 : 0);
  InFlight_.set(Number(Read.InFlight_));
  Connections_.set(Number(Read.Connections_));
}

} // namespace lychee::daemon
