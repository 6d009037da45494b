#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
#include "CppUTest/TestRegistry.h"

namespace {

/// \returns the tests, as GROUP.NAME, that KNOWN-RED.txt begins its lines with;
/// none where LYCHEE_KNOWN_RED=run asks to run them all the same.
std::set<std::string> knownRed() {
  const char *Wish = std::getenv("LYCHEE_KNOWN_RED");
  if (Wish != nullptr && std::string(Wish) == "run")
    return {};
  std::set<std::string> Names;
  std::ifstream List(LYCHEE_SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string Line; std::getline(List, Line);)
    if (!Line.empty() && Line.front() != '#')
      Names.insert(Line.substr(0, Line.find(' ')));
  return Names;
}

/// Fills \p Kept, an empty registry, with all tests but those of \p Red.
void registerAllBut(const std::set<std::string> &Red, TestRegistry &Kept) {
  std::vector<UtestShell *> All;
  for (UtestShell *Each = TestRegistry::getCurrentRegistry()->getFirstTest();
       Each != nullptr; Each = Each->getNext())
    All.push_back(Each);
  // A registry puts each test before those that it has.
  for (auto Each = All.rbegin(); Each != All.rend(); ++Each) {
    const std::string Name = std::string((*Each)->getGroup().asCharString()) +
                             "." + (*Each)->getName().asCharString();
    if (Red.contains(Name))
      std::cout << "known red, passed over: " << Name << '\n';
    else
      Kept.addTest(*Each);
  }
}

} // namespace

/// Runs every test group of one library, but for the tests that are known to
/// fail. The leak detector of CppUTest is off: it replaces operator new under
/// one lock, which neither threads nor the address sanitizer (which finds leaks
/// better) get along with.
int main(int ArgumentCount, char **Arguments) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  TestRegistry Kept;
  registerAllBut(knownRed(), Kept);
  Kept.setCurrentRegistry(&Kept);
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
