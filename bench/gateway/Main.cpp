#include "base/SystemClock.h"
#include "gateway/Gateway.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT for callers");
DEFINE_string(target, "", "IP:PORT of the one target");
DEFINE_uint32(threads, 1, "threads of the gateway");
DEFINE_uint32(hosts, 10, "hosts that a look-up names");

namespace {

namespace base = lychee::base;
namespace gateway = lychee::gateway;
namespace steering = lychee::steering;

/// Sends everything to one target: what is left is the cost of the data path.
class OneTarget : public steering::Steering {
public:
  steering::Decision arrive(const steering::Request &,
                            base::TimePoint) override {
    steering::Decision Made;
    Made.Action_ = steering::Decision::Action::Send;
    Made.Ticket_ = ++LastTicket_;
    Made.Address_ = FLAGS_target;
    Made.Target_ = base::TargetId("t1");
    return Made;
  }
  steering::Decision finish(std::uint64_t, const steering::SendReport &,
                            base::TimePoint,
                            std::vector<steering::Wakeup> &) override {
    steering::Decision Made;
    Made.Refusal_ = steering::Refusal::TargetFailed;
    Made.Ran_ = steering::Ran::Maybe;
    return Made;
  }
  void cancel(std::uint64_t, base::TimePoint) override {}
  void tick(base::TimePoint, std::vector<steering::Wakeup> &) override {}

private:
  std::atomic<std::uint64_t> LastTicket_ = 0;
};

/// Admits every key, routes everything to one service, names fixed hosts,
/// grants every claim, listens to nothing.
class Anything : public gateway::Authenticator,
                 public gateway::RequestRouter,
                 public gateway::HostDirectory,
                 public gateway::ClaimGate,
                 public gateway::DecisionListener,
                 public gateway::TargetObserver {
public:
  Anything() {
    Hosts_.TimeToLive_ = std::chrono::seconds(5);
    for (std::uint32_t Index = 0; Index < FLAGS_hosts; ++Index)
      Hosts_.Hosts_.push_back({base::HostId("host-" + std::to_string(Index)),
                               base::RegionId("fukuoka"),
                               base::ZoneId("fukuoka-a"),
                               "10.0.0." + std::to_string(Index) + ":8080"});
  }
  gateway::Identity check(std::string_view, base::TimePoint) override {
    gateway::Identity Made;
    Made.Refusal_ = steering::Refusal::None;
    Made.Customer_ = base::CustomerId("customer");
    Made.Key_ = base::KeyId("key");
    return Made;
  }
  std::optional<gateway::Route> route(const gateway::RouteQuery &) override {
    gateway::Route Made;
    Made.Service_ = base::ServiceId("service");
    Made.Deadline_ = std::chrono::seconds(10);
    Made.Idempotent_ = true;
    return Made;
  }
  std::optional<gateway::HostAnswer>
  lookUp(const base::ServiceId &, std::uint32_t, base::TimePoint) override {
    return Hosts_;
  }
  void announceLeaving(base::TimePoint) override {}
  void acquire(const gateway::ClaimRequest &, base::TimePoint,
               Answered Done) override {
    Done({gateway::ClaimAnswer::Kind::Granted, 0, {}});
  }
  void settle(const gateway::ClaimRequest &, gateway::ClaimEnd, int,
              base::TimePoint) override {}
  void decided(const steering::Request &, const steering::Decision &,
               base::TimePoint) override {}
  void sendEnded(const steering::Request &, const steering::Decision &,
                 const steering::SendReport &, base::TimePoint) override {}
  void hedged(const steering::Request &, const steering::Decision &,
              base::TimePoint) override {}
  void requestEnded(const steering::Request &, const gateway::RequestEnd &,
                    base::TimePoint) override {}
  void observed(const gateway::TargetObservation &, base::TimePoint) override {}

private:
  gateway::HostAnswer Hosts_;
};

gateway::GatewaySettings readSettings() {
  gateway::GatewaySettings Made;
  const std::size_t Colon = FLAGS_listen.rfind(':');
  Made.Callers_ = {
      FLAGS_listen.substr(0, Colon),
      static_cast<std::uint16_t>(std::stoul(FLAGS_listen.substr(Colon + 1)))};
  Made.Threads_ = FLAGS_threads;
  Made.LookupTimeToLive_ = std::chrono::milliseconds(100);
  return Made;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("a gateway without decisions, to measure the path");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  sigset_t Stops;
  sigemptyset(&Stops);
  sigaddset(&Stops, SIGTERM);
  sigaddset(&Stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stops, nullptr);
  OneTarget Steering;
  Anything Others;
  gateway::Gateway Measured(
      readSettings(),
      {Steering, Others, Others, Others, Others, Others, Others}, 1);
  const gateway::TargetEntry Entry{
      base::TargetId("t1"), base::ServiceId("service"), FLAGS_target, 1000};
  if (!FLAGS_target.empty())
    Measured.setTargets({&Entry, 1});
  base::Error Failure;
  if (!Measured.start(Failure)) {
    std::fprintf(stderr, "event=failed %s\n", Failure.describe().c_str());
    return 1;
  }
  std::printf("event=listening address=%s\n",
              Measured.callers().text().c_str());
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&Stops, &Signal);
  Measured.requestStop();
  return Measured.waitUntilStopped().CutRequests_.empty() ? 0 : 1;
}
