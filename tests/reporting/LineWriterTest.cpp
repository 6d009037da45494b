#include "reporting/LineWriter.h"

#include <array>
#include <string>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

using lychee::base::TimePoint;
using lychee::reporting::LineWriter;
using namespace std::chrono_literals;

TEST_GROUP(LineWriter) {
  std::array<int, 2> Pipe_{};
  TimePoint Now_ = TimePoint(100s);

  void setup() override { CHECK(pipe(Pipe_.data()) == 0); }
  void teardown() override {
    close(Pipe_[0]);
    close(Pipe_[1]);
  }
  std::string readAll() const {
    std::string Text(1UL << 20, ' ');
    const ssize_t Count = read(Pipe_[0], Text.data(), Text.size());
    Text.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
    return Text;
  }
};

TEST(LineWriter, linesGoOutWhole) {
  LineWriter Writer(Pipe_[1]);
  Writer.write("send", "event=send n=1", false, Now_);
  Writer.write("send", "event=send n=2\n", false, Now_);
  STRCMP_EQUAL("event=send n=1\nevent=send n=2\n", readAll().c_str());
}

// Whoever reads the log stops reading. The pipe fills up after 64 KB; a line
// more would block the thread that serves callers. Nothing blocks here, memory
// stays bounded, and the log says how many lines it lacks.
TEST(LineWriter, aReaderThatStopsBlocksNothing) {
  LineWriter Writer(Pipe_[1]);
  const std::string Line(1000, 'x');
  for (int Each = 0; Each < 5000; ++Each) {
    Now_ += 10ms;
    Writer.write("send", Line, false, Now_);
  }
  CHECK(Writer.leftOut() > 4000);
  std::string Text;
  for (int Each = 0; Each < 20; ++Each) {
    Text += readAll();
    Now_ += 1s;
    Writer.write("other", "on", true, Now_);
  }
  CHECK(Text.find("event=lines-left-out kind=send lines=") !=
        std::string::npos);
}

// One kind of line floods. It is bounded by itself; the others go out.
TEST(LineWriter, aKindThatFloodsDoesNotPushOthersOut) {
  LineWriter Writer(Pipe_[1]);
  for (std::uint32_t Each = 0; Each < 2 * LineWriter::MostOfKind; ++Each)
    Writer.write("refuse", "r", false, Now_);
  LONGS_EQUAL(LineWriter::MostOfKind, Writer.leftOut());
  readAll();
  Writer.write("stop", "event=stop", false, Now_);
  STRCMP_EQUAL("event=stop\n", readAll().c_str());
}

TEST(LineWriter, batchedLinesGoOutAtTheFlush) {
  LineWriter Writer(Pipe_[1], true);
  Writer.write("send", "one", false, Now_);
  Writer.write("send", "two", false, Now_);
  Writer.flush(Now_);
  STRCMP_EQUAL("one\ntwo\n", readAll().c_str());
  Writer.write("stop", "now", true, Now_);
  STRCMP_EQUAL("now\n", readAll().c_str());
}
