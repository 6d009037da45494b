#ifndef LYCHEE_STEERING_FLEETSTEERING_H
#define LYCHEE_STEERING_FLEETSTEERING_H

#include "budget/RateBudgets.h"
#include "settings/Intent.h"
#include "steering/RateTable.h"
#include "steering/ServiceSteering.h"
#include "steering/Steering.h"

#include <memory>
#include <mutex>
#include <vector>

namespace lychee::steering {

/// What one host's steering is made from.
struct SteeringSettings {
  base::HostId Host_;
  base::RegionId Region_;
  /// Seeds the choices among equal targets, so that hosts differ.
  std::uint64_t Seed_ = 1;
  ServiceLimits Limits_;
  /// This host's shares of customers' rates, which its owner exchanges with
  /// peers and which outlives the steering. Without one, setRateShare says what
  /// part of each rate this host may give out.
  budget::RateBudgets *Rates_ = nullptr;
};

/// The steering of one host of the fleet: the operators' intent, this host's
/// shares of the fleet's budgets, what its peers tell and what it saw itself.
/// One instance a process; scenarios hold one a simulated host.
///
/// Thread-safe. Each service is under a lock of its own, customers' rates are
/// in shards; two calls that take different services never wait for each
/// other. \see ServiceSteering, RateTable
class FleetSteering final : public Steering {
public:
  explicit FleetSteering(SteeringSettings Settings);
  FleetSteering(const FleetSteering &) = delete;
  FleetSteering &operator=(const FleetSteering &) = delete;

  /// Puts a version of the operators' intent in force. An older version than
  /// the one in force is passed over: hosts never go back.
  void applyIntent(const std::shared_ptr<const settings::Intent> &Intent,
                   base::TimePoint Now);

  /// Tells what time of day it is, by which shift plans run.
  void setWallTime(base::WallPoint Wall, base::TimePoint Now);

  /// \returns the budget of a customer's rate in RateBudgets.
  static std::string rateBudgetName(const base::CustomerId &Customer) {
    return "rate/" + Customer.name();
  }

  /// Sets what part of a customer's rate and burst this host may give out, 0
  /// to 1. Until the first call a customer has DefaultShare_.
  void setRateShare(const base::CustomerId &Customer, double Share,
                    base::TimePoint Now);

  /// Sets the share of customers for which setRateShare was never called, such
  /// as one by the number of hosts.
  void setDefaultRateShare(double Share, base::TimePoint Now);

  /// Sets the other hosts of the fleet, which send to the same targets.
  void setPeers(std::span<const base::HostId> Peers);

  /// \returns what to tell all peers now; to be called about every 50 ms.
  HostLoadUpdate makeLoadUpdate(base::TimePoint Now) const;
  void receiveLoadUpdate(const HostLoadUpdate &Round, base::TimePoint Now);

  // Division of targets' slots among hosts. Without an epoch hosts go by what
  // the others say they have in flight. \see SlotTable

  /// Enters a membership epoch.
  /// \param Members  all hosts of it, this one included.
  void enterEpoch(std::uint64_t Epoch, std::span<const Member> Members);
  /// \returns true where nothing older than the epoch is in use any more, so
  /// that this host may tell the others that it has entered.
  bool conformsToEpoch() const;
  /// All hosts of older epochs have entered, or are gone.
  void settleEpoch(std::uint64_t Epoch);
  /// \returns what to ask of peers now, each ask to its Donor_; to be called
  /// every few milliseconds.
  std::vector<SlotRequest> slotRequests(base::TimePoint Now);
  /// \returns what to tell the asker; empty where nothing can be given.
  std::optional<SlotGrant> grantSlots(const SlotRequest &Asked,
                                      base::TimePoint Now);
  void acceptSlots(const SlotGrant &Gift, base::TimePoint Now,
                   std::vector<Wakeup> &Woken);

  /// A target told how many requests it works on or holds.
  void reportTargetLoad(const base::ServiceId &Service,
                        const base::TargetId &Target, std::uint32_t Load,
                        base::TimePoint MeasuredAt);

  /// Requests that are taken to crash targets; peers merge each other's.
  retrying::CrashSuspects &crashSuspects() noexcept { return Suspects_; }

  Decision arrive(const Request &Arrived, base::TimePoint Now) override;
  Decision finish(std::uint64_t Ticket, const SendReport &Report,
                  base::TimePoint Now, std::vector<Wakeup> &Woken) override;
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override;
  void tick(base::TimePoint Now, std::vector<Wakeup> &Woken) override;

private:
  using ServicePointer = std::shared_ptr<ServiceSteering>;

  admission::RateCheck checkRate(const base::CustomerId &Customer,
                                 base::TimePoint Now);
  HostContext makeContext();
  ServicePointer find(const base::ServiceId &Service) const;
  ServicePointer find(std::uint64_t Ticket) const;
  std::vector<ServicePointer> services() const;

  const SteeringSettings Settings_;
  RateTable Rates_;
  retrying::CrashSuspects Suspects_;
  /// Guards all below; held for a look-up only.
  mutable std::mutex Lock_;
  std::shared_ptr<const settings::Intent> Intent_;
  /// A ticket's low bits are an index into this; a service never leaves it.
  std::vector<ServicePointer> Services_;
  std::vector<base::HostId> Peers_;
  std::uint64_t Epoch_ = 0;
  std::vector<Member> Members_;
  bool Settled_ = false;
  base::Duration WallOffset_{};
};

} // namespace lychee::steering

#endif
