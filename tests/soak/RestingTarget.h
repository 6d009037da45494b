#ifndef LYCHEE_TESTS_SOAK_RESTINGTARGET_H
#define LYCHEE_TESTS_SOAK_RESTINGTARGET_H

#include "base/Random.h"
#include "soak/Ledger.h"
#include "support/LiveFleet.h"

#include <atomic>
#include <thread>

namespace lychee::soak {

/// Lets a target ask for rests, say that it leaves and start anew, by a seed,
/// and checks what arrived there from which host. It has no trouble itself, so
/// that each answer reaches its host. \see RatedTarget
class RestingTarget {
public:
  /// \param Fleet  outlives this.
  RestingTarget(tests::LiveFleet &Fleet, std::size_t Index, std::uint64_t Seed);
  RestingTarget(const RestingTarget &) = delete;
  RestingTarget &operator=(const RestingTarget &) = delete;
  ~RestingTarget();

  /// \returns a line for each rest in which too many requests arrived, and for
  /// each request that arrived too long after a leaving was said.
  std::vector<std::string> broken(const Ledger &Book) const;

private:
  struct Arrival {
    base::TimePoint At_;
    std::size_t Host_ = 0;
    base::Duration Rest_{};
  };
  /// From when on its answers say that it leaves, until it starts anew.
  struct Leaving {
    base::TimePoint Since_;
    base::TimePoint Until_ = base::TimePoint::max();
  };

  void run();
  void rest();
  void leave();
  void pauseFor(double MinSeconds, double MaxSeconds);
  std::vector<Arrival> arrivals(const Ledger &Book) const;
  static void checkRests(const std::vector<Arrival> &All, const Ledger &Book,
                         std::vector<std::string> &Found);
  void checkLeavings(const std::vector<Arrival> &All, const Ledger &Book,
                     std::vector<std::string> &Found) const;

  tests::LiveFleet &Fleet_;
  const std::size_t Index_;
  base::Random Random_;
  std::int64_t Start_ = 1;
  std::vector<Leaving> Leavings_;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
};

} // namespace lychee::soak

#endif
