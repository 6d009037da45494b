#ifndef LYCHEE_BUDGET_RATEBUDGETS_H
#define LYCHEE_BUDGET_RATEBUDGETS_H

#include "budget/DemandEstimator.h"
#include "budget/ExchangePolicy.h"
#include "budget/RateShare.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::budget {

/// What a peer can spare of one budget, as announced in its last heartbeat.
struct SpareOffer {
  std::string Budget_;
  Parts Rate_ = 0;
  std::int64_t Tokens_ = 0;
};

/// The membership epoch that a host's shares are in, and the host's lease.
struct EpochLease {
  std::uint64_t Epoch_ = 0;
  /// Number of hosts in the epoch; each begins with an equal allotment.
  std::uint32_t Hosts_ = 0;
  base::TimePoint LeaseUntil_;
};

/// The result of spending a customer's token.
struct SpendOutcome {
  SpendResult Result_ = SpendResult::NoShare;
  /// Unless Granted: time until this host's share alone would have refilled, or
  /// Duration::max() if it never does.
  base::Duration RefillTime_{};
};

/// All rate budgets of one host: one RateShare per customer, with the
/// customer's demand at this host. Does no I/O: the exchange with peers polls
/// it for due requests, passes it the requests and transfers of peers, and
/// reports epochs and leases.
///
/// Thread-safe: customers are sharded, each shard under its own lock. Methods
/// wait for nothing but a shard's lock and the lock of the epoch.
/// \see ExchangePolicy
class RateBudgets {
public:
  explicit RateBudgets(base::HostId Self, ExchangePolicy Policy = {});
  RateBudgets(const RateBudgets &) = delete;
  RateBudgets &operator=(const RateBudgets &) = delete;

  // Settings, epochs, leases.

  /// Sets a budget's total, and adds the budget if it is new.
  void setTotal(std::string_view Budget, const RateTotal &Total,
                base::TimePoint Now);

  /// Enters an epoch with every budget. Has no effect unless it is newer.
  void enterEpoch(const EpochLease &Lease, base::TimePoint Now);
  void settle(std::uint64_t Epoch, base::TimePoint Now);
  void renewLease(std::uint64_t Epoch, base::TimePoint Until,
                  base::TimePoint Now);

  // Requests.

  /// Spends the tokens of one request from \p Budget and counts the demand.
  /// \param Now  read after any wait, immediately before this call.
  SpendOutcome spend(std::string_view Budget, base::TimePoint Now);

  /// The same for a request that found too few tokens before and waits for a
  /// transfer: it is not counted as demand again.
  SpendOutcome retrySpend(std::string_view Budget, base::TimePoint Now);

  // Exchange with peers.

  /// \returns a request for the budget, if parts or tokens are needed and none
  /// was made within RequestInterval.
  std::optional<ShareRequest> requestFor(std::string_view Budget,
                                         base::TimePoint Now);

  /// \returns the requests that are due, of all budgets.
  std::vector<ShareRequest> dueRequests(base::TimePoint Now);

  /// Grants a peer what can be spared. The parts have left this host's share on
  /// return.
  std::optional<Transfer> donate(const ShareRequest &Request,
                                 base::TimePoint Now);

  /// Adds a transfer from a peer.
  /// \returns false if it is refused. \see EpochShare::accept
  bool accept(const Transfer &Received, base::TimePoint Now);

  /// \returns what can be spared of each budget, without empty offers.
  std::vector<SpareOffer> offers(base::TimePoint Now);

  /// Time between two requests for one budget: about the time until a peer in
  /// another region responds (20 ms each way), so that a request is not
  /// repeated while its response is in transit.
  static constexpr base::Duration RequestInterval =
      std::chrono::milliseconds(50);

private:
  struct Entry {
    explicit Entry(RateShare Share) : Share_(std::move(Share)) {}

    RateShare Share_;
    DemandEstimator Demand_;
    /// Adapts within a third of a second and decides what this host can spare.
    /// Otherwise a host whose callers have just left would keep their rate for
    /// seconds. A host that granted too much requests it back.
    DemandEstimator Recent_{RecentTimeConstant};
    base::TimePoint LastRequest_;
  };

  struct Shard {
    std::mutex Lock_;
    std::map<std::string, Entry, std::less<>> Entries_;
  };

  static constexpr std::size_t ShardCount = 16;

  SpendOutcome spendFrom(std::string_view Budget, bool IsDemand,
                         base::TimePoint Now);
  Shard &shardOf(std::string_view Budget) noexcept;
  static constexpr base::Duration RecentTimeConstant =
      std::chrono::milliseconds(200);

  ShareState shareState(Entry &BudgetEntry, double PerSecond,
                        base::TimePoint Now) const noexcept;
  ShareState demandState(Entry &BudgetEntry,
                         base::TimePoint Now) const noexcept;
  ShareState spareState(Entry &BudgetEntry, base::TimePoint Now) const noexcept;
  std::optional<ShareRequest>
  makeRequest(std::string_view Budget, Entry &BudgetEntry, base::TimePoint Now);
  void applyEpoch(Entry &BudgetEntry, const EpochLease &Lease, bool Settled,
                  base::TimePoint Now) const;

  const base::HostId Self_;
  const ExchangePolicy Policy_;
  std::array<Shard, ShardCount> Shards_;

  /// The current epoch, which new budgets enter.
  mutable std::mutex EpochLock_;
  EpochLease Lease_;
  bool Settled_ = false;
};

} // namespace lychee::budget

#endif
