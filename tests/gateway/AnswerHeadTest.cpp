#include "gateway/Fixture.h"
#include "gateway/RawTarget.h"

#include <algorithm>
#include <atomic>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::steering::AnswerHead;
using lychee::steering::SendOutcome;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::RawTarget;
using namespace std::chrono_literals;

namespace {

/// The head of a refusal with a rest of 3 s.
std::string refusal(const std::string &More) {
  return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\n" + More +
         "\r\n";
}

bool asksForRest(const AnswerHead &Head) {
  return Head.Status_ == 503 && Head.Statement_.Rest_.For_ == 3s;
}

} // namespace

/// What targets state in the heads of their answers, as the steering hears it.
TEST_GROUP(AnswerHead) {
  std::unique_ptr<RawTarget> Target_;
  std::unique_ptr<Fixture> Fixture_;
  /// Ends scripts that wait for it.
  std::atomic<bool> Over_ = false;

  void serve(RawTarget::Script Script) {
    Target_ = std::make_unique<RawTarget>(std::move(Script));
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.Names_.RequestId_ = "X-Name";
    Fixture_->Settings_.Names_.CallerNamesRequest_ = true;
    Fixture_->Settings_.Names_.ExpectedTarget_ = "X-Expected";
    Fixture_->Settings_.Names_.TargetLeaving_ = {"X-Leaving"};
    Fixture_->Settings_.HeldBodyBytes_ = 4U << 20;
    Fixture_->Settings_.Threads_ = 1;
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{Target_->address()});
    Fixture_->Steering_->MaximumSends_ = 1;
    Fixture_->start();
  }
  std::vector<AnswerHead> heads() const { return Fixture_->Steering_->heads(); }
  void teardown() override {
    Over_ = true;
    Fixture_.reset();
    Target_.reset();
  }
};

// Status 000 was taken for an interim answer, and the body behind it for the
// answer.
TEST(AnswerHead, whatIsNoAnswerReachesNoCaller) {
  const std::string Inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
  const std::string Length =
      "Content-Length: " + std::to_string(Inner.size()) + "\r\n";
  for (const std::string &Head :
       {std::string("HTTP/1.1 000 Trouble\r\n"),
        std::string("HTTP/1.1 099 X\r\n"), std::string("HTTP/1.1 600 X\r\n"),
        std::string("HTTP/1.1 999 X\r\n"), std::string("HTTP/1.1 20 X\r\n"),
        std::string("HTTP/1.1 2000 X\r\n"), std::string("HTTP/1.1 101 X\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX Other: 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX-Other : 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX\tOther: 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX\x01Other: 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX\x7fOther: 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX\xe9Other: 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\n: 1\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX-Other: a\x01z\r\n")}) {
    std::string Text = Head;
    Text.append(Length).append("\r\n").append(Inner);
    serve([&Text](RawTarget::Socket &Peer) {
      while (!RawTarget::readHead(Peer).empty())
        RawTarget::send(Peer, Text);
    });
    RawClient Caller(Fixture_->address());
    for (int Time = 0; Time < 2; ++Time)
      LONGS_EQUAL_TEXT(502,
                       Caller.request("GET", "/s/x", "X-Name: r1\r\n").Status_,
                       Head.c_str());
    Fixture_.reset();
    Target_.reset();
  }
}

// Guards against a rest that is heard only with the end of its answer.
TEST(AnswerHead, itIsHeardBeforeTheBodyHasCome) {
  serve([this](RawTarget::Socket &Peer) {
    RawTarget::readHead(Peer);
    RawTarget::send(Peer, refusal("Content-Length: 9\r\n") + "half");
    while (!Over_)
      std::this_thread::sleep_for(1ms);
  });
  RawClient Caller(Fixture_->address());
  CHECK(Caller.send(tests::requestText("GET", "/s/x", "X-Name: r1\r\n")));
  CHECK(tests::waitFor([&] { return !heads().empty(); }));
  CHECK(asksForRest(heads().front()));
  CHECK(Fixture_->Steering_->ends().empty());
  Over_ = true;
  // The body breaks off.
  CHECK(tests::waitFor([&] { return !Fixture_->Steering_->ends().empty(); }));
  CHECK(Fixture_->Steering_->ends().front() == SendOutcome::ResponseTruncated);
}

TEST(AnswerHead, aRefusalBeforeTheWholeBodyOfTheRequestIsHeard) {
  serve([this](RawTarget::Socket &Peer) {
    RawTarget::readHead(Peer);
    RawTarget::send(Peer, refusal("Content-Length: 0\r\n"));
    while (!Over_)
      std::this_thread::sleep_for(1ms);
  });
  RawClient Caller(Fixture_->address());
  Caller.request("POST", "/s/x", "X-Name: r1\r\n",
                 std::string(std::size_t{3} << 20, 'x'));
  Over_ = true;
  LONGS_EQUAL(1, heads().size());
  CHECK(asksForRest(heads().front()));
}

TEST(AnswerHead, aLateAnswerToAnEarlierRequestIsHeard) {
  serve([](RawTarget::Socket &Peer) {
    RawTarget::readHead(Peer);
    RawTarget::send(Peer, refusal("X-Name: earlier\r\nContent-Length: 0\r\n"));
    RawTarget::send(Peer, "HTTP/1.1 200 OK\r\nX-Name: r1\r\nX-Leaving: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
    RawTarget::waitForEnd(Peer);
  });
  RawClient Caller(Fixture_->address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/x", "X-Name: r1\r\n").Status_);
  LONGS_EQUAL(2, heads().size());
  CHECK(asksForRest(heads().front()));
  CHECK(heads().back().Statement_.Leaving_);
}

TEST(AnswerHead, anotherTargetThanTheExpectedOneIsMarked) {
  serve([](RawTarget::Socket &Peer) {
    RawTarget::readHead(Peer);
    RawTarget::send(Peer, "HTTP/1.1 421 Misdirected Request\r\nX-Leaving: 1"
                          "\r\nContent-Length: 0\r\n\r\n");
    RawTarget::waitForEnd(Peer);
  });
  RawClient Caller(Fixture_->address());
  Caller.request("GET", "/s/x", "X-Name: r1\r\n");
  LONGS_EQUAL(1, heads().size());
  CHECK(heads().front().WrongTarget_);
  CHECK(heads().front().NotRun_);
}

// A kept connection is silent; the second send, on a new one, is refused.
TEST(AnswerHead, aRefusalOfTheSecondSendIsHeard) {
  Fixture Under;
  Under.Settings_.HedgeIdleLimit_ = {};
  Under.Settings_.Threads_ = 1;
  Under.Steering_->MaximumSends_ = 1;
  Under.start();
  RawClient Caller(Under.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  Under.target().setFaults(tests::faultsOf("silent=1&rest=3"));
  Caller.request("GET", "/s/x");
  const auto Heads = Under.Steering_->heads();
  LONGS_EQUAL(2, Heads.size());
  CHECK(asksForRest(Heads.back()));
}

// Guards against requests on a connection that its target is about to close.
TEST(AnswerHead, aConnectionIsNotUsedLongerThanItsTargetKeepsIt) {
  std::atomic<int> Connections = 0;
  std::string KeepAlive = "Keep-Alive: timeout=0\r\n";
  serve([&](RawTarget::Socket &Peer) {
    ++Connections;
    while (!RawTarget::readHead(Peer).empty())
      RawTarget::send(Peer, "HTTP/1.1 200 OK\r\nX-Name: r1\r\n" + KeepAlive +
                                "Content-Length: 0\r\n\r\n");
  });
  {
    RawClient Caller(Fixture_->address());
    for (int Count = 0; Count < 3; ++Count)
      LONGS_EQUAL(200, Caller.request("GET", "/s/x", "X-Name: r1\r\n").Status_);
    LONGS_EQUAL(3, Connections);
    KeepAlive = "Keep-Alive: timeout=60\r\n";
    for (int Count = 0; Count < 3; ++Count)
      LONGS_EQUAL(200, Caller.request("GET", "/s/x", "X-Name: r1\r\n").Status_);
    LONGS_EQUAL(4, Connections);
  }
  // Its scripts refer to locals.
  Fixture_.reset();
  Target_.reset();
}

/// Requests that their target no longer takes when they are to be written.
TEST_GROUP(Withheld){};

TEST(Withheld, theRequestGoesElsewhereAndTheConnectionIsKept) {
  Fixture Under;
  Under.Settings_.Threads_ = 1;
  Under.Steering_->WithheldWrite_ = 2;
  Under.start();
  RawClient Caller(Under.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  LONGS_EQUAL(200, Caller.request("POST", "/s/x", {}, "text").Status_);
  const auto Ends = Under.Steering_->ends();
  LONGS_EQUAL(1, std::count(Ends.begin(), Ends.end(), SendOutcome::Withheld));
  LONGS_EQUAL(2, Under.target().counts().total());
  LONGS_EQUAL(1, Under.target().connectionsMade());
}

// Guards against "may have run" for a request of which no byte was written.
TEST(Withheld, aRequestThatIsNotSentAnywhereHasNotRun) {
  Fixture Under;
  Under.Steering_->MaximumSends_ = 1;
  Under.Steering_->WithheldWrite_ = 1;
  Under.start();
  RawClient Caller(Under.address());
  const RawAnswer Answer = Caller.request("POST", "/s/x", {}, "text");
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  LONGS_EQUAL(0, Under.runs());
}

// Guards against a second send into a rest that began while its connection was
// opened, and against "not run" for it: the first one may have run, and is
// awaited until the deadline.
TEST(Withheld, aSecondSendIsWithheldAndTheRequestMayHaveRun) {
  Fixture Under;
  Under.Settings_.HedgeIdleLimit_ = {};
  Under.Settings_.Threads_ = 1;
  Under.Steering_->MaximumSends_ = 1;
  Under.Steering_->WithheldWrite_ = 3;
  Under.start();
  RawClient Caller(Under.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  Under.target().setFaults(tests::faultsOf("silent=1"));
  const RawAnswer Answer =
      Caller.request("GET", "/s/x", "Lychee-Deadline-Ms: 1000\r\n");
  LONGS_EQUAL(504, Answer.Status_);
  STRCMP_EQUAL("maybe", Answer.header("lychee-ran").c_str());
  LONGS_EQUAL(1, Under.target().counts().arrivals().size());
}
