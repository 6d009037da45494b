#include "lycheed/LiveFeed.h"

#include "base/SystemClock.h"
#include "platform/IntentDecoder.h"
#include "platform/Names.h"
#include "platform/TargetDecoder.h"
#include "reporting/Log.h"

#include <boost/asio/co_spawn.hpp>

namespace lychee::daemon {

using base::KeyValueLine;
using base::SystemClock;
using reporting::LogLevel;

namespace {

/// Each watch that ends is a call that is paid for, so they last; a connection
/// that falls silent is noticed by probes of its own. The intent is asked for
/// more often: its keys must be known to be fresh within 5 s, and a call that
/// is lost must leave time for another.
///
/// Others of the region are heard with the second heartbeat, 500 ms after the
/// first, and asked within 300 ms; a watch of each kind by each host that
/// starts is a call for nothing.
constexpr std::chrono::milliseconds StartRest(1200);
constexpr live::FollowerTimings LongPace{.Watch_ = std::chrono::seconds(20),
                                         .MaxBackoff_ = std::chrono::seconds(3),
                                         .BatchDelay_ =
                                             std::chrono::milliseconds(500),
                                         .StartupDelay_ = StartRest};
/// After trouble the intent is also what asks often; the others come with it.
live::FollowerTimings intentPace(const relaying::FreshnessTimeouts &Pace) {
  return {.Watch_ = Pace.Watch_,
          .WatchGrace_ = Pace.WatchGrace_,
          .MaxBackoff_ = std::chrono::milliseconds(500),
          .StartupDelay_ = StartRest};
}

/// A call begun so shortly before another failed is no older than the trouble.
constexpr base::Duration FreshCall = std::chrono::seconds(1);

/// Position in the list of followers.
constexpr std::size_t TargetFollower = 1;

constexpr base::Duration IgnoredListLogInterval = std::chrono::seconds(1);
constexpr base::Duration UnreadableLogInterval = std::chrono::seconds(1);

std::string_view reasonOf(live::TargetKept Kept) {
  switch (Kept) {
  case live::TargetKept::StoreFailed:
    return "store-failed";
  case live::TargetKept::Leaving:
    return "leaving";
  case live::TargetKept::LaterStart:
    return "later-start";
  case live::TargetKept::Gone:
    return "gone";
  case live::TargetKept::Missing:
    break;
  }
  return "missing";
}

void logKept(const live::KeptTarget &Kept) {
  KeyValueLine Line;
  Line.add("event", "target-kept")
      .add("target", Kept.Target_.name())
      .add("reason", reasonOf(Kept.Reason_));
  if (Kept.For_)
    Line.add("for_ms", base::toMilliseconds(*Kept.For_));
  reporting::logLine(LogLevel::Info, Line);
}

void logIntentFaults(std::string_view Event, const live::StoredObject &Entry,
                     std::size_t Count, const base::Error &First) {
  reporting::logLine(LogLevel::Error,
                     KeyValueLine()
                         .add("event", Event)
                         .add("revision", Entry.Revision_.Number_)
                         .add("count", Count)
                         .add("where", First.Peer_)
                         .add("reason", First.Reason_));
}

/// Empty where a listed host tells none.
std::string regionOf(const Json::Value &Content) {
  return Content["region"].isString() ? Content["region"].asString() : "";
}

} // namespace

LiveFeed::LiveFeed(const LiveFeedParts &Parts, std::uint64_t Seed)
    : Parts_(Parts), Intents_(Parts.Intents_), Targets_(Parts.DrainBound_),
      Random_(Seed) {
  live::FollowerCallbacks Intent;
  Intent.Changed_ = [this](auto Heard) { takeIntent(Heard); };
  Intent.Confirmed_ = [this](base::TimePoint Moment) {
    Intents_.confirm(Moment);
  };
  live::FollowerCallbacks Targets;
  Targets.Changed_ = [this](auto Heard) { takeTargets(Heard); };
  live::FollowerCallbacks Zones;
  Zones.Changed_ = [this](auto Heard) { takeEvacuations(Heard); };
  live::FollowerCallbacks Hosts;
  Hosts.Changed_ = [this](auto Heard) { takeHosts(Heard); };
  Followers_.push_back(
      follow(platform::IntentKind, intentPace(Parts.Pace_), Intent));
  Followers_.push_back(follow(platform::TargetKind, LongPace, Targets));
  Followers_.push_back(follow(platform::EvacuationKind, LongPace, Zones));
  Followers_.push_back(follow(platform::HostKind, LongPace, Hosts));
}

std::unique_ptr<live::ObjectFollower>
LiveFeed::follow(std::string_view Kind, const live::FollowerTimings &Pace,
                 live::FollowerCallbacks Heard) {
  Heard.MustReadStore_ = [this](base::TimePoint Now) {
    return Parts_.Role_.mustReadStore(Now);
  };
  Heard.BackoffFactor_ = [this](base::TimePoint Now) {
    return Parts_.Role_.backoffFactor(Now);
  };
  Heard.Succeeded_ = [this, Kind] {
    Parts_.Role_.noteSuccess();
    Parts_.Gauges_.countStoreCall(std::string(Kind), true);
  };
  Heard.Trouble_ = [this, Kind](const base::Error &Why) {
    noteTrouble(Kind, Why);
  };
  Heard.Rejected_ = [this, Kind](const base::Error &Why) {
    noteRejection(Kind, Why);
  };
  Heard.WatchCut_ = [this, Kind](const base::Error &Why) {
    noteWatchCut(Kind, Why);
  };
  Heard.Listed_ = [Kind](const live::ObjectBatch &List) {
    logList(Kind, List);
  };
  Heard.Unreadable_ = [this, Kind](const live::UnreadableEntries &Entries) {
    noteUnreadable(Kind, Entries, SystemClock::monotonicNow());
  };
  Heard.ListIgnored_ = [this, Kind](const live::ObjectBatch &List,
                                    live::StoreRevision Known) {
    noteIgnoredList(Kind, List, Known, SystemClock::monotonicNow());
  };
  Heard.EraSeen_ = [this](std::uint64_t Era) {
    noteEra(Era, SystemClock::monotonicNow());
  };
  Heard.Restored_ = [Kind](const live::RestoreReport &Done) {
    logRestore(Kind, Done);
  };
  return std::make_unique<live::ObjectFollower>(Parts_.Source_, Recovered_,
                                                std::string(Kind), Pace,
                                                std::move(Heard), Random_());
}

void LiveFeed::start(const boost::asio::any_io_executor &Executor) {
  for (const auto &Each : Followers_)
    boost::asio::co_spawn(Executor, Each->run(),
                          [](const std::exception_ptr &Thrown) {
                            reporting::logThrown("follow-failed", Thrown);
                          });
}

void LiveFeed::noteTrouble(std::string_view Kind, const base::Error &Why) {
  const base::TimePoint Now = SystemClock::monotonicNow();
  noteRejection(Kind, Why);
  Targets_.noteTrouble(Now);
  // A store that goes silent answers none of the calls it has, and a long one
  // would wait for its end. What one call noticed counts for all.
  Parts_.Source_.cancelStartedBefore(Now - FreshCall);
}

/// The store answers, so targets do not lapse unseen and other calls go on.
void LiveFeed::noteRejection(std::string_view Kind, const base::Error &Why) {
  Parts_.Role_.noteTrouble(SystemClock::monotonicNow());
  Parts_.Gauges_.countStoreCall(std::string(Kind), false);
  reporting::logLine(LogLevel::Warning, KeyValueLine()
                                            .add("event", "store-trouble")
                                            .add("kind", Kind)
                                            .add("step", Why.Step_)
                                            .add("reason", Why.Reason_));
}

void LiveFeed::noteWatchCut(std::string_view Kind, const base::Error &Why) {
  Parts_.Gauges_.countWatchCut(std::string(Kind));
  reporting::logLine(LogLevel::Info, KeyValueLine()
                                         .add("event", "store-watch-cut")
                                         .add("kind", Kind)
                                         .add("reason", Why.Reason_));
}

void LiveFeed::logList(std::string_view Kind, const live::ObjectBatch &List) {
  reporting::logLine(
      LogLevel::Info,
      KeyValueLine()
          .add("event", "store-listed")
          .add("kind", Kind)
          .add("pages", List.Pages_)
          .add("entries", List.Objects_.size())
          .add("last", List.Objects_.empty() ? "" : List.Objects_.back().Name_)
          .add("revision", List.Revision_.Number_)
          .add("era", List.Revision_.Era_));
}

void LiveFeed::noteUnreadable(std::string_view Kind,
                              const live::UnreadableEntries &Entries,
                              base::TimePoint Now) {
  Parts_.Gauges_.countUnreadable(std::string(Kind), Entries.Count_);
  base::TimePoint &Logged = UnreadableLoggedAt_[std::string(Kind)];
  if (Now - Logged < UnreadableLogInterval)
    return;
  Logged = Now;
  reporting::logLine(LogLevel::Warning, KeyValueLine()
                                            .add("event", "entries-unreadable")
                                            .add("kind", Kind)
                                            .add("count", Entries.Count_)
                                            .add("first", Entries.Name_)
                                            .add("reason", Entries.Reason_));
}

void LiveFeed::noteIgnoredList(std::string_view Kind,
                               const live::ObjectBatch &List,
                               live::StoreRevision Known, base::TimePoint Now) {
  Parts_.Gauges_.countIgnoredList(std::string(Kind));
  base::TimePoint &Logged = IgnoredListLoggedAt_[std::string(Kind)];
  if (Now - Logged < IgnoredListLogInterval)
    return;
  Logged = Now;
  reporting::logLine(LogLevel::Warning,
                     KeyValueLine()
                         .add("event", "store-list-ignored")
                         .add("kind", Kind)
                         .add("revision", List.Revision_.Number_)
                         .add("era", List.Revision_.Era_)
                         .add("known", Known.Number_)
                         .add("known_era", Known.Era_));
}

std::uint64_t LiveFeed::storeEra() const noexcept {
  std::uint64_t Era = NotedEra_;
  for (const auto &Each : Followers_)
    Era = std::max(Era, Each->revision().Era_);
  return Era;
}

void LiveFeed::noteEra(std::uint64_t Era, base::TimePoint Now) {
  const std::uint64_t Known = storeEra();
  const bool KnowsNothing = Followers_.front()->revision().Number_ == 0;
  if (Era <= Known || KnowsNothing)
    return;
  NotedEra_ = Era;
  Parts_.Gauges_.countStoreRestore();
  reporting::logLine(LogLevel::Warning, KeyValueLine()
                                            .add("event", "store-era-changed")
                                            .add("from", Known)
                                            .add("to", Era));
  Targets_.noteTrouble(Now);
  Targets_.noteRestore(Now);
  Evacuations_.noteRestore(Now);
  for (const auto &Each : Followers_)
    Each->noteEra(Era);
  // Calls that began before may speak of the earlier era, or hang.
  Parts_.Source_.cancelStartedBefore(Now);
}

void LiveFeed::logRestore(std::string_view Kind,
                          const live::RestoreReport &Done) {
  reporting::logLine(LogLevel::Warning,
                     KeyValueLine()
                         .add("event", "store-compared")
                         .add("kind", Kind)
                         .add("revision", Done.After_.Number_)
                         .add("era", Done.After_.Era_)
                         .add("known", Done.Before_.Number_)
                         .add("known_era", Done.Before_.Era_)
                         .add("different", Done.Different_)
                         .add("missing", Done.Missing_));
}

relaying::RelayRequest LiveFeed::question(base::TimePoint Now) const {
  relaying::RelayRequest Asked;
  Asked.StoreUnavailable_ = Parts_.Role_.isInTrouble(Now);
  for (const auto &Each : Followers_)
    Asked.Known_[Each->kind()] = Each->revision();
  return Asked;
}

live::ObjectUpdate LiveFeed::newsFor(const live::ObjectFollower &Told,
                                     live::StoreRevision Since, bool Refused,
                                     base::TimePoint Now) {
  const std::size_t Bytes = Told.updateBytesSince(Since);
  const bool Whole = Copies_.tryAcquire(Bytes, Refused, Now);
  if (!Whole)
    reporting::logLine(LogLevel::Info, KeyValueLine()
                                           .add("event", "change-left-out")
                                           .add("kind", Told.kind())
                                           .add("since", Since.Number_)
                                           .add("since_era", Since.Era_)
                                           .add("bytes", Bytes)
                                           .add("refused", Refused ? 1 : 0));
  return Told.updateSince(Since, Whole, Now);
}

relaying::RelayResponse LiveFeed::answer(const relaying::RelayRequest &Asked,
                                         base::TimePoint Now) {
  for (const auto &[Kind, Known] : Asked.Known_)
    noteEra(Known.Era_, Now);
  relaying::RelayResponse Told;
  Told.IsSynced_ = !Parts_.Role_.isInTrouble(Now);
  if (const auto Trouble = Parts_.Role_.lastTrouble())
    Told.TroubleAge_ = Now - *Trouble;
  if (const auto Contact = Followers_.front()->contact())
    Told.ContactAge_ = Now - *Contact;
  for (const auto &Each : Followers_) {
    Told.IsSynced_ = Told.IsSynced_ && Each->isSynced();
    const auto Known = Asked.Known_.find(Each->kind());
    if (Known != Asked.Known_.end())
      Told.Updates_.push_back(
          newsFor(*Each, Known->second, Asked.StoreUnavailable_, Now));
  }
  return Told;
}

void LiveFeed::take(const relaying::RelayResponse &Told,
                    base::TimePoint AskedAt, base::TimePoint Now) {
  if (Told.TroubleAge_)
    Targets_.noteTrouble(AskedAt - *Told.TroubleAge_);
  for (const live::ObjectUpdate &News : Told.Updates_)
    noteEra(News.Changes_.Revision_.Era_, Now);
  for (const live::ObjectUpdate &News : Told.Updates_)
    for (const auto &Each : Followers_)
      if (Each->kind() == News.Kind_)
        Each->applyUpdate(News, Told.IsSynced_, AskedAt, Now);
}

void LiveFeed::takeIntent(std::span<const live::StoredObject> Heard) {
  for (const live::StoredObject &Each : Heard) {
    if (Each.Name_ != platform::IntentName)
      continue;
    const base::TimePoint Begun = SystemClock::monotonicNow();
    base::Error Why{"store", Each.Name_, "was deleted"};
    const auto Read = Each.Deleted_
                          ? std::nullopt
                          : platform::decodeIntent(Each.Content_, Why);
    Parts_.Gauges_.setIntentFaults(!Read, Read ? Read->Faults_.Count_ : 0);
    if (!Read) {
      Intents_.noteUnreadable();
      logIntentFaults("intent-refused", Each, 1, Why);
      continue;
    }
    if (Read->Faults_.Count_ > 0)
      logIntentFaults("intent-rows-unreadable", Each, Read->Faults_.Count_,
                      Read->Faults_.First_);
    const auto Fresh = std::make_shared<const live::Intent>(*Read);
    const bool Newer = Intents_.offer(Fresh, Begun);
    if (Newer)
      applyIntent(Fresh);
    const base::Duration Took = SystemClock::monotonicNow() - Begun;
    reporting::logLine(
        LogLevel::Info,
        KeyValueLine()
            .add("event", Newer ? "intent-in-force" : "intent-old")
            .add("version", Fresh->Version_)
            .add("revision", Each.Revision_.Number_)
            .add("restored", Each.Restored_ ? 1 : 0)
            .add("rules", Fresh->Routes_.size())
            .add("took_ms", base::toMilliseconds(Took)));
  }
}

void LiveFeed::applyIntent(const std::shared_ptr<const live::Intent> &Fresh) {
  const base::TimePoint Now = SystemClock::monotonicNow();
  Parts_.Steering_.setIntent(Fresh, Now);
  const live::CallerBounds &Bounds = Fresh->Callers_;
  // Callers reuse connections up to the time that operators state, so this
  // side keeps them a little longer.
  constexpr base::Duration Longer = std::chrono::seconds(2);
  Parts_.Gateway_.setCallerLimits({Bounds.HeaderBytes_, Bounds.BodyBytes_,
                                   Bounds.HeaderTimeout_,
                                   Bounds.IdleTimeout_ + Longer});
  pushTargets(Now);
}

void LiveFeed::takeTargets(std::span<const live::StoredObject> Heard) {
  const base::TimePoint Now = SystemClock::monotonicNow();
  std::vector<live::TargetChange> Changes;
  Changes.reserve(Heard.size());
  const base::Duration SeenAge =
      Now - Followers_[TargetFollower]->confirmedAt().value_or(Now);
  for (const live::StoredObject &Each : Heard) {
    Changes.push_back(readTarget(Each, SeenAge));
    Changes.back().Restored_ = Each.Restored_;
  }
  for (const live::KeptTarget &Kept : Targets_.apply(Changes, Now))
    logKept(Kept);
  HasTargets_ = true;
  expire(Now);
}

/// An entry that cannot be read names no target to use.
live::TargetChange LiveFeed::readTarget(const live::StoredObject &Entry,
                                        base::Duration SeenAge) {
  const base::TargetId Target(Entry.Name_);
  if (Entry.Deleted_) {
    reporting::logLine(LogLevel::Info,
                       KeyValueLine()
                           .add("event", "target-gone")
                           .add("target", Entry.Name_)
                           .add("restored", Entry.Restored_ ? 1 : 0)
                           .add("seen_ms_ago", base::toMilliseconds(SeenAge))
                           .add("revision", Entry.Revision_.Number_));
    return {Target, std::nullopt};
  }
  base::Error Why;
  auto Read = platform::decodeTarget(Entry.Name_, Entry.Content_, Why);
  if (!Read) {
    reporting::logLine(LogLevel::Warning,
                       KeyValueLine()
                           .add("event", "target-entry-refused")
                           .add("target", Entry.Name_)
                           .add("reason", Why.Reason_));
    return {Target, std::nullopt};
  }
  reporting::logLine(
      LogLevel::Info,
      KeyValueLine()
          .add("event", Read->Leaving_ ? "target-leaving" : "target-seen")
          .add("target", Entry.Name_)
          .add("service", Read->Service_.name())
          .add("zone", Read->Zone_.name())
          .add("start", Read->Started_)
          .add("cold_ms", base::toMilliseconds(Read->ColdLeft_))
          .add("restored", Entry.Restored_ ? 1 : 0)
          .add("revision", Entry.Revision_.Number_));
  return {Target, std::move(Read)};
}

void LiveFeed::takeEvacuations(std::span<const live::StoredObject> Heard) {
  const base::TimePoint Now = SystemClock::monotonicNow();
  for (const live::StoredObject &Each : Heard) {
    const bool IsKept = Evacuations_.set(base::ZoneId(Each.Name_),
                                         !Each.Deleted_, Each.Restored_, Now);
    reporting::logLine(
        LogLevel::Info,
        KeyValueLine()
            .add("event", Each.Deleted_ ? "zone-taken-back" : "zone-evacuated")
            .add("zone", Each.Name_)
            .add("restored", Each.Restored_ ? 1 : 0)
            .add("waits", IsKept ? 1 : 0)
            .add("revision", Each.Revision_.Number_));
  }
  HasEvacuations_ = true;
  pushEvacuations(Now);
}

void LiveFeed::pushEvacuations(base::TimePoint Now) {
  if (Evacuations_.takeChanged())
    Parts_.Steering_.setEvacuated(Evacuations_.zones(), Now);
}

void LiveFeed::takeHosts(std::span<const live::StoredObject> Heard) {
  bool IsRestored = false;
  for (const live::StoredObject &Each : Heard) {
    IsRestored = IsRestored || Each.Restored_;
    if (Each.Deleted_ || !Each.Content_.isObject() ||
        !Each.Content_["address"].isString())
      Listed_.erase(Each.Name_);
    else
      Listed_[Each.Name_] = {Each.Content_["address"].asString(),
                             base::RegionId(regionOf(Each.Content_))};
  }
  std::vector<members::ListedHost> Hosts;
  Hosts.reserve(Listed_.size());
  for (const auto &[Name, Host] : Listed_)
    Hosts.push_back(Host);
  Parts_.Hosts_.setListed(Hosts);
  if (IsRestored && !Listed_.contains(Parts_.Hosts_.self().Host_.name()))
    Parts_.OnUnlisted_();
}

void LiveFeed::expire(base::TimePoint Now) {
  Targets_.expire(Now);
  if (Targets_.takeChanged())
    pushTargets(Now);
  Evacuations_.expire(Now);
  pushEvacuations(Now);
}

void LiveFeed::pushTargets(base::TimePoint Now) {
  const std::vector<live::KnownTarget> All = Targets_.targets();
  Parts_.Steering_.setTargets(All, Parts_.Zones_, Now);
  const std::shared_ptr<const live::Intent> Current = Intents_.current();
  const std::size_t Hosts = Parts_.Hosts_.shareHolders(Now);
  std::vector<gateway::TargetEntry> Entries;
  for (const live::KnownTarget &Each : All) {
    gateway::TargetEntry Entry;
    Entry.Target_ = Each.Record_.Id_;
    Entry.Service_ = Each.Record_.Service_;
    Entry.Address_ = Each.Record_.Address_;
    Entry.ConnectionLimit_ = gateway::TargetPools::UnknownTargetLimit;
    if (Current)
      if (const auto Rule = Current->Services_.find(Entry.Service_);
          Rule != Current->Services_.end())
        Entry.ConnectionLimit_ = std::max<std::uint32_t>(
            Entry.ConnectionLimit_, Rule->second.ConnectionLimit_ /
                                        static_cast<std::uint32_t>(Hosts + 1));
    Entries.push_back(std::move(Entry));
  }
  Parts_.Gateway_.setTargets(Entries);
}

} // namespace lychee::daemon
