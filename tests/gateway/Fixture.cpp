#include "gateway/Fixture.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace lychee::tests {

Fixture::Fixture(std::size_t TargetCount, TargetSettings Like) {
  Settings_.Callers_ = {"127.0.0.1", 0};
  Settings_.PollInterval_ = {};
  std::vector<std::string> Addresses;
  for (std::size_t Index = 0; Index < TargetCount; ++Index) {
    Like.Name_ = "t" + std::to_string(Index + 1);
    Targets_.push_back(std::make_unique<TargetServer>(Like));
    Targets_.back()->start();
    Addresses.push_back(Targets_.back()->address());
  }
  Steering_ = std::make_unique<FakeSteering>(Addresses);
}

void Fixture::start() {
  Gateway_ = std::make_unique<gateway::Gateway>(
      Settings_,
      gateway::Collaborators{*Steering_, Authenticator_, Router_, Directory_,
                             Claims_, Listener_, Observer_},
      1);
  std::vector<gateway::TargetEntry> Entries;
  Entries.reserve(Targets_.size());
  for (const auto &Each : Targets_)
    Entries.push_back({base::TargetId(Each->settings().Name_),
                       base::ServiceId("s"), Each->address(),
                       ConnectionLimit_});
  Gateway_->setTargets(Entries);
  base::Error Failure;
  if (!Gateway_->start(Failure))
    throw std::runtime_error(Failure.describe());
}

std::uint64_t Fixture::runs() const {
  std::uint64_t Sum = 0;
  for (const auto &Each : Targets_)
    Sum += Each->counts().total();
  return Sum;
}

Faults faultsOf(std::string_view Query) {
  const auto Set = standins::target::parseFaults(Query);
  if (!Set)
    throw std::runtime_error("no such fault: " + std::string(Query));
  return *Set;
}

bool waitFor(const std::function<bool()> &State) {
  constexpr int Tries = 5000;
  for (int Try = 0; Try < Tries; ++Try) {
    if (State())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return State();
}

} // namespace lychee::tests
