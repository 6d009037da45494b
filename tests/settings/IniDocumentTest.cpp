#include "settings/IniDocument.h"

#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace settings = lychee::settings;
using lychee::tests::describeAll;

TEST_GROUP(IniDocument){};

// libinih holds a line in a fixed buffer and hands the rest over as the next
// line. A list of client blocks cut there would lose callers without a word.
TEST(IniDocument, aLineAtTheLimitIsWholeAndOneBeyondItIsAProblem) {
  const std::string Longest = "a = " + std::string(16 * 1024 - 4, 'x');
  settings::Problems Found;
  const settings::IniDocument Document = settings::readIni(
      "[one]\n" + Longest + "\n" + Longest + "y\nb = 2\n", "f", Found);
  STRCMP_EQUAL("f:3: line: found 16385 bytes, allowed at most 16384 bytes\n",
               describeAll(Found).c_str());
  LONGS_EQUAL(2, Document.Sections_[0].Entries_.size());
  LONGS_EQUAL(16 * 1024 - 4, Document.Sections_[0].Entries_[0].Value_.size());
  LONGS_EQUAL(4, Document.Sections_[0].Entries_[1].Line_);
}

TEST(IniDocument, eachBadLineIsAProblemOfItsOwn) {
  using std::string_literals::operator""s;
  settings::Problems Found;
  const settings::IniDocument Document =
      settings::readIni("early = 1\n[one\nkey = 1\n[" + std::string(50, 'a') +
                            "]\n[two] x\n[]\n[three]\nno pair\nnul = a\0b\n"s
                            "latin = \xe9t\xe9\n  indented = yes ; note\n",
                        "f", Found);
  const std::string Report = describeAll(Found);
  for (const char *Start :
       {"f:1: early: found a key before any heading", "f:2: heading",
        "f:4: heading", "f:5: heading", "f:6: heading",
        "f:8: line: found neither", "f:9: line: found a NUL",
        "f:10: line: found bytes"})
    STRCMP_CONTAINS(Start, Report.c_str());
  LONGS_EQUAL(9, Found.size());
  LONGS_EQUAL(1, Document.Sections_.size());
  STRCMP_EQUAL("yes", Document.Sections_[0].Entries_[0].Value_.c_str());
}

TEST(IniDocument, carriageReturnsAndAMissingLastLineBreakAreFine) {
  settings::Problems Found;
  const settings::IniDocument Document =
      settings::readIni("[one  name]\r\n# note\r\na = 1\r\nb = 2", "f", Found);
  STRCMP_EQUAL("", describeAll(Found).c_str());
  STRCMP_EQUAL("name", Document.Sections_[0].Name_.c_str());
  STRCMP_EQUAL("1", Document.Sections_[0].Entries_[0].Value_.c_str());
  LONGS_EQUAL(4, Document.Sections_[0].Entries_[1].Line_);
}
