#include "base/Random.h"
#include "gateway/Fixture.h"

#include <initializer_list>
#include <string_view>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;

namespace {

const std::string Key =
    "Authorization: Bearer " + std::string(tests::GoodKey) + "\r\n";
const std::string Start = "POST /s/x HTTP/1.1\r\nHost: h\r\n" + Key;

std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text += Part;
  return Text;
}

/// Sends raw bytes; the answer must be a clear 4xx problem and the connection
/// must end, so that what follows cannot be taken for a second request.
void expectRefused(Fixture &Under, const std::string &Bytes, int Status) {
  RawClient Caller(Under.address());
  Caller.send(Bytes);
  const RawAnswer Answer = Caller.readAnswer();
  LONGS_EQUAL_TEXT(Status, Answer.Status_, Bytes.c_str());
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  STRCMP_EQUAL("close", Answer.header("connection").c_str());
  CHECK(Caller.isEnded());
}

} // namespace

TEST_GROUP(Edge) {
  Fixture Fixture_;
  void setup() override {
    Fixture_.Settings_.HeaderLimitBytes_ = 2048;
    Fixture_.Settings_.BodyLimitBytes_ = 200000;
    Fixture_.Settings_.HeaderTimeout_ = std::chrono::milliseconds(300);
    Fixture_.Settings_.ProgressTimeout_ = std::chrono::milliseconds(300);
    Fixture_.start();
  }
  /// Whatever a test did, the daemon serves the next caller.
  void teardown() override {
    RawClient Next(Fixture_.address());
    LONGS_EQUAL(200, Next.request("GET", "/s/after").Status_);
  }
};

// A request that we and a target would split at different places carries a
// second request inside, which would run with nobody's key. Each pair that
// parsers are known to differ on is refused, and nothing reaches a target.
TEST(Edge, smugglingPairsAreRefusedAndTheConnectionEnds) {
  using std::string_view_literals::operator""sv;
  const std::string Inner =
      joined({"GET /s/inner HTTP/1.1\r\nHost: h\r\n", Key, "\r\n"});
  for (
      const std::string_view Headers :
      {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"sv,
       "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"sv,
       "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"sv,
       "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"sv,
       "Content-Length: 3, 3\r\n\r\nabc"sv, "Content-Length: +3\r\n\r\nabc"sv,
       "Content-Length: -1\r\n\r\n"sv,
       "Content-Length: 99999999999999999999\r\n\r\n"sv,
       "Content-Length : 3\r\n\r\nabc"sv,
       "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"sv,
       "Transfer-Encoding: gzip\r\n\r\nabc"sv,
       "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"sv,
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"sv,
       "X: a\r\n folded\r\n\r\n"sv, "X: a\n\r\n"sv, "X: a\rb\r\n\r\n"sv,
       "X: a\0b\r\n\r\n"sv, "X y: a\r\n\r\n"sv, ": a\r\n\r\n"sv})
    expectRefused(Fixture_, joined({Start, Headers, Inner}), 400);
  for (const std::string_view Head :
       {"GET /s/x HTTP/1.1\r\n\r\n"sv,
        "GET /s/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"sv,
        "GET  /s/x HTTP/1.1\r\nHost: a\r\n\r\n"sv,
        "GET /s/x HTTP/9.9\r\nHost: a\r\n\r\n"sv, "GET /s/x\r\n\r\n"sv,
        "\x16\x03\x01\x02\r\n\r\n"sv})
    expectRefused(Fixture_, joined({Head, Inner}), 400);
  LONGS_EQUAL(0, Fixture_.runs());
}

TEST(Edge, badChunksAreRefusedAndTheConnectionEnds) {
  for (const std::string_view Body :
       {"zz\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
        "\r\nabc\r\n0\r\n\r\n"})
    expectRefused(Fixture_,
                  joined({Start, "Transfer-Encoding: chunked\r\n\r\n", Body}),
                  400);
  LONGS_EQUAL(0, Fixture_.runs());
}

// A chunked body may end with trailers, which the parser puts among the
// headers. A second Host or a forged customer must not reach the target so.
TEST(Edge, trailersDoNotBecomeHeaders) {
  RawClient Caller(Fixture_.address());
  Caller.send(joined({Start, "Transfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n0\r\nHost: evil\r\nX-Late: evil\r\n"
                             "Lychee-Customer: evil\r\n\r\n"}));
  const RawAnswer Answer = Caller.readAnswer();
  LONGS_EQUAL(200, Answer.Status_);
  CHECK(Answer.Body_.find("evil") == std::string::npos);
}

TEST(Edge, overTheConnectionLimitCallersAreTold) {
  Fixture Small;
  Small.Settings_.ConnectionLimit_ = 1;
  Small.start();
  RawClient First(Small.address());
  LONGS_EQUAL(200, First.request("GET", "/s/x").Status_);
  RawClient Second(Small.address());
  const RawAnswer Answer = Second.readAnswer();
  LONGS_EQUAL(503, Answer.Status_);
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
}

TEST(Edge, overLimitHeadsAndBodiesAreRefused) {
  expectRefused(Fixture_, Start + "X: " + std::string(3000, 'a') + "\r\n\r\n",
                431);
  expectRefused(Fixture_, std::string(4000, 'A'), 431);
  expectRefused(Fixture_, Start + "Content-Length: 200001\r\n\r\n", 413);
  expectRefused(Fixture_,
                Start + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" +
                    std::string(0x40000, 'a') + "\r\n0\r\n\r\n",
                413);
}

// A caller that sends a byte now and then would hold a connection, and later a
// target's slot, for good. A head has one time for all of it; a body must go
// on within its time.
TEST(Edge, slowSendersAreTimedOut) {
  expectRefused(Fixture_, "GET /s/x HTTP/1.1\r\nHost: h", 408);
  expectRefused(Fixture_, Start + "Content-Length: 10\r\n\r\nabc", 408);
  LONGS_EQUAL(0, Fixture_.runs());
}

TEST(Edge, aDeadlineThatIsNoNumberIsRefused) {
  for (const char *Limit :
       {"abc", "", "-5", "0", "1e3", "99999999999999999999"})
    expectRefused(Fixture_,
                  Start + "Lychee-Deadline-Ms: " + Limit +
                      "\r\nContent-Length: 0\r\n\r\n",
                  400);
}

TEST(Edge, aKeyInTheRequestLineIsRefused) {
  expectRefused(Fixture_,
                "GET /s/x?key=" + std::string(tests::GoodKey) +
                    " HTTP/1.1\r\nHost: h\r\n" + Key + "\r\n",
                400);
}

// Requests are mutated at random places: bytes changed, cut, doubled, pieces
// of others put in. Whatever comes, the answer is a clear 4xx or the answer to
// a request that was still whole, and the daemon goes on (see teardown).
TEST(Edge, mutatedRequestsGetAClearAnswerOrNone) {
  const std::vector<std::string> Seeds{
      tests::requestText("GET", "/s/a?b=c", "X: y\r\n"),
      tests::requestText("POST", "/s/a", "Idempotency-Key: k\r\n",
                         "0123456789"),
      Start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      tests::requestText("GET", "/.well-known/lychee/hosts?service=s")};
  const std::vector<std::string> Pieces{"\r\n",
                                        "\n",
                                        "\r\n\r\n",
                                        "Content-Length: 5\r\n",
                                        " ",
                                        "\t",
                                        ":",
                                        "Transfer-Encoding: chunked\r\n",
                                        std::string(1, '\0'),
                                        "\xff",
                                        "0\r\n",
                                        "GET / HTTP/1.1\r\n",
                                        "HTTP/1.0",
                                        "Connection: close\r\n"};
  base::Random Source(20261202);
  for (int Round = 0; Round < 400; ++Round) {
    std::string Text = Seeds[base::drawBelow(
        Source, static_cast<std::uint32_t>(Seeds.size()))];
    const std::uint32_t Changes = 1 + base::drawBelow(Source, 4);
    for (std::uint32_t Change = 0; Change < Changes; ++Change) {
      const std::uint32_t At =
          base::drawBelow(Source, static_cast<std::uint32_t>(Text.size()));
      switch (base::drawBelow(Source, 4)) {
      case 0:
        Text[At] = static_cast<char>(base::drawBelow(Source, 256));
        break;
      case 1:
        Text.erase(At, 1 + base::drawBelow(Source, 8));
        break;
      case 2:
        Text.insert(At,
                    Pieces[base::drawBelow(
                        Source, static_cast<std::uint32_t>(Pieces.size()))]);
        break;
      default:
        Text.insert(At, Text.substr(At, 1 + base::drawBelow(Source, 40)));
        break;
      }
      if (Text.empty())
        Text = "x";
    }
    RawClient Caller(Fixture_.address());
    Caller.send(Text);
    const RawAnswer Answer = Caller.readAnswer(Text.starts_with("HEAD"));
    CHECK_TEXT(Answer.Status_ == 200 ||
                   (Answer.Status_ >= 400 && Answer.Status_ < 500),
               (std::to_string(Answer.Status_) + " for " + Text).c_str());
    // 409: a round before has run under the same Idempotency-Key.
    if (Answer.Status_ >= 400)
      STRCMP_EQUAL(Answer.Status_ == 409 ? "maybe" : "no",
                   Answer.header("lychee-ran").c_str());
  }
}
