#include "gateway/HeaderPolicy.h"

#include "CppUTest/TestHarness.h"

namespace gateway = lychee::gateway;
namespace steering = lychee::steering;

/// The load that a target reports in the head of an answer.
TEST_GROUP(LoadHeader){
    static std::optional<steering::TargetLoad> read(const char *Value){
        gateway::Vocabulary Names;
Names.TargetLoad_ = "X-Load";
gateway::AnswerReader::Message Head;
Head.set("X-Load", Value);
return gateway::loadOf(Head, Names);
}
static double factorOf(const char *Value) {
  return read(Value)
      .value_or(steering::TargetLoad())
      .RunTimeFactor_.value_or(0);
}
}
;

TEST(LoadHeader, theFourthValueIsTheRunTimeInPercent) {
  DOUBLES_EQUAL(2.5, factorOf("3,1,9,250"), 1e-9);
  DOUBLES_EQUAL(1, factorOf("3,1,9,100"), 1e-9);
  DOUBLES_EQUAL(0.1, factorOf("3,1,9,10"), 1e-9);
  DOUBLES_EQUAL(100, factorOf("3,1,9,10000"), 1e-9);
  DOUBLES_EQUAL(1.255, factorOf("3,1,9,125.5,7"), 1e-9);
}

// Guards against a target that is avoided, or gets all requests, because of a
// value that makes no sense, and against the loss of the other three values.
TEST(LoadHeader, anImplausibleFourthValueLeavesTheOthersValid) {
  for (const char *Value :
       {"3,1,9", "3,1,9,", "3,1,9,0", "3,1,9,-250", "3,1,9,9.9", "3,1,9,10001",
        "3,1,9,1e3", "3,1,9,nan", "3,1,9,inf", "3,1,9,fast", "3,1,9,250ms",
        "3,1,9,,250", "3,1,9,99999999999999999999"}) {
    const auto Found = read(Value);
    CHECK_TEXT(Found.has_value(), Value);
    const auto Load = Found.value_or(lychee::steering::TargetLoad());
    LONGS_EQUAL(3, Load.Running_);
    LONGS_EQUAL(1, Load.Waiting_);
    LONGS_EQUAL(9, Load.Slots_);
    CHECK_FALSE_TEXT(Load.RunTimeFactor_.has_value(), Value);
  }
  CHECK_FALSE(read("3,1").has_value());
}
