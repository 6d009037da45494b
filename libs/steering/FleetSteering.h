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

/// Configuration of one host's steering.
struct SteeringSettings {
  base::HostId Host_;
  base::RegionId Region_;
  /// Seed of the choices among equal targets; differs between hosts so that
  /// they choose differently.
  std::uint64_t Seed_ = 1;
  ServiceLimits Limits_;
  /// This host's shares of customers' rates. The owner exchanges them with
  /// peers, and they outlive the steering. If null, setRateShare() sets the
  /// part of each rate that this host may use.
  budget::RateBudgets *Rates_ = nullptr;
};

/// The steering of one host of the fleet, from the operators' intent, this
/// host's shares of the fleet's budgets, the peers' updates and its own
/// observations. One instance per process; scenarios hold one per simulated
/// host.
///
/// Thread-safe. Each service has its own lock and customers' rates are sharded,
/// so calls for different services do not block each other beyond a short
/// look-up. \see ServiceSteering, RateTable
class FleetSteering final : public Steering {
public:
  explicit FleetSteering(SteeringSettings Settings);
  FleetSteering(const FleetSteering &) = delete;
  FleetSteering &operator=(const FleetSteering &) = delete;

  /// Applies a version of the operators' intent. A version older than the
  /// current one is ignored: hosts never go back.
  void applyIntent(const std::shared_ptr<const settings::Intent> &Intent,
                   base::TimePoint Now);

  /// Sets the wall clock time, by which shift plans run.
  void setWallTime(base::WallPoint Wall, base::TimePoint Now);

  /// \returns the name of the budget of a customer's rate.
  static std::string rateBudgetName(const base::CustomerId &Customer) {
    return "rate/" + Customer.name();
  }

  /// Sets the part of a customer's rate and burst that this host may use, 0 to
  /// 1. Customers without a call use the default share.
  void setRateShare(const base::CustomerId &Customer, double Share,
                    base::TimePoint Now);

  /// Sets the share of the customers for which setRateShare() was never called,
  /// for example one divided by the number of hosts.
  void setDefaultRateShare(double Share, base::TimePoint Now);

  /// Sets the other hosts of the fleet, which send to the same targets.
  void setPeers(std::span<const base::HostId> Peers);

  /// \returns the update to send to all peers; to be called about every 50 ms.
  HostLoadUpdate makeLoadUpdate(base::TimePoint Now) const;
  void receiveLoadUpdate(const HostLoadUpdate &Update, base::TimePoint Now);

  // Division of targets' slots among hosts. Before the first epoch hosts go by
  // the requests that the others report to have in flight. \see SlotTable

  /// Enters a membership epoch.
  /// \param Members  all hosts of the epoch, this one included.
  void enterEpoch(std::uint64_t Epoch, std::span<const Member> Members);
  /// \returns true once no more slots are in use than the epoch leaves this
  /// host, so that it may report to the others that it has entered the epoch.
  bool conformsToEpoch() const;
  /// Settles the epoch: all hosts of older epochs have entered \p Epoch, or are
  /// gone.
  void settleEpoch(std::uint64_t Epoch);
  /// \returns the slot requests to send now, each to its Donor_; to be called
  /// every few milliseconds.
  std::vector<SlotRequest> slotRequests(base::TimePoint Now);
  /// \returns the grant for the requester; empty where nothing can be granted.
  std::optional<SlotGrant> grantSlots(const SlotRequest &Request,
                                      base::TimePoint Now);
  void acceptSlots(const SlotGrant &Grant, base::TimePoint Now,
                   std::vector<Wakeup> &Wakeups);

  /// Records a target's own load report: the requests that it runs or queues.
  /// \returns whether the target wants nothing from this host now.
  bool isResting(const base::ServiceId &Service, const base::TargetId &Target,
                 base::TimePoint Now) const;
  void reportTargetLoad(const base::ServiceId &Service,
                        const base::TargetId &Target, std::uint32_t Load,
                        base::TimePoint MeasuredAt);

  /// Requests suspected of crashing targets; peers merge each other's evidence.
  retrying::CrashSuspects &crashSuspects() noexcept { return Suspects_; }

  Decision arrive(const Request &NewRequest, base::TimePoint Now) override;
  Decision finish(std::uint64_t Ticket, const SendReport &Report,
                  base::TimePoint Now, std::vector<Wakeup> &Wakeups) override;
  bool mayWrite(std::uint64_t Ticket, base::TimePoint Now) override;
  void recordAnswerHead(std::uint64_t Ticket, const AnswerHead &Head,
                        base::TimePoint Now) override;
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override;
  void tick(base::TimePoint Now, std::vector<Wakeup> &Wakeups) override;

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
  /// Guards all members below; held only for look-ups and to add services.
  mutable std::mutex Lock_;
  std::shared_ptr<const settings::Intent> Intent_;
  /// The low bits of a ticket are an index into this vector; services are never
  /// removed.
  std::vector<ServicePointer> Services_;
  std::vector<base::HostId> Peers_;
  std::uint64_t Epoch_ = 0;
  std::vector<Member> Members_;
  bool Settled_ = false;
  base::Duration WallOffset_{};
};

} // namespace lychee::steering

#endif
