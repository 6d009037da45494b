#include "fleet/SettingsReplica.h"
#include "base/Hash.h"
#include "fleet/Codec.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
namespace settings = lychee::settings;
using std::chrono::seconds;

TEST_GROUP(SettingsReplica) {
  fleet::SettingsReplica Replica_;
  base::TimePoint Now_{seconds(1000)};
  base::Error Last_;

  static std::string rootOf(std::uint64_t Version, std::string_view Document) {
    settings::SettingsRoot Root;
    Root.Version_ = Version;
    Root.Documents_["team/a.ini"] = base::sha256Hex(Document);
    return settings::encodeRoot(Root);
  }

  void enforce(std::uint64_t Version, const std::string &Document) {
    CHECK(Replica_.offerRoot(Version, rootOf(Version, Document), Last_));
    CHECK(Replica_.offerChunk(base::sha256Hex(Document), Document));
    UNSIGNED_LONGLONGS_EQUAL(Version, Replica_.inForce());
  }
};

TEST(SettingsReplica, rootIsInForceOnceItsChunksAreThere) {
  CHECK(Replica_.offerRoot(1, rootOf(1, "one"), Last_));
  UNSIGNED_LONGLONGS_EQUAL(0, Replica_.inForce());
  UNSIGNED_LONGS_EQUAL(1, Replica_.missing().size());
  CHECK_FALSE(Replica_.offerChunk(Replica_.missing()[0], "forged"));
  UNSIGNED_LONGLONGS_EQUAL(0, Replica_.inForce());
  CHECK(Replica_.offerChunk(base::sha256Hex("one"), "one"));
  STRCMP_EQUAL("one", Replica_.tree().Documents_.at("team/a.ini").c_str());
}

// A key was withdrawn by version 2. A peer that is behind, or a stale watch,
// offers version 1 again: the key must not come back to life.
TEST(SettingsReplica, olderRootNeverComesBack) {
  enforce(2, "withdrawn");
  CHECK(Replica_.offerRoot(1, rootOf(1, "given"), Last_));
  CHECK(Replica_.offerChunk(base::sha256Hex("given"), "given"));
  UNSIGNED_LONGLONGS_EQUAL(2, Replica_.inForce());
  STRCMP_EQUAL("withdrawn",
               Replica_.tree().Documents_.at("team/a.ini").c_str());
}

TEST(SettingsReplica, malformedRootChangesNothing) {
  enforce(1, "one");
  for (const char *Text : {"", "[]", "{}", "{\"version\":2,\"documents\":7}"})
    CHECK_FALSE(Replica_.offerRoot(2, Text, Last_));
  UNSIGNED_LONGLONGS_EQUAL(1, Replica_.newest());
}

TEST(SettingsReplica, freshnessCountsOnlyWhatIsInForce) {
  CHECK_FALSE(Replica_.age(Now_).has_value());
  enforce(1, "one");
  Replica_.confirmNewest(1, Now_);
  CHECK(Replica_.age(Now_ + seconds(2)) == base::Duration(seconds(2)));
  // Version 2 is known to exist and its chunk is not there: still as fresh as
  // before, and no fresher.
  Replica_.confirmNewest(2, Now_ + seconds(3));
  CHECK(Replica_.age(Now_ + seconds(4)) == base::Duration(seconds(4)));
  CHECK(Replica_.offerRoot(2, rootOf(2, "two"), Last_));
  Replica_.confirmNewest(1, Now_ + seconds(4));
  CHECK(Replica_.age(Now_ + seconds(4)) == base::Duration(seconds(4)));
  CHECK(Replica_.offerChunk(base::sha256Hex("two"), "two"));
  CHECK(Replica_.age(Now_ + seconds(4)) == base::Duration(seconds(1)));
}

TEST(SettingsReplica, rootThatSharesAChunkFetchesOnlyTheNewOne) {
  enforce(1, "one");
  settings::SettingsRoot Root;
  Root.Version_ = 2;
  Root.Documents_["team/a.ini"] = base::sha256Hex("one");
  Root.Documents_["team/b.ini"] = base::sha256Hex("two");
  CHECK(Replica_.offerRoot(2, settings::encodeRoot(Root), Last_));
  UNSIGNED_LONGS_EQUAL(1, Replica_.missing().size());
  STRCMP_EQUAL(base::sha256Hex("two").c_str(), Replica_.missing()[0].c_str());
}

TEST_GROUP(Codec){};

TEST(Codec, recordsAndDirectoriesComeBackAsTheyWere) {
  fleet::ZoneRecord Record;
  Record.Zone_ = base::ZoneId("z1");
  Record.Generation_ = 3;
  Record.Relay_ = base::HostId("h1");
  Record.Members_.push_back({base::HostId("h1"), base::RegionId("r"),
                             "127.0.0.1:1", "127.0.0.1:2", 1, 2, 3, 4, true});
  const auto Parsed =
      fleet::Codec::parse(fleet::Codec::write(fleet::Codec::toJson(Record)));
  CHECK(Parsed && fleet::Codec::toZoneRecord(*Parsed) == Record);
  const auto Made = fleet::Directory{}.with(Record);
  CHECK(Made.has_value());
  if (!Made)
    return;
  UNSIGNED_LONGLONGS_EQUAL(1, Made->Epoch_);
  CHECK(fleet::Codec::toDirectory(fleet::Codec::toJson(*Made)) == Made);
  CHECK_FALSE(Made->with(Record).has_value());
}

TEST(Codec, relayChangeKeepsTheEpochAndMembershipChangeRaisesIt) {
  fleet::ZoneRecord Record;
  Record.Zone_ = base::ZoneId("z1");
  Record.Generation_ = 1;
  const fleet::Directory First =
      fleet::Directory{}.with(Record).value_or(fleet::Directory{});
  Record.Relay_ = base::HostId("h2");
  const fleet::Directory Second =
      First.with(Record).value_or(fleet::Directory{});
  UNSIGNED_LONGLONGS_EQUAL(1, Second.Epoch_);
  Record.Generation_ = 2;
  const fleet::Directory Third =
      Second.with(Record).value_or(fleet::Directory{});
  UNSIGNED_LONGLONGS_EQUAL(2, Third.Epoch_);
}

TEST(Codec, damagedTextGivesNothing) {
  const std::string Whole =
      fleet::Codec::write(fleet::Codec::toJson(fleet::ZoneRecord{}));
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    CHECK_FALSE(fleet::Codec::parse(Whole.substr(0, Length)).has_value());
  for (const char *Text : {"{}", "{\"epoch\":-1,\"zones\":{}}",
                           "{\"epoch\":1,\"zones\":{\"z\":{}}}"})
    CHECK_FALSE(fleet::Codec::toDirectory(
                    fleet::Codec::parse(Text).value_or(Json::Value()))
                    .has_value());
}
