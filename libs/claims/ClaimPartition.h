#ifndef LYCHEE_CLAIMS_CLAIMPARTITION_H
#define LYCHEE_CLAIMS_CLAIMPARTITION_H

#include "retrying/ClaimTable.h"
#include "store/Store.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace lychee::claims {

/// One partition of claims at a host that may own it: its table, its object in
/// the store, and the hosts that wait for results.
///
/// Writes are rate limited: the first claim after an idle time is written at
/// once, and further claims share one write per MinWriteInterval. So a
/// partition makes at most 1 / MinWriteInterval writes per second, whatever the
/// rate of claims.
///
/// Not thread-safe: all calls are made on one strand.
/// \see retrying::ClaimTable for the rules
class ClaimPartition {
public:
  /// Delivers a result to the host that made the claim.
  using ResultHandler = std::function<void(
      const base::HostId &Requester, const retrying::ClaimResult &Result)>;

  /// 20 writes per second: 8 partitions stay below half of the several hundred
  /// that the store accepts, and a claim waits at most this much longer.
  static constexpr base::Duration MinWriteInterval =
      std::chrono::milliseconds(50);

  /// \param Owner  incarnation of this host, never reused.
  ClaimPartition(boost::asio::any_io_executor Strand, store::Store &Store,
                 std::uint32_t Index, std::uint64_t Owner,
                 ResultHandler OnResult);
  ClaimPartition(const ClaimPartition &) = delete;
  ClaimPartition &operator=(const ClaimPartition &) = delete;

  /// This host owns the partition in \p Epoch.
  void acquire(std::uint64_t Epoch);
  /// Another host owns the partition now: pending claims get NotOwner.
  void release();

  retrying::ClaimResult claim(const retrying::ClaimKey &Key,
                              std::uint64_t Fingerprint,
                              const base::HostId &Requester);

  /// Reports how the run of a grant ended. Ran::No also cancels a claim that is
  /// still pending.
  void finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
              retrying::Ran Result, std::uint16_t Status);

  void stop() noexcept { Stopped_ = true; }

  std::uint64_t writes() const noexcept { return Writes_; }
  std::size_t size() const noexcept { return Table_.size(); }

private:
  using Task = boost::asio::awaitable<void>;

  void startLoop();
  Task runLoop();
  Task load();
  Task write(retrying::ClaimObject Planned);
  Task readBack();
  Task waitFor(base::Duration Span);
  void deliver(const std::vector<retrying::ClaimResult> &Results);

  const boost::asio::any_io_executor Strand_;
  store::Store &Store_;
  const std::string Path_;
  retrying::ClaimTable Table_;
  const ResultHandler OnResult_;
  std::unordered_map<retrying::ClaimKey, base::HostId> Requesters_;
  std::uint64_t OwnedEpoch_ = 0;
  bool LoopRunning_ = false;
  bool Stopped_ = false;
  base::TimePoint LastWrite_;
  std::atomic<std::uint64_t> Writes_ = 0;
};

} // namespace lychee::claims

#endif
