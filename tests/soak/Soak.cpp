#include "soak/Soak.h"

#include "base/Random.h"
#include "base/SystemClock.h"
#include "platform/Names.h"
#include "soak/Ledger.h"
#include "soak/RatedTarget.h"
#include "soak/RestingTarget.h"
#include "soak/StopPlay.h"
#include "soak/Troubles.h"
#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <atomic>
#include <memory>
#include <thread>
#include <unistd.h>

namespace lychee::soak {

using base::SystemClock;
using tests::LiveFleet;
using tests::TestFleet;

namespace {

constexpr std::size_t HostCount = 4;
constexpr std::size_t TargetCount = 4;
constexpr std::size_t CallerCount = 6;
/// One caller goes on with the key that was withdrawn last.
constexpr std::size_t StaleCaller = 0;
/// Requests on one connection before a caller makes another.
constexpr std::uint64_t MostOnConnection = 20;
/// Longer than a rule's timeout: what was sent has run by then, or never will.
constexpr std::chrono::seconds Aftermath(3);
constexpr std::chrono::milliseconds CallerPause(4);
/// Some hosts are cut from all targets for so long, after the troubles.
constexpr std::chrono::seconds CutTime(6);

/// The same beside slow targets and a host that starts again.
constexpr std::chrono::seconds SlowTime(4);

/// Callers that send reads and bookings to all hosts, each waiting for its
/// answer, and write down what they got.
class Callers {
public:
  Callers(LiveFleet &Fleet, const Troubles &Keys, Ledger &Book,
          std::uint64_t Seed)
      : Fleet_(Fleet), Keys_(Keys), Book_(Book) {
    for (std::size_t Each = 0; Each < CallerCount; ++Each)
      Threads_.emplace_back([this, Each, Seed] { run(Each, Seed); });
  }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;
  ~Callers() {
    Stopping_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
  }

private:
  void run(std::size_t Number, std::uint64_t Seed) {
    base::Random Random(Seed * CallerCount + Number);
    std::unique_ptr<tests::CallerConnection> Kept;
    std::size_t Host = 0;
    for (std::uint64_t Count = 0; !Stopping_; ++Count) {
      if (!Kept || Count % MostOnConnection == 0) {
        Host = Random() % Fleet_.hostCount();
        Kept = std::make_unique<tests::CallerConnection>(Fleet_.callers(Host));
      }
      Attempt Made;
      Made.Host_ = Host;
      Made.Id_ = std::to_string(Number) + "-" + std::to_string(Count);
      Made.IsBooking_ = Random() % 2 == 0;
      Made.MostTargets_ =
          !Made.IsBooking_ && Random() % 3 == 0 ? 1 : LiveFleet::MostTargets;
      Made.Key_ = Number == StaleCaller ? Keys_.withdrawnKey() : Keys_.key();
      Made.SentAt_ = SystemClock::monotonicNow();
      Made.Status_ = Kept->send(requestOf(Made)).Status_;
      if (Made.Status_ == 0)
        Kept.reset();
      Book_.add(std::move(Made));
      std::this_thread::sleep_for(CallerPause);
    }
  }

  static tests::CallerRequest requestOf(const Attempt &Made) {
    tests::CallerRequest Request;
    Request.Method_ = Made.IsBooking_ ? "POST" : "GET";
    Request.Target_ = (Made.IsBooking_          ? "/y/"
                       : Made.MostTargets_ == 1 ? "/z/"
                                                : "/x/") +
                      Made.Id_;
    if (Made.IsBooking_)
      Request.Body_ = Made.Id_;
    Request.Headers_ = {{"Host", "a.example"},
                        {"Authorization", "Bearer " + Made.Key_},
                        {platform::vocabulary().RequestId_, Made.Id_},
                        // The stand-in counts runs by this one.
                        {"Lychee-Request-Id", Made.Id_}};
    return Request;
  }

  LiveFleet &Fleet_;
  const Troubles &Keys_;
  Ledger &Book_;
  std::atomic<bool> Stopping_ = false;
  std::vector<std::thread> Threads_;
};

/// Each host has the newest configuration and all targets.
bool allFollow(const LiveFleet &Fleet, int Version) {
  for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host)
    if (Fleet.metric(Host, "lychee_settings_version") != Version ||
        Fleet.metric(Host, "lychee_targets_known") != Fleet.targetCount())
      return false;
  return true;
}

bool allServe(const LiveFleet &Fleet, const std::string &Key) {
  for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host)
    if (!Fleet.isReady(Host) || Fleet.ask(Host, Key).Status_ != 200)
      return false;
  return true;
}

} // namespace

SoakResult runSoak(const SoakSettings &Settings) {
  const std::uint64_t Seed = Settings.Seed_;
  // Seeds that run beside each other have addresses of their own.
  const int Number = static_cast<int>(getpid()) % 200;
  LiveFleet Fleet({"127.92." + std::to_string(Number) + ".", HostCount,
                   TargetCount + (Settings.HasStatingTargets_ ? 2 : 0), true});
  Ledger Book;
  Troubles Trouble(Fleet, Book, TargetCount, Seed);
  std::optional<RatedTarget> Rated;
  std::optional<RestingTarget> Resting;
  SoakResult Result;
  const auto Check = [&](const char *What) {
    if (!TestFleet::waitFor([&] { return allServe(Fleet, Trouble.key()); }))
      Result.Broken_.emplace_back(What);
  };
  Check("not-served-at-the-start");
  if (Settings.HasStatingTargets_) {
    Rated.emplace(Fleet, TargetCount, Seed);
    Resting.emplace(Fleet, TargetCount + 1, Seed);
  }
  {
    const Callers All(Fleet, Trouble, Book, Seed);
    Trouble.play(SystemClock::monotonicNow() +
                 base::fromSeconds(Settings.Seconds_));
    Check("not-served-after-the-troubles");
    if (!TestFleet::waitFor(
            [&] { return allFollow(Fleet, Trouble.version()); }))
      Result.Broken_.emplace_back("store-not-followed-after-the-troubles");
    std::this_thread::sleep_for(Aftermath);
    const std::string Key = Trouble.key();
    const Ledger::Cut Played = Trouble.cutSomeHosts(CutTime);
    Check("not-served-after-the-cut");
    if (auto Failed = Book.failedIn(Played, Key))
      Result.Broken_.push_back(std::move(*Failed));
    Trouble.cutBesideSlowTargets(SlowTime);
    Check("not-served-after-slow-targets");
  }
  StopPlay Stops(Fleet, Trouble.key(), Seed);
  Stops.play();
  Check("not-served-after-stops");
  std::this_thread::sleep_for(Aftermath);
  const auto RunsOf = [&Fleet](const std::string &Id) {
    std::vector<std::uint64_t> Runs;
    Runs.reserve(Fleet.targetCount());
    for (std::size_t Each = 0; Each < Fleet.targetCount(); ++Each)
      Runs.push_back(Fleet.target(Each).counts().runsOfRequest(Id));
    return Runs;
  };
  for (std::string &Each : Book.broken(RunsOf))
    Result.Broken_.push_back(std::move(Each));
  for (std::string &Each : Stops.broken())
    Result.Broken_.push_back(std::move(Each));
  if (Rated)
    for (std::string &Each : Rated->broken(Book.hostStarts(), CallerCount))
      Result.Broken_.push_back(std::move(Each));
  if (Resting)
    for (std::string &Each : Resting->broken(Book))
      Result.Broken_.push_back(std::move(Each));
  Result.Summary_ = Book.summary() + " " + Stops.summary();
  Result.History_ = Trouble.history();
  if (!Result.Broken_.empty())
    Result.Logs_ = Stops.logs();
  if (!Result.Broken_.empty())
    for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host)
      Result.Logs_ += Fleet.log(Host);
  return Result;
}

} // namespace lychee::soak
