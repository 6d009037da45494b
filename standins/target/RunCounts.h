#ifndef LYCHEE_STANDINS_TARGET_RUNCOUNTS_H
#define LYCHEE_STANDINS_TARGET_RUNCOUNTS_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lychee::standins::target {

/// How often each piece of work ran at a stand-in target: the truth against
/// which "not run" and "at most once" are checked. Thread-safe.
class RunCounts {
public:
  RunCounts() = default;
  RunCounts(const RunCounts &) = delete;
  RunCounts &operator=(const RunCounts &) = delete;

  /// Counts one run, at the moment its work begins. Of each kind the first
  /// MaximumNames names are told apart; Total_ counts all.
  void countRun(const std::string &RequestId,
                const std::string &IdempotencyKey);

  /// A request for work that arrived, whether or not it ran then.
  struct Arrival {
    base::TimePoint At_;
    std::string RequestId_;
    /// What it was turned away with as Retry-After; empty: it was not.
    std::string Rest_;
  };

  void recordArrival(const std::string &RequestId, const std::string &Rest,
                     base::TimePoint Now);

  /// \returns when requests arrived, in order: the first MaximumNames.
  std::vector<base::TimePoint> arrivals() const;
  /// \returns which requests arrived, in order: the first MaximumNames.
  std::vector<Arrival> arrivedRequests() const;

  std::uint64_t total() const;
  std::uint64_t runsOfRequest(const std::string &RequestId) const;
  std::uint64_t runsOfKey(const std::string &IdempotencyKey) const;

  /// \returns {"total":N,"requests":{ID:N},"keys":{KEY:N}}.
  std::string json() const;

private:
  /// Bounds the memory of a long bench.
  static constexpr std::size_t MaximumNames = 100000;

  mutable std::mutex Lock_;
  std::uint64_t Total_ = 0;
  std::map<std::string, std::uint64_t> Requests_;
  std::map<std::string, std::uint64_t> Keys_;
  std::vector<Arrival> Arrivals_;
};

} // namespace lychee::standins::target

#endif
