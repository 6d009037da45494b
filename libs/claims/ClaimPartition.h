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
/// the store, and who waits for which verdict.
///
/// Writes are paced: the first claim after a quiet time is written at once,
/// and while claims keep coming they share one write each WriteGap. So a
/// partition costs the store at most 1 / WriteGap writes a second, whatever
/// the rate of claims.
///
/// All calls come on one strand. \see retrying::ClaimTable for the rules
class ClaimPartition {
public:
  /// Tells an asker its verdict.
  using Tell = std::function<void(const base::HostId &Asker,
                                  const retrying::ClaimResult &Verdict)>;

  /// 20 writes a second: 8 partitions stay below half of the several hundred
  /// that the store takes, and a claim waits at most this much longer.
  static constexpr base::Duration WriteGap = std::chrono::milliseconds(50);

  /// \param Owner  names this start of this host, never reused.
  ClaimPartition(boost::asio::any_io_executor Strand, store::Store &Kept,
                 std::uint32_t Index, std::uint64_t Owner, Tell Told);
  ClaimPartition(const ClaimPartition &) = delete;
  ClaimPartition &operator=(const ClaimPartition &) = delete;

  /// This host owns the partition in \p Epoch.
  void own(std::uint64_t Epoch);
  /// Another host owns it now; what waits is told so.
  void disown();

  retrying::ClaimResult claim(const retrying::ClaimKey &Key,
                              std::uint64_t Fingerprint,
                              const base::HostId &Asker);

  /// The holder's word on how a grant ended; Ran::No also gives up one that is
  /// still waiting.
  void finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
              retrying::Ran Ended, std::uint16_t Status);

  void stop() noexcept { Stopped_ = true; }

  std::uint64_t writes() const noexcept { return Writes_; }
  std::size_t size() const noexcept { return Table_.size(); }

private:
  using Task = boost::asio::awaitable<void>;

  void wakeLoop();
  Task loop();
  Task loadOnce();
  Task writeOnce(retrying::ClaimObject Planned);
  Task readBackOnce();
  Task waitFor(base::Duration Span);
  void tellAll(const std::vector<retrying::ClaimResult> &Verdicts);

  const boost::asio::any_io_executor Strand_;
  store::Store &Store_;
  const std::string Path_;
  retrying::ClaimTable Table_;
  const Tell Tell_;
  std::unordered_map<retrying::ClaimKey, base::HostId> Askers_;
  std::uint64_t OwnedIn_ = 0;
  bool Looping_ = false;
  bool Stopped_ = false;
  base::TimePoint LastWrite_;
  std::atomic<std::uint64_t> Writes_ = 0;
};

} // namespace lychee::claims

#endif
