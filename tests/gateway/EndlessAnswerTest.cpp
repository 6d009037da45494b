#include "gateway/Fixture.h"
#include "gateway/RawTarget.h"
#include "gateway/UploadTarget.h"

#include <atomic>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::RawTarget;
using tests::UploadTarget;
using namespace std::chrono_literals;

namespace {

struct Endless {
  const char *Name_;
  std::string Begin_;
  /// Comes again and again until the host closes.
  std::string Rest_;
};

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Chunk = "2710\r\n" + std::string(10'000, 'x') + "\r\n";

/// It is clear from their bytes that no answer comes.
std::vector<Endless> endlessNonsense() {
  return {{"a head", "HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
          {"a header's value", "HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxx"},
          {"no HTTP", "", std::string("\x01\x02 nonsense")},
          {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
          {"trailers", ChunkedHead + "0\r\n", "X-More: and more\r\n"},
          {"the extension of a chunk", ChunkedHead + "2710;a=", "xxxxxxxx"},
          {"the size of a chunk", ChunkedHead, "00000000"},
          {"another request's answer",
           "HTTP/1.1 200 OK\r\nX-Name: earlier\r\n"
           "Transfer-Encoding: chunked\r\n\r\n",
           Chunk}};
}

/// They look like an answer for as long as they go on.
std::vector<Endless> endlessBodies() {
  return {{"chunks", ChunkedHead, Chunk},
          {"a body until the connection ends", "HTTP/1.1 200 OK\r\n\r\n",
           std::string(10'000, 'x')},
          {"a very long body",
           "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
           std::string(10'000, 'x')}};
}

} // namespace

/// Targets whose bytes come until the host closes.
TEST_GROUP(EndlessAnswer) {
  std::unique_ptr<RawTarget> First_;
  std::unique_ptr<UploadTarget> Second_;
  std::unique_ptr<Fixture> Fixture_;
  std::atomic<int> ClosedByHost_ = 0;
  std::atomic<bool> Over_ = false;

  void start(const Endless &Sent) {
    ClosedByHost_ = 0;
    Over_ = false;
    First_ = std::make_unique<RawTarget>([this, Sent](RawTarget::Socket &To) {
      if (RawTarget::readHead(To).empty())
        return;
      std::string Piece;
      while (Piece.size() < 64UL * 1024)
        Piece += Sent.Rest_;
      RawTarget::send(To, Sent.Begin_);
      boost::system::error_code Failure;
      while (!Failure && !Over_)
        boost::asio::write(To, boost::asio::buffer(Piece), Failure);
      ClosedByHost_ += Failure ? 1 : 0;
    });
    Second_ = std::make_unique<UploadTarget>(
        UploadTarget::Behaviour{.Answer_ = tests::emptyAnswer("200 OK")});
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.Names_.RequestId_ = "X-Name";
    Fixture_->Settings_.Names_.CallerNamesRequest_ = true;
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{First_->address(), Second_->address()});
    Fixture_->start();
  }
  void stop() {
    Over_ = true;
    Fixture_.reset();
    First_.reset();
    Second_.reset();
  }
  void teardown() override { stop(); }

  void checkTargetIsLeft(const Endless &Sent) {
    CHECK_TRUE_TEXT(tests::waitFor([this] { return ClosedByHost_ == 1; }),
                    Sent.Name_);
    LONGS_EQUAL_TEXT(0, Fixture_->Steering_->openTickets(), Sent.Name_);
  }
};

TEST(EndlessAnswer, nonsenseWithoutEndSendsTheRequestElsewhere) {
  for (const Endless &Sent : endlessNonsense()) {
    start(Sent);
    RawClient Caller(Fixture_->address());
    const RawAnswer Answer = Caller.request(
        "GET", "/s/x", "X-Name: r1\r\nLychee-Deadline-Ms: 8000\r\n");
    LONGS_EQUAL_TEXT(200, Answer.Status_, Sent.Name_);
    checkTargetIsLeft(Sent);
    LONGS_EQUAL_TEXT(1, Second_->uploads().size(), Sent.Name_);
    stop();
  }
}

// The body was passed on for as long as it came, past the caller's deadline.
TEST(EndlessAnswer, aBodyWithoutEndEndsVisiblyAtTheDeadline) {
  for (const Endless &Sent : endlessBodies()) {
    start(Sent);
    RawClient Caller(Fixture_->address());
    Caller.send(tests::requestText(
        "GET", "/s/x", "X-Name: r1\r\nLychee-Deadline-Ms: 300\r\n"));
    std::jthread Giving([this] {
      // Ends the bytes of a host that does not: the check below then fails.
      tests::waitFor([this] { return Over_ || ClosedByHost_ > 0; });
      Over_ = true;
    });
    LONGS_EQUAL_TEXT(200, Caller.readAnswer(true).Status_, Sent.Name_);
    CHECK_TRUE_TEXT(Caller.isEnded(), Sent.Name_);
    checkTargetIsLeft(Sent);
    stop();
  }
}
