#ifndef LYCHEE_TESTS_SOAK_RATEDTARGET_H
#define LYCHEE_TESTS_SOAK_RATEDTARGET_H

#include "base/Random.h"
#include "soak/Ledger.h"
#include "support/LiveFleet.h"

#include <atomic>
#include <thread>

namespace lychee::soak {

/// Lets a target state a rate that changes by a seed, and checks what arrived
/// there. It has no trouble itself, so that each answer reaches its host.
/// \see Troubles, what befalls the hosts meanwhile
class RatedTarget {
public:
  /// \param Fleet  outlives this.
  RatedTarget(tests::LiveFleet &Fleet, std::size_t Index, std::uint64_t Seed);
  RatedTarget(const RatedTarget &) = delete;
  RatedTarget &operator=(const RatedTarget &) = delete;
  ~RatedTarget();

  /// \param HostStarts  when hosts started; until its first answer comes back,
  /// a host that has just started sends one request of each caller.
  /// \param Callers  number of callers, each with one request at a time.
  /// \returns a line for each window in which too many requests arrived, or
  /// where none came at all.
  std::vector<std::string>
  broken(const std::vector<base::TimePoint> &HostStarts,
         std::size_t Callers) const;

private:
  struct Statement {
    base::TimePoint Since_;
    double PerSecond_ = 0;
  };

  void run();
  void state();
  double highestRate(base::TimePoint Begin, base::TimePoint End) const;

  tests::LiveFleet &Fleet_;
  const std::size_t Index_;
  base::Random Random_;
  std::vector<Statement> Statements_;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
};

} // namespace lychee::soak

#endif
