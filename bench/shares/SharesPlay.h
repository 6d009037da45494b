#ifndef LYCHEE_BENCH_SHARES_SHARESPLAY_H
#define LYCHEE_BENCH_SHARES_SHARESPLAY_H

#include "base/Random.h"
#include "base/Time.h"
#include "budget/RateBudgets.h"
#include "exchange/SpareOfferTable.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lychee::bench {

/// How a customer's rate is held over all hosts.
enum class Division {
  /// Shares that move to where the requests come in.
  Shares,
  /// Equal shares that never move.
  StaticEqual,
  /// One host counts for all; each request asks it.
  SingleOwner,
};

/// What one play came to.
struct SharesResult {
  std::uint64_t Asked_ = 0;
  std::uint64_t Refused_ = 0;
  /// Refused although the fleet's rate and burst had room.
  std::uint64_t Wrongful_ = 0;
  /// Let in although the fleet's rate and burst had none.
  std::uint64_t Over_ = 0;
  std::uint64_t Messages_ = 0;
  /// Time from arrival to being let in, in milliseconds.
  std::vector<double> Waits_;
};

/// Ten hosts in three regions, one customer at 80% of its rate whose callers
/// sit on one host and move to another every ten seconds; at half time a host
/// dies, for SingleOwner the owner. Virtual time, one seed, one strategy.
class SharesPlay {
public:
  SharesPlay(Division How, std::uint64_t Seed);

  SharesResult play();

private:
  struct Waiting {
    std::size_t Host_ = 0;
    base::TimePoint Since_;
  };

  base::Duration delayBetween(std::size_t Left, std::size_t Right) const;
  void post(base::Duration After, std::function<void()> Deliver);
  void deliverDue();
  void arrive(std::size_t Host);
  bool spendAt(std::size_t Host);
  void settleWaiting();
  void exchange();
  void ask(std::size_t From, const base::HostId &Donor,
           const budget::ShareRequest &Asked);
  void askOwner(std::size_t Host, base::TimePoint Since);
  void letIn(base::TimePoint Since);
  void refuse();
  std::size_t homeNow();
  void loseAHost();

  const Division How_;
  base::Random Random_;
  base::TimePoint Now_{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<budget::RateBudgets>> Books_;
  std::vector<std::unique_ptr<exchange::SpareOfferTable>> Offers_;
  std::vector<base::HostId> Names_;
  std::vector<bool> Alive_;
  std::multimap<base::TimePoint, std::function<void()>> Messages_;
  std::deque<Waiting> Waiting_;
  budget::TokenBucket Reference_;
  budget::TokenBucket Owner_;
  base::TimePoint OwnerBackAt_;
  base::TimePoint SettlesAt_;
  std::size_t Home_ = 0;
  base::TimePoint MovesAt_;
  SharesResult Result_;
};

} // namespace lychee::bench

#endif
