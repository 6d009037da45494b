#include "members/DemandDeltaEncoder.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::members::CustomerDemand;
using lychee::members::DemandDeltaEncoder;

TEST_GROUP(DemandDeltaEncoder) {
  DemandDeltaEncoder Teller_{0};

  static CustomerDemand of(const char *Name, double PerSecond) {
    return {base::CustomerId(Name), PerSecond};
  }
};

TEST(DemandDeltaEncoder, aWholeTellsAll) {
  const std::vector<CustomerDemand> All = {of("a", 1), of("b", 0.1)};
  LONGS_EQUAL(2, Teller_.encode(All, true).Demands_.size());
}

TEST(DemandDeltaEncoder, betweenOnlyWhatChangedIsTold) {
  const std::vector<CustomerDemand> Before = {of("a", 10), of("b", 1)};
  Teller_.encode(Before, true);
  const std::vector<CustomerDemand> Chance = {of("a", 10.9), of("b", 1.5)};
  CHECK(Teller_.encode(Chance, false).Demands_.empty());
  const std::vector<CustomerDemand> Moved = {of("a", 4), of("b", 1)};
  const auto Told = Teller_.encode(Moved, false).Demands_;
  LONGS_EQUAL(1, Told.size());
  DOUBLES_EQUAL(4, Told.front().RequestsPerSecond_, 0);
}

// A heartbeat with a change is lost. The next one tells the change, too, since
// changes count from the last whole and not from the last heartbeat.
TEST(DemandDeltaEncoder, aLostHeartbeatIsMadeUpForByTheNext) {
  const std::vector<CustomerDemand> Before = {of("a", 10)};
  Teller_.encode(Before, true);
  const std::vector<CustomerDemand> Moved = {of("a", 4)};
  LONGS_EQUAL(1, Teller_.encode(Moved, false).Demands_.size());
  LONGS_EQUAL(1, Teller_.encode(Moved, false).Demands_.size());
}

TEST(DemandDeltaEncoder, aCustomerThatStoppedIsToldAsNothing) {
  const std::vector<CustomerDemand> Before = {of("a", 10), of("b", 1)};
  Teller_.encode(Before, true);
  const auto Told =
      Teller_.encode(std::span(Before).subspan(1), false).Demands_;
  LONGS_EQUAL(1, Told.size());
  DOUBLES_EQUAL(0, Told.front().RequestsPerSecond_, 0);
}

TEST(DemandDeltaEncoder, fewCustomersAreAlwaysToldWhole) {
  DemandDeltaEncoder Teller;
  const std::vector<CustomerDemand> All = {of("a", 10), of("b", 1)};
  Teller.encode(All, true);
  const auto Told = Teller.encode(All, false);
  CHECK(Told.IsFull_);
  LONGS_EQUAL(2, Told.Demands_.size());
}
