#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"

/// Runs every test group of one library. The leak detector of CppUTest is off:
/// it replaces operator new under one lock, which neither threads nor the
/// address sanitizer (which finds leaks better) get along with.
int main(int ArgumentCount, char **Arguments) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
