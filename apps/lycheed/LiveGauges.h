#ifndef LYCHEE_APPS_LYCHEED_LIVEGAUGES_H
#define LYCHEE_APPS_LYCHEED_LIVEGAUGES_H

#include "base/Id.h"
#include "base/Time.h"
#include "reporting/Metrics.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lychee::daemon {

/// What a host where intent and targets are live knows of those on whom it
/// depends, a few times a second.
struct LiveReadings {
  std::uint64_t IntentVersion_ = 0;
  /// Nothing before the first confirmation.
  std::optional<base::Duration> IntentAge_;
  bool KeysTrusted_ = false;
  /// It asks the store itself. \see relaying::RelayRole
  bool AsksStore_ = false;
  std::size_t HostsAlive_ = 0;
  std::size_t TargetsKnown_ = 0;
  std::size_t ZonesEvacuated_ = 0;
  /// Targets that state a rate.
  std::size_t TargetsLimited_ = 0;
  std::size_t TargetsResting_ = 0;
  /// Targets that failed for this host a moment ago.
  std::size_t TargetsEjected_ = 0;
  /// This host reaches no targets and forwards requests to hosts that do.
  bool TargetsUnreached_ = false;
  /// As the store states it; 0: it states none.
  std::uint64_t StoreEra_ = 0;
};

/// The metrics of such a host beside those of its requests.
/// \see ControlGauges, DecisionReporter
class LiveGauges {
public:
  explicit LiveGauges(reporting::Metrics &Metrics);
  LiveGauges(const LiveGauges &) = delete;
  LiveGauges &operator=(const LiveGauges &) = delete;

  void set(const LiveReadings &Read) const;
  void setAdmittedShare(const base::ServiceId &Service, double Share) const;

  /// \param Refused  the newest intent cannot be read at all.
  /// \param Rows  of it that cannot be read.
  void setIntentFaults(bool Refused, std::size_t Rows) const;

  // Calls, each with its end.
  void countStoreCall(const std::string &Kind, bool Came);
  /// A watch that the store ended before its time, without an answer.
  void countWatchCut(const std::string &Kind) const;
  /// A list of the store that was older than what is known.
  void countIgnoredList(const std::string &Kind) const;
  /// Entries in an answer of the store that could not be read.
  void countUnreadable(const std::string &Kind, std::size_t Entries) const;
  /// The store came back from an older copy of itself.
  void countStoreRestore() const { StoreRestores_.add(); }
  void countRelayAnswer(bool Sound) const;
  void countRelayFailure() const;
  /// This host told another what changed, in so many bytes.
  void countRelayTold(std::size_t Bytes) const;
  /// This host asked another for a token; heard the answer; gave one, or not.
  void countTokenAsked() const { TokensAsked_.add(); }
  void countTokenHeard(bool Granted) const;
  void countTokenGiven(bool Granted) const;

private:
  reporting::Metrics &Metrics_;
  const reporting::Gauge IntentVersion_;
  const reporting::Gauge IntentAge_;
  const reporting::Gauge IntentRefused_;
  const reporting::Gauge IntentRowsUnreadable_;
  const reporting::Gauge KeysTrusted_;
  const reporting::Gauge AsksStore_;
  const reporting::Gauge HostsAlive_;
  const reporting::Gauge TargetsKnown_;
  const reporting::Gauge ZonesEvacuated_;
  const reporting::Gauge TargetsLimited_;
  const reporting::Gauge TargetsResting_;
  const reporting::Gauge TargetsEjected_;
  const reporting::Gauge TargetsUnreached_;
  const reporting::Gauge StoreEra_;
  const reporting::Counter StoreRestores_;
  const reporting::Counter RelaySound_;
  const reporting::Counter RelayUnsound_;
  const reporting::Counter RelayFailed_;
  const reporting::Counter RelayTold_;
  const reporting::Counter RelayToldBytes_;
  const reporting::Counter TokensAsked_;
  const reporting::Counter TokensHeard_;
  const reporting::Counter TokensDenied_;
  const reporting::Counter TokensGiven_;
  const reporting::Counter TokensKept_;
  /// By kind of object and whether the call came.
  std::map<std::pair<std::string, bool>, reporting::Counter> StoreCalls_;
};

} // namespace lychee::daemon

#endif
