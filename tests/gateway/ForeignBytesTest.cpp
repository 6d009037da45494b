#include "gateway/Fixture.h"
#include "gateway/RawTarget.h"

#include <atomic>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::steering::SendOutcome;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::RawTarget;

namespace {

std::string answerOf(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Name: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// \returns the request's own name, as the target got it.
std::string nameIn(const std::string &Head) {
  const std::string Mark = "X-Name: ";
  const std::size_t Begin = Head.find(Mark);
  return Begin == std::string::npos
             ? std::string()
             : Head.substr(Begin + Mark.size(),
                           Head.find('\r', Begin) - Begin - Mark.size());
}

} // namespace

TEST_GROUP(ForeignBytes) {
  std::unique_ptr<RawTarget> Target_;
  std::unique_ptr<Fixture> Fixture_;

  void serve(RawTarget::Script Script) {
    Target_ = std::make_unique<RawTarget>(std::move(Script));
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.Names_.RequestId_ = "X-Name";
    Fixture_->Settings_.Names_.CallerNamesRequest_ = true;
    Fixture_->Settings_.Names_.NotRun_ = "X-Not-Run";
    Fixture_->Settings_.Names_.NotRunValue_ = "";
    Fixture_->Settings_.HeldBodyBytes_ = 4U << 20;
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{Target_->address()});
    Fixture_->start();
  }
  void teardown() override {
    Fixture_.reset();
    Target_.reset();
  }
};

// A target sends an answer to an earlier request first, late, and then the one
// that was asked for. Taken as it comes, the caller gets another's answer.
TEST(ForeignBytes, anotherRequestsAnswerIsPassedOver) {
  serve([](RawTarget::Socket &Peer) {
    const std::string Head = RawTarget::readHead(Peer);
    RawTarget::send(Peer, answerOf("earlier", "not yours"));
    RawTarget::send(Peer, answerOf(nameIn(Head), "yours"));
    RawTarget::waitForEnd(Peer);
  });
  RawClient Caller(Fixture_->address());
  const RawAnswer Answer = Caller.request("GET", "/s/x", "X-Name: r1\r\n");
  LONGS_EQUAL(200, Answer.Status_);
  STRCMP_EQUAL("yours", Answer.Body_.c_str());
  STRCMP_EQUAL("r1", Answer.header("x-name").c_str());
}

// The target refuses a long upload when it has seen the head, and reads no
// further. Written to the end first, the upload would wait for room until its
// deadline, and the refusal that lies ready would be lost.
TEST(ForeignBytes, anAnswerBeforeTheWholeBodyIsTaken) {
  std::atomic<int> Requests = 0;
  std::atomic<bool> Over = false;
  serve([&](RawTarget::Socket &Peer) {
    const std::string Head = RawTarget::readHead(Peer);
    if (Head.empty())
      return;
    ++Requests;
    RawTarget::send(Peer, "HTTP/1.1 413 Too Large\r\nX-Name: " + nameIn(Head) +
                              "\r\nContent-Length: 2\r\n\r\nno");
    // It keeps the connection and reads no further.
    tests::waitFor([&Over] { return Over.load(); });
  });
  Fixture_->Router_.Deadline_ = std::chrono::seconds(8);
  RawClient Caller(Fixture_->address());
  const std::string Body(3'000'000, 'x');
  const RawAnswer Answer =
      Caller.request("POST", "/s/x", "X-Name: r1\r\n", Body);
  Over = true;
  LONGS_EQUAL(413, Answer.Status_);
  STRCMP_EQUAL("no", Answer.Body_.c_str());
  LONGS_EQUAL(1, Requests);
}

// The rest of a body that was answered early would be taken for the next
// request: the connection is not used again.
TEST(ForeignBytes, aConnectionWithABodyLeftOverIsNotUsedAgain) {
  std::atomic<int> Connections = 0;
  serve([&Connections](RawTarget::Socket &Peer) {
    ++Connections;
    const std::string Head = RawTarget::readHead(Peer);
    RawTarget::send(Peer, answerOf(nameIn(Head), "early"));
    RawTarget::waitForEnd(Peer);
  });
  RawClient Caller(Fixture_->address());
  const std::string Body(3'000'000, 'x');
  LONGS_EQUAL(200,
              Caller.request("POST", "/s/x", "X-Name: r1\r\n", Body).Status_);
  LONGS_EQUAL(200, Caller.request("GET", "/s/x", "X-Name: r2\r\n").Status_);
  LONGS_EQUAL(2, Connections);
}

// An answer without a length ends with its connection.
TEST(ForeignBytes, anAnswerWithoutALengthIsWholeAtItsEnd) {
  serve([](RawTarget::Socket &Peer) {
    const std::string Head = RawTarget::readHead(Peer);
    RawTarget::send(Peer, "HTTP/1.1 200 OK\r\nX-Name: " + nameIn(Head) +
                              "\r\nConnection: close\r\n\r\nall of it");
  });
  RawClient Caller(Fixture_->address());
  const RawAnswer Answer = Caller.request("GET", "/s/x", "X-Name: r1\r\n");
  LONGS_EQUAL(200, Answer.Status_);
  STRCMP_EQUAL("all of it", Answer.Body_.c_str());
  CHECK(Answer.Whole_);
}

// The same, but the connection is reset in the middle. What came must not look
// complete to the caller.
TEST(ForeignBytes, anAnswerWithoutALengthThatIsResetIsACut) {
  serve([](RawTarget::Socket &Peer) {
    const std::string Head = RawTarget::readHead(Peer);
    RawTarget::send(Peer, "HTTP/1.1 200 OK\r\nX-Name: " + nameIn(Head) +
                              "\r\nConnection: close\r\n\r\npart");
    Peer.set_option(boost::asio::socket_base::linger(true, 0));
    Peer.close();
  });
  RawClient Caller(Fixture_->address());
  LONGS_EQUAL(502, Caller.request("GET", "/s/x", "X-Name: r1\r\n").Status_);
  CHECK(Fixture_->Steering_->ends()[0] == SendOutcome::ResponseTruncated ||
        Fixture_->Steering_->ends()[0] == SendOutcome::LostBeforeResponse);
}

TEST(ForeignBytes, aTargetsOwnWordThatItDidNotRunIsKnownByItsHeader) {
  serve([](RawTarget::Socket &Peer) {
    while (!RawTarget::readHead(Peer).empty())
      RawTarget::send(Peer, "HTTP/1.1 429 Busy\r\nX-Not-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
  });
  RawClient Caller(Fixture_->address());
  Caller.request("POST", "/s/x", "X-Name: r1\r\n", "abc");
  CHECK(Fixture_->Steering_->ends()[0] == SendOutcome::Shed);
}
