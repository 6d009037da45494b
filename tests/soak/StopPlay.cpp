#include "soak/StopPlay.h"

#include "base/SystemClock.h"
#include "platform/Names.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace lychee::soak {

using base::SystemClock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t CallersOfHost = 6;
/// Callers connect until then, as the host takes connections until then.
constexpr double LastConnect = 3.1;
constexpr base::Duration Grace = 6s;
constexpr base::Duration ReadTimeout = 4s;
constexpr base::Duration BookingTimeout = 2s;
constexpr base::Duration TimeoutSlack = 100ms;
/// One request in so many is longer than the usual ones by TailFactor.
constexpr std::uint64_t TailOneIn = 10;
constexpr int TailFactor = 7;
constexpr int UsualWork = 600;

} // namespace

void StopPlay::play() {
  base::Random Random(Seed_);
  std::vector<std::thread> Callers;
  for (std::size_t Host = 1; Host < Fleet_.hostCount(); ++Host) {
    const base::TimePoint Signalled = SystemClock::monotonicNow();
    Fleet_.host(Host).signal(SIGTERM);
    ++Stops_;
    for (std::size_t Each = 0; Each < CallersOfHost; ++Each)
      Callers.emplace_back([this, Host, Signalled, Seed = Random()] {
        call(Host, Signalled, Seed);
      });
    std::this_thread::sleep_for(base::fromSeconds(base::drawUnit(Random) * 2));
    if (Random() % 2 == 0)
      Fleet_.host(Host).signal(Random() % 2 == 0 ? SIGTERM : SIGHUP);
  }
  for (std::thread &Each : Callers)
    Each.join();
  for (std::size_t Host = 1; Host < Fleet_.hostCount(); ++Host) {
    Fleet_.host(Host).wait();
    Logs_ += Fleet_.log(Host);
    Fleet_.startHost(Host);
  }
}

void StopPlay::call(std::size_t Host, base::TimePoint Signalled,
                    std::uint64_t Seed) {
  base::Random Random(Seed);
  while (true) {
    std::this_thread::sleep_for(
        base::fromSeconds(base::drawUnit(Random) * 0.5));
    if (SystemClock::monotonicNow() >
        Signalled + base::fromSeconds(LastConnect))
      return;
    tests::CallerConnection Kept(Fleet_.callers(Host));
    bool IsKept = Kept.connected();
    while (IsKept && SystemClock::monotonicNow() < Signalled + Grace) {
      std::this_thread::sleep_for(base::fromSeconds(base::drawUnit(Random)));
      const int Work = static_cast<int>(Random() % UsualWork) *
                       (Random() % TailOneIn == 0 ? TailFactor : 1);
      IsKept = request(Kept, Host, Random() % 3 == 0, Work);
    }
  }
}

bool StopPlay::request(tests::CallerConnection &Kept, std::size_t Host,
                       bool IsBooking, int WorkMilliseconds) {
  Sent Made;
  {
    const std::lock_guard Guard(Lock_);
    Made.Id_ = "stop-" + std::to_string(Host) + "-" + std::to_string(++LastId_);
  }
  tests::CallerRequest Request;
  Request.Method_ = IsBooking ? "POST" : "GET";
  Request.Target_ = std::string(IsBooking ? "/y/" : "/w/") + Made.Id_ +
                    "?work_ms=" + std::to_string(WorkMilliseconds);
  if (IsBooking)
    Request.Body_ = Made.Id_;
  Request.Headers_ = {{"Host", "a.example"},
                      {"Authorization", "Bearer " + Key_},
                      {platform::vocabulary().RequestId_, Made.Id_},
                      // The stand-in counts runs by this one.
                      {"Lychee-Request-Id", Made.Id_}};
  const base::TimePoint Begin = SystemClock::monotonicNow();
  const tests::CallerAnswer Answer = Kept.send(Request);
  Made.Status_ = Answer.Status_;
  Made.IsOverTime_ = SystemClock::monotonicNow() - Begin + TimeoutSlack >=
                     (IsBooking ? BookingTimeout : ReadTimeout);
  const std::lock_guard Guard(Lock_);
  Sent_.push_back(std::move(Made));
  return Answer.Status_ != 0 && Answer.header("connection") != "close";
}

std::uint64_t StopPlay::runsOf(const std::string &Id) const {
  std::uint64_t Runs = 0;
  for (std::size_t Each = 0; Each < Fleet_.targetCount(); ++Each)
    Runs += Fleet_.target(Each).counts().runsOfRequest(Id);
  return Runs;
}

std::vector<std::string> StopPlay::broken() const {
  const std::lock_guard Guard(Lock_);
  std::vector<std::string> Found;
  for (const Sent &Each : Sent_) {
    const std::uint64_t Runs = runsOf(Each.Id_);
    const bool IsRight = Each.Status_ == 200                       ? Runs > 0
                         : Each.Status_ == 504 && Each.IsOverTime_ ? true
                                                                   : Runs == 0;
    if (!IsRight)
      Found.push_back("lost-at-a-stop request=" + Each.Id_ +
                      " status=" + std::to_string(Each.Status_) +
                      " runs=" + std::to_string(Runs));
  }
  return Found;
}

std::string StopPlay::summary() const {
  const std::lock_guard Guard(Lock_);
  const auto Served =
      std::count_if(Sent_.begin(), Sent_.end(),
                    [](const Sent &Each) { return Each.Status_ == 200; });
  return "stops=" + std::to_string(Stops_) +
         " stop_requests=" + std::to_string(Sent_.size()) +
         " stop_served=" + std::to_string(Served);
}

} // namespace lychee::soak
