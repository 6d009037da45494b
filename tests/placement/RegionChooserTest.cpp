#include "placement/RegionChooser.h"

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using lychee::placement::RegionChoice;
using lychee::placement::RegionChooser;
using lychee::placement::RegionOption;
using namespace std::chrono_literals;

TEST_GROUP(RegionChooser) {
  std::vector<RegionOption> Options_{3};

  void setup() override {
    for (RegionOption &Option : Options_) {
      Option.UsableTargets_ = 10;
      Option.HasFreeSlot_ = true;
      Option.RoundTrip_ = 40ms;
    }
    Options_[0].RoundTrip_ = 0ms;
  }

  void expect(std::optional<std::size_t> Region, const char *Reason) const {
    const RegionChoice Choice = RegionChooser::choose(Options_);
    CHECK(Region == Choice.Region_);
    STRCMP_EQUAL(Reason, std::string(Choice.Reason_).c_str());
  }

  void fillNearest(lychee::base::Duration Wait) {
    Options_[0].HasFreeSlot_ = false;
    Options_[0].ExpectedWait_ = Wait;
  }
};

TEST(RegionChooser, theNearestRegionWithAFreeSlotIsChosen) {
  expect(0, "nearest");
}

TEST(RegionChooser, aShortWaitAtHomeBeatsALongRoundTrip) {
  fillNearest(60ms);
  expect(0, "nearest-wait");
}

TEST(RegionChooser, aLongWaitIsSteeredToAnotherRegion) {
  fillNearest(200ms);
  expect(1, "spill-full");
}

// The nearest region is full, and the next has free slots but no headroom left
// for steered requests. Sending there would move the overload into that region.
// The third region takes the request.
TEST(RegionChooser, aRegionWithoutHeadroomIsSkipped) {
  fillNearest(200ms);
  Options_[1].HasHeadroom_ = false;
  expect(2, "spill-full");
}

TEST(RegionChooser, whereAllRegionsAreFullTheRequestWaitsAtHome) {
  fillNearest(200ms);
  Options_[1].HasHeadroom_ = false;
  Options_[2].LinkHasCapacity_ = false;
  expect(0, "nearest-wait");
}

// The nearest region is lost and the others are full. The request is refused,
// so that the loss of one region does not overload another.
TEST(RegionChooser, requestsOfALostRegionAreRefusedWithoutHeadroomElsewhere) {
  Options_[0].UsableTargets_ = 0;
  expect(1, "spill-lost");
  Options_[1].HasHeadroom_ = false;
  Options_[2].HasFreeSlot_ = false;
  expect(std::nullopt, "no-headroom");
  Options_[1].UsableTargets_ = 0;
  Options_[2].UsableTargets_ = 0;
  expect(std::nullopt, "no-healthy-target");
}
