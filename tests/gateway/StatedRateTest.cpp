#include "gateway/HeaderPolicy.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace gateway = lychee::gateway;
namespace steering = lychee::steering;

TEST_GROUP(StatedRate) {
  gateway::Vocabulary Names_;

  void setup() override { Names_.TargetRate_ = {"Rate", "Other-Rate"}; }

  steering::StatedRate read(const std::string &Header, const std::string &Value)
      const {
    gateway::AnswerReader::Message Head;
    Head.set(Header, Value);
    return gateway::statedRateOf(Head, Names_);
  }
};

TEST(StatedRate, aDecimalNumberInEitherHeaderIsRead) {
  DOUBLES_EQUAL(2.1, read("rate", "2.1").PerSecond_.value_or(-1), 0);
  DOUBLES_EQUAL(40, read("Other-Rate", "40").PerSecond_.value_or(-1), 0);
  DOUBLES_EQUAL(0, read("Rate", "0").PerSecond_.value_or(-1), 0);
}

TEST(StatedRate, anAnswerWithoutTheHeaderStatesNone) {
  CHECK_FALSE(read("Unrelated", "2").PerSecond_.has_value());
  CHECK_FALSE(read("Unrelated", "2").Unreadable_);
}

// Guards against a rate that is taken for another one, or for none, unnoticed.
TEST(StatedRate, whatIsNoNumberIsReportedAsUnreadable) {
  for (const char *Text :
       {"", "x", "2x", "-1", "nan", "inf", "1e3", "2,1", "1 2"}) {
    CHECK_FALSE(read("Rate", Text).PerSecond_.has_value());
    CHECK(read("Rate", Text).Unreadable_);
  }
}
