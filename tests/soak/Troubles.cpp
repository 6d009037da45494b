#include "soak/Troubles.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

namespace lychee::soak {

using base::SystemClock;
using standins::LinkFaults;
using standins::ObjectFaults;
using standins::target::Faults;
using namespace std::chrono_literals;

namespace {

/// Troubles begin so far apart and last so long, drawn evenly; several overlap
/// most of the time.
constexpr double LeastGap = 0.2;
constexpr double MostGap = 0.9;
constexpr double LeastTime = 0.3;
constexpr double MostTime = 3.0;
/// Hosts that are in trouble at once; one at least is left.
constexpr std::size_t SparedHosts = 1;
/// After this long a host that was cut from targets sends all requests itself.
constexpr base::Duration ReturnTime = 4s;
constexpr std::size_t SparedTargets = 1;

} // namespace

Troubles::Troubles(tests::LiveFleet &Fleet, Ledger &Book, std::size_t Targets,
                   std::uint64_t Seed)
    : Fleet_(Fleet), Book_(Book), Targets_(Targets), Random_(Seed),
      Start_(SystemClock::monotonicNow()) {}

const std::vector<Troubles::Kind> &Troubles::kinds() {
  using enum Kind::Victim;
  static const std::vector<Kind> All = {
      {"kill", &Troubles::killHost, Host},
      {"stop", &Troubles::stopHost, Host},
      {"pause", &Troubles::pauseHost, Host},
      {"cut-from-store", &Troubles::cutHostFromStore, Host},
      {"mute-store", &Troubles::muteStore, Host},
      {"slow-store-link", &Troubles::slowStoreLink, Host},
      {"reset-store-link", &Troubles::resetStoreLink, Host},
      {"hang-targets", &Troubles::hangTargets, Host},
      {"reset-targets", &Troubles::resetTargets, Host},
      {"refuse-targets", &Troubles::refuseTargets, Host},
      {"store-down", &Troubles::storeDown, Store},
      {"store-busy", &Troubles::storeBusy, Store},
      {"store-forgets", &Troubles::storeForgets, Store},
      {"store-restored", &Troubles::storeRestored, Store},
      {"withdraw-key", &Troubles::withdrawKey, Store},
      {"leave", &Troubles::targetLeaves, Target},
      {"down", &Troubles::targetDown, Target},
      {"slow", &Troubles::targetSlow, Target},
      {"cut-answers", &Troubles::targetCutsAnswers, Target},
      {"answer-twice", &Troubles::targetAnswersTwice, Target},
      {"cut-link", &Troubles::cutTargetLink, Target},
      {"mute", &Troubles::muteTarget, Target},
      {"reset-link", &Troubles::resetTargetLink, Target},
  };
  return All;
}

void Troubles::play(base::TimePoint Until) {
  base::TimePoint Next = SystemClock::monotonicNow();
  while (SystemClock::monotonicNow() < Until) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    endDue(Now);
    if (Now >= Next) {
      beginOne(Now);
      Next = Now + base::fromSeconds(LeastGap + base::drawUnit(Random_) *
                                                    (MostGap - LeastGap));
    }
    std::this_thread::sleep_for(10ms);
  }
  endDue(base::TimePoint::max());
}

void Troubles::endDue(base::TimePoint Now) {
  for (std::size_t Each = 0; Each < Running_.size();) {
    if (Running_[Each].End_ > Now) {
      ++Each;
      continue;
    }
    const std::function<void()> Finish = std::move(Running_[Each].Finish_);
    Running_.erase(Running_.begin() + static_cast<std::ptrdiff_t>(Each));
    Finish();
  }
}

void Troubles::beginOne(base::TimePoint Now) {
  const Kind &Drawn = kinds()[Random_() % kinds().size()];
  const bool OfHost = Drawn.Victim_ == Kind::Victim::Host;
  const bool OfTarget = Drawn.Victim_ == Kind::Victim::Target;
  const std::size_t Count = OfHost     ? Fleet_.hostCount()
                            : OfTarget ? Targets_
                                       : 1;
  const std::size_t Spared = OfHost     ? SparedHosts
                             : OfTarget ? SparedTargets
                                        : 0;
  const std::size_t Which = Random_() % Count;
  const std::string Class = OfHost ? "host-" : OfTarget ? "target-" : "store-";
  const std::string Victim = Class + std::to_string(Which);
  const auto Busy = static_cast<std::size_t>(
      std::count_if(Running_.begin(), Running_.end(), [&](const Running &Each) {
        return Each.Victim_.starts_with(Class);
      }));
  const bool Taken =
      std::any_of(Running_.begin(), Running_.end(),
                  [&](const Running &Each) { return Each.Victim_ == Victim; });
  const double Time =
      LeastTime + base::drawUnit(Random_) * (MostTime - LeastTime);
  if (Taken || Busy + Spared >= Count)
    return;
  History_ += std::to_string(base::toMilliseconds(Now - Start_)) + "ms " +
              Drawn.Name_ + " " + Victim + " " +
              std::to_string(static_cast<int>(Time * 1000)) + "ms; ";
  Running_.push_back(
      {Now + base::fromSeconds(Time), (this->*Drawn.Begin_)(Which), Victim});
}

// Hosts.

void Troubles::recordTrouble(std::size_t Host) {
  Book_.recordTrouble(Host, SystemClock::monotonicNow());
}

void Troubles::startHost(std::size_t Host) {
  Book_.recordHostStart(SystemClock::monotonicNow());
  recordTrouble(Host);
  Fleet_.startHost(Host);
}

std::function<void()> Troubles::killHost(std::size_t Host) {
  Fleet_.killHost(Host);
  recordTrouble(Host);
  return [this, Host] { startHost(Host); };
}

std::function<void()> Troubles::stopHost(std::size_t Host) {
  Fleet_.host(Host).signal(SIGTERM);
  return [this, Host] {
    Fleet_.host(Host).wait();
    startHost(Host);
  };
}

std::function<void()> Troubles::pauseHost(std::size_t Host) {
  recordTrouble(Host);
  Fleet_.host(Host).signal(SIGSTOP);
  return [this, Host] {
    Fleet_.host(Host).signal(SIGCONT);
    recordTrouble(Host);
  };
}

std::function<void()> Troubles::setStoreLink(std::size_t Host,
                                             const LinkFaults &Set) {
  Fleet_.storeLink(Host).setFaults(Set);
  return [this, Host] { Fleet_.storeLink(Host).setFaults({}); };
}

std::function<void()> Troubles::cutHostFromStore(std::size_t Host) {
  return setStoreLink(Host, {.CutForth_ = true});
}

std::function<void()> Troubles::muteStore(std::size_t Host) {
  return setStoreLink(Host, {.CutBack_ = true});
}

std::function<void()> Troubles::slowStoreLink(std::size_t Host) {
  return setStoreLink(Host, {.Delay_ = 300ms});
}

std::function<void()> Troubles::resetStoreLink(std::size_t Host) {
  Fleet_.storeLink(Host).resetAll();
  return setStoreLink(Host, {.Refuses_ = true});
}

std::function<void()> Troubles::cutFromTargets(std::size_t Host,
                                               const LinkFaults &Set) {
  const base::TimePoint Begin = SystemClock::monotonicNow();
  Fleet_.setTargetLinks(Host, Set);
  return [this, Host, Begin] {
    Fleet_.setTargetLinks(Host, {});
    Book_.recordTrouble(Host, Begin, SystemClock::monotonicNow() + ReturnTime);
  };
}

std::function<void()> Troubles::hangTargets(std::size_t Host) {
  return cutFromTargets(Host, {.Drops_ = true});
}

std::function<void()> Troubles::resetTargets(std::size_t Host) {
  Fleet_.resetTargetLinks(Host);
  return cutFromTargets(Host, {.Refuses_ = true});
}

std::function<void()> Troubles::refuseTargets(std::size_t Host) {
  return cutFromTargets(Host, {.Refuses_ = true});
}

Ledger::Cut Troubles::cutSomeHosts(base::Duration For) {
  using Way = std::function<void()> (Troubles::*)(std::size_t);
  constexpr std::array<Way, 3> Ways = {&Troubles::hangTargets,
                                       &Troubles::resetTargets,
                                       &Troubles::refuseTargets};
  const Way Cut = Ways[Random_() % Ways.size()];
  const std::size_t First = Random_() % Fleet_.hostCount();
  const std::size_t Count = 1 + Random_() % (Fleet_.hostCount() - SparedHosts);
  Ledger::Cut Played;
  Played.Begin_ = SystemClock::monotonicNow();
  std::vector<std::function<void()>> Finish;
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Played.Hosts_.push_back((First + Each) % Fleet_.hostCount());
    Finish.push_back((this->*Cut)(Played.Hosts_.back()));
  }
  History_ += "cut-from-targets " + std::to_string(Count) + " hosts; ";
  std::this_thread::sleep_for(For);
  Played.End_ = SystemClock::monotonicNow();
  for (const auto &Each : Finish)
    Each();
  return Played;
}

void Troubles::cutBesideSlowTargets(base::Duration For) {
  for (std::size_t Each = 0; Each < Targets_; ++Each)
    targetSlow(Each);
  const std::size_t First = Random_() % Fleet_.hostCount();
  const auto Restart = killHost((First + 1) % Fleet_.hostCount());
  const auto Heal = hangTargets(First);
  History_ += "cut-beside-slow-targets host-" + std::to_string(First) + "; ";
  std::this_thread::sleep_for(For / 2);
  Restart();
  std::this_thread::sleep_for(For / 2);
  Heal();
  for (std::size_t Each = 0; Each < Targets_; ++Each)
    Fleet_.target(Each).setFaults({});
}

// The store.

std::function<void()> Troubles::setStore(const ObjectFaults &Set) {
  Fleet_.objects().setFaults(Set);
  return [this] { Fleet_.objects().setFaults({}); };
}

std::function<void()> Troubles::storeDown(std::size_t /*Ignored*/) {
  return setStore({.Down_ = true});
}

std::function<void()> Troubles::storeBusy(std::size_t /*Ignored*/) {
  return setStore({.Busy_ = true});
}

std::function<void()> Troubles::storeForgets(std::size_t /*Ignored*/) {
  Fleet_.objects().setFaults({.Deaf_ = true});
  return [this] {
    Fleet_.objects().forgetHistory();
    Fleet_.objects().setFaults({});
  };
}

std::function<void()> Troubles::storeRestored(std::size_t /*Ignored*/) {
  constexpr double MostAge = 8;
  constexpr double MostRewriteTime = 1.5;
  const base::Duration Age =
      base::fromSeconds(base::drawUnit(Random_) * MostAge);
  const base::Duration Rewrite =
      base::fromSeconds(base::drawUnit(Random_) * MostRewriteTime);
  Fleet_.objects().setFaults({.Down_ = true});
  return [this, Age, Rewrite] {
    Fleet_.objects().restore(Age);
    Fleet_.objects().setFaults({});
    Running_.push_back({SystemClock::monotonicNow() + Rewrite,
                        [this] { Fleet_.objects().writeAgain(); }, "rewrite"});
  };
}

std::function<void()> Troubles::withdrawKey(std::size_t /*Ignored*/) {
  std::string Old;
  {
    const std::lock_guard Guard(KeyLock_);
    Old = std::exchange(Key_, "key-" + std::to_string(++Version_));
    Withdrawn_ = Old;
  }
  Fleet_.writeIntent(Version_, key());
  Book_.withdraw(Old, SystemClock::monotonicNow());
  return [] {};
}

std::string Troubles::key() const {
  const std::lock_guard Guard(KeyLock_);
  return Key_;
}

int Troubles::version() const {
  const std::lock_guard Guard(KeyLock_);
  return Version_;
}

std::string Troubles::withdrawnKey() const {
  const std::lock_guard Guard(KeyLock_);
  return Withdrawn_;
}

// Targets.

std::function<void()> Troubles::setTarget(std::size_t Target,
                                          const Faults &Set) {
  Fleet_.target(Target).setFaults(Set);
  return [this, Target] { Fleet_.target(Target).setFaults({}); };
}

std::function<void()> Troubles::targetLeaves(std::size_t Target) {
  Fleet_.writeEntry(Target, "draining");
  return
      [this, Target] { Fleet_.writeEntry(Target, "ready", 0, ++TargetStart_); };
}

std::function<void()> Troubles::targetDown(std::size_t Target) {
  Faults Set;
  Set.Down_ = true;
  return setTarget(Target, Set);
}

std::function<void()> Troubles::targetSlow(std::size_t Target) {
  Faults Set;
  Set.Slow_ = 700ms;
  return setTarget(Target, Set);
}

std::function<void()> Troubles::targetCutsAnswers(std::size_t Target) {
  Faults Set;
  Set.Cut_ = true;
  return setTarget(Target, Set);
}

std::function<void()> Troubles::targetAnswersTwice(std::size_t Target) {
  Faults Set;
  Set.Duplicate_ = true;
  return setTarget(Target, Set);
}

std::function<void()> Troubles::setTargetLink(std::size_t Target,
                                              const LinkFaults &Set) {
  Fleet_.targetLink(Target).setFaults(Set);
  return [this, Target] { Fleet_.targetLink(Target).setFaults({}); };
}

std::function<void()> Troubles::cutTargetLink(std::size_t Target) {
  return setTargetLink(Target, {.CutForth_ = true});
}

std::function<void()> Troubles::muteTarget(std::size_t Target) {
  return setTargetLink(Target, {.CutBack_ = true});
}

std::function<void()> Troubles::resetTargetLink(std::size_t Target) {
  Fleet_.targetLink(Target).resetAll();
  return [] {};
}

} // namespace lychee::soak
