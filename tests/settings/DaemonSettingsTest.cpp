#include "settings/DaemonSettings.h"

#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace settings = lychee::settings;
using lychee::tests::describeAll;
using lychee::tests::require;

namespace {

const std::string Whole = "[host]\nname = edge-1\nregion = north\nzone = n-1\n"
                          "[callers]\nlisten = 127.0.0.1:0\n"
                          "[peers]\nlisten = 127.0.0.1:0\n"
                          "secret = 0123456789abcdef0123456789abcdef\n"
                          "[metrics]\nlisten = 127.0.0.1:0\n"
                          "[store]\naddress = 127.0.0.1:7000\n";

std::string problemsOf(const std::string &Text) {
  settings::Problems Found;
  const auto Parsed = settings::parseDaemonSettings(Text, "edge.ini", Found);
  CHECK_EQUAL(Found.empty(), Parsed.has_value());
  return describeAll(Found);
}

} // namespace

TEST_GROUP(DaemonSettings){};

TEST(DaemonSettings, readsWhatStandsAndKeepsDefaultsForTheRest) {
  settings::Problems Found;
  const settings::DaemonSettings Read = require(settings::parseDaemonSettings(
      Whole + "timeout = 250ms\n", "edge.ini", Found));
  STRCMP_EQUAL("", describeAll(Found).c_str());
  STRCMP_EQUAL("edge-1", Read.Host_.name().c_str());
  CHECK(Read.StoreTimeout_ == std::chrono::milliseconds(250));
  LONGS_EQUAL(16 * 1024, Read.HeaderLimitBytes_);
  STRCMP_EQUAL("127.0.0.1:7000", Read.Store_.text().c_str());
}

TEST(DaemonSettings, theSourceOfConnectionsIsAnAddressWithoutAPort) {
  const std::string Rest = Whole.substr(Whole.find("[callers]"));
  const std::string Host =
      "[host]\nname = edge-1\nregion = north\nzone = n-1\n";
  STRCMP_EQUAL("", problemsOf(Host + "source = 10.1.0.37\n" + Rest).c_str());
  STRCMP_EQUAL("edge.ini:5: host.source: found 10.1.0.37:80, allowed an IPv4 "
               "address\n",
               problemsOf(Host + "source = 10.1.0.37:80\n" + Rest).c_str());
}

TEST(DaemonSettings, aSecondSectionOfAKindIsAProblem) {
  STRCMP_EQUAL("edge.ini:14: callers: found the section a second time, allowed "
               "once in a file\n",
               problemsOf(Whole + "[callers ]\n").c_str());
}

TEST(DaemonSettings, allProblemsAreToldAtOnceWithFileLineKeyFoundAllowed) {
  STRCMP_EQUAL(
      "edge.ini:1: host.name: found nothing, allowed the key must stand here\n"
      "edge.ini:4: host.threads: found 0, allowed a whole number, 1 to 256\n",
      (problemsOf("[host]\nregion = north\nzone = n-1\nthreads = 0\n" +
                  Whole.substr(Whole.find("[callers]")))
           .c_str()));
}

TEST(DaemonSettings, anAbsentSectionIsToldByItsRequiredKeys) {
  const std::string Report = problemsOf(Whole.substr(0, Whole.find("[store]")));
  STRCMP_EQUAL("edge.ini: store.address: found nothing, allowed the key must "
               "stand here\n",
               Report.c_str());
}

TEST(DaemonSettings, unknownKeysSectionsAndDoubledKeysAreProblems) {
  const std::string Report = problemsOf(
      Whole + "address = 127.0.0.1:1\ntimeuot = 1s\n[storr]\nx = 1\n");
  STRCMP_CONTAINS("edge.ini:14: store.address: found the key a second time",
                  Report.c_str());
  STRCMP_CONTAINS("edge.ini:15: store.timeuot: found an unknown key, allowed "
                  "one of address, timeout, calls_per_second\n",
                  Report.c_str());
  STRCMP_CONTAINS("edge.ini:16: storr: found an unknown section",
                  Report.c_str());
}

TEST(DaemonSettings, numbersBeyondAnyTypeAreRefused) {
  for (const char *Value :
       {"nan", "inf", "-1", "1e9", "99999999999999999999999", "0x10", "1.2.3",
        "", "20 20", "1e400", "+5"}) {
    const std::string Report =
        problemsOf(Whole + "calls_per_second = " + Value + "\n");
    STRCMP_CONTAINS("edge.ini:14: store.calls_per_second", Report.c_str());
  }
  for (const char *Value : {"1", "1d", "-1s", "99999999999999999s", "1.5s",
                            "9223372036854775807h", "s"}) {
    const std::string Report = problemsOf(Whole + "timeout = " + Value + "\n");
    STRCMP_CONTAINS("edge.ini:14: store.timeout", Report.c_str());
  }
}

// An operator pastes the fleet's secret with one character too few, or without
// the "secret =". The report is copied into a ticket. Whatever is wrong with a
// secret, the report tells its length and never the secret.
TEST(DaemonSettings, aWrongSecretIsNotShown) {
  const std::string Report =
      problemsOf("[peers]\nsecret = hunter2\nhunter3\nhunter4 hunter4\n"
                 "[operators]\nbootstrap_token_hash = hunter5\n");
  STRCMP_CONTAINS("edge.ini:2: peers.secret: found 7 bytes, allowed 32 to 1024",
                  Report.c_str());
  STRCMP_CONTAINS("edge.ini:3: line: found neither heading nor key = value",
                  Report.c_str());
  STRCMP_CONTAINS("edge.ini:6: operators.bootstrap_token_hash: found a value "
                  "of 7 characters",
                  Report.c_str());
  CHECK(Report.find("hunter") == std::string::npos);
}
