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

  void applySettings(std::uint64_t Version, const std::string &Document) {
    CHECK(Replica_.addRoot(Version, rootOf(Version, Document), Last_));
    CHECK(Replica_.addChunk(base::sha256Hex(Document), Document));
    UNSIGNED_LONGLONGS_EQUAL(Version, Replica_.appliedVersion());
  }
};

TEST(SettingsReplica, rootIsAppliedOnceItsChunksArePresent) {
  CHECK(Replica_.addRoot(1, rootOf(1, "one"), Last_));
  UNSIGNED_LONGLONGS_EQUAL(0, Replica_.appliedVersion());
  UNSIGNED_LONGS_EQUAL(1, Replica_.missingChunks().size());
  CHECK_FALSE(Replica_.addChunk(Replica_.missingChunks()[0], "forged"));
  UNSIGNED_LONGLONGS_EQUAL(0, Replica_.appliedVersion());
  CHECK(Replica_.addChunk(base::sha256Hex("one"), "one"));
  STRCMP_EQUAL("one", Replica_.tree().Documents_.at("team/a.ini").c_str());
}

// Version 2 withdrew a key, then a peer that is behind or a stale watch
// delivers version 1 again. The key must not become valid again.
TEST(SettingsReplica, olderRootIsNeverApplied) {
  applySettings(2, "withdrawn");
  CHECK(Replica_.addRoot(1, rootOf(1, "given"), Last_));
  CHECK(Replica_.addChunk(base::sha256Hex("given"), "given"));
  UNSIGNED_LONGLONGS_EQUAL(2, Replica_.appliedVersion());
  STRCMP_EQUAL("withdrawn",
               Replica_.tree().Documents_.at("team/a.ini").c_str());
}

TEST(SettingsReplica, malformedRootChangesNothing) {
  applySettings(1, "one");
  for (const char *Text : {"", "[]", "{}", "{\"version\":2,\"documents\":7}"})
    CHECK_FALSE(Replica_.addRoot(2, Text, Last_));
  UNSIGNED_LONGLONGS_EQUAL(1, Replica_.newestVersion());
}

TEST(SettingsReplica, freshnessCoversOnlyAppliedSettings) {
  CHECK_FALSE(Replica_.age(Now_).has_value());
  applySettings(1, "one");
  Replica_.confirmNewest(1, Now_);
  CHECK(Replica_.age(Now_ + seconds(2)) == base::Duration(seconds(2)));
  // Version 2 is known to exist, but its chunk is missing: the settings count
  // as fresh as before, and no fresher.
  Replica_.confirmNewest(2, Now_ + seconds(3));
  CHECK(Replica_.age(Now_ + seconds(4)) == base::Duration(seconds(4)));
  CHECK(Replica_.addRoot(2, rootOf(2, "two"), Last_));
  Replica_.confirmNewest(1, Now_ + seconds(4));
  CHECK(Replica_.age(Now_ + seconds(4)) == base::Duration(seconds(4)));
  CHECK(Replica_.addChunk(base::sha256Hex("two"), "two"));
  CHECK(Replica_.age(Now_ + seconds(4)) == base::Duration(seconds(1)));
}

TEST(SettingsReplica, rootThatSharesAChunkLacksOnlyTheNewOne) {
  applySettings(1, "one");
  settings::SettingsRoot Root;
  Root.Version_ = 2;
  Root.Documents_["team/a.ini"] = base::sha256Hex("one");
  Root.Documents_["team/b.ini"] = base::sha256Hex("two");
  CHECK(Replica_.addRoot(2, settings::encodeRoot(Root), Last_));
  UNSIGNED_LONGS_EQUAL(1, Replica_.missingChunks().size());
  STRCMP_EQUAL(base::sha256Hex("two").c_str(),
               Replica_.missingChunks()[0].c_str());
}

TEST_GROUP(Codec){};

TEST(Codec, recordsAndDirectoriesSurviveARoundTrip) {
  fleet::ZoneRecord Record;
  Record.Zone_ = base::ZoneId("z1");
  Record.Generation_ = 3;
  Record.Relay_ = base::HostId("h1");
  Record.Members_.push_back({base::HostId("h1"), base::RegionId("r"),
                             "127.0.0.1:1", "127.0.0.1:2", 1, 2, 3, 4, true});
  const auto Parsed =
      fleet::Codec::parse(fleet::Codec::write(fleet::Codec::toJson(Record)));
  CHECK(Parsed && fleet::Codec::toZoneRecord(*Parsed) == Record);
  const auto Updated = fleet::Directory{}.withZone(Record);
  CHECK(Updated.has_value());
  if (!Updated)
    return;
  UNSIGNED_LONGLONGS_EQUAL(1, Updated->Epoch_);
  CHECK(fleet::Codec::toDirectory(fleet::Codec::toJson(*Updated)) == Updated);
  CHECK_FALSE(Updated->withZone(Record).has_value());
}

TEST(Codec, relayChangeKeepsTheEpochAndMembershipChangeRaisesIt) {
  fleet::ZoneRecord Record;
  Record.Zone_ = base::ZoneId("z1");
  Record.Generation_ = 1;
  const fleet::Directory First =
      fleet::Directory{}.withZone(Record).value_or(fleet::Directory{});
  Record.Relay_ = base::HostId("h2");
  const fleet::Directory Second =
      First.withZone(Record).value_or(fleet::Directory{});
  UNSIGNED_LONGLONGS_EQUAL(1, Second.Epoch_);
  Record.Generation_ = 2;
  const fleet::Directory Third =
      Second.withZone(Record).value_or(fleet::Directory{});
  UNSIGNED_LONGLONGS_EQUAL(2, Third.Epoch_);
}

TEST(Codec, damagedTextIsRejected) {
  const std::string Encoded =
      fleet::Codec::write(fleet::Codec::toJson(fleet::ZoneRecord{}));
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
    CHECK_FALSE(fleet::Codec::parse(Encoded.substr(0, Length)).has_value());
  for (const char *Text : {"{}", "{\"epoch\":-1,\"zones\":{}}",
                           "{\"epoch\":1,\"zones\":{\"z\":{}}}"})
    CHECK_FALSE(fleet::Codec::toDirectory(
                    fleet::Codec::parse(Text).value_or(Json::Value()))
                    .has_value());
}
