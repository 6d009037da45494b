#ifndef LYCHEE_REPORTING_LINEWRITER_H
#define LYCHEE_REPORTING_LINEWRITER_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lychee::reporting {

/// Writes lines to a pipe or file without ever waiting for its reader.
///
/// Failure: whoever reads the log stops reading, and the pipe is full. Symptom
/// without this: the next line blocks the thread that writes it, which is the
/// one that serves callers, and every request stands still. Here a line is
/// kept in a bounded buffer and goes out only as far as the pipe takes it at
/// once; what finds no room is left out and counted, so that the log says what
/// it lacks. A kind of line that floods is bounded by itself, so that it does
/// not push the others out.
///
/// Thread-safe.
class LineWriter {
public:
  /// Memory for lines that the reader has not taken.
  static constexpr std::size_t MostBytes = 256UL << 10;
  /// Lines of one kind in a second. A host of today decides on some 100
  /// requests a second with three lines each.
  static constexpr std::uint32_t MostOfKind = 400;
  /// Lines are written together up to this, where batching is on.
  static constexpr std::size_t BatchBytes = 3UL << 10;

  /// \param Handle  stays open while this lives.
  /// \param Batch  lines go out together, by flush() at the latest: half the
  /// system calls of a busy host.
  explicit LineWriter(int Handle, bool Batch = false) noexcept
      : Handle_(Handle), Batch_(Batch) {}
  LineWriter(const LineWriter &) = delete;
  LineWriter &operator=(const LineWriter &) = delete;

  /// \param Kind  what the line tells of, such as "send".
  /// \param Urgent  goes out at once also where batching is on.
  void write(std::string_view Kind, std::string_view Line, bool Urgent,
             base::TimePoint Now);

  /// Writes out what the reader takes now.
  void flush(base::TimePoint Now);

  /// \returns lines that were left out so far.
  std::uint64_t leftOut() const;

private:
  struct KindCount {
    std::uint32_t Lines_ = 0;
    std::uint64_t LeftOut_ = 0;
  };

  void beginSecond(base::TimePoint Now);
  void drain();

  const int Handle_;
  const bool Batch_;
  mutable std::mutex Lock_;
  std::string Pending_;
  std::map<std::string, KindCount, std::less<>> Kinds_;
  base::TimePoint SecondBegan_;
  std::uint64_t LeftOut_ = 0;
};

} // namespace lychee::reporting

#endif
