#include "reporting/Log.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

using lychee::base::KeyValueLine;
namespace reporting = lychee::reporting;

namespace {

/// \returns what \p Action writes to standard output.
std::string standardOutputOf(const std::function<void()> &Action) {
  std::FILE *File = std::tmpfile();
  std::fflush(stdout);
  const int Saved = dup(STDOUT_FILENO);
  dup2(fileno(File), STDOUT_FILENO);
  Action();
  dup2(Saved, STDOUT_FILENO);
  close(Saved);
  std::fseek(File, 0, SEEK_SET);
  std::string Text(4096, '\0');
  Text.resize(std::fread(Text.data(), 1, Text.size(), File));
  std::fclose(File);
  return Text;
}

} // namespace

TEST_GROUP(Log){};

TEST(Log, anEventIsOneLineOnStandardOutputAndLowerLevelsAreLeftOut) {
  const std::string Text = standardOutputOf([] {
    reporting::configureLog("warning");
    logLine(reporting::LogLevel::Info, KeyValueLine().add("event", "quiet"));
    logLine(reporting::LogLevel::Error,
            KeyValueLine().add("event", "told").add("header", "a\nb"));
  });
  STRCMP_CONTAINS(" level=error event=told header=\"a\\x0ab\"\n", Text.c_str());
  STRCMP_CONTAINS("time=2", Text.c_str());
  CHECK(Text.find("quiet") == std::string::npos);
  LONGS_EQUAL(1, std::count(Text.begin(), Text.end(), '\n'));
}

TEST(Log, aKeyInALineIsMasked) {
  const std::string Text = standardOutputOf([] {
    reporting::configureLog("info");
    logLine(reporting::LogLevel::Info,
            KeyValueLine().add("error", "Authorization: Bearer id.s3cret"));
  });
  STRCMP_CONTAINS("Bearer ***", Text.c_str());
  CHECK(Text.find("s3cret") == std::string::npos);
}
