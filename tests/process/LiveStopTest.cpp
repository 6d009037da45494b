#include "platform/Names.h"
#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>
#include <unistd.h>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::LiveFleet;
using tests::TestFleet;
using namespace std::chrono_literals;

/// Two real hosts, one of which is told to stop, with targets in this process.
TEST_GROUP(LiveStop) {
  static constexpr std::size_t Stopped = 1;
  static constexpr std::size_t TargetCount = 6;
  std::unique_ptr<LiveFleet> Fleet_;

  void setup() override {
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(tests::LiveFleetSize{
        "127.93." + std::to_string(Number) + ".", 2, TargetCount, false});
    for (std::size_t Each = 0; Each < 2; ++Each)
      CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(Each); }));
  }
  void teardown() override { Fleet_.reset(); }

  static tests::CallerRequest requestFor(const std::string &Id,
                                         int WorkMilliseconds) {
    tests::CallerRequest Request;
    Request.Target_ =
        "/w/" + Id + "?work_ms=" + std::to_string(WorkMilliseconds);
    Request.Headers_ = {{"Host", "a.example"},
                        {"Authorization", "Bearer first-key"},
                        {lychee::platform::vocabulary().RequestId_, Id},
                        // The stand-in counts by this one.
                        {"Lychee-Request-Id", Id}};
    return Request;
  }

  std::uint64_t runsOf(const std::string &Id) {
    std::uint64_t Runs = 0;
    for (std::size_t Each = 0; Each < Fleet_->targetCount(); ++Each)
      Runs += Fleet_->target(Each).counts().runsOfRequest(Id);
    return Runs;
  }
};

// Requests that callers sent late in a stop were passed on, and reset at its
// end while targets worked on them.
TEST(LiveStop, whatIsSentLateInAStopIsAnsweredOrRefusedAsNotRun) {
  constexpr int CallerCount = 14;
  std::vector<int> Statuses(CallerCount);
  {
    std::vector<std::unique_ptr<tests::CallerConnection>> Kept;
    Kept.reserve(CallerCount);
    for (int Each = 0; Each < CallerCount; ++Each)
      Kept.push_back(
          std::make_unique<tests::CallerConnection>(Fleet_->callers(Stopped)));
    Fleet_->host(Stopped).signal(SIGTERM);
    const auto Signalled = std::chrono::steady_clock::now();
    std::vector<std::jthread> Callers;
    Callers.reserve(CallerCount);
    for (int Each = 0; Each < CallerCount; ++Each)
      Callers.emplace_back([&, Each] {
        std::this_thread::sleep_until(Signalled + 2850ms + Each * 25ms);
        Statuses[Each] =
            Kept[Each]->send(requestFor(std::to_string(Each), 2500)).Status_;
      });
  }
  for (int Each = 0; Each < CallerCount; ++Each) {
    const std::uint64_t Runs = runsOf(std::to_string(Each));
    // A request that crosses the close of its connection is not passed on.
    CHECK(Statuses[Each] == 200 || Runs == 0);
  }
  LONGS_EQUAL(0, Fleet_->host(Stopped).wait());
}

// The signal came twice, and the second one cut what was at work.
TEST(LiveStop, aSignalThatComesTwiceCutsNothing) {
  bool Began = false;
  std::jthread Signals([&] {
    Began = TestFleet::waitFor([&] { return runsOf("long") == 1; });
    Fleet_->host(Stopped).signal(SIGTERM);
    std::this_thread::sleep_for(50ms);
    Fleet_->host(Stopped).signal(SIGTERM);
  });
  tests::CallerConnection Caller(Fleet_->callers(Stopped));
  LONGS_EQUAL(200, Caller.send(requestFor("long", 1000)).Status_);
  Signals.join();
  CHECK(Began);
  LONGS_EQUAL(0, Fleet_->host(Stopped).wait());
}
