#include "gateway/Fixture.h"
#include "gateway/RawTarget.h"
#include "gateway/VersionFloor.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace tests = lychee::tests;
using lychee::gateway::VersionFloor;
using lychee::steering::Refusal;
using lychee::steering::SendOutcome;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::RawTarget;
using namespace std::chrono_literals;

/// Requests that go to another host, and those that come from one.
TEST_GROUP(HostForwarding) {
  std::unique_ptr<RawTarget> Other_;
  std::unique_ptr<Fixture> Fixture_;
  std::mutex Lock_;
  std::vector<std::string> Heads_;
  std::string Answer_;
  /// The other host takes this long to answer.
  std::atomic<std::chrono::milliseconds> AnswerDelay_;
  /// It takes more than one request on a connection.
  std::atomic<bool> KeepsOpen_ = false;
  std::atomic<int> Sessions_ = 0;
  /// The first connections to it, so many, are silent from now on.
  std::atomic<int> SilentSessions_ = 0;

  /// Starts a gateway whose requests go to another host first, and then to a
  /// target. \param Answer  of the other host.
  void start(const std::string &Answer) {
    Answer_ = Answer;
    Other_ = std::make_unique<RawTarget>([this](RawTarget::Socket &From) {
      const int Session = ++Sessions_;
      do {
        const std::string Head = RawTarget::readHead(From);
        if (Head.empty())
          return;
        {
          const std::lock_guard Guard(Lock_);
          Heads_.push_back(Head);
        }
        if (Session <= SilentSessions_) {
          RawTarget::waitForEnd(From);
          return;
        }
        std::this_thread::sleep_for(AnswerDelay_.load());
        RawTarget::send(From, Answer_);
      } while (KeepsOpen_);
    });
    Fixture_ = std::make_unique<Fixture>(1);
    Fixture_->Settings_.Threads_ = 1;
    Fixture_->Settings_.Names_.NotRun_ = "X-Not-Run";
    Fixture_->Settings_.Host_ = base::HostId("edge-1");
    Fixture_->Steering_ =
        std::make_unique<tests::FakeSteering>(std::vector<std::string>{
            Other_->address(), Fixture_->target().address()});
    Fixture_->Steering_->HostAddress_ = Other_->address();
    Fixture_->start();
  }
  void teardown() override {
    Fixture_.reset();
    Other_.reset();
  }
  std::size_t headCount() {
    const std::lock_guard Guard(Lock_);
    return Heads_.size();
  }
  std::string head(std::size_t Index) {
    const std::lock_guard Guard(Lock_);
    return Heads_.at(Index);
  }
  static std::string refusal(const std::string &Reason) {
    return "HTTP/1.1 503 Service Unavailable\r\nLychee-Ran: no\r\n"
           "Lychee-Reason: " +
           Reason + "\r\nContent-Length: 0\r\n\r\n";
  }
};

// Guards against a second host that cannot tell whose request it is, or that
// takes more time or more sends for it than are left.
TEST(HostForwarding, theOtherHostGetsKeyTimeAndSends) {
  start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  RawClient Caller(Fixture_->address());
  const RawAnswer Read =
      Caller.request("GET", "/s/x", "Lychee-Deadline-Ms: 3000\r\n");
  LONGS_EQUAL(200, Read.Status_);
  STRCMP_EQUAL("ok", Read.Body_.c_str());
  STRCMP_CONTAINS("Authorization: Bearer ", head(0).c_str());
  STRCMP_CONTAINS("Lychee-Forwarded-By: edge-1\r\n", head(0).c_str());
  STRCMP_CONTAINS("Lychee-Sends-Left: 2\r\n", head(0).c_str());
  STRCMP_CONTAINS("Lychee-Deadline-Ms: ", head(0).c_str());
  CHECK(head(0).find("Lychee-Customer") == std::string::npos);
}

// Guards against a request that ends at a host that reaches no targets either.
TEST(HostForwarding, aRefusalForTheHostItselfIsNotTheCallersAnswer) {
  for (const char *Reason :
       {"targets-unreached", "keys-stale", "stopping", "settings-old"}) {
    start(refusal(Reason));
    RawClient Caller(Fixture_->address());
    LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
    CHECK(Fixture_->Steering_->ends().at(0) == SendOutcome::Shed);
    teardown();
  }
}

TEST(HostForwarding, anyOtherRefusalIsTheCallersAnswer) {
  start(refusal("over-rate"));
  RawClient Caller(Fixture_->address());
  LONGS_EQUAL(503, Caller.request("GET", "/s/x").Status_);
  CHECK(Fixture_->Steering_->ends().at(0) == SendOutcome::Answered);
}

// Guards against a target that poses as a host, by which a request that ran
// would be sent again.
TEST(HostForwarding, aTargetsAnswerIsNoRefusalOfAHost) {
  start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Fixture_->Steering_->HostAddress_.clear();
  Answer_ = refusal("targets-unreached");
  RawClient Caller(Fixture_->address());
  const RawAnswer Read = Caller.request("POST", "/s/x", {}, "booking");
  LONGS_EQUAL(503, Read.Status_);
  STRCMP_EQUAL("", Read.header("lychee-reason").c_str());
  LONGS_EQUAL(1, Fixture_->Steering_->ends().size());
}

// Guards against a slow target of the other host that is taken for a silent
// connection, by which an attempt runs on more targets than it may.
TEST(HostForwarding, aHostThatTakesLongToAnswerGetsTheRequestOnce) {
  KeepsOpen_ = true;
  start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Fixture_->Steering_->HostAddress_ = Other_->address();
  RawClient Caller(Fixture_->address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  AnswerDelay_ = 500ms;
  // The first address of two is the other host's.
  LONGS_EQUAL(200, Caller.request("GET", "/s/target").Status_);
  LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
  LONGS_EQUAL(2, headCount());
  LONGS_EQUAL(0, Fixture_->Listener_.hedges());
}

// Guards against a connection between hosts that went silent, and on which a
// request that is not sent once more waits until its time is over.
TEST(HostForwarding, aRequestGoesOnNoConnectionThatShowedNoLifeLately) {
  KeepsOpen_ = true;
  start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  RawClient Caller(Fixture_->address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  SilentSessions_ = 1;
  std::this_thread::sleep_for(Fixture_->Settings_.ProvenLifeLimit_ + 50ms);
  LONGS_EQUAL(200, Caller.request("GET", "/s/target").Status_);
  LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
  LONGS_EQUAL(2, Sessions_);
  LONGS_EQUAL(2, headCount());
}

// Guards against a forwarding host that cannot tell how many sends are left.
TEST(HostForwarding, anAnswerStatesTheSendsThatWereMadeForIt) {
  start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Fixture_->Steering_->HostAddress_.clear();
  RawClient Caller(Fixture_->address());
  const std::string Forwarded = "Lychee-Forwarded-By: edge-2\r\n";
  const auto Made = [&] {
    return Caller.request("GET", "/s/x", Forwarded).header("lychee-sends-made");
  };
  STRCMP_EQUAL("1", Made().c_str());
  STRCMP_EQUAL("1", Made().c_str());
  // The first address of two sheds, so that it takes two.
  Answer_ = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: no\r\n"
            "Content-Length: 0\r\n\r\n";
  STRCMP_EQUAL("2", Made().c_str());
  Fixture_->Steering_->RefuseAll_ = Refusal::NoHeadroom;
  STRCMP_EQUAL("0", Made().c_str());
  STRCMP_EQUAL(
      "", Caller.request("GET", "/s/x").header("lychee-sends-made").c_str());
}

// Guards against sends of the other host that the steering does not count.
TEST(HostForwarding, theSteeringIsToldTheSendsThatTheOtherHostMade) {
  const std::string Refused = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Lychee-Reason: targets-unreached\r\n";
  for (const auto &[Line, Expected] :
       std::map<std::string, std::optional<std::uint32_t>>{
           {"", std::nullopt},
           {"Lychee-Sends-Made: 2\r\n", 2},
           {"Lychee-Sends-Made: 0\r\n", 0},
           {"Lychee-Sends-Made: two\r\n", std::nullopt},
           {"Lychee-Sends-Made: -1\r\n", std::nullopt}}) {
    start(Refused + Line + "Content-Length: 0\r\n\r\n");
    RawClient Caller(Fixture_->address());
    LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
    CHECK(Fixture_->Steering_->reports().at(0).HostSends_ == Expected);
    teardown();
  }
}

// Guards against headers of callers that reach targets as if a host had set
// them.
TEST(HostForwarding, targetsGetNoneOfTheHeadersBetweenHosts) {
  start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Fixture_->Steering_->HostAddress_.clear();
  RawClient Caller(Fixture_->address());
  Caller.request("GET", "/s/x",
                 "Lychee-Forwarded-By: me\r\nLychee-Sends-Left: 1\r\n");
  CHECK(head(0).find("Lychee-Forwarded-By") == std::string::npos);
  CHECK(head(0).find("Lychee-Sends-Left") == std::string::npos);
}

// Guards against a host with old settings that undoes what callers saw.
TEST(HostForwarding, aHostWithOldSettingsRefusesWhatIsForwarded) {
  start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RawClient Caller(Fixture_->address());
  const RawAnswer Read = Caller.request(
      "GET", "/s/x",
      "Lychee-Forwarded-By: edge-2\r\nLychee-Settings-Version: 99\r\n");
  LONGS_EQUAL(503, Read.Status_);
  STRCMP_EQUAL("settings-old", Read.header("lychee-reason").c_str());
  STRCMP_EQUAL("no", Read.header("lychee-ran").c_str());
  STRCMP_EQUAL("0", Read.header("lychee-settings-version").c_str());
}

TEST(HostForwarding, aVersionBindsOtherHostsSomeTimeAfterItWasSeen) {
  VersionFloor Floor;
  const base::TimePoint Now(100s);
  Floor.noteOwn(7, Now);
  LONGS_EQUAL(0, Floor.floor(Now + VersionFloor::OwnGrace - 1ms));
  Floor.noteAnswer(9, Now + 500ms);
  LONGS_EQUAL(9, Floor.floor(Now + 500ms + VersionFloor::AnswerGrace));
  Floor.noteOwn(7, Now + 2s);
  LONGS_EQUAL(9, Floor.floor(Now + 5s));
}
