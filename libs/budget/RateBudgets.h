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

/// What a peer could spare of one budget, as its last heartbeat told.
struct SpareOffer {
  std::string Budget_;
  Parts Rate_ = 0;
  std::int64_t Tokens_ = 0;
};

/// The membership epoch that a host's shares stand in.
struct EpochGrant {
  std::uint64_t Epoch_ = 0;
  /// Hosts of the epoch; each has an equal allotment to begin with.
  std::uint32_t Hosts_ = 0;
  base::TimePoint LeaseUntil_;
};

/// How a customer's request for a token went.
struct SpendOutcome {
  SpendResult Result_ = SpendResult::NoShare;
  /// Where Short: when this host's share alone would have refilled;
  /// Duration::max() where it never does.
  base::Duration RefillTime_{};
};

/// All rate budgets of one host: one RateShare for each customer, with the
/// demand seen for it. Thread-safe: customers stand in shards, each under its
/// own lock; no method waits for anything but a shard's lock.
///
/// The fleet's I/O asks it for asks that are due, hands it peers' asks and
/// transfers, and tells it of epochs and leases. \see ExchangePolicy
class RateBudgets {
public:
  explicit RateBudgets(base::HostId Self, ExchangePolicy Policy = {});
  RateBudgets(const RateBudgets &) = delete;
  RateBudgets &operator=(const RateBudgets &) = delete;

  // Settings, epochs, leases.

  /// Sets a budget's total, and begins it where it is new.
  void setTotal(std::string_view Budget, const RateTotal &Total,
                base::TimePoint Now);

  /// Enters a newer epoch with every budget.
  void enterEpoch(const EpochGrant &Grant, base::TimePoint Now);
  void settle(std::uint64_t Epoch, base::TimePoint Now);
  void renewLease(std::uint64_t Epoch, base::TimePoint Until,
                  base::TimePoint Now);

  // Requests.

  /// Spends one request's token of \p Budget and counts the demand.
  /// \param Now  read after any wait, right before this call.
  SpendOutcome spend(std::string_view Budget, base::TimePoint Now);

  /// The same for a request that was short before and waits for tokens on
  /// their way: it is not counted as demand once more.
  SpendOutcome retrySpend(std::string_view Budget, base::TimePoint Now);

  // Exchange with peers.

  /// \returns an ask for the budget, where one helps and none was made within
  /// AskInterval.
  std::optional<ShareRequest> askFor(std::string_view Budget,
                                     base::TimePoint Now);

  /// \returns the asks that are due of all budgets.
  std::vector<ShareRequest> dueRequests(base::TimePoint Now);

  /// Gives a peer what can be spared; the parts have left this host's share
  /// when it returns.
  std::optional<Transfer> donate(const ShareRequest &Asked,
                                 base::TimePoint Now);

  /// Adds what a peer gave. \returns false where it does not count.
  bool accept(const Transfer &Received, base::TimePoint Now);

  /// \returns what could be spared of each budget that has something to spare.
  std::vector<SpareOffer> offers(base::TimePoint Now);

  /// Time between two asks for one budget: about the time a peer in another
  /// region takes to answer (20 ms each way), so that one ask is not repeated
  /// while its answer is on the way.
  static constexpr base::Duration AskInterval = std::chrono::milliseconds(50);

private:
  struct Entry {
    explicit Entry(RateShare Share) : Share_(std::move(Share)) {}

    RateShare Share_;
    DemandEstimator Demand_;
    /// Follows within a third of a second: what this host could spare. A host
    /// whose callers have just left would else sit on their rate for seconds,
    /// and one that gave too much asks for it back.
    DemandEstimator Recent_{RecentMemory};
    base::TimePoint LastAsk_;
  };

  struct Shard {
    std::mutex Lock_;
    std::map<std::string, Entry, std::less<>> Entries_;
  };

  static constexpr std::size_t ShardCount = 16;

  SpendOutcome spendFrom(std::string_view Budget, bool IsDemand,
                         base::TimePoint Now);
  Shard &shardOf(std::string_view Budget) noexcept;
  static constexpr base::Duration RecentMemory = std::chrono::milliseconds(200);

  ShareState stateOf(Entry &Of, double PerSecond,
                     base::TimePoint Now) const noexcept;
  ShareState needOf(Entry &Of, base::TimePoint Now) const noexcept;
  ShareState spareOf(Entry &Of, base::TimePoint Now) const noexcept;
  std::optional<ShareRequest> makeAsk(std::string_view Budget, Entry &Of,
                                      base::TimePoint Now);
  void joinEpoch(Entry &Of, const EpochGrant &Grant, bool Settled,
                 base::TimePoint Now) const;

  const base::HostId Self_;
  const ExchangePolicy Policy_;
  std::array<Shard, ShardCount> Shards_;

  /// The epoch that budgets which begin later join.
  mutable std::mutex EpochLock_;
  EpochGrant Grant_;
  bool Settled_ = false;
};

} // namespace lychee::budget

#endif
