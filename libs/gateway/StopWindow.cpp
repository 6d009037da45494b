#include "gateway/StopWindow.h"

namespace lychee::gateway {

namespace {

/// Deadlines are met some milliseconds late, and the answer is written then.
constexpr base::Duration WriteTime = std::chrono::milliseconds(50);
/// Multiple of the expected time within which nearly all work ends.
constexpr int ExpectedFactor = 2;

} // namespace

bool StopWindow::mayBegin(base::TimePoint Deadline,
                          std::optional<base::Duration> Expected,
                          base::TimePoint Now) const noexcept {
  const base::TimePoint Last = End_ - WriteTime;
  if (Deadline <= Last)
    return true;
  const bool FitsAnyStop = Deadline - Now <= Last - Begin_;
  if (FitsAnyStop || Now >= Middle_)
    return false;
  return !Expected || Now + *Expected * ExpectedFactor <= Last;
}

} // namespace lychee::gateway
