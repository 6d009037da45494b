#include "gateway/RetryAfter.h"
#include "gateway/HeaderPolicy.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace gateway = lychee::gateway;
namespace http = boost::beast::http;
namespace steering = lychee::steering;
using namespace std::chrono_literals;

namespace {

/// Sun, 06 Nov 1994 08:49:37 GMT, and a half.
constexpr base::WallPoint Now{784111777s + 500ms};

std::int64_t read(const std::string &Text) {
  const auto Read = gateway::parseRetryAfter(Text, Now);
  return Read ? base::toMilliseconds(*Read) : -1;
}

} // namespace

TEST_GROUP(RetryAfter){};

TEST(RetryAfter, secondsAreReadWithAndWithoutAFraction) {
  LONGS_EQUAL(3000, read("3"));
  LONGS_EQUAL(250, read("0.25"));
  LONGS_EQUAL(0, read("0"));
  LONGS_EQUAL(7200 * 1000, read("7200"));
}

TEST(RetryAfter, datesAreReadInAllThreeForms) {
  LONGS_EQUAL(9500, read("Sun, 06 Nov 1994 08:49:47 GMT"));
  LONGS_EQUAL(9500, read("Sunday, 06-Nov-94 08:49:47 GMT"));
  LONGS_EQUAL(9500, read("Sun Nov  6 08:49:47 1994"));
}

TEST(RetryAfter, aDateThatHasPassedIsNoTime) {
  LONGS_EQUAL(0, read("Sun, 06 Nov 1994 08:49:37 GMT"));
  LONGS_EQUAL(0, read("Thu, 01 Jan 1970 00:00:00 GMT"));
}

// Guards against a time that overflows and ends at once.
TEST(RetryAfter, whatIsTooLongIsCutToTheLongestTime) {
  const std::int64_t Longest = base::toMilliseconds(gateway::MaxRetryAfter);
  LONGS_EQUAL(Longest, read("99999999999999999999"));
  CHECK(read("Fri, 31 Dec 9999 23:59:59 GMT") > Longest - 1000);
}

TEST(RetryAfter, whatIsNeitherANumberNorADateIsReported) {
  for (const char *Text :
       {"", "x", "3s", "-1", "-0.5", "nan", "inf", "1e3", "1,5", "3 4",
        "Sun, 06 Nov 1994", "Sun, 06 Nov 1994 08:49 GMT", "Sun Nov  6 08:49:47",
        "Sun, 06 Nov 1994 08:49:47 GMT!"})
    LONGS_EQUAL(-1, read(Text));
}

/// What answers state of their targets, apart from rates.
TEST_GROUP(TargetStatement) {
  gateway::Vocabulary Names_;
  gateway::AnswerReader::Message Head_;

  void setup() override {
    Names_.TargetLeaving_ = {"Leaving", "Other-Leaving"};
  }

  steering::TargetStatement read(http::status Status) {
    Head_.result(Status);
    return gateway::statementOf(Head_, Names_, Now);
  }
};

TEST(TargetStatement, onlyA503AsksForARest) {
  Head_.set("Retry-After", "2.5");
  CHECK(read(http::status::service_unavailable).Rest_.For_ == 2500ms);
  for (const auto Status :
       {http::status::ok, http::status::moved_permanently,
        http::status::too_many_requests, http::status::internal_server_error})
    CHECK_FALSE(read(Status).Rest_.For_.has_value());
}

TEST(TargetStatement, a503WithoutALengthAsksForNone) {
  const auto Read = read(http::status::service_unavailable);
  CHECK_FALSE(Read.Rest_.For_.has_value());
  CHECK_FALSE(Read.Rest_.Unreadable_);
}

TEST(TargetStatement, anUnreadableRestIsReported) {
  Head_.set("Retry-After", "soon");
  const auto Read = read(http::status::service_unavailable);
  CHECK_FALSE(Read.Rest_.For_.has_value());
  CHECK(Read.Rest_.Unreadable_);
}

TEST(TargetStatement, aLeavingIsReadFromEitherHeaderAndAnyStatus) {
  CHECK_FALSE(read(http::status::ok).Leaving_);
  Head_.set("Other-Leaving", "1");
  CHECK(read(http::status::ok).Leaving_);
  CHECK(read(http::status::service_unavailable).Leaving_);
  Head_.set("Leaving", "0");
  CHECK_FALSE(read(http::status::ok).Leaving_);
}

TEST(TargetStatement, theTimeForWhichAConnectionIsKeptIsRead) {
  CHECK_FALSE(gateway::keepAliveOf(Head_).has_value());
  Head_.set("Keep-Alive", "timeout=10, max=5");
  CHECK(gateway::keepAliveOf(Head_) == 10s);
  Head_.set("Keep-Alive", "max=5, Timeout=2");
  CHECK(gateway::keepAliveOf(Head_) == 2s);
  for (const char *Text : {"timeout", "timeout=", "timeout=x", "timeout=-1",
                           "10", "timeout=99999999999"}) {
    Head_.set("Keep-Alive", Text);
    CHECK_FALSE(gateway::keepAliveOf(Head_).has_value());
  }
}
