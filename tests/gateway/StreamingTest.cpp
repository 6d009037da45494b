#include "gateway/Fixture.h"

#include <thread>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::steering::SendOutcome;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;

namespace {
bool holds(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

std::string pattern(std::size_t Bytes) {
  std::string Text(Bytes, ' ');
  for (std::size_t Index = 0; Index < Bytes; ++Index)
    Text[Index] = static_cast<char>('a' + Index * 7 % 26);
  return Text;
}
} // namespace

TEST_GROUP(Streaming) {
  Fixture Fixture_;
  void setup() override { Fixture_.start(); }
};

TEST(Streaming, uploadsOfAnyLengthArriveWhole) {
  RawClient Caller(Fixture_.address());
  for (const std::size_t Bytes : {1UL, 65535UL, 65536UL, 65537UL, 3000000UL}) {
    const RawAnswer Answer =
        Caller.request("POST", "/s/up", "", pattern(Bytes));
    LONGS_EQUAL(200, Answer.Status_);
    CHECK(holds(Answer.Body_, "\"bodyBytes\":" + std::to_string(Bytes) + ","));
  }
}

TEST(Streaming, chunkedUploadsArriveWhole) {
  RawClient Caller(Fixture_.address());
  for (const std::size_t Chunks : {0UL, 1UL, 3UL, 40UL}) {
    std::string Body;
    for (std::size_t Index = 0; Index < Chunks; ++Index)
      Body += "2710\r\n" + pattern(10000) + "\r\n";
    Caller.send(
        tests::requestText("POST", "/s/up", "Transfer-Encoding: chunked\r\n") +
        Body + "0\r\n\r\n");
    const RawAnswer Answer = Caller.readAnswer();
    LONGS_EQUAL(200, Answer.Status_);
    CHECK(holds(Answer.Body_,
                "\"bodyBytes\":" + std::to_string(Chunks * 10000) + ","));
  }
}

TEST(Streaming, downloadsOfAnyLengthArriveWhole) {
  RawClient Caller(Fixture_.address());
  for (const std::size_t Bytes : {1UL, 65536UL, 65537UL, 5000000UL}) {
    const RawAnswer Answer =
        Caller.request("GET", "/s/down?answer_bytes=" + std::to_string(Bytes));
    LONGS_EQUAL(200, Answer.Status_);
    CHECK(Answer.Whole_);
    LONGS_EQUAL(Bytes, Answer.Body_.size());
  }
}

TEST(Streaming, anAnswerToHeadHasItsLengthAndNoBody) {
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("HEAD", "/s/down?answer_bytes=99999");
  LONGS_EQUAL(200, Answer.Status_);
  STRCMP_EQUAL("99999", Answer.header("content-length").c_str());
  LONGS_EQUAL(200, Caller.request("GET", "/s/next").Status_);
}

TEST(Streaming, aCallerThatWaitsIsAskedForItsBody) {
  RawClient Caller(Fixture_.address());
  Caller.send(tests::requestText(
      "POST", "/s/up", "Expect: 100-continue\r\nContent-Length: 200000\r\n"));
  LONGS_EQUAL(100, Caller.readAnswer().Status_);
  Caller.send(pattern(200000));
  CHECK(holds(Caller.readAnswer().Body_, "\"bodyBytes\":200000,"));
}

// An upload takes longer than its service's deadline, and goes on all the
// time. It is the line that is slow; cutting it would lose the upload.
TEST(Streaming, aLongUploadOutlivesTheServicesDeadline) {
  Fixture_.Router_.Deadline_ = std::chrono::milliseconds(100);
  RawClient Caller(Fixture_.address());
  Caller.send(
      tests::requestText("POST", "/s/up", "Content-Length: 300000\r\n") +
      pattern(150000));
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  Caller.send(pattern(150000));
  LONGS_EQUAL(200, Caller.readAnswer().Status_);
}

// A download is cut at the target after its first bytes went to the caller.
// It cannot be sent again unseen, so the caller's connection ends before the
// length that was told: the caller sees that it has only a part.
TEST(Streaming, aCutDownloadEndsTheCallersConnectionVisibly) {
  Fixture_.target().setFaults(tests::faultsOf("cut=1"));
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer =
      Caller.request("GET", "/s/down?answer_bytes=5000000");
  CHECK_FALSE(Answer.Whole_);
  CHECK(tests::waitFor([&] { return !Fixture_.Steering_->ends().empty(); }));
  CHECK(Fixture_.Steering_->ends().front() == SendOutcome::ResponseTruncated);
  LONGS_EQUAL(1, Fixture_.runs());
}

// The caller hangs up in the middle of its upload. The target must not take
// the part for the whole: its connection is closed, never pooled.
TEST(Streaming, aBrokenUploadNeverCountsAsWhole) {
  RawClient Caller(Fixture_.address());
  Caller.send(
      tests::requestText("POST", "/s/up", "Content-Length: 500000\r\n") +
      pattern(300000));
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->openTickets() == 1; }));
  Caller.close();
  CHECK(tests::waitFor([&] { return Fixture_.Steering_->openTickets() == 0; }));
  CHECK(Fixture_.Steering_->ends().front() == SendOutcome::Cancelled);
  LONGS_EQUAL(0, Fixture_.runs());
}
