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
    for (RegionOption &Each : Options_) {
      Each.Usable_ = 10;
      Each.Room_ = true;
      Each.RoundTrip_ = 40ms;
    }
    Options_[0].RoundTrip_ = 0ms;
  }

  void expect(std::optional<std::size_t> Region, const char *Reason) const {
    const RegionChoice Choice = RegionChooser::choose(Options_);
    CHECK(Region == Choice.Region_);
    STRCMP_EQUAL(Reason, std::string(Choice.Reason_).c_str());
  }

  void fillNearest(lychee::base::Duration Wait) {
    Options_[0].Room_ = false;
    Options_[0].Wait_ = Wait;
  }
};

TEST(RegionChooser, theNearestWithRoomTakesIt) { expect(0, "nearest"); }

TEST(RegionChooser, aShortWaitAtHomeBeatsALongWay) {
  fillNearest(60ms);
  expect(0, "nearest-wait");
}

TEST(RegionChooser, aLongWaitIsSteeredAway) {
  fillNearest(200ms);
  expect(1, "spill-full");
}

// The nearest region is full, and the next has no headroom left for steered
// work although it has free slots. Sent there, this region's overload would
// become that one's. The third takes it.
TEST(RegionChooser, aRegionWithoutHeadroomIsPassedOver) {
  fillNearest(200ms);
  Options_[1].Headroom_ = false;
  expect(2, "spill-full");
}

TEST(RegionChooser, fullEverywhereWaitsAtHome) {
  fillNearest(200ms);
  Options_[1].Headroom_ = false;
  Options_[2].Link_ = false;
  expect(0, "nearest-wait");
}

// The nearest region is lost and the others are full. Nothing is sent anywhere:
// the caller is refused, and no region is overloaded for another's loss.
TEST(RegionChooser, aLostRegionsWorkIsRefusedWhereNoHeadroomIsLeft) {
  Options_[0].Usable_ = 0;
  expect(1, "spill-lost");
  Options_[1].Headroom_ = false;
  Options_[2].Room_ = false;
  expect(std::nullopt, "no-headroom");
  Options_[1].Usable_ = 0;
  Options_[2].Usable_ = 0;
  expect(std::nullopt, "no-healthy-target");
}
