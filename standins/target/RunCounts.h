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

  /// Records that a request for work arrived, whether or not it runs then.
  void recordArrival(base::TimePoint Now);

  /// \returns when requests arrived, in order: the first MaximumNames.
  std::vector<base::TimePoint> arrivals() const;

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
  std::vector<base::TimePoint> Arrivals_;
};

} // namespace lychee::standins::target

#endif
