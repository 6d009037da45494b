#include "base/JsonText.h"

#include <json/writer.h>

#include "CppUTest/TestHarness.h"

using lychee::base::isUtf8;
using lychee::base::parseJson;
using lychee::base::parseJsonObject;

TEST_GROUP(JsonText) { std::string Why_; };

// The parser throws beyond a depth of its own, and ended the loop that read.
TEST(JsonText, deepNestingIsAnErrorAndThrowsNothing) {
  for (const std::size_t Depth : {201UL, 1100UL, 1'000'000UL}) {
    const std::string Text = std::string(Depth, '[') + std::string(Depth, ']');
    CHECK_FALSE(parseJson(Text, Why_).has_value());
    CHECK_FALSE(Why_.empty());
    CHECK_FALSE(parseJson(std::string(Depth, '['), Why_).has_value());
  }
  CHECK(parseJson("[[[1]]]", Why_).has_value());
}

// What a host reads and tells on must be readable to the next one.
TEST(JsonText, whatIsParsedCanBeWrittenAndParsedAgain) {
  Json::StreamWriterBuilder Builder;
  for (const char *Text :
       {R"({"a":"\ud83d\ude00"})", R"({"\u00e9":"\u0000\u001f"})",
        "{\"a\":\"\xc3\xa9\xf0\x9f\x98\x80\"}", R"(["\ud83d"])",
        R"(["\udc80"])", "[\"\xed\xa0\xbd\"]", "[\"\xff\"]",
        "[1e308,1e999,-1e999]", "[18446744073709551616]", R"({"a":1,"a":2})"}) {
    const auto Read = parseJson(Text, Why_);
    if (!Read)
      continue;
    const auto Again = parseJson(Json::writeString(Builder, *Read), Why_);
    CHECK_TRUE_TEXT(Again == Read, Text);
  }
}

TEST(JsonText, onlyAnObjectIsAnObject) {
  CHECK(parseJsonObject("{}", Why_).has_value());
  for (const char *Text : {"", " ", "[]", "1", "{} {}", "{}x", "nul"})
    CHECK_FALSE(parseJsonObject(Text, Why_).has_value());
}

TEST(JsonText, utf8IsToldFromOtherBytes) {
  for (const char *Good : {"", "a", "\xc2\x80", "\xe0\xa0\x80", "\xed\x9f\xbf",
                           "\xee\x80\x80", "\xf4\x8f\xbf\xbf"})
    CHECK_TRUE_TEXT(isUtf8(Good), Good);
  for (const char *Bad :
       {"\x80", "\xc0\x80", "\xc1\xbf", "\xc2", "\xe0\x80\x80", "\xed\xa0\x80",
        "\xe2\x82", "\xf0\x80\x80\x80", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80",
        "a\xff", "\xc2g"})
    CHECK_FALSE_TEXT(isUtf8(Bad), Bad);
}
