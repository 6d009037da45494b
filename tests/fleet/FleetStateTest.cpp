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
              std::uint64_t Admitted) {
  Member Made;
  Made.Host_ = base::HostId(Name);
  Made.Region_ = base::RegionId("near");
  Made.PeerAddress_ = "127.0.0.1:1";
  Made.Incarnation_ = Incarnation;
  Made.AdmissionGeneration_ = Admitted;
  return Made;
}

fleet::ZoneRecord record(std::uint64_t AdmittedOfOther) {
  fleet::ZoneRecord Made;
  Made.Zone_ = base::ZoneId("near-1");
  Made.Generation_ = 9;
  Made.Relay_ = base::HostId("self");
  Made.Members_ = {member("other", 5, AdmittedOfOther), member("self", 7, 2)};
  return Made;
}

} // namespace

TEST_GROUP(FleetState) {
  FleetState State_{fleet::LeaseTiming(), base::ZoneId("near-1"),
                    member("self", 7, 0), Now};
};

TEST(FleetState, tellsItsOwnAdmission) {
  LONGS_EQUAL(0, State_.admitted());
  State_.sawRecord(record(3), 1, Now);
  LONGS_EQUAL(2, State_.admitted());
}

// A host was paused, removed, and admitted anew before it heard of any of it.
// Its shares are others' since. Cut off from the store, it asks for a pledge
// under its old admission; granted, its lease would come back with the old
// shares, and the customer would get them twice.
TEST(FleetState, noPledgeForAnAdmissionThatIsOver) {
  State_.sawRecord(record(8), 1, Now);
  CHECK_FALSE(State_.pledge(base::HostId("other"), 3, Now));
  CHECK(State_.pledge(base::HostId("other"), 8, Now));
  CHECK_FALSE(State_.pledge(base::HostId("stranger"), 8, Now));
}
