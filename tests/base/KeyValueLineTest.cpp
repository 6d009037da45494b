#include "base/KeyValueLine.h"

#include "CppUTest/TestHarness.h"

using lychee::base::KeyValueLine;

TEST_GROUP(KeyValueLine){};

TEST(KeyValueLine, plainValuesStandUnquoted) {
  const KeyValueLine Line =
      KeyValueLine().add("event", "route").add("status", 200);
  STRCMP_EQUAL("event=route status=200", Line.text().c_str());
}

// A caller sends a header value with a line break and a second event in it.
// Logged as it came, it would stand in the log as a line that we never wrote.
// Each control character and '=' is escaped inside quotes, so it stays a value.
TEST(KeyValueLine, aValueCannotEndTheLineOrForgeAPair) {
  const KeyValueLine Line =
      KeyValueLine().add("path", "/a\r\nevent=forged key=\"x\"");
  STRCMP_EQUAL(R"(path="/a\x0d\x0aevent=forged key=\"x\"")",
               Line.text().c_str());
}

TEST(KeyValueLine, anEmptyValueIsVisible) {
  STRCMP_EQUAL("peer=\"\"", KeyValueLine().add("peer", "").text().c_str());
}
