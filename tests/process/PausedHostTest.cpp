#include "store/StandinStore.h"
#include "support/IoThreads.h"

#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <fstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace standins = lychee::standins;
using lychee::tests::IoThreads;
using lychee::tests::waitFor;

namespace {

/// One child process of a bare host; what it says goes to a file.
class HostProcess {
public:
  HostProcess(std::uint16_t StorePort, const std::string &Name,
              std::uint16_t Port, std::uint16_t SeedPort)
      : Path_("/tmp/lychee-paused-" + std::to_string(::getpid()) + "-" + Name) {
    const std::vector<std::string> Words = {
        std::string(LYCHEE_BIN_DIR) + "/lychee-test-host",
        "--name=" + Name,
        "--port=" + std::to_string(Port),
        "--store_port=" + std::to_string(StorePort),
        "--seeds=127.0.0.1:" + std::to_string(SeedPort),
        "--lease_ms=2000"};
    std::vector<char *> Arguments;
    Arguments.reserve(Words.size() + 1);
    for (const std::string &Each : Words)
      Arguments.push_back(const_cast<char *>(Each.c_str()));
    Arguments.push_back(nullptr);
    Child_ = ::fork();
    if (Child_ == 0) {
      if (!std::freopen(Path_.c_str(), "w", stdout))
        ::_exit(126);
      ::execv(Arguments[0], Arguments.data());
      ::_exit(127);
    }
  }
  HostProcess(const HostProcess &) = delete;
  HostProcess &operator=(const HostProcess &) = delete;
  ~HostProcess() {
    ::kill(Child_, SIGKILL);
    ::waitpid(Child_, nullptr, 0);
    ::unlink(Path_.c_str());
  }

  void signal(int Number) const { ::kill(Child_, Number); }

  std::vector<std::string> lines() const {
    std::ifstream File(Path_);
    std::vector<std::string> Found;
    for (std::string Line; std::getline(File, Line);)
      Found.push_back(Line);
    return Found;
  }

  /// \returns true where one of the lines past \p From holds \p Text.
  bool said(const std::string &Text, std::size_t From = 0) const {
    const std::vector<std::string> Found = lines();
    for (std::size_t Index = From; Index < Found.size(); ++Index)
      if (Found[Index].find(Text) != std::string::npos)
        return true;
    return false;
  }

private:
  const std::string Path_;
  pid_t Child_ = -1;
};

/// \returns a port of 127.0.0.1 that was free a moment ago.
std::uint16_t freePort(IoThreads &Io) {
  boost::asio::ip::tcp::acceptor Probe(
      Io.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Probe.local_endpoint().port();
}

} // namespace

TEST_GROUP(PausedHost) {
  IoThreads Io_;
  standins::StandinStore Store_{Io_.executor(), {}};
  lychee::base::Error Last_;

  void teardown() override { Io_.stop(); }
};

// A host is stopped (SIGSTOP) in the middle of spending its share. The others
// wait until its lease is over, remove it and share out what it held. Then it
// goes on (SIGCONT), still in the loop in which it spent: it must not spend
// once more before it was admitted anew, or the customer gets more than its
// rate.
TEST(PausedHost, wakesUpAndUsesNothingThatItsLeaseNoLongerCovers) {
  CHECK(Store_.listen(Last_));
  const std::uint16_t Port = freePort(Io_);
  const HostProcess Relay(Store_.port(), "h1", Port, Port);
  CHECK(waitFor([&] { return Relay.said("state=standing"); }));
  const HostProcess Paused(Store_.port(), "h2", freePort(Io_), Port);
  CHECK(waitFor([&] { return Relay.said("hosts=2"); }));
  CHECK(waitFor([&] { return Paused.said("event=act tenure=1"); }));

  const std::size_t Before = Relay.lines().size();
  Paused.signal(SIGSTOP);
  CHECK(waitFor([&] { return Relay.said("hosts=1", Before); }));
  const std::size_t Spent = Paused.lines().size();
  Paused.signal(SIGCONT);
  CHECK(waitFor([&] { return Paused.said("event=act tenure=2", Spent); }));

  CHECK(Paused.said("event=lease state=lapsed", Spent));
  CHECK_FALSE(Paused.said("event=act tenure=1", Spent));
}
