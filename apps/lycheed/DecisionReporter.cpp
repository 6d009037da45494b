#include "lycheed/DecisionReporter.h"

#include "base/SystemClock.h"

#include <array>
#include <charconv>
#include <vector>

namespace lychee::daemon {

namespace {

/// Stands for the age of a load that its target never told.
constexpr std::int64_t NeverTold = -1;
/// Stands for a number of positions that only another host knows.
constexpr std::int64_t UnknownAhead = -1;

reporting::DecisionRecord recordOf(const steering::Request &Request) {
  reporting::DecisionRecord Record;
  Record.Request_ = Request.Id_;
  Record.Customer_ = Request.Customer_;
  Record.Key_ = Request.Key_;
  Record.Service_ = Request.Service_;
  Record.Rule_ = Request.Rule_;
  Record.ForwardedBy_ = Request.ForwardedBy_;
  return Record;
}

/// Notes how many sends the request has had, where the steering counts them.
void noteSends(const steering::Decision &Made,
               reporting::DecisionRecord &Record) {
  if (Made.Sends_ + Made.SendsLeft_ == 0)
    return;
  Record.Sends_ = Made.Sends_;
  Record.SendsLeft_ = Made.SendsLeft_;
}

reporting::Counter shareCounter(reporting::Metrics &Metrics,
                                steering::Refusal Reason) {
  const std::array<reporting::Label, 1> Labels = {
      {{"reason", steering::nameOf(Reason)}}};
  return Metrics.counter("lychee_share_refusals_total",
                         "Requests refused because their service is full and "
                         "others are served first",
                         Labels);
}

std::string describe(const steering::StatedRate &Stated) {
  if (!Stated.PerSecond_)
    return Stated.Unreadable_ ? "unreadable" : "";
  return describeRate(*Stated.PerSecond_);
}

std::string describe(const steering::StatedRest &Stated) {
  if (!Stated.For_)
    return Stated.Unreadable_ ? "unreadable" : "";
  return std::to_string(base::toMilliseconds(*Stated.For_));
}

} // namespace

std::string describeRate(double PerSecond) {
  std::array<char, 32> Digits{};
  const auto Written =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), PerSecond);
  return {Digits.data(), Written.ptr};
}

DecisionReporter::DecisionReporter(reporting::DecisionLog &Log,
                                   reporting::Metrics &Metrics)
    : Log_(Log),
      Sends_(Metrics.counter("lychee_sends_total", "Requests sent to targets")),
      Forwards_(Metrics.counter("lychee_forwards_total",
                                "Requests forwarded to other hosts")),
      ForwardedArrivals_(
          Metrics.counter("lychee_forwarded_arrivals_total",
                          "Requests that other hosts forwarded to this one")),
      Hedges_(Metrics.counter(
          "lychee_hedges_total",
          "Requests sent once more, as their connection stayed silent")),
      Waits_(Metrics.counter("lychee_waits_total",
                             "Requests that waited for room")),
      Refusals_(Metrics.counter("lychee_refusals_total", "Requests refused")),
      ScheduledRetries_(Metrics.counter(
          "lychee_scheduled_retries_total",
          "Refusals for which a position in a retry schedule is reserved")),
      RefusedRetries_(Metrics.counter(
          "lychee_refused_retries_total",
          "Refusals of retries whose callers were refused before")),
      OverShares_(shareCounter(Metrics, steering::Refusal::OverShare)),
      LessUrgent_(shareCounter(Metrics, steering::Refusal::LessUrgent)),
      Answers_(Metrics.counter("lychee_answers_total",
                               "Answers of targets passed to callers")),
      Failures_(Metrics.counter("lychee_send_failures_total",
                                "Sends that ended without a whole answer")),
      StatedRates_(Metrics.counter(
          "lychee_stated_rates_total",
          "Answers in which a target stated the rate that it takes")),
      StatedRests_(Metrics.counter(
          "lychee_stated_rests_total",
          "Answers in which a target asked this host for a rest")),
      StatedLeavings_(
          Metrics.counter("lychee_stated_leavings_total",
                          "Answers in which a target said that it leaves")),
      TargetSeconds_(Metrics.histogram("lychee_target_seconds",
                                       "Time of a send at its target")) {}

void DecisionReporter::decided(const steering::Request &Request,
                               const steering::Decision &Made,
                               base::TimePoint /*Now*/) {
  reporting::DecisionRecord Record = recordOf(Request);
  if (Made.Inputs_)
    Record.Inputs_ = reporting::DecisionRecord::Inputs{
        Made.Inputs_->Rank_,
        base::toMilliseconds(Made.Inputs_->ExpectedResponseTime_),
        Made.Inputs_->Load_,
        Made.Inputs_->LoadAge_ ? base::toMilliseconds(*Made.Inputs_->LoadAge_)
                               : NeverTold,
        Made.Inputs_->SpeedPercent_.value_or(0),
        base::toMilliseconds(Made.Inputs_->SpeedAge_)};
  if (Made.Targets_)
    Record.Targets_ = reporting::DecisionRecord::TargetCounts{
        Made.Targets_->InUse_, Made.Targets_->Ejected_,
        Made.Targets_->OnProbation_};
  if (Made.Share_)
    Record.Share_ = reporting::DecisionRecord::ShareInputs{
        Made.Share_->Fraction_, Made.Share_->AskedPerSecond_,
        Made.Share_->ServedShare_, Made.Share_->Ahead_};
  Record.Region_ = Made.Region_;
  Record.Target_ = Made.Target_;
  Record.Reason_ = Made.Reason_;
  Record.SettingsVersion_ = Made.SettingsVersion_;
  std::vector<reporting::PassedOverCandidate> PassedOver;
  PassedOver.reserve(Made.PassedOverTargets_.size());
  for (const steering::PassedOverTarget &Each : Made.PassedOverTargets_)
    PassedOver.push_back({Each.Target_.name(), Each.Reason_});
  Record.PassedOver_ = PassedOver;
  switch (Made.Action_) {
  case steering::Decision::Action::Send:
    Record.Event_ = "send";
    Record.Object_ = Request.ObjectHash_;
    Record.Host_ = Made.Host_;
    noteSends(Made, Record);
    (Made.Host_.empty() ? Sends_ : Forwards_).add();
    break;
  case steering::Decision::Action::Wait:
    Record.Event_ = "wait";
    Waits_.add();
    break;
  case steering::Decision::Action::Refuse:
    Record.Event_ = "refuse";
    Record.Reason_ = steering::nameOf(Made.Refusal_);
    Record.Ran_ = Made.Ran_ == steering::Ran::No ? "no" : "maybe";
    Refusals_.add();
    if (Made.Return_)
      reportReturn(Made.RetryAfter_, *Made.Return_, Record);
    if (Made.Refusal_ == steering::Refusal::OverShare)
      OverShares_.add();
    if (Made.Refusal_ == steering::Refusal::LessUrgent)
      LessUrgent_.add();
    break;
  }
  Log_.record(Record, base::SystemClock::wallNow());
}

void DecisionReporter::reportReturn(base::Duration RetryAfter,
                                    const steering::ReturnInfo &Return,
                                    reporting::DecisionRecord &Record) const {
  Record.Return_ = reporting::DecisionRecord::Return{
      base::toMilliseconds(RetryAfter),
      Return.Ahead_ ? static_cast<std::int64_t>(*Return.Ahead_) : UnknownAhead,
      Return.IsRetry_};
  if (Return.IsRetry_)
    RefusedRetries_.add();
  else if (RetryAfter > base::Duration::zero())
    ScheduledRetries_.add();
}

void DecisionReporter::hedged(const steering::Request &Request,
                              const steering::Decision &Sent,
                              base::TimePoint /*Now*/) {
  Hedges_.add();
  reporting::DecisionRecord Record = recordOf(Request);
  Record.Event_ = "hedge";
  Record.Region_ = Sent.Region_;
  Record.Target_ = Sent.Target_;
  Record.Host_ = Sent.Host_;
  noteSends(Sent, Record);
  Record.SettingsVersion_ = Sent.SettingsVersion_;
  Log_.record(Record, base::SystemClock::wallNow());
}

void DecisionReporter::sendEnded(const steering::Request &Request,
                                 const steering::Decision &Sent,
                                 const steering::SendReport &Report,
                                 base::TimePoint /*Now*/) {
  if (Sent.Host_.empty())
    TargetSeconds_.observe(base::toSeconds(Report.Took_));
  const bool Answered = Report.Outcome_ == steering::SendOutcome::Answered;
  (Answered ? Answers_ : Failures_).add();
  reporting::DecisionRecord Record = recordOf(Request);
  Record.Event_ = Answered ? "answered" : "send-failed";
  Record.TookMs_ = base::toMilliseconds(Report.Took_);
  Record.Region_ = Sent.Region_;
  Record.Target_ = Sent.Target_;
  Record.Host_ = Sent.Host_;
  Record.Reason_ = retrying::nameOf(Report.Outcome_);
  Record.Status_ = Report.Status_;
  Record.HostSends_ = Report.HostSends_;
  Record.BodyGone_ = Report.BodyGone_;
  Record.TimedOut_ = Report.TimedOut_;
  Record.StatedRate_ = describe(Report.Statement_.Rate_);
  if (!Record.StatedRate_.empty())
    StatedRates_.add();
  Record.StatedRest_ = describe(Report.Statement_.Rest_);
  if (!Record.StatedRest_.empty())
    StatedRests_.add();
  Record.StatedLeaving_ = Report.Statement_.Leaving_;
  if (Record.StatedLeaving_)
    StatedLeavings_.add();
  Record.SettingsVersion_ = Sent.SettingsVersion_;
  Log_.record(Record, base::SystemClock::wallNow());
}

void DecisionReporter::requestEnded(const steering::Request &Request,
                                    const gateway::RequestEnd &End,
                                    base::TimePoint Now) {
  if (!Request.ForwardedBy_.empty())
    ForwardedArrivals_.add();
  reporting::DecisionRecord Record = recordOf(Request);
  Record.Event_ = "end";
  Record.TookMs_ = base::toMilliseconds(Now - Request.ArrivedAt_);
  Record.Reason_ = End.Outcome_;
  Record.Status_ = End.Status_;
  Record.Sends_ = End.Sends_;
  Log_.record(Record, base::SystemClock::wallNow());
}

} // namespace lychee::daemon
