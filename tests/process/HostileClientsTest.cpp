#include "platform/Names.h"
#include "support/Crowd.h"
#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <chrono>
#include <memory>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::CallerAnswer;
using tests::CallerRequest;
using tests::Crowd;
using tests::LiveFleet;
using tests::ProcessUse;
using tests::TestFleet;

namespace {

constexpr const char *Key = "first-key";
constexpr std::size_t MiB = 1UL << 20;
/// The machine of these tests: half of the memory and a quarter of the
/// descriptors that a machine of the platform has.
constexpr std::size_t MachineMemory = 128'000'000;
constexpr std::size_t MachineDescriptors = 1024;
constexpr std::size_t CrowdSize = 200;
/// More connections than the machine has descriptors.
constexpr std::size_t LargeCrowdSize = 2000;

std::string headOf(const std::string &Path, const std::string &Framing) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nAuthorization: " + "Bearer " + Key +
         "\r\n" + lychee::platform::vocabulary().RequestId_ + ": r2\r\n" +
         Framing + "\r\n\r\n";
}

std::string byLength(const std::string &Path, std::size_t Announced,
                     std::size_t Sent) {
  return headOf(Path, "Content-Length: " + std::to_string(Announced)) +
         std::string(Sent, 'x');
}

/// A body in chunks, without its end.
std::string inChunks(const std::string &Path, const std::string &Chunk,
                     std::size_t Count) {
  std::string Text = headOf(Path, "Transfer-Encoding: chunked");
  for (std::size_t Each = 0; Each < Count; ++Each)
    Text += Chunk;
  return Text;
}

std::string chunkOf(std::size_t Bytes) {
  std::string Size;
  for (std::size_t Rest = Bytes; Rest > 0; Rest /= 16)
    Size.insert(Size.begin(), "0123456789abcdef"[Rest % 16]);
  return Size + "\r\n" + std::string(Bytes, 'x') + "\r\n";
}

} // namespace

/// One real host, and clients that send what costs it memory.
TEST_GROUP(HostileClients) {
  const std::string Base_ =
      "127.93." + std::to_string(static_cast<int>(getpid()) % 200) + ".";
  std::unique_ptr<LiveFleet> Fleet_;
  rlimit Usual_{};

  void setup() override {
    // The host inherits the limit.
    getrlimit(RLIMIT_NOFILE, &Usual_);
    const rlimit Lowered{MachineDescriptors, Usual_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &Lowered);
    Fleet_ =
        std::make_unique<LiveFleet>(tests::LiveFleetSize{Base_, 1, 2, false});
    setrlimit(RLIMIT_NOFILE, &Usual_);
    CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(0); }));
  }
  void teardown() override { Fleet_.reset(); }

  std::string directory() const { return Base_ + "1:7003"; }

  /// Checks the host while the crowd is there and after it has gone.
  void play(const std::string &Address, std::size_t Size,
            std::string_view Bytes) {
    {
      Crowd Clients(Address, Base_ + "200", Size);
      Clients.send(Bytes);
      awaitSteadyUse();
      checkHost();
      CHECK(TestFleet::waitFor(
          [&] { return Fleet_->ask(0, Key).Status_ == 200; }));
      checkHost();
    }
    CHECK(TestFleet::waitFor([&] { return upload(MiB).Status_ == 200; }));
    checkHost();
  }
  /// Waits until the host has read what lies in the kernel's buffers.
  void awaitSteadyUse() {
    std::size_t Peak = 0;
    std::size_t Before = 1;
    while (Peak != Before && !Fleet_->host(0).ended()) {
      Before = Peak;
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      Peak = tests::useOf(Fleet_->host(0).id()).PeakMemory_;
    }
  }
  void checkHost() {
    CHECK_FALSE(Fleet_->host(0).ended());
    const ProcessUse Use = tests::useOf(Fleet_->host(0).id());
    CHECK_TRUE_TEXT(Use.PeakMemory_ < MachineMemory,
                    std::to_string(Use.PeakMemory_).c_str());
    CHECK_TRUE_TEXT(Use.Descriptors_ < MachineDescriptors,
                    std::to_string(Use.Descriptors_).c_str());
  }
  CallerAnswer upload(std::size_t Bytes) const {
    CallerRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/y/1";
    Request.Headers_ = {{"Host", "a.example"},
                        {"Authorization", std::string("Bearer ") + Key},
                        {lychee::platform::vocabulary().RequestId_, "r3"}};
    Request.Body_ = std::string(Bytes, 'x');
    return tests::call(Fleet_->callers(0), Request);
  }
};

// Guards against memory that is taken for a body before the body comes.
TEST(HostileClients, bodiesThatAreAnnouncedAndDoNotCome) {
  play(Fleet_->callers(0), CrowdSize, byLength("/x/1", MiB, 1));
}

// Guards against bodies that are held for as long as their clients like.
TEST(HostileClients, bodiesThatStopShortOfTheirEnd) {
  play(Fleet_->callers(0), CrowdSize, byLength("/x/1", MiB, MiB - 1));
}

TEST(HostileClients, bodiesThatMayNotBeRepeatedAndStopShort) {
  play(Fleet_->callers(0), CrowdSize, byLength("/y/1", MiB, MiB - 1));
}

TEST(HostileClients, longBodiesThatStopShortOfTheirEnd) {
  play(Fleet_->callers(0), CrowdSize, byLength("/y/1", 4 * MiB, 4 * MiB - 1));
}

TEST(HostileClients, bodiesInLargeChunksThatStopShort) {
  play(Fleet_->callers(0), CrowdSize,
       inChunks("/x/1", chunkOf(64UL << 10), 15));
}

TEST(HostileClients, bodiesInTinyChunksThatStopShort) {
  play(Fleet_->callers(0), CrowdSize, inChunks("/x/1", chunkOf(1), 400'000));
}

TEST(HostileClients, bodiesFarOverTheLimitThatAreAnnounced) {
  play(Fleet_->callers(0), CrowdSize, byLength("/x/1", 8192 * MiB, 64UL << 10));
}

TEST(HostileClients, bodiesInChunksThatDoNotEnd) {
  play(Fleet_->callers(0), CrowdSize,
       inChunks("/x/1", chunkOf(64UL << 10), 128));
}

TEST(HostileClients, headsThatStopShortOfTheirEnd) {
  play(Fleet_->callers(0), CrowdSize,
       "GET /x/1 HTTP/1.1\r\nX-Long: " + std::string(12UL << 10, 'x'));
}

// Guards against descriptors that are all taken by clients.
TEST(HostileClients, moreConnectionsThanDescriptors) {
  play(Fleet_->callers(0), LargeCrowdSize, "GET /x/1 HTTP/1.1\r\n");
}

TEST(HostileClients, moreIdleConnectionsThanDescriptors) {
  play(Fleet_->callers(0), LargeCrowdSize, "");
}

// Guards against bodies at a port whose requests have none.
TEST(HostileClients, bodiesForTheDirectory) {
  play(directory(), CrowdSize, byLength("/resolve", 4 * MiB, MiB));
}

TEST(HostileClients, longBodiesForTheDirectory) {
  play(directory(), CrowdSize, byLength("/resolve", 4 * MiB, 4 * MiB - 1));
}

TEST(HostileClients, connectionsToTheDirectory) {
  play(directory(), LargeCrowdSize, "GET /resolve HTTP/1.1\r\n");
}

// The settings' template stated the limit, and a platform that does not fill it
// in left a file that no host starts with.
TEST(HostileClients, theCommandLineLimitsTheDescriptors) {
  constexpr std::size_t Few = 128;
  Fleet_.reset();
  Fleet_ = std::make_unique<LiveFleet>(tests::LiveFleetSize{
      Base_, 1, 2, false, "--descriptors=" + std::to_string(Few)});
  CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(0); }));
  const Crowd Clients(Fleet_->callers(0), Base_ + "200", 2 * Few);
  CHECK(TestFleet::waitFor([&] { return Fleet_->ask(0, Key).Status_ == 200; }));
  CHECK(tests::useOf(Fleet_->host(0).id()).Descriptors_ < Few);
}

TEST(HostileClients, aLimitThatIsNoNumberIsRefused) {
  const auto CheckWith = [](const std::string &Number) {
    return tests::runProgram(
        "lycheed",
        {"--check", "--descriptors=" + Number, "--settings",
         LYCHEE_SOURCE_DIR "/examples/kitakyushu/hosts/kitakyushu-1.ini"},
        "/tmp/lychee-descriptors." + std::to_string(getpid()));
  };
  for (const char *Wrong : {"many", "63", "-1", "128x"}) {
    const auto Ended = CheckWith(Wrong);
    LONGS_EQUAL(2, Ended.ExitCode_);
    STRCMP_CONTAINS("--descriptors: found", Ended.Output_.c_str());
  }
  for (const char *Right : {"", "64", "4100"})
    LONGS_EQUAL(0, CheckWith(Right).ExitCode_);
}
