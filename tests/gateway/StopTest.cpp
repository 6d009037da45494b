#include "gateway/Fixture.h"

#include <atomic>
#include <list>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::gateway::StopSummary;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;

namespace {

/// A caller that keeps its look-up and its connection as HTTP clients do: asks
/// again only when the cached answer is over, connects anew when told to.
class SteadyCaller {
public:
  explicit SteadyCaller(Fixture &Under) : Under_(Under) {
    Thread_ = std::thread([this] { run(); });
  }
  ~SteadyCaller() { join(); }
  void join() {
    if (Thread_.joinable())
      Thread_.join();
  }
  SteadyCaller(const SteadyCaller &) = delete;
  SteadyCaller &operator=(const SteadyCaller &) = delete;

  std::atomic<int> Answered_ = 0;
  std::atomic<int> Cut_ = 0;

private:
  void run() {
    std::unique_ptr<RawClient> Connection;
    for (int Round = 0; Round < 100000; ++Round) {
      // The look-up is asked of the directory that all hosts share; its answer
      // is kept for as long as it says, 300 ms here.
      if (std::chrono::steady_clock::now() >= CacheUntil_) {
        if (Under_.Directory_.Leaving_)
          return;
        CacheUntil_ =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
      }
      if (!Connection)
        Connection = std::make_unique<RawClient>(Under_.address());
      const RawAnswer Answer =
          Connection->request("POST", "/s/x?work_ms=3", "", "abc");
      if (Answer.Status_ == 200 && Answer.Whole_)
        ++Answered_;
      else
        ++Cut_;
      if (Answer.header("connection") == "close" || Answer.Status_ != 200)
        Connection.reset();
    }
  }

  Fixture &Under_;
  std::chrono::steady_clock::time_point CacheUntil_;
  std::thread Thread_;
};

} // namespace

TEST_GROUP(Stop) {
  Fixture Fixture_{1, {.Slots_ = 50}};
  void setup() override {
    Fixture_.Settings_.LookupTimeToLive_ = std::chrono::milliseconds(600);
    Fixture_.Settings_.StopDeadline_ = std::chrono::seconds(20);
    Fixture_.start();
  }
};

// Eight callers send without pause and cache their look-ups when the host is
// told to stop. Callers go on to use it until their caches run out; the host
// waits that out, ends what is in flight, and only then goes. Nobody is cut.
TEST(Stop, aPlannedStopUnderSteadyLoadCutsNoRequest) {
  std::list<SteadyCaller> Callers;
  for (int Index = 0; Index < 8; ++Index)
    Callers.emplace_back(Fixture_);
  CHECK(tests::waitFor([&] { return Fixture_.runs() > 200; }));
  Fixture_.gateway().requestStop();
  const StopSummary Summary = Fixture_.gateway().waitUntilStopped();
  LONGS_EQUAL(0, Summary.CutRequests_.size());
  LONGS_EQUAL(0, Summary.CutConnections_);
  int Answered = 0;
  int Cut = 0;
  for (SteadyCaller &Each : Callers) {
    Each.join();
    Answered += Each.Answered_;
    Cut += Each.Cut_;
  }
  LONGS_EQUAL(0, Cut);
  CHECK(Answered > 200);
}

TEST(Stop, readinessGoesOffAtOnceAndWorkGoesOn) {
  RawClient Caller(Fixture_.address());
  LONGS_EQUAL(200, Caller.request("GET", "/.well-known/lychee/ready").Status_);
  Fixture_.gateway().requestStop();
  CHECK(tests::waitFor([&] { return Fixture_.Directory_.Leaving_.load(); }));
  RawClient Late(Fixture_.address());
  LONGS_EQUAL(503, Late.request("GET", "/.well-known/lychee/ready").Status_);
  const RawAnswer Answer = Caller.request("GET", "/s/x");
  LONGS_EQUAL(200, Answer.Status_);
  STRCMP_EQUAL("close", Answer.header("connection").c_str());
  Fixture_.gateway().waitUntilStopped();
}

// A request would take a minute. A second signal ends the stop at once: the
// caller is told that it may have run, its end is reported, and the summary
// names it.
TEST(Stop, aSecondSignalCutsAndSaysWhat) {
  RawClient Caller(Fixture_.address());
  Caller.send(tests::requestText("POST", "/s/x?work_ms=60000", "", "abc"));
  CHECK(tests::waitFor([&] { return Fixture_.runs() == 1; }));
  Fixture_.gateway().requestStop();
  Fixture_.gateway().requestStop();
  const StopSummary Summary = Fixture_.gateway().waitUntilStopped();
  LONGS_EQUAL(1, Summary.CutRequests_.size());
  CHECK(Summary.CutRequests_.front().Stage_ ==
        lychee::gateway::RequestStage::AtTarget);
  LONGS_EQUAL(1, Fixture_.target().counts().runsOfRequest(
                     Summary.CutRequests_.front().Id_));
  const RawAnswer Answer = Caller.readAnswer();
  LONGS_EQUAL(502, Answer.Status_);
  STRCMP_EQUAL("maybe", Answer.header("lychee-ran").c_str());
  STRCMP_EQUAL("close", Answer.header("connection").c_str());
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}

// A target leaves: it is no longer among the targets. What runs there ends
// and is answered; its idle connections close.
TEST(Stop, aLeavingTargetFinishesWhatItRuns) {
  RawClient Busy(Fixture_.address());
  RawClient Idle(Fixture_.address());
  LONGS_EQUAL(200, Idle.request("GET", "/s/x").Status_);
  Busy.send(tests::requestText("POST", "/s/x?work_ms=200", "", "abc"));
  CHECK(tests::waitFor([&] { return Fixture_.runs() == 2; }));
  Fixture_.gateway().setTargets({});
  LONGS_EQUAL(200, Busy.readAnswer().Status_);
  CHECK(
      tests::waitFor([&] { return Fixture_.target().connectionsOpen() == 0; }));
}

namespace {

/// Closes to the caller's eyes: a request that the host refused, and that no
/// target got.
void checkRefusedAsNotRun(const RawAnswer &Answer) {
  LONGS_EQUAL(503, Answer.Status_);
  CHECK(Answer.Whole_);
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  STRCMP_EQUAL("close", Answer.header("connection").c_str());
}

} // namespace

/// Callers may connect for most of the stop.
TEST_GROUP(LateInStop) {
  Fixture Fixture_{1, {.Slots_ = 50}};
  void setup() override {
    Fixture_.Settings_.LookupTimeToLive_ = std::chrono::milliseconds(1500);
    Fixture_.Settings_.StopDeadline_ = std::chrono::milliseconds(2500);
    Fixture_.start();
  }
  void stopAndPassHalfOfIt() {
    Fixture_.gateway().requestStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(1350));
  }
};

// The host took work that it had no time for, and reset it at the stop's end.
TEST(LateInStop, workThatMayOutlastTheStopIsRefusedAsNotRun) {
  stopAndPassHalfOfIt();
  RawClient Caller(Fixture_.address());
  checkRefusedAsNotRun(Caller.request("GET", "/s/x?work_ms=2000",
                                      "Lychee-Deadline-Ms: 5000\r\n"));
  LONGS_EQUAL(0, Fixture_.runs());
  LONGS_EQUAL(0, Fixture_.gateway().waitUntilStopped().CutRequests_.size());
}

TEST(LateInStop, workWhoseDeadlineComesBeforeTheEndIsServed) {
  stopAndPassHalfOfIt();
  RawClient Caller(Fixture_.address());
  LONGS_EQUAL(
      200,
      Caller.request("GET", "/s/x?work_ms=300", "Lychee-Deadline-Ms: 700\r\n")
          .Status_);
  LONGS_EQUAL(0, Fixture_.gateway().waitUntilStopped().CutRequests_.size());
}

// What waited for room when the stop was over was reset, though nothing of it
// had run.
TEST(LateInStop, whatWaitsAtTheEndIsRefusedAsNotRun) {
  Fixture_.Steering_->Limit_ = 1;
  RawClient Busy(Fixture_.address());
  Busy.send(tests::requestText("POST", "/s/x?work_ms=60000", "", "abc"));
  CHECK(tests::waitFor([&] { return Fixture_.runs() == 1; }));
  RawClient Waiting(Fixture_.address());
  Waiting.send(tests::requestText("POST", "/s/x", "", "abc"));
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->waiting() == 1; }));
  Fixture_.gateway().requestStop();
  checkRefusedAsNotRun(Waiting.readAnswer());
  Fixture_.gateway().waitUntilStopped();
  LONGS_EQUAL(1, Fixture_.runs());
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}

/// Nobody has this host's address from a look-up.
TEST_GROUP(StopAtOnce) {
  Fixture Fixture_{1, {.Slots_ = 50}};
  void setup() override {
    Fixture_.Settings_.LookupTimeToLive_ = {};
    Fixture_.Settings_.StopDeadline_ = std::chrono::seconds(20);
    Fixture_.start();
  }
};

// The stop was over while a connection still waited to be accepted.
TEST(StopAtOnce, aConnectionThatWaitsToBeAcceptedIsServed) {
  std::unique_ptr<RawClient> Caller;
  Fixture_.Directory_.OnLeaving_ = [&] {
    Caller = std::make_unique<RawClient>(Fixture_.address());
    Caller->send(tests::requestText("POST", "/s/x?work_ms=300", "", "abc"));
  };
  Fixture_.gateway().requestStop();
  Fixture_.gateway().waitUntilStopped();
  LONGS_EQUAL(1, Fixture_.runs());
  LONGS_EQUAL(0, Fixture_.gateway().inFlight());
  LONGS_EQUAL(200, Caller->readAnswer().Status_);
}

// A close with unread bytes of the caller is a reset, which takes along what
// the caller has not received yet of the answer before.
TEST(StopAtOnce, anAnswerIsNotLostToBytesThatFollowItsRequest) {
  constexpr int SmallBuffer = 4096;
  RawClient Caller(Fixture_.address(), SmallBuffer);
  Caller.send(tests::requestText("GET", "/s/x?work_ms=300&answer_bytes=60000"));
  CHECK(tests::waitFor([&] { return Fixture_.runs() == 1; }));
  Fixture_.gateway().requestStop();
  CHECK(tests::waitFor([&] { return Fixture_.Directory_.Leaving_.load(); }));
  Caller.send(tests::requestText("GET", "/s/x"));
  CHECK(tests::waitFor([&] { return Fixture_.gateway().inFlight() == 0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const RawAnswer Answer = Caller.readAnswer();
  LONGS_EQUAL(200, Answer.Status_);
  CHECK(Answer.Whole_);
  LONGS_EQUAL(1, Fixture_.runs());
}
