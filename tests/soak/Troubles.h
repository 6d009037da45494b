#ifndef LYCHEE_TESTS_SOAK_TROUBLES_H
#define LYCHEE_TESTS_SOAK_TROUBLES_H

#include "base/Random.h"
#include "soak/Ledger.h"
#include "support/LiveFleet.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace lychee::soak {

/// Draws troubles by a seed, begins each and ends it. Of one thread.
/// \see Soak
class Troubles {
public:
  /// \param Fleet,Book  outlive this.
  /// \param Targets  how many of the fleet's targets, from the first on, may
  /// have troubles.
  Troubles(tests::LiveFleet &Fleet, Ledger &Book, std::size_t Targets,
           std::uint64_t Seed);
  Troubles(const Troubles &) = delete;
  Troubles &operator=(const Troubles &) = delete;

  /// Lets troubles come and go until \p Until, then ends them all.
  void play(base::TimePoint Until);

  /// Cuts some hosts, not all, from all targets for a while, and nothing else.
  Ledger::Cut cutSomeHosts(base::Duration For);

  /// Does so while all targets are slow, and one of the other hosts is killed
  /// and starts again.
  void cutBesideSlowTargets(base::Duration For);

  /// The key that is in force. Thread-safe.
  std::string key() const;
  /// The key that was withdrawn last; empty before.
  std::string withdrawnKey() const;

  /// The configuration's version that was written last. Thread-safe.
  int version() const;

  /// \returns what was done, in order: "1.2s kill-host-2 ...".
  const std::string &history() const noexcept { return History_; }

private:
  struct Kind {
    const char *Name_;
    /// Begins it with one host or target. \returns what ends it.
    std::function<void()> (Troubles::*Begin_)(std::size_t Which);
    /// Whom it befalls; a host or target has one trouble at a time.
    enum class Victim { Host, Target, Store } Victim_;
  };
  struct Running {
    base::TimePoint End_;
    std::function<void()> Finish_;
    std::string Victim_;
  };

  static const std::vector<Kind> &kinds();
  void beginOne(base::TimePoint Now);
  void startHost(std::size_t Host);
  void recordTrouble(std::size_t Host);
  void endDue(base::TimePoint Now);

  std::function<void()> killHost(std::size_t Host);
  std::function<void()> stopHost(std::size_t Host);
  std::function<void()> pauseHost(std::size_t Host);
  std::function<void()> cutHostFromStore(std::size_t Host);
  std::function<void()> muteStore(std::size_t Host);
  std::function<void()> slowStoreLink(std::size_t Host);
  std::function<void()> resetStoreLink(std::size_t Host);
  std::function<void()> hangTargets(std::size_t Host);
  std::function<void()> resetTargets(std::size_t Host);
  std::function<void()> refuseTargets(std::size_t Host);
  std::function<void()> storeDown(std::size_t Ignored);
  std::function<void()> storeBusy(std::size_t Ignored);
  std::function<void()> storeForgets(std::size_t Ignored);
  std::function<void()> storeRestored(std::size_t Ignored);
  std::function<void()> withdrawKey(std::size_t Ignored);
  std::function<void()> targetLeaves(std::size_t Target);
  std::function<void()> targetDown(std::size_t Target);
  std::function<void()> targetSlow(std::size_t Target);
  std::function<void()> targetCutsAnswers(std::size_t Target);
  std::function<void()> targetAnswersTwice(std::size_t Target);
  std::function<void()> cutTargetLink(std::size_t Target);
  std::function<void()> muteTarget(std::size_t Target);
  std::function<void()> resetTargetLink(std::size_t Target);

  std::function<void()> cutFromTargets(std::size_t Host,
                                       const standins::LinkFaults &Set);
  std::function<void()> setStore(const standins::ObjectFaults &Set);
  std::function<void()> setStoreLink(std::size_t Host,
                                     const standins::LinkFaults &Set);
  std::function<void()> setTargetLink(std::size_t Target,
                                      const standins::LinkFaults &Set);
  std::function<void()> setTarget(std::size_t Target,
                                  const standins::target::Faults &Set);

  tests::LiveFleet &Fleet_;
  Ledger &Book_;
  const std::size_t Targets_;
  base::Random Random_;
  base::TimePoint Start_;
  std::vector<Running> Running_;
  std::string History_;
  mutable std::mutex KeyLock_;
  int Version_ = 1;
  /// Start of the target that came back last.
  std::int64_t TargetStart_ = 1;
  std::string Key_ = "first-key";
  std::string Withdrawn_;
};

} // namespace lychee::soak

#endif
