#include "settings/SettingsRoot.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace settings = lychee::settings;

namespace {

settings::SettingsRoot sample() {
  settings::SettingsRoot Root;
  Root.Version_ = 9;
  Root.Documents_["portal/service.ini"] = std::string(64, 'a');
  Root.TeamVersions_[base::TeamId("portal")] = 9;
  settings::SettingsChange Change;
  Change.Version_ = 9;
  Change.ChangeId_ = "c1";
  Change.Author_ = "An \"operator\"\n";
  Change.Team_ = base::TeamId("portal");
  Change.Kind_ = "apply";
  Change.Summary_ = "1 document";
  Change.Time_ = base::WallPoint(std::chrono::milliseconds(1'700'000'000'123));
  Change.Paths_ = {"portal/service.ini"};
  Root.Recent_ = {Change};
  return Root;
}

} // namespace

TEST_GROUP(SettingsRoot){};

TEST(SettingsRoot, comesBackAsItWas) {
  base::Error Last;
  const auto Back = settings::decodeRoot(encodeRoot(sample()), Last);
  CHECK(Back == sample());
  CHECK(sample().findChange("c1") != nullptr);
  CHECK(sample().findChange("c2") == nullptr);
}

TEST(SettingsRoot, whatIsNotARootIsRefused) {
  const std::string Whole = encodeRoot(sample());
  for (std::size_t Length = 0; Length < Whole.size(); ++Length) {
    base::Error Last;
    CHECK_FALSE(settings::decodeRoot(Whole.substr(0, Length), Last));
    STRCMP_EQUAL("settings.root", Last.Step_.c_str());
  }
  base::Error Last;
  const std::string Rest = R"(,"team_versions":{},"recent":[]})";
  for (const std::string &Bad : {std::string("[]"), std::string("1"),
                                 R"({"version":-1,"documents":{})" + Rest,
                                 R"({"version":1,"documents":{"a":1})" + Rest,
                                 R"({"version":1,"documents":[1])" + Rest})
    CHECK_FALSE(settings::decodeRoot(Bad, Last));
  CHECK_FALSE(settings::decodeRoot(std::string(100'000, '['), Last));
}
