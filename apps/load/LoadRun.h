#ifndef LYCHEE_LOAD_LOADRUN_H
#define LYCHEE_LOAD_LOADRUN_H

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lychee::load {

/// One closed loop: each connection sends its next request when it has the
/// answer to the last one.
struct LoadPlan {
  /// IP:PORT.
  std::string Address_;
  std::uint32_t Connections_ = 1;
  std::uint32_t Threads_ = 1;
  base::Duration Time_ = std::chrono::seconds(2);
  /// The head of the request as it goes over the wire.
  std::string Request_;
  /// Length of the body that follows it.
  std::uint64_t BodyBytes_ = 0;
  /// Requests a connection sends at most; 0: as many as there is time for.
  std::uint32_t RequestLimit_ = 0;
  /// Process whose processor time is told; 0: none.
  int CpuOf_ = 0;
};

/// What a run found.
struct LoadResult {
  std::uint64_t Answered_ = 0;
  /// Answers of another status than 200, and connections lost.
  std::uint64_t Failed_ = 0;
  double PerSecond_ = 0;
  double P50Us_ = 0;
  double P99Us_ = 0;
  /// Processor time of LoadPlan::CpuOf_ for each answer.
  double CpuUs_ = 0;
  /// Most memory it has held so far, KiB.
  std::uint64_t PeakMemoryKb_ = 0;
};

/// Plays \p Plan from this process. Blocks until it is over.
LoadResult runLoad(const LoadPlan &Plan);

/// \returns the result whose rate is the median of \p Results.
LoadResult medianOf(std::vector<LoadResult> Results);

} // namespace lychee::load

#endif
