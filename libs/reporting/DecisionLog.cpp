#include "reporting/DecisionLog.h"

#include "base/Hash.h"
#include "base/KeyValueLine.h"
#include "reporting/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lychee::reporting {

namespace {

/// A request that passes over hundreds of targets would else write a line that
/// log shippers cut; the first ones tell the pattern.
constexpr std::size_t ShownCandidates = 16;
/// The end of an object's hash tells it apart from others of the hour.
constexpr std::uint64_t ShownObjects = 1'000'000;

std::string describe(std::span<const PassedOverCandidate> PassedOver) {
  std::string Text;
  for (const PassedOverCandidate &Each :
       PassedOver.first(std::min(PassedOver.size(), ShownCandidates))) {
    if (!Text.empty())
      Text += ',';
    Text += Each.Candidate_;
    Text += ':';
    Text += Each.Reason_;
  }
  if (PassedOver.size() > ShownCandidates)
    Text += ",+" + std::to_string(PassedOver.size() - ShownCandidates);
  return Text;
}

void addUnlessEmpty(base::KeyValueLine &Line, std::string_view Key,
                    std::string_view Value) {
  if (!Value.empty())
    Line.add(Key, Value);
}

void addIfKnown(base::KeyValueLine &Line, std::string_view Key,
                std::optional<std::uint32_t> Count) {
  if (Count)
    Line.add(Key, *Count);
}

long long inPercent(double Fraction) {
  constexpr double Percent = 100;
  return std::llround(Fraction * Percent);
}

std::string render(const DecisionRecord &Taken) {
  base::KeyValueLine Line;
  Line.add("event", Taken.Event_).add("request", Taken.Request_.name());
  addUnlessEmpty(Line, "customer", Taken.Customer_.name());
  addUnlessEmpty(Line, "key", Taken.Key_.name());
  addUnlessEmpty(Line, "service", Taken.Service_.name());
  addUnlessEmpty(Line, "rule", Taken.Rule_);
  if (Taken.Object_ != 0)
    Line.add("object", Taken.Object_ % ShownObjects);
  addUnlessEmpty(Line, "region", Taken.Region_.name());
  addUnlessEmpty(Line, "target", Taken.Target_.name());
  addUnlessEmpty(Line, "via", Taken.Host_.name());
  addUnlessEmpty(Line, "forwarded_by", Taken.ForwardedBy_.name());
  addUnlessEmpty(Line, "reason", Taken.Reason_);
  addUnlessEmpty(Line, "passed_over", describe(Taken.PassedOver_));
  if (Taken.Inputs_) {
    constexpr double Tenths = 10;
    Line.add("place", Taken.Inputs_->Place_)
        .add("expected_ms", Taken.Inputs_->ExpectedMs_)
        .add("load_tenths",
             static_cast<std::int64_t>(Taken.Inputs_->Load_ * Tenths))
        .add("load_age_ms", Taken.Inputs_->LoadAgeMs_);
    if (Taken.Inputs_->SpeedPercent_ != 0)
      Line.add("speed_percent", Taken.Inputs_->SpeedPercent_)
          .add("speed_age_ms", Taken.Inputs_->SpeedAgeMs_);
  }
  if (Taken.Targets_)
    Line.add("targets", Taken.Targets_->InUse_)
        .add("ejected", Taken.Targets_->Ejected_)
        .add("probation", Taken.Targets_->OnProbation_);
  if (Taken.Share_)
    Line.add("share", inPercent(Taken.Share_->Fraction_))
        .add("asked", std::llround(Taken.Share_->AskedPerSecond_))
        .add("threshold", inPercent(Taken.Share_->ServedShare_))
        .add("ahead", inPercent(Taken.Share_->Ahead_));
  addIfKnown(Line, "sends", Taken.Sends_);
  addIfKnown(Line, "sends_left", Taken.SendsLeft_);
  addIfKnown(Line, "host_sends", Taken.HostSends_);
  if (Taken.BodyGone_)
    Line.add("body_gone", 1);
  if (Taken.TookMs_ >= 0)
    Line.add("took_ms", Taken.TookMs_);
  if (Taken.TimedOut_)
    Line.add("timed_out", 1);
  if (Taken.Status_ != 0)
    Line.add("status", Taken.Status_);
  addUnlessEmpty(Line, "stated_rate", Taken.StatedRate_);
  addUnlessEmpty(Line, "rest_ms", Taken.StatedRest_);
  if (Taken.StatedLeaving_)
    Line.add("stated_leaving", 1);
  if (Taken.Return_)
    Line.add("retry_after_ms", Taken.Return_->RetryAfterMs_)
        .add("ahead", Taken.Return_->Ahead_)
        .add("retry", Taken.Return_->IsRetry_ ? 1 : 0);
  addUnlessEmpty(Line, "ran", Taken.Ran_);
  Line.add("settings", Taken.SettingsVersion_);
  return maskSecrets(Line.text());
}

std::string withTime(const std::string &Line, base::WallPoint Now) {
  const auto Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(
          Now.time_since_epoch());
  return "unix_us=" + std::to_string(Microseconds.count()) + " " + Line;
}

} // namespace

DecisionLog::DecisionLog(LineSink Sink, std::size_t BoundBytes)
    : Sink_(std::move(Sink)), ShardBoundBytes_(BoundBytes / ShardCount) {}

void DecisionLog::record(const DecisionRecord &Taken, base::WallPoint Now) {
  const std::string Line = render(Taken);
  if (Sink_)
    Sink_(Line);
  remember(Taken.Request_, withTime(Line, Now));
}

std::vector<std::string>
DecisionLog::explain(const base::RequestId &Request) const {
  const std::uint64_t Hash = base::stableHash(Request.name());
  const Shard &Home = Shards_[Hash % ShardCount];
  std::vector<std::string> Lines;
  const std::lock_guard Guard(Home.Lock_);
  for (const Entry &Each : Home.Entries_)
    if (Each.RequestHash_ == Hash)
      Lines.push_back(Each.Line_);
  return Lines;
}

std::size_t DecisionLog::rememberedBytes() const {
  std::size_t Bytes = 0;
  for (const Shard &Each : Shards_) {
    const std::lock_guard Guard(Each.Lock_);
    Bytes += Each.Bytes_;
  }
  return Bytes;
}

std::size_t DecisionLog::costOf(const Entry &Remembered) noexcept {
  return sizeof(Entry) + Remembered.Line_.capacity();
}

void DecisionLog::remember(const base::RequestId &Request, std::string Line) {
  Entry Added{base::stableHash(Request.name()), std::move(Line)};
  Added.Line_.shrink_to_fit();
  Shard &Home = Shards_[Added.RequestHash_ % ShardCount];
  const std::lock_guard Guard(Home.Lock_);
  Home.Bytes_ += costOf(Added);
  Home.Entries_.push_back(std::move(Added));
  while (Home.Bytes_ > ShardBoundBytes_) {
    Home.Bytes_ -= costOf(Home.Entries_.front());
    Home.Entries_.pop_front();
  }
}

} // namespace lychee::reporting
