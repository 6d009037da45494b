#include "gateway/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;

TEST_GROUP(Waiting) {
  Fixture Fixture_;
  void setup() override {
    Fixture_.Steering_->Limit_ = 1;
    Fixture_.start();
  }
};

TEST(Waiting, aWaitingRequestIsSentWhenItsTurnComes) {
  std::vector<std::unique_ptr<RawClient>> Callers;
  for (int Index = 0; Index < 20; ++Index) {
    Callers.push_back(std::make_unique<RawClient>(Fixture_.address()));
    Callers.back()->send(tests::requestText("GET", "/s/x?work_ms=2"));
  }
  for (const auto &Each : Callers)
    LONGS_EQUAL(200, Each->readAnswer().Status_);
  LONGS_EQUAL(20, Fixture_.runs());
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}

// A caller hangs up while its request waits. The request must never be sent,
// and the room that would have been its is given to the next.
TEST(Waiting, aCallerThatHangsUpIsNotSent) {
  RawClient First(Fixture_.address());
  First.send(tests::requestText("GET", "/s/x?work_ms=150"));
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->arrivals() == 1; }));
  RawClient Second(Fixture_.address());
  Second.send(tests::requestText("GET", "/s/x"));
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->waiting() == 1; }));
  Second.close();
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->waiting() == 0; }));
  LONGS_EQUAL(200, First.readAnswer().Status_);
  LONGS_EQUAL(1, Fixture_.runs());
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}

// A caller hangs up while a target runs its request: the send is cancelled
// and the target's room is free at once, not after the target's long work.
TEST(Waiting, aHangUpCancelsTheSend) {
  RawClient First(Fixture_.address());
  First.send(tests::requestText("GET", "/s/x?work_ms=60000"));
  CHECK(tests::waitFor([&] { return Fixture_.runs() == 1; }));
  First.close();
  RawClient Second(Fixture_.address());
  LONGS_EQUAL(200, Second.request("GET", "/s/x").Status_);
}

TEST(Waiting, aDeadlineThatPassesWhileItWaitsIsRefusedAsNotRun) {
  RawClient First(Fixture_.address());
  First.send(tests::requestText("GET", "/s/x?work_ms=400"));
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->arrivals() == 1; }));
  RawClient Second(Fixture_.address());
  const RawAnswer Answer =
      Second.request("POST", "/s/x", "Lychee-Deadline-Ms: 30\r\n", "abc");
  LONGS_EQUAL(504, Answer.Status_);
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  LONGS_EQUAL(200, First.readAnswer().Status_);
  LONGS_EQUAL(1, Fixture_.runs());
}

// Two sends of one endorsement under one Idempotency-Key: the second is told
// that it has run, and the target ran it once.
TEST(Waiting, anIdempotencyKeyRunsOnce) {
  RawClient Caller(Fixture_.address());
  const std::string Header = "Idempotency-Key: e1\r\n";
  LONGS_EQUAL(200, Caller.request("POST", "/s/x", Header, "abc").Status_);
  const RawAnswer Again = Caller.request("POST", "/s/x", Header, "abc");
  LONGS_EQUAL(409, Again.Status_);
  STRCMP_EQUAL("maybe", Again.header("lychee-ran").c_str());
  LONGS_EQUAL(1, Fixture_.target().counts().runsOfKey("e1"));
}

// The store grants the claim after the request's deadline. The caller has been
// told "not run" by then, and it was not; the late claim is given back, or the
// caller's next try of the same key would be refused for good.
TEST(Waiting, aClaimGrantedTooLateIsGivenBack) {
  Fixture_.Claims_.KeepBack_ = true;
  RawClient Caller(Fixture_.address());
  const std::string Header = "Idempotency-Key: e1\r\n";
  const RawAnswer Late = Caller.request(
      "POST", "/s/x", Header + "Lychee-Deadline-Ms: 40\r\n", "abc");
  LONGS_EQUAL(503, Late.Status_);
  STRCMP_EQUAL("no", Late.header("lychee-ran").c_str());
  LONGS_EQUAL(0, Fixture_.runs());
  Fixture_.Claims_.release();
  CHECK(tests::waitFor([&] {
    return Caller.request("POST", "/s/x", Header, "abc").Status_ == 200;
  }));
  LONGS_EQUAL(1, Fixture_.target().counts().runsOfKey("e1"));
}

// The claim cannot be recorded: nothing runs, the refusal says so, and the
// room at the target is given back.
TEST(Waiting, withoutAClaimNothingRuns) {
  Fixture_.Claims_.StoreDown_ = true;
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer =
      Caller.request("POST", "/s/x", "Idempotency-Key: e1\r\n", "abc");
  LONGS_EQUAL(503, Answer.Status_);
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  LONGS_EQUAL(0, Fixture_.runs());
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}
