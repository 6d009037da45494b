#include "base/Random.h"
#include "settings/DaemonSettings.h"

#include <algorithm>

#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace settings = lychee::settings;
namespace tests = lychee::tests;

namespace {

constexpr std::uint64_t Seed = 20261203;

/// Pieces that parsers trip over, put into valid texts.
constexpr std::string_view Pieces[] = {"[",
                                       "]",
                                       "=",
                                       "\n",
                                       "\r",
                                       ";",
                                       "#",
                                       "[]",
                                       "[[",
                                       "nan",
                                       "-1",
                                       "1e999",
                                       "\xff",
                                       "\xc3",
                                       "\xed\xa0\x80",
                                       "18446744073709551616",
                                       "0.0.0.0/33",
                                       "999.1.1.1:1",
                                       "4Gbit/s",
                                       "yes",
                                       "kumamoto",
                                       " ",
                                       "\t",
                                       "=====",
                                       "[key x]\n",
                                       "[region fukuoka]\nzones = a\n",
                                       "\xef\xbb\xbf",
                                       "%n%s"};

std::string randomBytes(base::Random &Source, std::uint32_t Length) {
  std::string Bytes;
  for (std::uint32_t Index = 0; Index < Length; ++Index)
    Bytes += static_cast<char>(base::drawBelow(Source, 256));
  return Bytes;
}

std::size_t drawPosition(base::Random &Source, const std::string &Text) {
  return base::drawBelow(Source, static_cast<std::uint32_t>(Text.size()) + 1);
}

/// Changes one spot: a byte, a piece put in, a stretch cut out or doubled.
void mutate(base::Random &Source, std::string &Text) {
  const std::size_t Start = drawPosition(Source, Text);
  const std::size_t Length = base::drawBelow(Source, 40);
  switch (base::drawBelow(Source, 5)) {
  case 0:
    Text.insert(Start, Pieces[base::drawBelow(Source, std::size(Pieces))]);
    return;
  case 1:
    Text.erase(Start, Length);
    return;
  case 2:
    Text.insert(Start, Text.substr(drawPosition(Source, Text), Length * 4));
    return;
  case 3:
    Text.insert(Start, randomBytes(Source, base::drawBelow(Source, 8)));
    return;
  default:
    Text.insert(Start, std::string(base::drawBelow(Source, 20'000), 'a'));
    return;
  }
}

/// What every refusal must be: told with a place, whole on one clean line.
void checkProblems(bool Parsed, const settings::Problems &Found) {
  CHECK_EQUAL(Parsed, Found.empty());
  for (const settings::Problem &Each : Found) {
    CHECK_FALSE(Each.File_.empty());
    CHECK_FALSE(Each.Key_.empty());
    CHECK_FALSE(Each.Allowed_.empty());
    const bool IsAbsence = Each.Found_ == "nothing";
    CHECK_TRUE(Each.Line_ > 0 || IsAbsence);
    const std::string Line = Each.describe();
    CHECK_TRUE(std::all_of(Line.begin(), Line.end(), [](char Byte) {
      return Byte >= ' ' && Byte < 0x7f;
    }));
  }
}

} // namespace

TEST_GROUP(ParseFuzz){};

// Operators' editors, copied texts and broken disks bring anything. The daemon
// parses it while it serves: a crash would end every request on the host, on
// every host, as all get the same settings. Seeds are fixed: the same texts on
// every run.
TEST(ParseFuzz, mutatedTreesAreParsedOrRefusedWithAPlace) {
  base::Random Source(Seed);
  const settings::SettingsTree Whole = tests::readExample("glockenwerk");
  int Refused = 0;
  for (int Round = 0; Round < 1500; ++Round) {
    settings::SettingsTree Tree = Whole;
    auto Document = std::next(
        Tree.Documents_.begin(),
        base::drawBelow(Source,
                        static_cast<std::uint32_t>(Tree.Documents_.size())));
    for (std::uint32_t Left = 1 + base::drawBelow(Source, 4); Left > 0; --Left)
      mutate(Source, Document->second);
    settings::Problems Found;
    const bool Parsed = settings::parseIntent(Tree, Found).has_value();
    checkProblems(Parsed, Found);
    Refused += Parsed ? 0 : 1;
  }
  // Both ends are reached; else the mutations say nothing.
  CHECK_TRUE(Refused > 700 && Refused < 1500);
}

TEST(ParseFuzz, mutatedDaemonFilesAreParsedOrRefusedWithAPlace) {
  base::Random Source(Seed + 1);
  const std::string Whole =
      tests::readFile(std::filesystem::path(LYCHEE_SOURCE_DIR) /
                      "examples/kitakyushu/hosts/kitakyushu-1.ini");
  int Refused = 0;
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = Whole;
    for (std::uint32_t Left = 1 + base::drawBelow(Source, 3); Left > 0; --Left)
      mutate(Source, Text);
    settings::Problems Found;
    const bool Parsed =
        settings::parseDaemonSettings(Text, "f.ini", Found).has_value();
    checkProblems(Parsed, Found);
    Refused += Parsed ? 0 : 1;
  }
  CHECK_TRUE(Refused > 1500 && Refused < 3000);
}

TEST(ParseFuzz, randomBytesAreRefusedWithAPlace) {
  base::Random Source(Seed + 2);
  for (std::uint32_t Round = 0; Round < 1000; ++Round) {
    const std::string Text =
        randomBytes(Source, 1 + base::drawBelow(Source, 600));
    settings::Problems Found;
    const bool Parsed =
        settings::parseDaemonSettings(Text, "f.ini", Found).has_value();
    CHECK_FALSE(Parsed);
    checkProblems(Parsed, Found);
    Found.clear();
    const settings::SettingsTree Tree{1, {{"team/a.ini", Text}}};
    checkProblems(settings::parseIntent(Tree, Found).has_value(), Found);
  }
}
