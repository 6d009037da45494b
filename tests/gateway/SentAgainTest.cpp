#include "gateway/Fixture.h"
#include "gateway/UploadTarget.h"

#include <array>
#include <cstdio>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::Upload;
using tests::UploadTarget;

namespace {

constexpr std::uint32_t HeldBytes = 64U * 1024;

std::string bodyOf(std::size_t Bytes) {
  std::string Text(Bytes, ' ');
  for (std::size_t Index = 0; Index < Bytes; ++Index)
    Text[Index] = static_cast<char>('a' + Index / 3 * 7 % 26);
  return Text;
}

std::string chunksOf(const std::string &Body) {
  constexpr std::size_t ChunkBytes = 5000;
  std::string Text;
  for (std::size_t Begin = 0; Begin < Body.size(); Begin += ChunkBytes) {
    const std::string Chunk = Body.substr(Begin, ChunkBytes);
    std::array<char, 32> Size{};
    std::snprintf(Size.data(), Size.size(), "%zx\r\n", Chunk.size());
    Text += Size.data() + Chunk + "\r\n";
  }
  return Text + "0\r\n\r\n";
}

} // namespace

/// Requests that the steering sends to a second target.
TEST_GROUP(SentAgain) {
  std::unique_ptr<UploadTarget> First_;
  std::unique_ptr<UploadTarget> Second_;
  std::unique_ptr<Fixture> Fixture_;

  void start(const std::string &FirstAnswer, bool FirstIsHost = false) {
    First_ = std::make_unique<UploadTarget>(
        UploadTarget::Behaviour{.Answer_ = FirstAnswer});
    Second_ = std::make_unique<UploadTarget>(
        UploadTarget::Behaviour{.Answer_ = tests::emptyAnswer("200 OK")});
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.Names_.NotRun_ = "X-Not-Run";
    Fixture_->Settings_.Names_.NotRunValue_ = "";
    Fixture_->Settings_.HeldBodyBytes_ = HeldBytes;
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{First_->address(), Second_->address()});
    Fixture_->Steering_->RetriesFailures_ = true;
    if (FirstIsHost)
      Fixture_->Steering_->HostAddress_ = First_->address();
    Fixture_->start();
  }
  void stop() {
    Fixture_.reset();
    First_.reset();
    Second_.reset();
  }
  void teardown() override { stop(); }

  RawAnswer put(const std::string &Body, bool Chunked) const {
    RawClient Caller(Fixture_->address());
    if (!Chunked)
      return Caller.request("PUT", "/s/x", "", Body);
    Caller.send(
        tests::requestText("PUT", "/s/x", "Transfer-Encoding: chunked\r\n") +
        chunksOf(Body));
    return Caller.readAnswer();
  }
  void checkBodies(const std::string &Sent) const {
    for (const UploadTarget *Each : {First_.get(), Second_.get()})
      for (const Upload &Got : Each->uploads()) {
        CHECK_TRUE(Got.Whole_);
        CHECK_TRUE(Got.Body_ == Sent);
      }
  }
  /// Sends bodies of sizes around what is held, with a length and in chunks.
  /// \param FailureStatus  what the caller is told of a body that is not held.
  void checkSizes(const std::string &FirstAnswer, int FailureStatus,
                  bool FirstIsHost = false) {
    for (const bool Chunked : {false, true})
      for (const std::uint32_t Bytes :
           {0U, 1U, HeldBytes - 1, HeldBytes, HeldBytes + 1, 20 * HeldBytes}) {
        start(FirstAnswer, FirstIsHost);
        const std::string Sent = bodyOf(Bytes);
        const bool IsHeld = Bytes <= HeldBytes;
        LONGS_EQUAL(IsHeld ? 200 : FailureStatus, put(Sent, Chunked).Status_);
        checkBodies(Sent);
        LONGS_EQUAL(1, First_->uploads().size());
        LONGS_EQUAL(IsHeld ? 1 : 0, Second_->uploads().size());
        LONGS_EQUAL(0, Fixture_->Steering_->openTickets());
        CHECK_EQUAL(!IsHeld, Fixture_->Steering_->reports().front().BodyGone_);
        stop();
      }
  }
};

// A second target runs the beginning of a body, or an empty one, as the whole.
TEST(SentAgain, aFailureOfTheTargetSendsNoPartOfABodyAgain) {
  checkSizes(tests::emptyAnswer("500 Internal Server Error"), 500);
}

TEST(SentAgain, aRefusalOfTheTargetSendsNoPartOfABodyAgain) {
  checkSizes(tests::emptyAnswer("503 Service Unavailable", "X-Not-Run: 1\r\n"),
             502);
}

TEST(SentAgain, aLostAnswerSendsNoPartOfABodyAgain) {
  checkSizes("HTTP/1.1 200 OK\r\nContent-Length: none\r\n\r\n", 502);
}

TEST(SentAgain, aRefusalOfAnotherHostSendsNoPartOfABodyAgain) {
  checkSizes(tests::emptyAnswer("503 Service Unavailable",
                                "Lychee-Ran: no\r\nLychee-Reason: "
                                "targets-unreached\r\n"),
             502, true);
}

// The caller waits to be asked for its body, and the first target is gone.
TEST(SentAgain, aBodyThatWasNotAskedForGoesToTheSecondTargetWhole) {
  start(tests::emptyAnswer("200 OK"));
  First_.reset();
  const std::string Sent = bodyOf(4UL * HeldBytes);
  RawClient Caller(Fixture_->address());
  Caller.send(tests::requestText("PUT", "/s/x",
                                 "Expect: 100-continue\r\nContent-Length: " +
                                     std::to_string(Sent.size()) + "\r\n"));
  LONGS_EQUAL(100, Caller.readAnswer().Status_);
  Caller.send(Sent);
  LONGS_EQUAL(200, Caller.readAnswer().Status_);
  LONGS_EQUAL(1, Second_->uploads().size());
  CHECK_TRUE(Second_->uploads().front().Body_ == Sent);
}
