#include "lycheed/LiveGauges.h"

#include <array>

namespace lychee::daemon {

namespace {

reporting::Counter relayCounter(reporting::Metrics &Metrics,
                                std::string_view End) {
  const std::array<reporting::Label, 1> Labels = {{{"end", End}}};
  return Metrics.counter("lychee_relay_questions_total",
                         "Questions to hosts that ask the store, by their end",
                         Labels);
}

reporting::Counter tokenCounter(reporting::Metrics &Metrics,
                                std::string_view End) {
  const std::array<reporting::Label, 1> Labels = {{{"end", End}}};
  return Metrics.counter("lychee_rate_tokens_total",
                         "Tokens of customers' and targets' rates asked of "
                         "other hosts, and by them",
                         Labels);
}

} // namespace

LiveGauges::LiveGauges(reporting::Metrics &Metrics)
    : Metrics_(Metrics),
      IntentVersion_(Metrics.gauge("lychee_settings_version",
                                   "Version of the intent in force")),
      IntentAge_(Metrics.gauge(
          "lychee_settings_age_seconds",
          "Since the intent was known to be the newest; -1: never")),
      IntentRefused_(Metrics.gauge(
          "lychee_settings_refused",
          "1 while the newest intent of the store cannot be read")),
      IntentRowsUnreadable_(
          Metrics.gauge("lychee_settings_rows_unreadable",
                        "Rows of the newest intent that cannot be read")),
      KeysTrusted_(Metrics.gauge("lychee_keys_trusted",
                                 "1 while keys are known to hold")),
      AsksStore_(Metrics.gauge("lychee_asks_store",
                               "1 while this host asks the store itself")),
      HostsAlive_(
          Metrics.gauge("lychee_hosts_alive", "Other hosts that are heard")),
      TargetsKnown_(
          Metrics.gauge("lychee_targets_known", "Targets that may be used")),
      ZonesEvacuated_(Metrics.gauge("lychee_zones_evacuated",
                                    "Zones whose targets get nothing")),
      TargetsLimited_(
          Metrics.gauge("lychee_targets_rate_limited",
                        "Targets that state the rate that they take")),
      TargetsResting_(Metrics.gauge(
          "lychee_targets_resting",
          "Targets that want nothing from this host for a while")),
      TargetsEjected_(Metrics.gauge(
          "lychee_targets_ejected",
          "Targets that failed for this host and get nothing from it")),
      TargetsUnreached_(
          Metrics.gauge("lychee_targets_unreached",
                        "1 while this host reaches no targets and forwards "
                        "requests to hosts that do")),
      StoreEra_(Metrics.gauge(
          "lychee_store_era",
          "How often the store came back from an older copy; 0: not stated")),
      StoreRestores_(Metrics.counter(
          "lychee_store_restores_total",
          "Times that the store came back from an older copy of itself")),
      RelaySound_(relayCounter(Metrics, "sound")),
      RelayUnsound_(relayCounter(Metrics, "unsound")),
      RelayFailed_(relayCounter(Metrics, "failed")),
      RelayTold_(Metrics.counter("lychee_relay_answers_total",
                                 "Answers to hosts that asked this one")),
      RelayToldBytes_(
          Metrics.counter("lychee_relay_answer_bytes_total",
                          "Bytes of answers to hosts that asked this one")),
      TokensAsked_(tokenCounter(Metrics, "asked")),
      TokensHeard_(tokenCounter(Metrics, "granted")),
      TokensDenied_(tokenCounter(Metrics, "denied")),
      TokensGiven_(tokenCounter(Metrics, "given")),
      TokensKept_(tokenCounter(Metrics, "not_given")) {}

void LiveGauges::set(const LiveReadings &Read) const {
  IntentVersion_.set(static_cast<double>(Read.IntentVersion_));
  IntentAge_.set(Read.IntentAge_ ? base::toSeconds(*Read.IntentAge_) : -1);
  KeysTrusted_.set(Read.KeysTrusted_ ? 1 : 0);
  AsksStore_.set(Read.AsksStore_ ? 1 : 0);
  HostsAlive_.set(static_cast<double>(Read.HostsAlive_));
  TargetsKnown_.set(static_cast<double>(Read.TargetsKnown_));
  ZonesEvacuated_.set(static_cast<double>(Read.ZonesEvacuated_));
  TargetsLimited_.set(static_cast<double>(Read.TargetsLimited_));
  TargetsResting_.set(static_cast<double>(Read.TargetsResting_));
  TargetsEjected_.set(static_cast<double>(Read.TargetsEjected_));
  TargetsUnreached_.set(Read.TargetsUnreached_ ? 1 : 0);
  StoreEra_.set(static_cast<double>(Read.StoreEra_));
}

void LiveGauges::setAdmittedShare(const base::ServiceId &Service,
                                  double Share) const {
  const std::array<reporting::Label, 1> Labels = {
      {{"service", Service.name()}}};
  Metrics_
      .gauge("lychee_admitted_share",
             "Fraction of the demand for a service that is admitted", Labels)
      .set(Share);
}

void LiveGauges::countStoreCall(const std::string &Kind, bool Came) {
  const auto Found = StoreCalls_.find({Kind, Came});
  if (Found != StoreCalls_.end()) {
    Found->second.add();
    return;
  }
  const std::array<reporting::Label, 2> Labels = {
      {{"kind", Kind}, {"end", Came ? "answered" : "failed"}}};
  const auto Made = StoreCalls_.emplace(
      std::pair(Kind, Came),
      Metrics_.counter("lychee_store_calls_total",
                       "Lists and watches of the store, by their end", Labels));
  Made.first->second.add();
}

void LiveGauges::countIgnoredList(const std::string &Kind) const {
  const std::array<reporting::Label, 1> Labels = {{{"kind", Kind}}};
  Metrics_
      .counter("lychee_store_lists_ignored_total",
               "Lists of the store that were older than what is known", Labels)
      .add();
}

void LiveGauges::setIntentFaults(bool Refused, std::size_t Rows) const {
  IntentRefused_.set(Refused ? 1 : 0);
  IntentRowsUnreadable_.set(static_cast<double>(Rows));
}

void LiveGauges::countWatchCut(const std::string &Kind) const {
  const std::array<reporting::Label, 1> Labels = {{{"kind", Kind}}};
  Metrics_
      .counter("lychee_store_watches_cut_total",
               "Watches that the store ended before their time", Labels)
      .add();
}

void LiveGauges::countUnreadable(const std::string &Kind,
                                 std::size_t Entries) const {
  const std::array<reporting::Label, 1> Labels = {{{"kind", Kind}}};
  Metrics_
      .counter("lychee_store_entries_unreadable_total",
               "Entries in answers of the store that could not be read", Labels)
      .add(static_cast<double>(Entries));
}

void LiveGauges::countRelayAnswer(bool Sound) const {
  (Sound ? RelaySound_ : RelayUnsound_).add();
}

void LiveGauges::countTokenHeard(bool Granted) const {
  (Granted ? TokensHeard_ : TokensDenied_).add();
}

void LiveGauges::countTokenGiven(bool Granted) const {
  (Granted ? TokensGiven_ : TokensKept_).add();
}

void LiveGauges::countRelayFailure() const { RelayFailed_.add(); }

void LiveGauges::countRelayTold(std::size_t Bytes) const {
  RelayTold_.add();
  RelayToldBytes_.add(static_cast<double>(Bytes));
}

} // namespace lychee::daemon
