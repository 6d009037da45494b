#include "gateway/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;

namespace {
bool holds(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}
} // namespace

TEST_GROUP(Forwarding) {
  Fixture Fixture_;
  void setup() override { Fixture_.start(); }
};

TEST(Forwarding, aRequestReachesTheTargetAndItsAnswerTheCaller) {
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("GET", "/s/list?a=1");
  LONGS_EQUAL(200, Answer.Status_);
  CHECK(holds(Answer.Body_, R"("path":"/s/list?a=1")"));
  CHECK(holds(Answer.Body_, R"("Lychee-Customer":"c1")"));
  LONGS_EQUAL(16, Answer.header("lychee-request-id").size());
  LONGS_EQUAL(1, Fixture_.target().counts().runsOfRequest(
                     Answer.header("lychee-request-id")));
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}

TEST(Forwarding, manyRequestsShareConnectionsOnBothSides) {
  RawClient Caller(Fixture_.address());
  for (int Index = 0; Index < 50; ++Index)
    LONGS_EQUAL(200, Caller.request("POST", "/s/a", "", "body").Status_);
  LONGS_EQUAL(1, Fixture_.target().connectionsMade());
  LONGS_EQUAL(50, Fixture_.runs());
}

// A caller pipelines three requests in one write. Each answer must be its own,
// in the order of the requests, or a caller reads another's data.
TEST(Forwarding, pipelinedRequestsAreAnsweredInOrder) {
  RawClient Caller(Fixture_.address());
  Caller.send(tests::requestText("GET", "/s/1?work_ms=20") +
              tests::requestText("POST", "/s/2", "", "xyz") +
              tests::requestText("GET", "/s/3"));
  CHECK(holds(Caller.readAnswer().Body_, "/s/1"));
  CHECK(holds(Caller.readAnswer().Body_, R"("bodyBytes":3)"));
  CHECK(holds(Caller.readAnswer().Body_, "/s/3"));
}

// The key goes to no target, in no header, also where the caller names other
// headers as its connection's own or copies the key into a second header.
TEST(Forwarding, keyAndHopByHopHeadersStayBehind) {
  RawClient Caller(Fixture_.address());
  const std::string Copy = "X-Copy: <" + std::string(tests::GoodKey) + ">\r\n";
  const RawAnswer Answer = Caller.request(
      "GET", "/s/x",
      Copy + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
             "Lychee-Customer: forged\r\nX-Stays: yes\r\n");
  LONGS_EQUAL(200, Answer.Status_);
  CHECK_FALSE(holds(Answer.Body_, "s3cr3t"));
  CHECK_FALSE(holds(Answer.Body_, "X-Hop"));
  CHECK_FALSE(holds(Answer.Body_, "TE"));
  CHECK_FALSE(holds(Answer.Body_, "forged"));
  CHECK(holds(Answer.Body_, R"("X-Stays":"yes")"));
}

TEST(Forwarding, aRefusalIsProblemJsonThatSaysNotRun) {
  Fixture_.Steering_->RefuseAll_ = lychee::steering::Refusal::RateLimited;
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("POST", "/s/x", "", "abc");
  LONGS_EQUAL(429, Answer.Status_);
  STRCMP_EQUAL("application/problem+json",
               Answer.header("content-type").c_str());
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  STRCMP_EQUAL("2", Answer.header("retry-after").c_str());
  CHECK(holds(Answer.Body_, R"("ran":"no")"));
  CHECK(holds(Answer.Body_, R"("reason":"over-rate")"));
  LONGS_EQUAL(0, Fixture_.runs());
  Fixture_.Steering_->RefuseAll_ = lychee::steering::Refusal::None;
  LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
}

// The caller's connection is open and has been used when its key is withdrawn.
// The key is asked about on every request, so the next one is refused.
TEST(Forwarding, aWithdrawnKeyStopsWorkingOnAnOpenConnection) {
  RawClient Caller(Fixture_.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
  Fixture_.Authenticator_.Withdrawn_ = true;
  const RawAnswer Answer = Caller.request("GET", "/s/x");
  LONGS_EQUAL(401, Answer.Status_);
  CHECK(holds(Answer.Body_, "key-withdrawn"));
  LONGS_EQUAL(1, Fixture_.runs());
}

TEST(Forwarding, lookupsNameTheHostsAndUnknownServicesAreRefused) {
  RawClient Caller(Fixture_.address());
  const RawAnswer Found =
      Caller.request("GET", "/.well-known/lychee/hosts?service=s");
  LONGS_EQUAL(200, Found.Status_);
  CHECK(holds(Found.Body_, R"("address":"127.0.0.1:1")"));
  CHECK(holds(Found.Body_, R"("ttlSeconds":5,"settingsVersion":7)"));
  LONGS_EQUAL(
      404,
      Caller.request("GET", "/.well-known/lychee/hosts?service=no").Status_);
  LONGS_EQUAL(400, Caller.request("GET", "/.well-known/lychee/hosts").Status_);
  LONGS_EQUAL(200, Caller.request("GET", "/.well-known/lychee/ready").Status_);
  LONGS_EQUAL(404, Caller.request("GET", "/elsewhere").Status_);
}
