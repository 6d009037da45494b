#ifndef LYCHEE_TESTS_GATEWAY_FIXTURE_H
#define LYCHEE_TESTS_GATEWAY_FIXTURE_H

#include "gateway/FakeSteering.h"
#include "gateway/Fakes.h"
#include "gateway/Gateway.h"
#include "gateway/RawClient.h"
#include "standins/target/TargetServer.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace lychee::tests {

using standins::target::Faults;
using standins::target::TargetServer;
using standins::target::TargetSettings;

/// A gateway between fakes and stand-in targets, all in this process.
class Fixture {
public:
  explicit Fixture(std::size_t TargetCount = 1, TargetSettings Like = {});
  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;
  ~Fixture() = default;

  gateway::GatewaySettings Settings_;
  std::vector<std::unique_ptr<TargetServer>> Targets_;
  std::unique_ptr<FakeSteering> Steering_;
  FakeAuthenticator Authenticator_;
  FakeRouter Router_;
  FakeDirectory Directory_;
  FakeClaims Claims_;
  FakeListener Listener_;
  FakeObserver Observer_;
  std::uint32_t ConnectionLimit_ = 100;

  /// Starts the gateway with the settings as they are now.
  void start();
  gateway::Gateway &gateway() { return *Gateway_; }
  std::string address() const { return Gateway_->callers().text(); }
  TargetServer &target(std::size_t Index = 0) { return *Targets_[Index]; }
  std::uint64_t runs() const;

private:
  std::unique_ptr<gateway::Gateway> Gateway_;
};

/// \returns the faults of a query such as "cut=1&slow_ms=5".
Faults faultsOf(std::string_view Query);

/// Waits for a state, ten seconds at most. \returns whether it came.
bool waitFor(const std::function<bool()> &State);

} // namespace lychee::tests

#endif
