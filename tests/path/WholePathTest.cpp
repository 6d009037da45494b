#include "support/TestFleet.h"

#include "CppUTest/TestHarness.h"

using lychee::tests::call;
using lychee::tests::CallerAnswer;
using lychee::tests::CallerConnection;
using lychee::tests::CallerRequest;
using lychee::tests::Finished;
using lychee::tests::FleetPlan;
using lychee::tests::get;
using lychee::tests::TestFleet;

TEST_GROUP(WholePath) {
  TestFleet Fleet_{FleetPlan()};

  void setup() override {
    const bool Started = Fleet_.start();
    CHECK_TRUE_TEXT(Started, Fleet_.trouble().c_str());
  }
};

// An operator applies settings with the command line; a caller looks up which
// host to use, sends a request with its key, and gets its target's answer. The
// request can be explained by its id.
TEST(WholePath, aRequestIsServedFromEndToEnd) {
  const CallerAnswer Lookup =
      get(Fleet_.callers(0), "/.well-known/lychee/hosts?service=rota");
  LONGS_EQUAL(200, Lookup.Status_);
  STRCMP_CONTAINS(Fleet_.callers(0).c_str(), Lookup.Body_.c_str());

  const CallerAnswer Answer = call(Fleet_.callers(0), Fleet_.request());
  LONGS_EQUAL(200, Answer.Status_);
  STRCMP_CONTAINS("rota-", Answer.Body_.c_str());
  const std::string Id = Answer.header("Lychee-Request-Id");
  CHECK_FALSE(Id.empty());

  const Finished Explained = Fleet_.lychee({"explain", Id});
  LONGS_EQUAL(0, Explained.ExitCode_);
  STRCMP_CONTAINS("event=send", Explained.Output_.c_str());
  STRCMP_CONTAINS("customer=parish", Explained.Output_.c_str());
}

TEST(WholePath, operatorsSeeSettingsAndStatus) {
  const Finished Shown = Fleet_.lychee({"show"});
  LONGS_EQUAL(0, Shown.ExitCode_);
  STRCMP_CONTAINS("[service rota]", Shown.Output_.c_str());
  const Finished Status = Fleet_.lychee({"status"});
  LONGS_EQUAL(0, Status.ExitCode_);
  STRCMP_CONTAINS("host-0", Status.Output_.c_str());
}

TEST(WholePath, aRequestWithoutAGoodKeyIsRefusedAndSaysNotRun) {
  for (const char *Header :
       {"", "Bearer ", "Bearer parish-1.wrong", "Basic x"}) {
    CallerRequest Request = Fleet_.request();
    Request.Headers_["Authorization"] = Header;
    const CallerAnswer Answer = call(Fleet_.callers(0), Request);
    LONGS_EQUAL(401, Answer.Status_);
    STRCMP_EQUAL("no", Answer.header("Lychee-Ran").c_str());
    STRCMP_EQUAL("application/problem+json",
                 Answer.header("Content-Type").c_str());
    const Finished Why =
        Fleet_.lychee({"explain", Answer.header("Lychee-Request-Id")});
    STRCMP_CONTAINS("reason=unknown-key ran=no", Why.Output_.c_str());
  }
}

// A caller keeps its connection open while an operator withdraws its key.
// The connection was good for many requests before, so a host that checked the
// key only once would go on serving it.
TEST(WholePath, aWithdrawnKeyStopsOnAnOpenConnection) {
  CallerConnection Caller(Fleet_.callers(0));
  LONGS_EQUAL(200, Caller.send(Fleet_.request()).Status_);
  const Finished Withdrawn =
      Fleet_.lychee({"key", "withdraw", "parish-1", "--wait"});
  LONGS_EQUAL_TEXT(0, Withdrawn.ExitCode_, Withdrawn.Output_.c_str());
  const CallerAnswer Answer = Caller.send(Fleet_.request());
  LONGS_EQUAL(401, Answer.Status_);
  STRCMP_EQUAL("no", Answer.header("Lychee-Ran").c_str());
}

// The key goes no further than the host: neither a target, a log, an
// explanation nor a metric shows it.
TEST(WholePath, theKeyIsSeenNowhere) {
  const CallerAnswer Answer = call(Fleet_.callers(0), Fleet_.request());
  LONGS_EQUAL(200, Answer.Status_);
  const std::string Secret = Fleet_.key().substr(Fleet_.key().find('.') + 1);
  const auto Absent = [&](const std::string &Text) {
    return Text.find(Secret) == std::string::npos;
  };
  CHECK(Absent(Answer.Body_));
  CHECK(Absent(Fleet_.host(0).log()));
  CHECK(Absent(Fleet_.target(0).log()));
  CHECK(Absent(
      Fleet_.lychee({"explain", Answer.header("Lychee-Request-Id")}).Output_));
  CHECK(Absent(get(Fleet_.metrics(0), "/metrics").Body_));
  CHECK(Absent(Fleet_.lychee({"show"}).Output_));
}

// A caller sends a booking, and sends it again with the same Idempotency-Key,
// as if its answer had been lost. The second one is told that it has run, and
// the target runs it once.
TEST(WholePath, aBookingSentTwiceRunsOnce) {
  CallerRequest Booking = Fleet_.request("POST", "/bookings");
  Booking.Headers_["Idempotency-Key"] = "booking-1";
  Booking.Body_ = "second bell, Sunday";
  CallerAnswer First;
  // Until the host has its partition of claims it refuses, truthfully.
  CHECK(TestFleet::waitFor([&] {
    First = call(Fleet_.callers(0), Booking);
    return First.Status_ != 503;
  }));
  LONGS_EQUAL(200, First.Status_);
  const CallerAnswer Second = call(Fleet_.callers(0), Booking);
  LONGS_EQUAL(409, Second.Status_);
  STRCMP_EQUAL("maybe", Second.header("Lychee-Ran").c_str());
  STRCMP_CONTAINS(R"("outcome":{"status":200})", Second.Body_.c_str());
}
