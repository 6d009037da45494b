#include "operations/OperatorApi.h"

#include "base/Hash.h"
#include "operations/FakeStore.h"
#include "settings/Fixture.h"
#include "settings/KeyRing.h"
#include "settings/Values.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace operations = lychee::operations;
namespace settings = lychee::settings;
namespace tests = lychee::tests;
using operations::Failure;
using tests::require;
using tests::resultOf;

namespace {

const std::string Bootstrap = "bootstrap-token";
const std::string PortalToken = "example-only-token-kitakyushu-portal";
const std::string VaultToken = "example-only-token-kitakyushu-vault";
const std::string TenantsToken = "example-only-token-kitakyushu-tenants";
const std::string NetworkToken = "example-only-token-kitakyushu-network";
constexpr base::WallPoint Now{std::chrono::seconds(1'764'720'000)};

} // namespace

TEST_GROUP(OperatorApi) {
  tests::FakeStore Store_;
  tests::FakeFleet Fleet_;
  operations::OperatorApi Api_{Store_, Fleet_, base::sha256Hex(Bootstrap),
                               std::chrono::seconds(20)};
  operations::OperatorError Last_;
  int Ids_ = 0;

  void setup() override {
    operations::ApplyRequest First;
    First.Header_ = header("first");
    First.Documents_ = tests::readExample("kitakyushu").Documents_;
    for (const char *Team : {"network", "portal", "tenants", "vault"})
      First.Teams_.emplace_back(Team);
    accept(resultOf(Api_.apply(First, Bootstrap, Now, Last_)), 1);
  }

  operations::ChangeHeader header(const std::string &Author) {
    return {"change-" + std::to_string(++Ids_), Author};
  }

  /// Checks that a change was made and brings it into force here.
  void accept(const std::optional<operations::Accepted> &Made,
              std::uint64_t Version) {
    STRCMP_EQUAL("", tests::describeAll(Last_.Problems_).c_str());
    STRCMP_EQUAL("", Last_.Cause_.Reason_.c_str());
    UNSIGNED_LONGS_EQUAL(Version, require(Made).Version_);
    refresh();
  }

  void refresh() {
    settings::Problems Found;
    settings::SettingsTree Tree;
    Tree.Documents_ = shown(Bootstrap).Documents_;
    Tree.Version_ = shown(Bootstrap).Version_;
    Fleet_.Intent_ = std::make_shared<settings::Intent>(
        require(settings::parseIntent(Tree, Found)));
  }

  operations::ShownSettings shown(const std::string &Token) {
    return require(resultOf(Api_.show(Token, Last_)));
  }

  /// An apply of the portal team's subtree as it stands, one text changed.
  operations::ApplyRequest portalRequest(const std::string &Author,
                                         const std::string &Deadline) {
    operations::ApplyRequest Request;
    Request.Header_ = header(Author);
    Request.Teams_ = {base::TeamId("portal")};
    const operations::ShownSettings Read = shown(PortalToken);
    Request.BaseVersion_ = Read.Version_;
    Request.Documents_ = Read.Documents_;
    std::string &Text = Request.Documents_["portal/service.ini"];
    Text.replace(Text.find("10s"), 3, Deadline);
    return Request;
  }

  std::string document(const std::string &Path) {
    return shown(Bootstrap).Documents_[Path];
  }
};

TEST(OperatorApi, aChangeIsInTheStoreAsChunksUnderOneRoot) {
  accept(resultOf(
             Api_.apply(portalRequest("ana", "12s"), PortalToken, Now, Last_)),
         2);
  CHECK(document("portal/service.ini").find("12s") != std::string::npos);
  const std::string Hash = base::sha256Hex(document("portal/service.ini"));
  CHECK(Store_.Objects_.contains("settings/chunk/" + Hash));
  LONGS_EQUAL(2, Store_.Objects_.at("settings/root").Version_);
}

// Two operators of one team read version 1. The first applies; the second's
// text is older than what stands there, and writing it would silently undo the
// first's change. The second is told who came first and with what, gets the
// text that stands there, and nothing of his own is lost or written.
TEST(OperatorApi, theSecondOfTwoOperatorsGetsAConflictThatNamesTheFirst) {
  const auto First = portalRequest("ana", "12s");
  const auto Second = portalRequest("ben", "15s");
  accept(resultOf(Api_.apply(First, PortalToken, Now, Last_)), 2);
  CHECK_FALSE(
      resultOf(Api_.apply(Second, PortalToken, Now, Last_)).has_value());
  CHECK(Last_.Kind_ == Failure::Conflict);
  LONGS_EQUAL(1, Last_.Overtaking_.size());
  STRCMP_EQUAL("ana", Last_.Overtaking_[0].Author_.c_str());
  STRCMP_EQUAL("portal/service.ini", Last_.Overtaking_[0].Paths_.at(0).c_str());
  CHECK(Last_.Present_["portal/service.ini"].find("12s") != std::string::npos);
  LONGS_EQUAL(2, Last_.PresentVersion_);
  LONGS_EQUAL(2, Store_.Objects_.at("settings/root").Version_);
}

TEST(OperatorApi, applyingWhatStandsThereIsNoConflict) {
  const auto Same = portalRequest("ana", "12s");
  accept(resultOf(Api_.apply(Same, PortalToken, Now, Last_)), 2);
  auto Again = Same;
  Again.Header_ = header("ben");
  const auto Made = resultOf(Api_.apply(Again, PortalToken, Now, Last_));
  CHECK_FALSE(require(Made).Changed_);
  accept(Made, 2);
}

// Two teams apply at the same moment: the other team's change reaches the root
// between our read and our write. That is no conflict between operators. The
// change is made again over the new tree, and both are in force.
TEST(OperatorApi, anotherTeamsChangeInBetweenIsMergedNotRefused) {
  const auto Ours = portalRequest("ana", "12s");
  Store_.BeforePut_ = [this](const std::string &) {
    accept(resultOf(Api_.drain({header("vic"),
                                operations::DrainRequest::Kind::Target,
                                "evidence-vault-01"},
                               VaultToken, Now, Last_)),
           2);
  };
  accept(resultOf(Api_.apply(Ours, PortalToken, Now, Last_)), 3);
  CHECK(document("portal/service.ini").find("12s") != std::string::npos);
  CHECK(document("vault/targets.ini").find("leaving = yes") !=
        std::string::npos);
}

// The platform writes the root and its answer is lost. Reporting a failure
// would make the operator apply again, onto his own change, as a conflict.
// Reading the root back finds the change's id in it: it was made.
TEST(OperatorApi, aLostAnswerIsResolvedByReadingBack) {
  Store_.LoseAnswerOf_ = "settings/root";
  Store_.LostAnswers_ = 1;
  accept(resultOf(
             Api_.apply(portalRequest("ana", "12s"), PortalToken, Now, Last_)),
         2);
  LONGS_EQUAL(2, Store_.Objects_.at("settings/root").Version_);
}

// The write itself is lost, not its answer. Reading back finds the root as it
// was, which alone proves nothing, as the write may still arrive. Writing once
// more at the same version settles it: only one of the two can take effect.
TEST(OperatorApi, aLostWriteIsMadeOnceMore) {
  Store_.LoseRequestTo_ = "settings/root";
  Store_.LostRequests_ = 1;
  accept(resultOf(
             Api_.apply(portalRequest("ana", "12s"), PortalToken, Now, Last_)),
         2);
}

// The answer is lost and the store goes down: nobody can tell. The operator is
// told "unknown", not "failed". When the store is back, the same command with
// the same change id finds the change there, and makes it no second time.
TEST(OperatorApi, anUnknownEndIsSettledByTheSameCommandAgain) {
  const auto Request = portalRequest("ana", "12s");
  Store_.LoseAnswerOf_ = "settings/root";
  Store_.LostAnswers_ = 1;
  Store_.DownAfterLostAnswer_ = true;
  operations::OperatorApi Impatient(Store_, Fleet_, "", base::Duration::zero());
  CHECK_FALSE(
      resultOf(Impatient.apply(Request, PortalToken, Now, Last_)).has_value());
  CHECK(Last_.Kind_ == Failure::Unknown);
  Store_.Down_ = false;
  Last_ = {};
  accept(resultOf(Api_.apply(Request, PortalToken, Now, Last_)), 2);
  LONGS_EQUAL(2, Store_.Objects_.at("settings/root").Version_);
}

// A host starts and reads a tree of more documents than its budget of calls
// lets it read in a second. The load fails half way, and is tried again. Each
// try goes on with the chunks that are missing, so it ends; from the beginning
// each time, it would never end and the host would refuse every request.
TEST(OperatorApi, aLoadUnderABudgetOfCallsGoesOnWhereItStopped) {
  operations::SettingsStore Fresh(Store_, base::Duration::zero());
  std::optional<operations::StoredSettings> Loaded;
  int Tries = 0;
  for (; !Loaded && Tries < 20; ++Tries) {
    Store_.GetsLeft_ = 4;
    base::Error Last;
    Loaded = resultOf(Fresh.load(Last));
  }
  LONGS_EQUAL(13, require(Loaded).Tree_.Documents_.size());
  LONGS_EQUAL(5, Tries);
}

TEST(OperatorApi, withTheStoreDownChangesSayUnavailableAndStatusWorks) {
  const auto Request = portalRequest("ana", "12s");
  Store_.Down_ = true;
  operations::OperatorApi Impatient(Store_, Fleet_, "", base::Duration::zero());
  CHECK_FALSE(
      resultOf(Impatient.apply(Request, PortalToken, Now, Last_)).has_value());
  CHECK(Last_.Kind_ == Failure::Unavailable);
  STRCMP_EQUAL("store.get", Last_.Cause_.Step_.c_str());
  UNSIGNED_LONGS_EQUAL(
      1, require(Api_.status(PortalToken, {}, Last_)).SettingsVersion_);
  LONGS_EQUAL(1, require(Api_.members(PortalToken, Last_)).size());
  LONGS_EQUAL(
      1,
      require(Api_.explain(base::RequestId("r1"), PortalToken, Last_)).size());
}

TEST(OperatorApi, wrongSettingsAreRefusedWholeWithEveryProblem) {
  auto Request = portalRequest("ana", "12s");
  Request.Documents_["portal/bad.ini"] = "[service x]\npth = /\n[shift y]\n";
  CHECK_FALSE(
      resultOf(Api_.apply(Request, PortalToken, Now, Last_)).has_value());
  CHECK(Last_.Kind_ == Failure::Invalid);
  CHECK(Last_.Problems_.size() > 5);
  LONGS_EQUAL(1, Store_.Objects_.at("settings/root").Version_);
}

// A change that is right by itself breaks another team's part: the network's
// team takes a region away in which the portal has targets. The whole merged
// tree is checked, so it is refused, and tells where the targets stand.
TEST(OperatorApi, aChangeThatBreaksAnotherTeamsPartIsRefused) {
  operations::ApplyRequest Request;
  Request.Header_ = header("nina");
  Request.Teams_ = {base::TeamId("network")};
  Request.BaseVersion_ = 1;
  Request.Documents_ = shown(NetworkToken).Documents_;
  Request.Documents_.erase("network/places.ini");
  CHECK_FALSE(
      resultOf(Api_.apply(Request, NetworkToken, Now, Last_)).has_value());
  STRCMP_CONTAINS("portal/targets.ini:2: target case-portal-01.zone: found "
                  "fukuoka-1",
                  tests::describeAll(Last_.Problems_).c_str());
}

TEST(OperatorApi, aTokenOpensItsTeamsPathsAndNoOther) {
  CHECK_FALSE(
      resultOf(Api_.apply(portalRequest("eve", "1s"), VaultToken, Now, Last_))
          .has_value());
  CHECK(Last_.Kind_ == Failure::Denied);
  auto Smuggled = portalRequest("eve", "1s");
  Smuggled.Teams_ = {base::TeamId("vault")};
  CHECK_FALSE(
      resultOf(Api_.apply(Smuggled, VaultToken, Now, Last_)).has_value());
  CHECK(Last_.Kind_ == Failure::Denied);
  for (const auto &[Path, Text] : shown(VaultToken).Documents_)
    CHECK(Path.starts_with("vault/"));
  CHECK_FALSE(resultOf(Api_.drain({header("eve"),
                                   operations::DrainRequest::Kind::Target,
                                   "case-portal-01"},
                                  VaultToken, Now, Last_))
                  .has_value());
  CHECK(Last_.Kind_ == Failure::Denied);
  for (const std::string &Token :
       {std::string(), std::string("guess"), std::string(10'000, 'x')}) {
    CHECK_FALSE(resultOf(Api_.show(Token, Last_)).has_value());
    CHECK_FALSE(Api_.status(Token, {}, Last_).has_value());
    CHECK(Last_.Kind_ == Failure::Denied);
  }
}

TEST(OperatorApi, drainsAreMadeAndTakenBackAndKeepTheOperatorsText) {
  const std::string Before = document("vault/targets.ini");
  operations::DrainRequest Request{header("vic"),
                                   operations::DrainRequest::Kind::Target,
                                   "evidence-vault-02"};
  accept(resultOf(Api_.drain(Request, VaultToken, Now, Last_)), 2);
  const auto &Targets =
      Fleet_.Intent_->Services_.at(base::ServiceId("evidence-vault")).Targets_;
  CHECK_TRUE(Targets.at(1).Leaving_);
  Request.Header_ = header("vic");
  accept(resultOf(Api_.drain(Request, VaultToken, Now, Last_)), 2);
  Request.Header_ = header("vic");
  Request.Undo_ = true;
  accept(resultOf(Api_.drain(Request, VaultToken, Now, Last_)), 3);
  std::string After = document("vault/targets.ini");
  After.erase(After.find("leaving = no\n"), 13);
  STRCMP_EQUAL(Before.c_str(), After.c_str());
}

TEST(OperatorApi, aHostIsDrainedByTheNetworksTeamOnly) {
  operations::DrainRequest Request{
      header("nina"), operations::DrainRequest::Kind::Host, "kitakyushu-3"};
  CHECK_FALSE(
      resultOf(Api_.drain(Request, PortalToken, Now, Last_)).has_value());
  CHECK(Last_.Kind_ == Failure::Denied);
  Last_ = {};
  accept(resultOf(Api_.drain(Request, NetworkToken, Now, Last_)), 2);
  CHECK(Fleet_.Intent_->LeavingHosts_.contains(base::HostId("kitakyushu-3")));
  Request.Header_ = header("nina");
  Request.Undo_ = true;
  accept(resultOf(Api_.drain(Request, NetworkToken, Now, Last_)), 3);
  CHECK(Fleet_.Intent_->LeavingHosts_.empty());
}

TEST(OperatorApi, keysAreAddedByHashAndWithdrawn) {
  const std::string Presented = "saga-9.a-secret-that-nobody-stores";
  const std::string Salt(32, '5');
  accept(resultOf(Api_.addKey(
             {header("tom"), base::CustomerId("saga-field-teams"),
              base::KeyId("saga-9"), Salt, settings::hashKey(Salt, Presented)},
             TenantsToken, Now, Last_)),
         2);
  settings::KeyRefusal Why = settings::KeyRefusal::None;
  CHECK_TRUE(settings::KeyRing(*Fleet_.Intent_).check(Presented, Why));
  accept(resultOf(Api_.withdrawKey({header("tom"), base::KeyId("saga-9")},
                                   TenantsToken, Now, Last_)),
         3);
  CHECK_FALSE(settings::KeyRing(*Fleet_.Intent_).check(Presented, Why));
  CHECK(Why == settings::KeyRefusal::Withdrawn);
  CHECK(Store_.everything().find("a-secret") == std::string::npos);
}

// An operator notes a key in a comment beside its hash. Settings are copied,
// shown and kept: the key would be with everyone who ever sees them. The text
// is refused, and the refusal, which is copied too, does not repeat the key.
TEST(OperatorApi, aKeyPastedIntoADocumentIsRefusedAndNotRepeated) {
  const std::string Secret = "example-only-0f";
  operations::ApplyRequest Request;
  Request.Header_ = header("tom");
  Request.Teams_ = {base::TeamId("tenants")};
  Request.BaseVersion_ = 1;
  Request.Documents_ = shown(TenantsToken).Documents_;
  const std::string Salt(32, '1');
  Request.Documents_["tenants/keys.ini"] +=
      "\n; oita: oita-2." + Secret +
      "\n[key oita-2]\ncustomer = oita-archive\nsalt = " + Salt +
      "\nhash = " + settings::hashKey(Salt, "oita-2." + Secret) + "\n";
  CHECK_FALSE(
      resultOf(Api_.apply(Request, TenantsToken, Now, Last_)).has_value());
  const std::string Report = tests::describeAll(Last_.Problems_);
  STRCMP_CONTAINS("text: found the key oita-2 itself", Report.c_str());
  CHECK(Report.find(Secret) == std::string::npos);
  CHECK(Store_.everything().find(Secret) == std::string::npos);
}

// A name comes from the command line and goes into INI text. With a line break
// in it, it would bring a section of its own, such as another team's token.
TEST(OperatorApi, aNameCannotBringASectionOfItsOwn) {
  const std::string Forged =
      "x]\n[team vault]\ntoken_hash = " + std::string(64, 'a') + "\n[host y";
  CHECK_FALSE(
      resultOf(Api_.drain({header("eve"), operations::DrainRequest::Kind::Host,
                           Forged},
                          NetworkToken, Now, Last_))
          .has_value());
  CHECK(Last_.Kind_ == Failure::Invalid);
  CHECK_FALSE(
      resultOf(Api_.addKey({header("eve"), base::CustomerId("saga-field-teams"),
                            base::KeyId("k"), "00\n[x]", std::string(64, 'a')},
                           TenantsToken, Now, Last_))
          .has_value());
  CHECK(Last_.Kind_ == Failure::Invalid);
}

// A plan moves 5 % a minute. It is paused after three steps and taken back
// later. What it had reached stands in the settings each time: a host that
// starts in between would else count the paused minutes as moved, and send
// more callers over than every other host.
TEST(OperatorApi, shiftsAreStartedPausedAndAbortedFromTheShareReached) {
  using Action = operations::ShiftRequest::Action;
  using State = settings::ShiftPlan::State;
  const base::PlanId Id("evidence-to-kumamoto");
  const base::WallPoint Start =
      require(settings::parseWallTime("2026-12-03T09:00:00Z"));
  const auto Act = [&](Action Asked, base::Duration Later,
                       std::uint64_t Version) {
    accept(resultOf(Api_.shift({header("vic"), Asked, Id}, VaultToken,
                               Start + Later, Last_)),
           Version);
    return Fleet_.Intent_->Plans_.at(Id);
  };
  using std::chrono::minutes;
  const auto Running = Act(Action::Start, minutes(0), 2);
  CHECK(Running.State_ == State::Running && Running.Start_ == Start);
  const auto Held = Act(Action::Pause, minutes(2), 3);
  CHECK(Held.State_ == State::Held);
  DOUBLES_EQUAL(0.15, Held.Reached_, 1e-9);
  DOUBLES_EQUAL(0.15, Act(Action::Pause, minutes(9), 3).Reached_, 1e-9);
  const auto Back = Act(Action::Abort, minutes(60), 4);
  CHECK(Back.State_ == State::Aborted);
  DOUBLES_EQUAL(0.15, Back.Reached_, 1e-9);
  CHECK_FALSE(resultOf(Api_.shift({header("vic"), Action::Start,
                                   base::PlanId("nowhere")},
                                  VaultToken, Now, Last_))
                  .has_value());
  CHECK(Last_.Kind_ == Failure::NotFound);
}

// The host that makes a change dies before it writes the history. The next
// change, by whichever host, fills the gap from the root.
TEST(OperatorApi, theHistoryTellsEveryChangeNewestFirstAndFillsGaps) {
  accept(resultOf(
             Api_.apply(portalRequest("ana", "12s"), PortalToken, Now, Last_)),
         2);
  std::erase_if(Store_.Objects_, [](const auto &Entry) {
    return Entry.first.starts_with("history/");
  });
  accept(resultOf(
             Api_.drain({header("vic"), operations::DrainRequest::Kind::Target,
                         "evidence-vault-01"},
                        VaultToken, Now + std::chrono::hours(30), Last_)),
         3);
  const auto Told = require(resultOf(
      Api_.history(10, Now + std::chrono::hours(40), PortalToken, Last_)));
  LONGS_EQUAL(2, Told.size());
  STRCMP_EQUAL("drain", Told[0].Kind_.c_str());
  STRCMP_EQUAL("target evidence-vault-01", Told[0].Summary_.c_str());
  STRCMP_EQUAL("ana", Told[1].Author_.c_str());
}

// Fleets keep other things in the history too, and changes older than the root
// remembers. Those are read from their objects; one that is damaged is told.
TEST(OperatorApi, theHistoryTellsWhatTheRootDoesNotRemember) {
  operations::History Kept(Store_, base::Duration::zero());
  base::Error Last;
  const operations::HistoryEntry Joined{Now + std::chrono::seconds(1),
                                        "member-joined",
                                        "edge-2",
                                        "",
                                        "zone n-1",
                                        "edge-2",
                                        {}};
  CHECK_TRUE(resultOf(Kept.append(Joined, Last)));
  CHECK_TRUE(resultOf(Kept.append(Joined, Last)));
  const auto Told =
      require(resultOf(Api_.history(10, Now, PortalToken, Last_)));
  LONGS_EQUAL(2, Told.size());
  CHECK(Told[0] == Joined);
  STRCMP_EQUAL("apply", Told[1].Kind_.c_str());
  for (auto &[Path, Object] : Store_.Objects_)
    if (Path.find("member-joined") != std::string::npos)
      Object.Value_ = "{";
  CHECK_FALSE(resultOf(Api_.history(10, Now, PortalToken, Last_)).has_value());
  STRCMP_EQUAL("history.read", Last_.Cause_.Step_.c_str());
}

TEST(OperatorApi, previewTellsProblemsAndWritesNothing) {
  auto Request = portalRequest("ana", "12s");
  Request.Documents_.erase("portal/targets.ini");
  const int Before = Store_.Puts_;
  const auto Told =
      require(resultOf(Api_.preview(Request, PortalToken, Last_)));
  STRCMP_CONTAINS("service case-portal: found no target",
                  tests::describeAll(Told.Problems_).c_str());
  LONGS_EQUAL(3, Told.Present_.size());
  LONGS_EQUAL(Before, Store_.Puts_);
}
