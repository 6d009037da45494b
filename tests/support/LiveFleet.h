#ifndef LYCHEE_TESTS_SUPPORT_LIVEFLEET_H
#define LYCHEE_TESTS_SUPPORT_LIVEFLEET_H

#include "link/LoopbackProxy.h"
#include "platform/StandinObjects.h"
#include "standins/target/TargetServer.h"
#include "support/ChildProcess.h"
#include "support/HttpCall.h"

#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lychee::tests {

/// How large a fleet is, and on which addresses of 127.0.0.0/8.
struct LiveFleetSize {
  /// First three parts of each address, with a dot at the end.
  std::string Base_;
  std::size_t Hosts_ = 2;
  std::size_t Targets_ = 2;
  /// Each host reaches the store, and all hosts a target, through a proxy.
  bool HasProxies_ = false;
  /// One more argument of each host.
  std::optional<std::string> Argument_ = std::nullopt;
};

/// Real hosts on the stand-in of the users' platform, with targets in this
/// process. One customer "parish"; requests to /x/ may be repeated, those to
/// /y/ may not, those to /z/ may, but on one target only, and those to /w/ may
/// and take up to 4 s.
/// \see TestFleet, hosts of the operators' own tree
class LiveFleet {
public:
  /// Targets that one attempt at /x/ or /y/ may be sent to.
  static constexpr std::size_t MostTargets = 2;

  explicit LiveFleet(LiveFleetSize Size);
  LiveFleet(const LiveFleet &) = delete;
  LiveFleet &operator=(const LiveFleet &) = delete;
  ~LiveFleet();

  // Parts.

  standins::StandinObjects &objects() noexcept { return *Objects_; }
  standins::target::TargetServer &target(std::size_t Index) {
    return *Targets_[Index];
  }
  standins::LoopbackProxy &storeLink(std::size_t Host) {
    return *StoreLinks_[Host];
  }
  standins::LoopbackProxy &targetLink(std::size_t Target) {
    return *TargetLinks_[Target];
  }
  ChildProcess &host(std::size_t Index) { return *Hosts_[Index]; }
  std::size_t hostCount() const noexcept { return Size_.Hosts_; }
  std::size_t targetCount() const noexcept { return Size_.Targets_; }

  // Actions.

  /// Starts a host, or starts it again.
  void startHost(std::size_t Index);
  /// Cuts links between a host and all targets, or heals them: one fault for
  /// all of its links. Needs proxies.
  void setTargetLinks(std::size_t Host, const standins::LinkFaults &Set);
  /// Resets the host's open connections to all targets.
  void resetTargetLinks(std::size_t Host);
  /// Kills a host without a word.
  void killHost(std::size_t Index) { Hosts_[Index].reset(); }
  /// Puts a configuration in force, in which \p Key is the customer's.
  /// \param MoreRules  that are there beside those for /x/ and /y/.
  /// \returns how many bytes it takes as JSON.
  std::size_t writeIntent(int Version, const std::string &Key,
                          std::size_t MoreRules = 0);
  /// \returns the configuration that writeIntent() writes.
  static Json::Value makeIntent(int Version, const std::string &Key,
                                std::size_t MoreRules = 0);
  /// Writes a target's entry. \p State  "ready" or "draining".
  /// \param Start  Unix millisecond of the target's start.
  void writeEntry(std::size_t Target, const std::string &State,
                  int ColdMilliseconds = 0, std::int64_t Start = 1);

  // What is seen from outside.

  std::string callers(std::size_t Host) const { return at(Host, 7001); }
  /// IP from which the host connects to targets.
  std::string source(std::size_t Host) const;
  bool isReady(std::size_t Host) const;
  /// \param Id  of the request; targets count arrivals by it.
  /// \param Path  of the request. \see LiveFleet
  CallerAnswer ask(std::size_t Host, const std::string &Key,
                   const std::string &Id = "r1",
                   const std::string &Path = "/x/1") const;
  std::string resolve(std::size_t Host) const;
  std::string log(std::size_t Host) const;
  std::string metrics(std::size_t Host) const;
  /// \returns the value of a series; nothing where the host does not show it.
  std::optional<double> metric(std::size_t Host,
                               const std::string &Series) const;
  /// \returns whether none of a few requests to all hosts reached the target.
  bool getsNothing(std::size_t Target, const std::string &Key);

private:
  std::string at(std::size_t Host, int Port) const;
  std::string logPath(std::size_t Host) const;

  const LiveFleetSize Size_;
  std::string Folder_;
  std::unique_ptr<standins::StandinObjects> Objects_;
  std::vector<std::unique_ptr<standins::target::TargetServer>> Targets_;
  std::vector<std::unique_ptr<standins::LoopbackProxy>> StoreLinks_;
  std::vector<std::unique_ptr<standins::LoopbackProxy>> TargetLinks_;
  std::vector<std::unique_ptr<ChildProcess>> Hosts_;
};

} // namespace lychee::tests

#endif
