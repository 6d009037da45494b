#include "fleet/FleetState.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
using fleet::FleetState;
using fleet::Member;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Now{seconds(1000)};

Member member(const char *Name, std::uint64_t Incarnation,
              std::uint64_t AdmissionGeneration) {
  Member Result;
  Result.Host_ = base::HostId(Name);
  Result.Region_ = base::RegionId("near");
  Result.PeerAddress_ = "127.0.0.1:1";
  Result.Incarnation_ = Incarnation;
  Result.AdmissionGeneration_ = AdmissionGeneration;
  return Result;
}

fleet::ZoneRecord record(std::uint64_t OtherAdmission) {
  fleet::ZoneRecord Result;
  Result.Zone_ = base::ZoneId("near-1");
  Result.Generation_ = 9;
  Result.Relay_ = base::HostId("self");
  Result.Members_ = {member("other", 5, OtherAdmission), member("self", 7, 2)};
  return Result;
}

} // namespace

TEST_GROUP(FleetState) {
  FleetState State_{fleet::LeaseTiming(), base::ZoneId("near-1"),
                    member("self", 7, 0), Now};
};

TEST(FleetState, returnsItsAdmissionGeneration) {
  LONGS_EQUAL(0, State_.admissionGeneration());
  State_.handleRecord(record(3), 1, Now);
  LONGS_EQUAL(2, State_.admissionGeneration());
}

// A host was paused, removed and admitted again without learning of it, and its
// shares now belong to others. Cut off from the store, it requests a pledge
// under its old admission. A pledge would make its lease valid again with the
// old shares, so the customer would get them twice.
TEST(FleetState, refusesAPledgeForAnEarlierAdmission) {
  State_.handleRecord(record(8), 1, Now);
  CHECK_FALSE(State_.grantPledge(base::HostId("other"), 3, Now));
  CHECK(State_.grantPledge(base::HostId("other"), 8, Now));
  CHECK_FALSE(State_.grantPledge(base::HostId("stranger"), 8, Now));
}
