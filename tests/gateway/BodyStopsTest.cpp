#include "gateway/Fixture.h"
#include "gateway/RawTarget.h"
#include "gateway/UploadTarget.h"

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::RawTarget;
using tests::UploadTarget;
using namespace std::chrono_literals;

/// Bodies that stop short of their end.
TEST_GROUP(BodyStops) {
  RawTarget Target_{[](RawTarget::Socket &Peer) {
    if (RawTarget::readHead(Peer).starts_with("GET"))
      RawTarget::send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RawTarget::waitForEnd(Peer);
  }};
  std::unique_ptr<Fixture> Fixture_;

  void setup() override {
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.HeldBodyBytes_ = 1024;
    Fixture_->Settings_.ProgressTimeout_ = 200ms;
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{Target_.address()});
    Fixture_->start();
  }
  void teardown() override { Fixture_.reset(); }

  RawAnswer stopAfter(std::size_t Bytes) const {
    RawClient Caller(Fixture_->address());
    Caller.send(tests::requestText("POST", "/s/x", "Content-Length: 9000\r\n") +
                std::string(Bytes, 'x'));
    return Caller.readAnswer();
  }
};

TEST(BodyStops, beforeASendItIsSaidThatItHasNotRun) {
  const RawAnswer Got = stopAfter(100);
  LONGS_EQUAL(408, Got.Status_);
  STRCMP_EQUAL("no", Got.header("lychee-ran").c_str());
}

// A body that stopped kept its target's room until the progress timeout.
TEST(BodyStops, atATargetItMakesRoomForARequestThatWaits) {
  Fixture_.reset();
  Fixture_ = std::make_unique<Fixture>(0);
  Fixture_->Settings_.HeldBodyBytes_ = 1024;
  Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
      std::vector<std::string>{Target_.address()});
  Fixture_->Steering_->Limit_ = 1;
  Fixture_->start();
  RawClient Stopped(Fixture_->address());
  Stopped.send(tests::requestText("POST", "/s/x", "Content-Length: 9000\r\n") +
               std::string(4000, 'x'));
  CHECK(tests::waitFor(
      [this] { return Fixture_->Steering_->openTickets() == 1; }));
  RawClient Other(Fixture_->address());
  LONGS_EQUAL(200, Other.request("GET", "/s/x").Status_);
}

// The time before the first byte was asked for counted as the caller's.
TEST(BodyStops, aBodyThatWaitsToBeAskedForIsNotSlow) {
  UploadTarget Storing({.Answer_ = tests::emptyAnswer("200 OK")});
  Fixture_.reset();
  Fixture_ = std::make_unique<Fixture>(0);
  Fixture_->Settings_.HeldBodyBytes_ = 1024;
  // One body that streams makes it scarce.
  Fixture_->Settings_.BodyMemoryBytes_ = 200UL << 10;
  Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
      std::vector<std::string>{Storing.address()});
  Fixture_->start();
  RawClient Caller(Fixture_->address());
  for (int Time = 0; Time < 2; ++Time) {
    Caller.send(tests::requestText("POST", "/s/x",
                                   "Expect: 100-continue\r\n"
                                   "Content-Length: 300000\r\n"));
    LONGS_EQUAL(100, Caller.readAnswer(true).Status_);
    Caller.send(std::string(300'000, 'x'));
    LONGS_EQUAL(200, Caller.readAnswer().Status_);
  }
  // Closes the connection that the target serves.
  Fixture_.reset();
}

// 408 promises that the request has not run, and its target had a part of it.
TEST(BodyStops, afterASendNothingIsPromised) {
  const RawAnswer Got = stopAfter(4000);
  LONGS_EQUAL(502, Got.Status_);
  STRCMP_EQUAL("maybe", Got.header("lychee-ran").c_str());
}
