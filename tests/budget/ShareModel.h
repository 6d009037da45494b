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

/// Hosts that share one customer's budget in virtual time, over messages that
/// are lost, late, doubled and crossed, with pauses, crashes, clocks that
/// drift, and membership epochs. A reference bucket of the whole total watches
/// what they let in together: it overflows exactly when in some window more
/// was let in than rate times window plus burst.
class ShareModel {
public:
  explicit ShareModel(std::uint64_t Seed);

  /// Plays \p Span of virtual time.
  /// \returns false where more than the total was let in.
  bool run(base::Duration Span);

  std::uint64_t granted() const noexcept { return Granted_; }
  std::uint64_t transfers() const noexcept { return Transfers_; }
  std::uint64_t epochs() const noexcept { return Epoch_; }
  std::uint64_t settledEpochs() const noexcept { return SettledEpochs_; }

private:
  struct Host {
    base::HostId Id_;
    std::unique_ptr<budget::RateBudgets> Book_;
    double Drift_ = 0;
    base::Duration Offset_{};
    base::TimePoint PausedUntil_;
    base::TimePoint NextRequest_;
    double RequestsPerSecond_ = 1;
    /// When the membership service holds the lease to end, in true time.
    base::TimePoint LeaseEnds_;
    std::uint64_t Entered_ = 0;
    bool Dead_ = false;
    bool Member_ = false;
  };

  struct Message {
    base::TimePoint Due_;
    std::function<void()> Deliver_;
  };

  base::TimePoint localTime(const Host &Of) const;
  bool isRunning(const Host &Of) const;
  void send(std::function<void()> Deliver);
  void deliverDue();
  void startHost();
  void beginEpoch();
  void tellEpoch(Host &To);
  void renew(Host &Of);
  void settleWhereDue();
  void request(Host &At);
  void exchange(Host &Asker);
  void misbehave();

  base::Random Random_;
  base::TimePoint Now_{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::multimap<base::TimePoint, std::function<void()>> Messages_;
  budget::EpochSettlement Settlement_;
  budget::TokenBucket Reference_;
  std::uint64_t Epoch_ = 0;
  base::TimePoint LastEpoch_;
  std::uint64_t SettledEpochs_ = 0;
  bool SettledNow_ = false;
  std::uint64_t Granted_ = 0;
  std::uint64_t Transfers_ = 0;
  std::uint64_t NextName_ = 1;
  bool Violated_ = false;

  // How rough this seed's world is.
  double Loss_ = 0;
  double Faults_ = 1;
};

} // namespace lychee::tests

#endif
