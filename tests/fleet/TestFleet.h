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

/// Leases a tenth as long as in service, so that a test sees them end.
inline fleet::LeaseTiming shortTerms() {
  fleet::LeaseTiming Terms;
  Terms.Ttl_ = std::chrono::milliseconds(2000);
  Terms.HeartbeatInterval_ = std::chrono::milliseconds(100);
  Terms.RenewalInterval_ = std::chrono::milliseconds(200);
  Terms.RelayTimeout_ = std::chrono::milliseconds(600);
  Terms.MaxPause_ = std::chrono::milliseconds(200);
  return Terms;
}

/// One host of a test fleet, with listener, client and adapter of its own.
struct TestHost {
  TestHost(IoThreads &Io, std::uint16_t StorePort, const std::string &Name,
           const std::string &Zone, std::vector<std::string> Seeds)
      : Authenticator_("0123456789abcdef0123456789abcdef"),
        Client_(Io.executor(), base::HostId(Name), Authenticator_,
                base::stableHash(Name)),
        Inner_(Io.executor(),
               {"127.0.0.1", StorePort, Name, std::chrono::milliseconds(500)}),
        Store_(Inner_, 200),
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
    Options.LeaseTiming_ = shortTerms();
    Options.RandomSeed_ = base::stableHash(Name);
    Node_ = std::make_unique<fleet::FleetNode>(Io.context(), Store_, Client_,
                                               Handlers_, std::move(Options),
                                               fleet::FleetListeners{});
    Node_->start();
  }

  /// Falls silent at once, as a killed process does.
  void kill() {
    Node_->stop();
    Server_.stop();
    Alive_ = false;
  }

  bool mayAct() const {
    return Node_->leaseGuard().check(base::SystemClock::monotonicNow(),
                                     Node_->leaseGuard().epoch()) ==
           fleet::LeaseState::Valid;
  }

  /// \returns true where the settings are known fresh within \p Bound.
  bool isFresh(base::Duration Bound) const {
    const auto Age = Node_->settingsAge(base::SystemClock::monotonicNow());
    return Age && *Age <= Bound;
  }

  fleet::PeerAuthenticator Authenticator_;
  fleet::PeerClient Client_;
  store::HttpStore Inner_;
  store::GuardedStore Store_;
  fleet::RpcDispatcher Handlers_;
  fleet::PeerServer Server_;
  std::unique_ptr<fleet::FleetNode> Node_;
  std::string Peer_;
  bool Alive_ = true;
};

/// Hosts in one process that talk over 127.0.0.1, and the stand-in store.
class TestFleet {
public:
  TestFleet() : Standin_(Io_.executor(), {}) {
    base::Error Last;
    Standin_.listen(Last);
  }
  ~TestFleet() {
    for (const auto &Each : Hosts_)
      Each->Node_->stop();
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

  template <typename Predicate> bool eachLiving(Predicate Holds) {
    for (const auto &Each : Hosts_)
      if (Each->Alive_ && !Holds(*Each))
        return false;
    return true;
  }

  template <typename Predicate> bool waitForEach(Predicate Holds) {
    return waitFor([&] { return eachLiving(Holds); });
  }

  /// \returns true once every living host knows a fleet of \p Count hosts and
  /// holds its lease.
  bool settle(std::size_t Count) {
    return waitForEach([Count](const TestHost &Each) {
      return Each.Node_->directory().hostCount() == Count && Each.mayAct();
    });
  }

  /// Writes version \p Version of the settings as an operator's change.
  /// \returns the write's end.
  store::PutResult write(TestHost &By, std::uint64_t Version,
                         const std::string &Document) {
    settings::SettingsRoot Root;
    Root.Version_ = Version;
    const std::string Hash = base::sha256Hex(Document);
    Root.Documents_["team/a.ini"] = Hash;
    const std::string Text = settings::encodeRoot(Root);
    base::Error Last;
    Io_.run(By.Store_.put(settings::chunkPath(Hash), Document, 0, Last));
    const store::PutResult Result = Io_.run(
        By.Store_.put(settings::SettingsRoot::Path, Text, Version - 1, Last));
    if (Result.Status_ == store::PutStatus::Written)
      By.Node_->notifySettingsWritten(Result.Version_, Text,
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
