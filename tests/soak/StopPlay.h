#ifndef LYCHEE_TESTS_SOAK_STOPPLAY_H
#define LYCHEE_TESTS_SOAK_STOPPLAY_H

#include "base/Random.h"
#include "base/Time.h"
#include "support/LiveFleet.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace lychee::soak {

/// Stops hosts, one after the other and at once, some of them by signals that
/// come again, while callers go on to use their connections until the process
/// is gone. Nothing else is wrong, so that each request that reached a target
/// must be answered by it.
class StopPlay {
public:
  /// \param Fleet  outlives this; its hosts are ready.
  StopPlay(tests::LiveFleet &Fleet, std::string Key, std::uint64_t Seed)
      : Fleet_(Fleet), Key_(std::move(Key)), Seed_(Seed) {}
  StopPlay(const StopPlay &) = delete;
  StopPlay &operator=(const StopPlay &) = delete;

  /// Stops all hosts but the first, and starts them again.
  void play();

  /// \returns a line for each request that ran and was not answered.
  std::vector<std::string> broken() const;

  /// \returns what the hosts wrote until they ended.
  const std::string &logs() const noexcept { return Logs_; }

  /// \returns "stops=.. requests=.. served=..".
  std::string summary() const;

private:
  struct Sent {
    std::string Id_;
    int Status_ = 0;
    /// Its rule's timeout was reached.
    bool IsOverTime_ = false;
  };

  void call(std::size_t Host, base::TimePoint Signalled, std::uint64_t Seed);
  /// \returns whether the connection is to be kept.
  bool request(tests::CallerConnection &Kept, std::size_t Host, bool IsBooking,
               int WorkMilliseconds);
  std::uint64_t runsOf(const std::string &Id) const;

  tests::LiveFleet &Fleet_;
  const std::string Key_;
  const std::uint64_t Seed_;
  mutable std::mutex Lock_;
  std::vector<Sent> Sent_;
  std::uint64_t LastId_ = 0;
  std::size_t Stops_ = 0;
  std::string Logs_;
};

} // namespace lychee::soak

#endif
