#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace settings = lychee::settings;
namespace tests = lychee::tests;
using tests::describeAll;
using tests::edit;
using tests::require;

namespace {

std::string problemsOf(const settings::SettingsTree &Tree) {
  settings::Problems Found;
  const auto Parsed = settings::parseIntent(Tree, Found);
  CHECK_EQUAL(Found.empty(), Parsed.has_value());
  return describeAll(Found);
}

/// Counts a deployment's parts against the sizes that its users gave.
void checkSizes(const std::string &Deployment,
                const std::map<std::string, std::size_t> &TargetsByService,
                std::uint32_t Connections) {
  settings::Problems Found;
  const settings::Intent Wanted =
      require(settings::parseIntent(tests::readExample(Deployment), Found));
  STRCMP_EQUAL("", describeAll(Found).c_str());
  std::size_t Zones = 0;
  for (const auto &[Id, Region] : Wanted.Regions_)
    Zones += Region.Zones_.size();
  LONGS_EQUAL(3, Wanted.Regions_.size());
  LONGS_EQUAL(6, Zones);
  LONGS_EQUAL(3, Wanted.Links_.size());
  LONGS_EQUAL(8, Wanted.Customers_.size());
  for (const settings::Link &Link : Wanted.Links_)
    CHECK(Link.BitsPerSecond_ == 4'000'000'000);
  for (const auto &[Id, Count] : TargetsByService) {
    const auto &Service = Wanted.Services_.at(base::ServiceId(Id));
    LONGS_EQUAL(Count, Service.Targets_.size());
    LONGS_EQUAL(Connections, Service.Targets_[0].Connections_);
  }
}

} // namespace

TEST_GROUP(Intent) {
  settings::SettingsTree Tree_ = tests::readExample("kitakyushu");
};

TEST(Intent, theWorkedTreesHaveTheSizesOfToday) {
  checkSizes("kitakyushu", {{"case-portal", 30}, {"evidence-vault", 12}}, 400);
  checkSizes("glockenwerk", {{"rota", 20}, {"peal-archive", 12}}, 330);
}

TEST(Intent, everyHostFileOfTheWorkedTreesParses) {
  for (const char *Deployment : {"kitakyushu", "glockenwerk"}) {
    std::size_t Files = 0;
    for (const auto &Entry : std::filesystem::directory_iterator(
             std::filesystem::path(LYCHEE_SOURCE_DIR) / "examples" /
             Deployment / "hosts")) {
      settings::Problems Found;
      settings::parseDaemonSettings(tests::readFile(Entry.path()),
                                    Entry.path().string(), Found);
      STRCMP_EQUAL("", describeAll(Found).c_str());
      ++Files;
    }
    CHECK(Files >= 8 && Files <= 12);
  }
}

TEST(Intent, clientBlocksNameTheirSiteByPosition) {
  settings::Problems Found;
  const settings::Intent Wanted = require(settings::parseIntent(Tree_, Found));
  const settings::ClientBlock &First = Wanted.ClientBlocks_.front();
  LONGS_EQUAL(10U << 24 | 10U << 16, First.Network_);
  STRCMP_EQUAL("fukuoka-clients",
               Wanted.SiteOrder_[First.SiteIndex_].name().c_str());
}

TEST(Intent, aPlanMustNameRegionsServiceAndALinkThatBearsIt) {
  edit(Tree_, "vault/shifts.ini", "to = kumamoto", "to = atlantis");
  STRCMP_CONTAINS("vault/shifts.ini:2: shift evidence-to-kumamoto.to: found "
                  "atlantis, allowed a region that a section describes",
                  problemsOf(Tree_).c_str());
  edit(Tree_, "vault/shifts.ini", "to = atlantis", "to = kumamoto");
  edit(Tree_, "network/places.ini", "capacity = 4Gbit/s",
       "capacity = 50Mbit/s");
  // 12 slots / 50 ms * 256 KiB * 8 * 0.4 is what the plan may move.
  STRCMP_CONTAINS("vault/shifts.ini:2: shift evidence-to-kumamoto.cap: found "
                  "201326592 bit/s over the link, allowed at most its 50000000",
                  problemsOf(Tree_).c_str());
  edit(Tree_, "vault/shifts.ini", "service = evidence-vault",
       "service = case-portal");
  STRCMP_CONTAINS("found service case-portal of team portal, allowed one of "
                  "the own team",
                  problemsOf(Tree_).c_str());
}

TEST(Intent, twoOwnersOfOneThingAreToldWithBothPlaces) {
  Tree_.Documents_["vault/more.ini"] =
      "[service case-portal]\npath = /x\nhosts = other.example\n"
      "[service copy]\npath = /\nhosts = portal.kitakyushu.example\n"
      "[region north]\nzones = north-1\n";
  Tree_.Documents_["network/more.ini"] =
      "[clients kumamoto-clients]\nblocks = 10.10.0.0/20\n";
  const std::string Report = problemsOf(Tree_);
  STRCMP_CONTAINS("vault/more.ini:1: service case-portal: found a second "
                  "owner, allowed one section of this name, which stands at "
                  "portal/service.ini:2",
                  Report.c_str());
  STRCMP_CONTAINS("service copy.path: found portal.kitakyushu.example/",
                  Report.c_str());
  STRCMP_CONTAINS("vault/more.ini:7: region north: found it in a document of "
                  "team vault, allowed it in documents of team network only",
                  Report.c_str());
  STRCMP_CONTAINS("clients kumamoto-clients: found 10.10.0.0/20, allowed a "
                  "block once; site fukuoka-clients has it",
                  Report.c_str());
}

TEST(Intent, aCustomerNeedsARateAndAKeyNeedsACustomerOfItsTeam) {
  edit(Tree_, "tenants/customers.ini", "rate = 900\n", "");
  edit(Tree_, "tenants/keys.ini", "customer = aso-university",
       "customer = nobody");
  Tree_.Documents_["vault/keys.ini"] =
      "[key stolen]\ncustomer = council\nsalt = 0011223344556677\nhash = " +
      std::string(64, 'a') +
      "\n[team tenants]\ntoken_hash = " + std::string(64, 'b') + "\n";
  const std::string Report = problemsOf(Tree_);
  STRCMP_CONTAINS("tenants/customers.ini:2: customer council.rate: found "
                  "nothing",
                  Report.c_str());
  STRCMP_CONTAINS("key aso-university-1.customer: found nobody, allowed a "
                  "customer that a section describes",
                  Report.c_str());
  STRCMP_CONTAINS("vault/keys.ini:1: key stolen.customer: found customer "
                  "council of team tenants, allowed one of the own team",
                  Report.c_str());
  STRCMP_CONTAINS("vault/keys.ini:5: team tenants: found a second owner",
                  Report.c_str());
}

TEST(Intent, aPathOutsideEveryTeamIsRefused) {
  for (const char *Path : {"x.ini", "../x.ini", "a/../b.ini", "/a/b.ini",
                           "a/b.txt", "a//b.ini", "A/b.ini", "a/.ini", ""}) {
    settings::SettingsTree One;
    One.Documents_[Path] = "";
    STRCMP_CONTAINS("allowed TEAM/NAME.ini", problemsOf(One).c_str());
  }
}
