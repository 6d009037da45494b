#include "reporting/LineWriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace lychee::reporting {

namespace {

/// A pipe that says it takes bytes takes at least so many without waiting
/// (PIPE_BUF of POSIX is 512; Linux has 4096).
constexpr std::size_t PieceBytes = 4096;

bool takesBytes(int Handle) noexcept {
  pollfd Asked{Handle, POLLOUT, 0};
  return poll(&Asked, 1, 0) == 1 && (Asked.revents & POLLOUT) != 0;
}

} // namespace

void LineWriter::beginSecond(base::TimePoint Now) {
  if (Now - SecondBegan_ < std::chrono::seconds(1))
    return;
  SecondBegan_ = Now;
  for (auto &[Kind, Count] : Kinds_) {
    // Where there is no room even for the count, it waits for the next second.
    const bool Told = Count.LeftOut_ == 0 || Pending_.size() < MostBytes;
    if (Told && Count.LeftOut_ > 0)
      Pending_ += "event=lines-left-out kind=" + Kind +
                  " lines=" + std::to_string(Count.LeftOut_) + "\n";
    Count = {0, Told ? 0 : Count.LeftOut_};
  }
}

void LineWriter::write(std::string_view Kind, std::string_view Line,
                       bool Urgent, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  beginSecond(Now);
  auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    Found = Kinds_.emplace(std::string(Kind), KindCount{}).first;
  KindCount &Count = Found->second;
  const bool Fits = Count.Lines_ < MostOfKind &&
                    Pending_.size() + Line.size() + 1 <= MostBytes;
  if (!Fits) {
    ++Count.LeftOut_;
    ++LeftOut_;
  } else {
    ++Count.Lines_;
    Pending_ += Line;
    if (!Line.ends_with('\n'))
      Pending_ += '\n';
  }
  if (!Batch_ || Urgent || Pending_.size() >= BatchBytes)
    drain();
}

void LineWriter::flush(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  beginSecond(Now);
  drain();
}

void LineWriter::drain() {
  std::size_t Done = 0;
  while (Done < Pending_.size() && takesBytes(Handle_)) {
    const std::size_t Piece = std::min(Pending_.size() - Done, PieceBytes);
    const ssize_t Count = ::write(Handle_, Pending_.data() + Done, Piece);
    // A reader that is gone takes nothing any more; lines are then left out.
    if (Count <= 0)
      break;
    Done += static_cast<std::size_t>(Count);
  }
  Pending_.erase(0, Done);
}

std::uint64_t LineWriter::leftOut() const {
  const std::lock_guard Guard(Lock_);
  return LeftOut_;
}

} // namespace lychee::reporting
