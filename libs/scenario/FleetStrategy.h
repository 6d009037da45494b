#ifndef LYCHEE_SCENARIO_FLEETSTRATEGY_H
#define LYCHEE_SCENARIO_FLEETSTRATEGY_H

#include "scenario/PlainSteering.h"
#include "scenario/Strategy.h"
#include "steering/FleetSteering.h"

namespace lychee::scenario {

/// Parts of the project's own steering that a comparison takes away.
struct FleetRules {
  /// Requests go to the nearest region or nowhere.
  bool LocalOnly_ = false;
  /// Shares of budgets move between hosts; without, each keeps an equal one.
  bool Exchange_ = true;
  /// All wait in one line, first come, first served.
  bool OneLine_ = false;
  /// Targets' slots are divided among hosts; without, hosts go by what the
  /// others say they have in flight.
  bool Slots_ = true;
};

/// The project's own steering, one FleetSteering a host, and a small fake of
/// what the fleet library does around it: rounds between hosts, asks and
/// gifts, and membership epochs.
class FleetStrategy final : public Strategy {
public:
  explicit FleetStrategy(FleetRules Rules = {}) : Rules_(Rules) {}

  void start(PeerNetwork Peers, std::uint64_t Seed,
             base::TimePoint Now) override;
  steering::Steering &steering(std::size_t Host) override;
  void applyIntent(std::size_t Host,
                   std::shared_ptr<const settings::Intent> Intent,
                   base::TimePoint Now) override;
  void report(std::size_t Host, const LoadReport &Heard,
              base::TimePoint Now) override;
  void tick(base::TimePoint Now) override;
  void hostGone(std::size_t Host, base::TimePoint Now) override;
  void hostBack(std::size_t Host, base::TimePoint Now) override;

private:
  /// How often hosts tell each other how they stand.
  static constexpr base::Duration RoundInterval = std::chrono::milliseconds(50);
  /// From a host's end until its lease is known to have run out.
  static constexpr base::Duration LeaseTime = std::chrono::seconds(3);

  /// Hosts renew their leases here without fail.
  static constexpr base::Duration LongLease = std::chrono::hours(1);

  void begin(std::size_t Host);
  void tellPeers(std::size_t From, base::TimePoint Now);
  void askForSlots(std::size_t From, base::TimePoint Now);
  void giveSlots(std::size_t Donor, std::size_t Asker,
                 const steering::SlotRequest &Ask, base::TimePoint Now);
  void exchangeRates(std::size_t From, base::TimePoint Now);
  void giveRate(std::size_t Donor, std::size_t Asker,
                const budget::ShareRequest &Ask, base::TimePoint Now);
  void changeMembers(base::TimePoint Now);
  void settle(base::TimePoint Now);
  static steering::ServiceLimits firstComeFirstServed();
  std::optional<std::size_t> placeOf(const base::HostId &Host) const;

  const FleetRules Rules_;
  PeerNetwork Peers_;
  std::uint64_t Seed_ = 0;
  std::vector<std::unique_ptr<budget::RateBudgets>> Rates_;
  std::vector<std::unique_ptr<steering::FleetSteering>> Hosts_;
  /// What callers meet where the rules take a part away; else empty.
  std::vector<std::unique_ptr<PlainSteering>> Plain_;
  /// What each host last heard that each other could spare, by budget.
  std::vector<std::vector<std::map<std::string, budget::SpareOffer>>> Offers_;
  base::TimePoint Now_;
  base::TimePoint LastRound_;
  std::uint64_t Epoch_ = 0;
  bool Settled_ = false;
  bool RatesSettled_ = false;
  /// Before this, a host that is gone may still hold a lease.
  base::TimePoint LeasesEnd_;
};

} // namespace lychee::scenario

#endif
