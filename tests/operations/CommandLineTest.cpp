#include "operations/OperatorRpc.h"

#include "base/Hash.h"
#include "base/SystemClock.h"
#include "fleet/PeerServer.h"
#include "operations/FakeStore.h"
#include "settings/KeyRing.h"
#include "support/IoThreads.h"

#include <array>
#include <cstdio>
#include <mutex>
#include <sys/wait.h>
#include <unistd.h>

#include "settings/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
namespace operations = lychee::operations;
namespace settings = lychee::settings;
namespace tests = lychee::tests;

namespace {

const std::string Bootstrap = "bootstrap-token";
const std::string VaultToken = "example-only-token-kitakyushu-vault";
const std::string TenantsToken = "example-only-token-kitakyushu-tenants";

/// One host's operators' side behind its real listener, over a fake store.
class OperatedHost {
public:
  OperatedHost()
      : Server_(Threads_.executor(), {}, Dispatcher_, Authenticator_) {
    for (const std::string &Method : operations::OperatorRpc::methods())
      Dispatcher_.bind(Method, [this, Method](const fleet::RpcCaller &Caller,
                                              const std::string &Parameters) {
        return handle(Method, Caller, Parameters);
      });
    base::Error Last;
    CHECK_TRUE(Server_.listen(Last));
    Fleet_.Address_ = address();
  }
  OperatedHost(const OperatedHost &) = delete;
  OperatedHost &operator=(const OperatedHost &) = delete;
  ~OperatedHost() { Server_.stop(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }

  tests::FakeStore Store_;
  tests::FakeFleet Fleet_;
  /// Whether a change comes into force here at once.
  bool Follows_ = true;

private:
  fleet::RpcOutcome handle(const std::string &Method,
                           const fleet::RpcCaller &Caller,
                           const std::string &Parameters) {
    const std::lock_guard Guard(Lock_);
    const std::string Answer = tests::resultOf(Rpc_.call(
        Method, Parameters, Caller.OperatorToken_, base::SystemClock::wallNow(),
        base::SystemClock::monotonicNow()));
    if (Follows_)
      follow();
    return {0, Answer};
  }

  void follow() {
    operations::OperatorError Ignored;
    const auto Shown = tests::resultOf(Api_.show(Bootstrap, Ignored));
    settings::Problems Found;
    if (!Shown)
      return;
    const auto Wanted =
        settings::parseIntent({Shown->Version_, Shown->Documents_}, Found);
    if (Wanted)
      Fleet_.Intent_ = std::make_shared<settings::Intent>(*Wanted);
  }

  std::mutex Lock_;
  operations::OperatorApi Api_{Store_, Fleet_, base::sha256Hex(Bootstrap),
                               base::Duration::zero()};
  operations::OperatorRpc Rpc_{Api_};
  tests::IoThreads Threads_;
  fleet::RpcDispatcher Dispatcher_;
  fleet::PeerAuthenticator Authenticator_{"0123456789abcdef0123456789abcdef"};
  fleet::PeerServer Server_;
};

/// What the program said and returned.
struct Ended {
  std::string Text_;
  int Code_ = -1;
};

} // namespace

TEST_GROUP(CommandLine) {
  OperatedHost Host_;
  std::filesystem::path Folder_ =
      std::filesystem::temp_directory_path() /
      ("lychee-command-" + std::to_string(getpid()));

  void setup() override {
    std::filesystem::remove_all(Folder_);
    std::filesystem::copy(std::filesystem::path(LYCHEE_SOURCE_DIR) /
                              "examples/kitakyushu/settings",
                          Folder_, std::filesystem::copy_options::recursive);
    // Left by whoever applied the example itself.
    std::filesystem::remove(Folder_ / ".lychee-version");
  }

  void teardown() override { std::filesystem::remove_all(Folder_); }

  /// Runs the program; both of its outputs come back together.
  Ended lychee(const std::string &Words, const std::string &Token) {
    const std::string Line = "LYCHEE_TOKEN='" + Token + "' USER=ana " +
                             LYCHEE_BIN_DIR + "/lychee " + Words +
                             " --server " + Host_.address() + " 2>&1";
    Ended Result;
    std::FILE *Pipe = popen(Line.c_str(), "r");
    std::array<char, 4096> Buffer{};
    std::size_t Got = 0;
    while ((Got = std::fread(Buffer.data(), 1, Buffer.size(), Pipe)) > 0)
      Result.Text_.append(Buffer.data(), Got);
    Result.Code_ = WEXITSTATUS(pclose(Pipe));
    return Result;
  }

  void expect(int Code, const char *Part, const Ended &Result) {
    STRCMP_CONTAINS(Part, Result.Text_.c_str());
    LONGS_EQUAL(Code, Result.Code_);
  }

  void applyAll() {
    expect(0, "accepted version=1",
           lychee("apply " + Folder_.string(), Bootstrap));
  }

  void replace(const std::string &Path, const std::string &From,
               const std::string &To) {
    std::string Text = tests::readFile(Folder_ / Path);
    Text.replace(Text.find(From), From.size(), To);
    std::ofstream(Folder_ / Path, std::ios::binary) << Text;
  }
};

TEST(CommandLine, applyShowDiffAndHistoryGoThroughAHost) {
  applyAll();
  expect(0, "", lychee("diff " + Folder_.string(), Bootstrap));
  replace("vault/service.ini", "120s", "60s");
  const Ended Different = lychee("diff " + Folder_.string(), Bootstrap);
  expect(2, "== vault/service.ini\n-6: deadline = 120s\n+6: deadline = 60s\n",
         Different);
  expect(0, "accepted version=2",
         lychee("apply --team vault " + Folder_.string(), VaultToken));
  expect(0, "deadline = 60s", lychee("show --team vault", VaultToken));
  expect(0, "kind=apply id=2 author=ana team=vault summary=\"1 document\"",
         lychee("history", VaultToken));
}

// Ben reads the settings, Ana changes them, Ben applies. He is told of Ana's
// change and of the lines that differ, his files stay as they are, and after
// taking her line over he applies against the version that he was told.
TEST(CommandLine, aConflictTellsWhoCameFirstAndLeavesTheFilesAlone) {
  applyAll();
  replace("vault/service.ini", "120s", "90s");
  expect(0, "accepted version=2",
         lychee("drain target evidence-vault-01", VaultToken));
  const Ended Refused =
      lychee("apply --team vault --author ben " + Folder_.string(), VaultToken);
  expect(4, "first: version=2 author=ana team=vault kind=drain", Refused);
  STRCMP_CONTAINS("-3: leaving = yes\n", Refused.Text_.c_str());
  STRCMP_CONTAINS("--base 2", Refused.Text_.c_str());
  STRCMP_CONTAINS("90s",
                  tests::readFile(Folder_ / "vault/service.ini").c_str());
  replace("vault/targets.ini", "[target evidence-vault-01]\n",
          "[target evidence-vault-01]\nleaving = yes\n");
  expect(0, "accepted version=3",
         lychee("apply --team vault --base 2 " + Folder_.string(), VaultToken));
}

TEST(CommandLine, problemsAreToldAllAtOnceWithFileAndLine) {
  replace("vault/targets.ini", "slots = 3", "slots = many");
  replace("portal/service.ini", "path", "pth");
  const Ended Refused = lychee("apply " + Folder_.string(), Bootstrap);
  expect(3, "vault/targets.ini:6: target evidence-vault-01.slots: found many",
         Refused);
  STRCMP_CONTAINS("portal/service.ini:3: service case-portal.pth: found an "
                  "unknown key",
                  Refused.Text_.c_str());
  CHECK(Host_.Store_.Objects_.empty());
}

TEST(CommandLine, aKeyIsShownOnceAndItsHashAloneIsStored) {
  applyAll();
  const Ended Added = lychee("key add council --output json", TenantsToken);
  const auto Told =
      operations::readJson(Added.Text_.substr(0, Added.Text_.find('\n')));
  const std::string Key = operations::textOf(tests::require(Told), "key");
  settings::KeyRefusal Why = settings::KeyRefusal::None;
  const auto Owner = settings::KeyRing(*Host_.Fleet_.Intent_).check(Key, Why);
  STRCMP_EQUAL("council", tests::require(Owner).Customer_.name().c_str());
  const std::string Secret = Key.substr(Key.find('.') + 1);
  CHECK(Secret.size() >= 48);
  CHECK(Host_.Store_.everything().find(Secret) == std::string::npos);
  expect(0, "accepted version=3", lychee("key withdraw " + Key, TenantsToken));
  settings::KeyRing(*Host_.Fleet_.Intent_).check(Key, Why);
  CHECK(Why == settings::KeyRefusal::Withdrawn);
}

TEST(CommandLine, waitReturnsOnlyWhenTheChangeIsInForce) {
  applyAll();
  expect(0, "in force host=edge-1 version=2 (1 of 1)",
         lychee("drain target evidence-vault-02 --wait", VaultToken));
  Host_.Follows_ = false;
  expect(9, "not in force host=edge-1",
         lychee("drain target evidence-vault-03 --wait --wait_timeout 300ms",
                VaultToken));
}

TEST(CommandLine, everyCommandTellsAWrongTokenAndAStoreThatIsDown) {
  applyAll();
  for (const char *Words :
       {"show", "history", "status", "explain r1", "drain target x",
        "key add council", "shift start x"})
    expect(5, "denied", lychee(Words, "guess"));
  Host_.Store_.Down_ = true;
  expect(6, "unavailable", lychee("show", VaultToken));
  expect(0, "host=edge-1", lychee("status", VaultToken));
  expect(0, "event=send request=r1", lychee("explain r1", VaultToken));
  expect(8, "not-found", lychee("explain r2", VaultToken));
}

// A subtree is larger than a host's listener takes. The listener ends the
// connection of such a call, which looks like a lost answer: "unknown", and the
// operator looks for a change that nobody made. So the program counts first.
TEST(CommandLine, whatIsTooLargeForAHostIsToldAsNotMade) {
  std::ofstream(Folder_ / "vault/large.ini", std::ios::binary)
      << std::string(std::size_t{5} << 20, ';');
  expect(6, "a host takes 4194304",
         lychee("apply " + Folder_.string(), Bootstrap));
}

TEST(CommandLine, theCommandLineItselfIsChecked) {
  for (const char *Words :
       {"", "nope", "apply", "apply /nowhere", "drain x y", "key add",
        "key drop x", "shift start", "show --output xml", "apply x --base y",
        "drain target x --wait_timeout 5", "show --unknown"})
    LONGS_EQUAL(1, lychee(Words, VaultToken).Code_);
  for (const char *Name : {"check", "apply", "diff", "show", "history",
                           "status", "explain", "drain", "key", "shift"})
    expect(0, "Examples:", lychee(std::string("help ") + Name, VaultToken));
}
