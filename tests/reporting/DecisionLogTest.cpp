#include "reporting/DecisionLog.h"

#include "reporting/Log.h"

#include <thread>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace reporting = lychee::reporting;
using reporting::DecisionLog;
using reporting::DecisionRecord;

namespace {

constexpr base::WallPoint Now{std::chrono::microseconds(1'700'000'000'000'000)};

DecisionRecord recordOf(std::string_view Request) {
  DecisionRecord Record;
  Record.Event_ = "send";
  Record.Request_ = base::RequestId(Request);
  Record.Customer_ = base::CustomerId("council");
  Record.Key_ = base::KeyId("council-1");
  Record.Service_ = base::ServiceId("case-portal");
  Record.Region_ = base::RegionId("fukuoka");
  Record.Target_ = base::TargetId("case-portal-01");
  Record.Reason_ = "nearest";
  Record.SettingsVersion_ = 7;
  return Record;
}

} // namespace

TEST_GROUP(DecisionLog) {
  std::vector<std::string> Lines_;
  DecisionLog Log_{[this](const std::string &Line) { Lines_.push_back(Line); }};
};

TEST(DecisionLog, oneLineTellsChosenAndPassedOver) {
  const reporting::PassedOverCandidate PassedOver[] = {
      {"case-portal-02", "ejected"}, {"case-portal-03", "full"}};
  DecisionRecord Record = recordOf("r1");
  Record.PassedOver_ = PassedOver;
  Log_.record(Record, Now);
  STRCMP_EQUAL("event=send request=r1 customer=council key=council-1 "
               "service=case-portal region=fukuoka target=case-portal-01 "
               "reason=nearest "
               "passed_over=case-portal-02:ejected,case-portal-03:full "
               "settings=7",
               Lines_.at(0).c_str());
  STRCMP_EQUAL(("unix_us=1700000000000000 " + Lines_[0]).c_str(),
               Log_.explain(base::RequestId("r1")).at(0).c_str());
}

// Guards against lines that do not tell how many targets an attempt was sent
// to.
TEST(DecisionLog, aSendTellsWhichOfHowManyItIs) {
  DecisionRecord Record = recordOf("r1");
  Record.Sends_ = 1;
  Record.SendsLeft_ = 2;
  Log_.record(Record, Now);
  Record = recordOf("r1");
  Record.HostSends_ = 0;
  Record.BodyGone_ = true;
  Log_.record(Record, Now);
  STRCMP_CONTAINS("sends=1 sends_left=2 settings=7", Lines_.at(0).c_str());
  STRCMP_CONTAINS("host_sends=0 body_gone=1 settings=7", Lines_.at(1).c_str());
}

// Guards against refusals that do not tell a host without reach from one whose
// targets are full.
TEST(DecisionLog, aRefusalTellsWhatTheTargetsAreTakenFor) {
  DecisionRecord Record = recordOf("r1");
  Record.Event_ = "refuse";
  Record.Targets_ = DecisionRecord::TargetCounts{30, 28, 2};
  Log_.record(Record, Now);
  STRCMP_CONTAINS("targets=30 ejected=28 probation=2", Lines_.at(0).c_str());
}

TEST(DecisionLog, explainTellsOneRequestInOrder) {
  Log_.record(recordOf("r1"), Now);
  Log_.record(recordOf("r2"), Now);
  DecisionRecord Retry = recordOf("r1");
  Retry.Event_ = "retry";
  Log_.record(Retry, Now);
  const auto Explained = Log_.explain(base::RequestId("r1"));
  LONGS_EQUAL(2, Explained.size());
  STRCMP_CONTAINS("event=send", Explained[0].c_str());
  STRCMP_CONTAINS("event=retry", Explained[1].c_str());
  LONGS_EQUAL(0, Log_.explain(base::RequestId("r3")).size());
}

// A caller floods a host. Every request is remembered for explain, and without
// a bound the daemon's memory would grow until the machine ends it. The bound
// is in bytes, overhead counted, and the oldest explanations go first.
TEST(DecisionLog, aFloodCostsOldExplanationsAndNoMemory) {
  constexpr std::size_t Bound = std::size_t{256} * 1024;
  DecisionLog Small(nullptr, Bound);
  const std::string Long(2000, 'x');
  for (int Index = 0; Index < 2000; ++Index) {
    DecisionRecord Record = recordOf("r" + std::to_string(Index));
    Record.Reason_ = Long;
    Small.record(Record, Now);
    CHECK(Small.rememberedBytes() <= Bound);
  }
  LONGS_EQUAL(0, Small.explain(base::RequestId("r0")).size());
  CHECK(Small.rememberedBytes() > 0);
}

// A caller puts a line break and a forged event where its text may reach the
// log. An operator who greps for that event would believe it. Each record is
// one line, and what came from outside stays inside one quoted value.
TEST(DecisionLog, textFromOutsideCannotForgeALine) {
  DecisionRecord Record = recordOf("r1\nevent=forged");
  Record.Reason_ = "x\r\nevent=forged target=evil \x1b[2J\"";
  Log_.record(Record, Now);
  const std::string &Line = Lines_.at(0);
  CHECK(Line.find_first_of("\r\n\x1b") == std::string::npos);
  STRCMP_CONTAINS(R"(reason="x\x0d\x0aevent=forged target=evil \x1b[2J\"")",
                  Line.c_str());
  CHECK(Line.find("request=\"r1\\x0aevent=forged\"") != std::string::npos);
}

TEST(DecisionLog, aKeyInAnErrorTextIsMasked) {
  DecisionRecord Record = recordOf("r1");
  Record.Reason_ = "bad header Authorization: BeArEr  council-1.s3cret";
  Log_.record(Record, Now);
  CHECK(Lines_.at(0).find("s3cret") == std::string::npos);
  CHECK(Log_.explain(base::RequestId("r1")).at(0).find("s3cret") ==
        std::string::npos);
  STRCMP_EQUAL(
      "a bearer *** b Bearer=***,c bearer",
      reporting::maskSecrets("a bearer k.1 b Bearer=k.2,c bearer").c_str());
}

TEST(DecisionLog, aDecisionOverManyTargetsStaysReadable) {
  const std::vector<reporting::PassedOverCandidate> Many(500, {"t", "full"});
  DecisionRecord Record = recordOf("r1");
  Record.PassedOver_ = Many;
  Log_.record(Record, Now);
  CHECK(Lines_.at(0).size() < 400);
  STRCMP_CONTAINS(",+484", Lines_.at(0).c_str());
}

TEST(DecisionLog, threadsRecordAndExplainAtOnce) {
  DecisionLog Shared(nullptr);
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&Shared] {
      for (int Index = 0; Index < 500; ++Index) {
        const std::string Name = "r" + std::to_string(Index);
        Shared.record(recordOf(Name), Now);
        Shared.explain(base::RequestId(Name));
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  LONGS_EQUAL(4, Shared.explain(base::RequestId("r499")).size());
}
