#include "gateway/Fixture.h"
#include "gateway/UploadTarget.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::steering::SendOutcome;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::Upload;
using tests::UploadTarget;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t HeldBytes = 256U * 1024;
/// More than the buffers of two connections take.
constexpr std::size_t LongBytes = 24UL << 20;
constexpr std::size_t ChunkBytes = 100'000;

std::string longBody() {
  std::string Text(LongBytes, ' ');
  for (std::size_t Index = 0; Index < LongBytes; ++Index)
    Text[Index] = static_cast<char>('a' + Index / 3 * 7 % 26);
  return Text;
}

} // namespace

/// Targets that answer before they have read a long body.
TEST_GROUP(EarlyAnswer) {
  const std::string Body_ = longBody();
  std::unique_ptr<UploadTarget> Target_;
  std::unique_ptr<Fixture> Fixture_;

  void start(const UploadTarget::Behaviour &How, bool IsHost = false,
             std::uint32_t Held = HeldBytes) {
    Target_ = std::make_unique<UploadTarget>(How);
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.Names_.NotRun_ = "X-Not-Run";
    Fixture_->Settings_.Names_.NotRunValue_ = "";
    Fixture_->Settings_.HeldBodyBytes_ = Held;
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{Target_->address()});
    Fixture_->Steering_->MaximumSends_ = 1;
    if (IsHost)
      Fixture_->Steering_->HostAddress_ = Target_->address();
    Fixture_->start();
  }
  void stop() {
    Fixture_.reset();
    Target_.reset();
  }
  void teardown() override { stop(); }

  void sendBody(RawClient & Caller, bool Chunked) const {
    std::string Headers = "Lychee-Deadline-Ms: 4000\r\n";
    Headers += Chunked ? "Transfer-Encoding: chunked"
                       : "Content-Length: " + std::to_string(LongBytes);
    Caller.send(tests::requestText("POST", "/s/x", Headers + "\r\n"));
    if (!Chunked) {
      Caller.send(Body_);
      return;
    }
    for (std::size_t Begin = 0; Begin < LongBytes; Begin += ChunkBytes) {
      const std::string_view Chunk =
          std::string_view(Body_).substr(Begin, ChunkBytes);
      std::array<char, 32> Size{};
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Chunk.size());
      Caller.send(Size.data() + std::string(Chunk) + "\r\n");
    }
    Caller.send("0\r\n\r\n");
  }
  RawAnswer upload(bool Chunked) const {
    RawClient Caller(Fixture_->address());
    std::jthread Sending([&] { sendBody(Caller, Chunked); });
    return Caller.readAnswer();
  }
  void checkBody(bool MayBeWhole) const {
    CHECK(tests::waitFor([this] { return !Target_->uploads().empty(); }));
    const Upload Got = Target_->uploads().front();
    CHECK_FALSE(Got.Malformed_);
    CHECK_TRUE(std::string_view(Body_).starts_with(Got.Body_));
    CHECK_EQUAL(MayBeWhole, Got.Whole_);
    CHECK_EQUAL(MayBeWhole, Got.Body_.size() == LongBytes);
  }
};

// The target answers, pauses and reads on: it gets later bytes of the body
// where those that were left out are due.
TEST(EarlyAnswer, noBytesAreLeftOutOfABody) {
  struct Case {
    std::string Answer_;
    int Status_;
    bool IsHost_;
  };
  const std::array Cases{
      Case{tests::emptyAnswer("503 Service Unavailable", "X-Not-Run: 1\r\n"),
           502, false},
      Case{tests::emptyAnswer("503 Service Unavailable"), 503, false},
      Case{tests::emptyAnswer("413 Content Too Large"), 413, false},
      Case{tests::emptyAnswer("421 Misdirected Request"), 421, false},
      Case{tests::emptyAnswer("503 Service Unavailable",
                              "Lychee-Ran: no\r\nLychee-Reason: "
                              "targets-unreached\r\n"),
           502, true}};
  for (const Case &Each : Cases)
    for (const bool Chunked : {false, true})
      for (const std::uint32_t Held : {HeldBytes, 32U << 20}) {
        start({.Answer_ = Each.Answer_, .Early_ = true, .Pause_ = 100ms},
              Each.IsHost_, Held);
        LONGS_EQUAL(Each.Status_, upload(Chunked).Status_);
        checkBody(false);
        stop();
      }
}

// The target stores the body after its answer: a success that the caller gets
// must not stand for a part of the body.
TEST(EarlyAnswer, aSuccessIsFollowedByTheRestOfTheBody) {
  for (const bool Chunked : {false, true}) {
    start({.Answer_ = tests::emptyAnswer("200 OK"),
           .Early_ = true,
           .Pause_ = 100ms});
    LONGS_EQUAL(200, upload(Chunked).Status_);
    checkBody(true);
    stop();
  }
}

// An interim answer was taken for the answer, and the rest of the body left
// out.
TEST(EarlyAnswer, anInterimAnswerIsFollowedByTheRestOfTheBody) {
  start({.Answer_ =
             "HTTP/1.1 102 Processing\r\n\r\n" + tests::emptyAnswer("200 OK"),
         .Early_ = true,
         .Pause_ = 100ms});
  LONGS_EQUAL(200, upload(false).Status_);
  checkBody(true);
}

// The write met the reset of an answer without a length, and the part that had
// come was passed on as whole.
TEST(EarlyAnswer, aPartOfAnAnswerThatEndsByAResetIsNotWhole) {
  for (const bool IsHost : {false, true})
    for (const bool Chunked : {false, true})
      for (const std::chrono::milliseconds Pause : {0ms, 30ms, 200ms}) {
        start({.Answer_ = "HTTP/1.1 200 OK\r\n\r\npart of a body",
               .Early_ = true,
               .Pause_ = Pause,
               .Then_ = UploadTarget::Behaviour::Then::Reset},
              IsHost);
        const RawAnswer Got = upload(Chunked);
        CHECK_FALSE(Got.Status_ == 200 && Got.Whole_);
        stop();
      }
}

// The target reads no further: the answer that lies ready must not wait for the
// body.
TEST(EarlyAnswer, anAnswerOfATargetThatReadsNoFurtherArrives) {
  for (const char *Status : {"200 OK", "413 Content Too Large"}) {
    start({.Answer_ = tests::emptyAnswer(Status),
           .Early_ = true,
           .Then_ = UploadTarget::Behaviour::Then::ReadNothing});
    LONGS_EQUAL(std::atoi(Status), upload(false).Status_);
    stop();
  }
}

// A write fails as the target has closed, and its answer was thrown away.
TEST(EarlyAnswer, anAnswerOfATargetThatClosesArrives) {
  for (int Try = 0; Try < 20; ++Try) {
    start({.Answer_ = tests::emptyAnswer("413 Content Too Large"),
           .Early_ = true,
           .Then_ = UploadTarget::Behaviour::Then::Close});
    LONGS_EQUAL(413, upload(Try % 2 == 0).Status_);
    stop();
  }
}
