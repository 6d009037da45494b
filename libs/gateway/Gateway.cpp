#include "gateway/Gateway.h"

#include <algorithm>

namespace lychee::gateway {

Gateway::Gateway(const GatewaySettings &Settings, const Collaborators &Others,
                 std::uint64_t Seed)
    : State_(Settings, Others) {
  base::Random Seeds(Seed);
  const std::uint32_t Threads = std::max(1U, Settings.Threads_);
  for (std::uint32_t Index = 0; Index < Threads; ++Index)
    Workers_.push_back(std::make_unique<Worker>(State_, Index, Seeds()));
  Listener_ = std::make_unique<Listener>(Workers_);
  Poller_ = std::make_unique<TargetPoller>(*Workers_.front());
  Stop_ = std::make_unique<StopSequence>(State_, Workers_, *Listener_);
}

Gateway::~Gateway() {
  for (const auto &Each : Workers_)
    Each->halt();
  for (const auto &Each : Workers_)
    Each->join();
  // Idle connections refer to their worker's event loop.
  State_.Pools_.setTargets({});
  State_.HostPools_.setTargets({});
  Listener_.reset();
}

bool Gateway::start(base::Error &Failure) {
  if (!Listener_->open(State_.Settings_.Callers_, Failure))
    return false;
  for (const auto &Each : Workers_)
    Each->start();
  Listener_->start();
  return true;
}

void Gateway::setTargets(std::span<const TargetEntry> Targets) {
  State_.Pools_.setTargets(Targets);
  Poller_->setTargets({Targets.begin(), Targets.end()});
}

} // namespace lychee::gateway
