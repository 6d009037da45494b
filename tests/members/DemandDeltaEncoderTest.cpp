#include "members/DemandDeltaEncoder.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::members::CustomerDemand;
using lychee::members::DemandDeltaEncoder;

TEST_GROUP(DemandDeltaEncoder) {
  DemandDeltaEncoder Encoder_{0};

  static CustomerDemand demandOf(const char *Name, double PerSecond) {
    return {base::CustomerId(Name), PerSecond};
  }
};

TEST(DemandDeltaEncoder, fullUpdateHoldsAllDemands) {
  const std::vector<CustomerDemand> All = {demandOf("a", 1),
                                           demandOf("b", 0.1)};
  LONGS_EQUAL(2, Encoder_.encode(All, true).Demands_.size());
}

TEST(DemandDeltaEncoder, deltaHoldsOnlyChangedDemands) {
  const std::vector<CustomerDemand> Before = {demandOf("a", 10),
                                              demandOf("b", 1)};
  Encoder_.encode(Before, true);
  const std::vector<CustomerDemand> Noise = {demandOf("a", 10.9),
                                             demandOf("b", 1.5)};
  CHECK(Encoder_.encode(Noise, false).Demands_.empty());
  const std::vector<CustomerDemand> Changed = {demandOf("a", 4),
                                               demandOf("b", 1)};
  const auto Update = Encoder_.encode(Changed, false).Demands_;
  LONGS_EQUAL(1, Update.size());
  DOUBLES_EQUAL(4, Update.front().RequestsPerSecond_, 0);
}

// A heartbeat with a change is lost. The next one must carry the change as
// well: deltas refer to the last full update, not to the last heartbeat.
TEST(DemandDeltaEncoder, lostDeltaIsRepeatedByTheNext) {
  const std::vector<CustomerDemand> Before = {demandOf("a", 10)};
  Encoder_.encode(Before, true);
  const std::vector<CustomerDemand> Changed = {demandOf("a", 4)};
  LONGS_EQUAL(1, Encoder_.encode(Changed, false).Demands_.size());
  LONGS_EQUAL(1, Encoder_.encode(Changed, false).Demands_.size());
}

TEST(DemandDeltaEncoder, customerThatStoppedIsSentWithZeroDemand) {
  const std::vector<CustomerDemand> Before = {demandOf("a", 10),
                                              demandOf("b", 1)};
  Encoder_.encode(Before, true);
  const auto Update =
      Encoder_.encode(std::span(Before).subspan(1), false).Demands_;
  LONGS_EQUAL(1, Update.size());
  DOUBLES_EQUAL(0, Update.front().RequestsPerSecond_, 0);
}

TEST(DemandDeltaEncoder, fewCustomersAreAlwaysSentInFull) {
  DemandDeltaEncoder Encoder;
  const std::vector<CustomerDemand> All = {demandOf("a", 10), demandOf("b", 1)};
  Encoder.encode(All, true);
  const auto Update = Encoder.encode(All, false);
  CHECK(Update.IsFull_);
  LONGS_EQUAL(2, Update.Demands_.size());
}
