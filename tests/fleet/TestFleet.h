#ifndef LYCHEE_TESTS_FLEET_TESTFLEET_H
#define LYCHEE_TESTS_FLEET_TESTFLEET_H

#include "base/Hash.h"
#include "base/SystemClock.h"
#include "fleet/FleetNode.h"
#include "fleet/PeerServer.h"
#include "settings/SettingsRoot.h"
#include "store/GuardedStore.h"
#include "store/HttpStore.h"
#include "store/StandinStore.h"
#include "support/IoThreads.h"

#include <memory>
#include <string>
#include <vector>

namespace lychee::tests {

/// Leases and intervals much shorter than in production, so that tests see
/// leases expire.
inline fleet::LeaseTiming shortLeaseTiming() {
  fleet::LeaseTiming Timing;
  Timing.Ttl_ = std::chrono::milliseconds(2000);
  Timing.HeartbeatInterval_ = std::chrono::milliseconds(100);
  Timing.RenewalInterval_ = std::chrono::milliseconds(200);
  Timing.RelayTimeout_ = std::chrono::milliseconds(600);
  Timing.MaxPause_ = std::chrono::milliseconds(200);
  return Timing;
}

/// One host of a test fleet, with its own listener, client and store adapter.
struct TestHost {
  TestHost(IoThreads &Io, std::uint16_t StorePort, const std::string &Name,
           const std::string &Zone, std::vector<std::string> Seeds)
      : Authenticator_("0123456789abcdef0123456789abcdef"),
        Client_(Io.executor(), base::HostId(Name), Authenticator_,
                base::stableHash(Name)),
        HttpStore_(Io.executor(), {"127.0.0.1", StorePort, Name,
                                   std::chrono::milliseconds(500)}),
        Store_(HttpStore_, 200),
        Server_(Io.executor(), {}, Handlers_, Authenticator_) {
    base::Error Last;
    Server_.listen(Last);
    Peer_ = "127.0.0.1:" + std::to_string(Server_.port());
    fleet::FleetNodeOptions Options;
    Options.Zone_ = base::ZoneId(Zone);
    Options.Self_.Host_ = base::HostId(Name);
    Options.Self_.PeerAddress_ = Peer_;
    Options.Self_.Incarnation_ = static_cast<std::uint64_t>(
        base::SystemClock::wallNow().time_since_epoch().count());
    Options.SeedPeers_ = std::move(Seeds);
    Options.LeaseTiming_ = shortLeaseTiming();
    Options.RandomSeed_ = base::stableHash(Name);
    Node_ = std::make_unique<fleet::FleetNode>(Io.context(), Store_, Client_,
                                               Handlers_, std::move(Options),
                                               fleet::FleetListeners{});
    Node_->start();
  }

  /// Stops without leaving, as a killed process does.
  void kill() {
    Node_->stop();
    Server_.stop();
    Running_ = false;
  }

  bool mayAct() const {
    return Node_->leaseGuard().check(base::SystemClock::monotonicNow(),
                                     Node_->leaseGuard().epoch()) ==
           fleet::LeaseState::Valid;
  }

  /// \returns true if the settings are known to be at most \p Bound old.
  bool isFresh(base::Duration Bound) const {
    const auto Age = Node_->settingsAge(base::SystemClock::monotonicNow());
    return Age && *Age <= Bound;
  }

  fleet::PeerAuthenticator Authenticator_;
  fleet::PeerClient Client_;
  store::HttpStore HttpStore_;
  store::GuardedStore Store_;
  fleet::RpcDispatcher Handlers_;
  fleet::PeerServer Server_;
  std::unique_ptr<fleet::FleetNode> Node_;
  std::string Peer_;
  bool Running_ = true;
};

/// Hosts in one process that communicate over 127.0.0.1, and the stand-in
/// store.
class TestFleet {
public:
  TestFleet() : Standin_(Io_.executor(), {}) {
    base::Error Last;
    Standin_.listen(Last);
  }
  ~TestFleet() {
    for (const auto &Host : Hosts_)
      Host->Node_->stop();
    Io_.stop();
  }
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;

  TestHost &add(const std::string &Name, const std::string &Zone) {
    std::vector<std::string> Seeds;
    if (!Hosts_.empty())
      Seeds.push_back(Hosts_.front()->Peer_);
    Hosts_.push_back(std::make_unique<TestHost>(Io_, Standin_.port(), Name,
                                                Zone, std::move(Seeds)));
    return *Hosts_.back();
  }

  TestHost &host(std::size_t Index) { return *Hosts_.at(Index); }
  standins::StandinStore &store() { return Standin_; }
  IoThreads &io() { return Io_; }

  template <typename Predicate> bool allRunning(Predicate Holds) {
    for (const auto &Host : Hosts_)
      if (Host->Running_ && !Holds(*Host))
        return false;
    return true;
  }

  template <typename Predicate> bool waitForAll(Predicate Holds) {
    return waitFor([&] { return allRunning(Holds); });
  }

  /// \returns true once every running host knows a fleet of \p Count hosts and
  /// holds its lease.
  bool settle(std::size_t Count) {
    return waitForAll([Count](const TestHost &Host) {
      return Host.Node_->directory().hostCount() == Count && Host.mayAct();
    });
  }

  /// Writes version \p Version of the settings as an operator's change.
  /// \returns the result of the write.
  store::PutResult write(TestHost &Writer, std::uint64_t Version,
                         const std::string &Document) {
    settings::SettingsRoot Root;
    Root.Version_ = Version;
    const std::string Hash = base::sha256Hex(Document);
    Root.Documents_["team/a.ini"] = Hash;
    const std::string Text = settings::encodeRoot(Root);
    base::Error Last;
    Io_.run(Writer.Store_.put(settings::chunkPath(Hash), Document, 0, Last));
    const store::PutResult Result = Io_.run(Writer.Store_.put(
        settings::SettingsRoot::Path, Text, Version - 1, Last));
    if (Result.Status_ == store::PutStatus::Written)
      Writer.Node_->notifySettingsWritten(Result.Version_, Text,
                                          {{Hash, Document}});
    return Result;
  }

private:
  IoThreads Io_;
  standins::StandinStore Standin_;
  std::vector<std::unique_ptr<TestHost>> Hosts_;
};

} // namespace lychee::tests

#endif
