#include "Deployment.h"
#include "Endpoint.h"
#include "Store.h"

#include <cstdio>
#include <memory>

/// Case 4: a request that crashes each endpoint that begins to run it comes
/// again every few seconds, at any machine, while the service has little other
/// traffic.
using namespace review;

namespace {

constexpr int HostCount = 6;
constexpr int EndpointCount = 12;
/// stableWindowMs of the site.
constexpr double StableSeconds = 3;
/// "the endpoint is back after some seconds"
constexpr double BackSeconds = 3;
/// "Such a request comes again"
constexpr double AgainSeconds = 4;
/// The store drops the entry of an endpoint after three heartbeats (1.5 s).
constexpr double EntrySeconds = 4.5;
constexpr double PlaySeconds = 96;
constexpr double OthersPerSecond = 0.6;
constexpr double WorkSeconds = 1.5;
constexpr const char *PoisonPath = "/endorse/ledger-7";
/// The rule: more than three retries.
constexpr std::size_t AllowedRetries = 3;

const std::vector<std::pair<std::string, std::string>> Zones = {
    {"a-1", "ra"}, {"a-2", "ra"}, {"b-1", "rb"},
    {"b-2", "rb"}, {"c-1", "rc"}, {"c-2", "rc"}};

constexpr const char *Configuration =
    R"({"version":"r1","routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","sticky","homeRegions","service"],"rows":[["r-endorse","a.example","/endorse/","non_idempotent",6000,1000,1,null,2,false,false,[],"portal"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls","coldStartS","coldPerS"],"rows":[["portal","/healthz",330,"h1",false,3.0,10.0]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst","homeRegions"],"rows":[["office",["key-1"],1,100,100,[]]]}})";

class Play {
public:
  Play(std::string Program, const std::string &Record, bool Troubled,
       std::string Folder)
      : Program_(std::move(Program)), Troubled_(Troubled),
        Folder_(std::move(Folder)), At_(Places::choose()),
        Store_(At_.store(), At_.Port_ + StorePort), Record_(Record) {}

  int run() {
    if (!begin())
      return 2;
    Start_ = Clock::now();
    const TimePoint End = after(PlaySeconds);
    std::thread Others([&] { sendOthers(End); });
    int Turn = 0;
    while (Clock::now() < End) {
      const TimePoint Next = after(AgainSeconds);
      Attempt Sent;
      Sent.Method_ = "POST";
      Sent.Path_ = PoisonPath;
      Sent.Id_ = "poison-" + std::to_string(++Turn);
      Sent.Body_ = "endorse ledger 7";
      Sent.BudgetMs_ = 3500;
      sendOne(Sent);
      pauseFor(secondsBetween(Clock::now(), Next));
    }
    Others.join();
    pauseFor(3);
    return judge();
  }

  void end() {
    for (const auto &Each : Hosts_)
      Each->end();
  }

private:
  bool begin() {
    if (!Store_.start())
      return false;
    for (int Each = 0; Each < EndpointCount; ++Each) {
      Endpoints_.push_back(std::make_unique<Endpoint>(
          At_.endpoint(Each), At_.Port_ + EndpointPort,
          Zones[static_cast<std::size_t>(Each) % Zones.size()].first, "portal",
          WorkSeconds));
      if (!startEndpoint(Each, 0))
        return false;
    }
    Store_.put("config", "main", Configuration);
    for (int Each = 0; Each < HostCount; ++Each) {
      const auto &[Zone, Region] = Zones[static_cast<std::size_t>(Each)];
      Hosts_.push_back(std::make_unique<Host>(At_, Each,
                                              "edge-" + std::to_string(Each),
                                              Zone, Region, Zones, 3, Folder_));
      if (!Hosts_.back()->start(Program_))
        return false;
    }
    const TimePoint Limit = after(15);
    for (const auto &Each : Hosts_)
      while (!Each->isReady()) {
        if (Clock::now() > Limit)
          return false;
        pauseFor(0.1);
      }
    pauseFor(4);
    return true;
  }

  bool startEndpoint(int Index, int ColdMs) {
    Endpoint &Started = *Endpoints_[static_cast<std::size_t>(Index)];
    const std::string Id =
        "i-" + std::to_string(Index) + "-" + std::to_string(++Boots_[Index]);
    const bool Up = Started.start(
        Id,
        [this](const Message &Asked) {
          const bool Crashes = Troubled_ && Asked.Second_ == PoisonPath;
          return Crashes ? Deed::Crash : Deed::Run;
        },
        [this, Index](const std::string &Event, const Message &Asked,
                      const Endpoint &Where) {
          note(Index, Event, Asked, Where);
        });
    if (Up)
      Store_.put("servers", Id, Started.entry(1, ColdMs));
    return Up;
  }

  void note(int Index, const std::string &Event, const Message &Asked,
            const Endpoint &Where) {
    const std::string Request = Asked.field("x-lycheespoke-request-id");
    const double Now = secondsBetween(Start_, Clock::now());
    const std::string Id = Where.id();
    {
      const std::lock_guard Guard(Lock_);
      Record_ << Now << " " << Event << " request=" << Request
              << " endpoint=" << Id << "\n";
      if (Event == "reaches")
        Reached_[Request].push_back(Now);
      if (Event == "crashes")
        Crashes_.emplace_back(Now, Id);
    }
    if (Event == "crashes")
      std::thread([this, Index, Id] { comeBack(Index, Id); }).detach();
  }

  void comeBack(int Index, const std::string &Id) {
    pauseFor(BackSeconds);
    {
      const std::lock_guard Guard(Restarts_);
      startEndpoint(Index, 3000);
    }
    pauseFor(EntrySeconds - BackSeconds);
    Store_.remove("servers", Id);
  }

  void sendOne(const Attempt &Sent) {
    std::size_t Chosen = 0;
    {
      const std::lock_guard Guard(Lock_);
      Chosen = Random_() % Hosts_.size();
      Record_ << secondsBetween(Start_, Clock::now())
              << " sent request=" << Sent.Id_
              << " host=" << Hosts_[Chosen]->name() << "\n";
    }
    const Outcome Seen =
        ask(Hosts_[Chosen]->ip(), Hosts_[Chosen]->frontPort(), Sent);
    const std::lock_guard Guard(Lock_);
    Statuses_[Sent.Id_] = Seen.Status_;
    Record_ << secondsBetween(Start_, Clock::now())
            << " answered request=" << Sent.Id_ << " status=" << Seen.Status_
            << "\n";
  }

  /// Other clients' endorsements, each with its own body.
  void sendOthers(TimePoint End) {
    std::vector<std::thread> Sending;
    std::mt19937 Random(std::random_device{}());
    std::exponential_distribution<double> Gap(OthersPerSecond);
    for (int Turn = 1;; ++Turn) {
      pauseFor(Gap(Random));
      if (Clock::now() >= End)
        break;
      Attempt Sent;
      Sent.Method_ = "POST";
      Sent.Id_ = "other-" + std::to_string(Turn);
      Sent.Path_ = "/endorse/case-" + std::to_string(Turn);
      Sent.Body_ = "endorse case " + std::to_string(Turn);
      Sent.BudgetMs_ = 6000;
      Sending.emplace_back([this, Sent] { sendOne(Sent); });
    }
    for (std::thread &Each : Sending)
      Each.join();
  }

  int judge() {
    const std::lock_guard Guard(Lock_);
    for (const auto &Each : Hosts_)
      if (!Each->isRunning()) {
        std::printf("a host has ended\n");
        return 2;
      }
    std::set<std::string> Crashed;
    std::optional<double> Third;
    for (const auto &[When, Id] : Crashes_)
      if (Crashed.insert(Id).second && Crashed.size() == 3)
        Third = When;
    std::size_t Retries = 0;
    std::size_t Sent = 0;
    std::size_t Served = 0;
    std::size_t Lost = 0;
    for (const auto &[Id, Status] : Statuses_) {
      const bool IsPoison = Id.rfind("poison", 0) == 0;
      Sent += IsPoison ? 1 : 0;
      Served += Status == 200 ? 1 : 0;
      Lost += !IsPoison && Reached_.count(Id) > 0 && Status != 200 ? 1 : 0;
      if (IsPoison && Third && Reached_.count(Id) > 0)
        for (const double When : Reached_[Id])
          if (When > *Third + StableSeconds) {
            ++Retries;
            break;
          }
    }
    std::string Sum =
        "the request was sent " + std::to_string(Sent) +
        " times; endpoints crashed: " + std::to_string(Crashed.size()) +
        "; retries that reached endpoints later than 3 s after the "
        "third had crashed: " +
        std::to_string(Retries) + " (allowed: 3); other requests: " +
        std::to_string(Statuses_.size() - Sent) +
        ", of these lost at an endpoint that crashed: " + std::to_string(Lost);
    Record_ << Sum << "\n";
    Record_.flush();
    std::printf("%s\n", Sum.c_str());
    if (!Troubled_ && Served < Statuses_.size() / 2)
      return 2;
    return Retries > AllowedRetries ? 1 : 0;
  }

  const std::string Program_;
  const bool Troubled_;
  const std::string Folder_;
  const Places At_;
  Store Store_;
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::map<int, int> Boots_;
  TimePoint Start_ = Clock::now();
  std::mutex Restarts_;
  std::mutex Lock_;
  std::ofstream Record_;
  std::mt19937 Random_{std::random_device{}()};
  std::map<std::string, std::vector<double>> Reached_;
  std::vector<std::pair<double, std::string>> Crashes_;
  std::map<std::string, int> Statuses_;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 5)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  Play Played(Words[1], Words[2], std::string(Words[3]) != "0", Words[4]);
  const int Ended = Played.run();
  Played.end();
  std::fflush(stdout);
  _exit(Ended);
}
