#ifndef LYCHEE_TESTS_BUDGET_SHAREMODEL_H
#define LYCHEE_TESTS_BUDGET_SHAREMODEL_H

#include "base/Random.h"
#include "base/Time.h"
#include "budget/EpochSettlement.h"
#include "budget/RateBudgets.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lychee::tests {

/// Simulates hosts that share one customer's budget in virtual time: messages
/// are lost, delayed, duplicated and reordered, hosts pause and crash, clocks
/// drift, and membership epochs change. A reference bucket with the total rate
/// and burst checks what the hosts admit together: it runs out of tokens
/// exactly if in some period more was admitted than the rate times the period
/// plus the burst.
class ShareModel {
public:
  explicit ShareModel(std::uint64_t Seed);

  /// Simulates \p Span of virtual time.
  /// \returns false if more than the total was admitted.
  bool run(base::Duration Span);

  std::uint64_t granted() const noexcept { return Granted_; }
  std::uint64_t transfers() const noexcept { return Transfers_; }
  std::uint64_t epochs() const noexcept { return Epoch_; }
  std::uint64_t settledEpochs() const noexcept { return SettledEpochs_; }

private:
  struct Host {
    base::HostId Id_;
    std::unique_ptr<budget::RateBudgets> Budgets_;
    double Drift_ = 0;
    base::Duration Offset_{};
    base::TimePoint PausedUntil_;
    base::TimePoint NextRequest_;
    double RequestsPerSecond_ = 1;
    /// Lease expiry as the membership service sees it, in true time.
    base::TimePoint LeaseEnds_;
    std::uint64_t Entered_ = 0;
    bool Dead_ = false;
    bool Member_ = false;
  };

  struct Message {
    base::TimePoint Due_;
    std::function<void()> Deliver_;
  };

  base::TimePoint localTime(const Host &Each) const;
  bool isRunning(const Host &Each) const;
  void send(std::function<void()> Deliver);
  void deliverDue();
  void startHost();
  void beginEpoch();
  void announceEpoch(Host &Receiver);
  void renew(Host &Each);
  void settleIfDue();
  void request(Host &At);
  void exchange(Host &Requester);
  void injectFaults();

  base::Random Random_;
  base::TimePoint Now_{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::multimap<base::TimePoint, std::function<void()>> Messages_;
  budget::EpochSettlement Settlement_;
  budget::TokenBucket Reference_;
  std::uint64_t Epoch_ = 0;
  base::TimePoint LastEpoch_;
  std::uint64_t SettledEpochs_ = 0;
  bool EpochSettled_ = false;
  std::uint64_t Granted_ = 0;
  std::uint64_t Transfers_ = 0;
  std::uint64_t NextName_ = 1;
  bool Violated_ = false;

  // Fault rates of this seed.
  double Loss_ = 0;
  double Faults_ = 1;
};

} // namespace lychee::tests

#endif
