#include "operations/IniEditor.h"

#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

using lychee::operations::hasSection;
using lychee::operations::setEntry;
using lychee::tests::require;

TEST_GROUP(IniEditor){};

TEST(IniEditor, changesOneEntryAndLeavesEveryOtherByte) {
  const std::string Text = "; ours\r\n[target a]\n  slots = 3 ; few\n"
                           "leaving=no\n\n[target ab]\nleaving = no\n";
  STRCMP_EQUAL(
      "; ours\r\n[target a]\n  slots = 3 ; few\n"
      "leaving = yes\n\n[target ab]\nleaving = no\n",
      require(setEntry(Text, {"target", "a"}, "leaving", "yes")).c_str());
}

TEST(IniEditor, addsAnEntryThatDoesNotStandYet) {
  STRCMP_EQUAL("[ target  a ]\nleaving = yes\nslots = 3\n",
               require(setEntry("[ target  a ]\nslots = 3\n", {"target", "a"},
                                "leaving", "yes"))
                   .c_str());
  STRCMP_EQUAL(
      "[target a]\nleaving = yes\n",
      require(setEntry("[target a]", {"target", "a"}, "leaving", "yes"))
          .c_str());
}

TEST(IniEditor, aSectionIsFoundByItsWholeNameOnly) {
  for (const char *Text : {"", "target a", "[target ab]", "[targeta]",
                           "; [target a]", "[host a]", "[target]"})
    CHECK_FALSE(hasSection(Text, {"target", "a"}));
  CHECK_TRUE(hasSection("x = 1\n[target a] ; note\n", {"target", "a"}));
}
