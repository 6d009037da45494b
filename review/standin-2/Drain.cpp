#include "Deployment.h"
#include "Endpoint.h"
#include "Store.h"

#include <cstdio>
#include <memory>

/// Case 5: endpoints leave without a notice, the machines that read the store
/// for their region are killed meanwhile, and the store has cut its waiting
/// watches shortly before.
using namespace review;

namespace {

/// A region of the site kmw-impact: three machines in one zone, two in the
/// other.
const std::vector<std::pair<std::string, std::string>> Machines = {
    {"edge-fuk-a-1", "fuk-a"},
    {"edge-fuk-a-2", "fuk-a"},
    {"edge-fuk-a-3", "fuk-a"},
    {"edge-fuk-b-1", "fuk-b"},
    {"edge-fuk-b-2", "fuk-b"}};
const std::vector<std::pair<std::string, std::string>> Zones = {
    {"fuk-a", "fukuoka"}, {"fuk-b", "fukuoka"}};
constexpr int EndpointCount = 30;
/// scale_in: share 0.2 of 30.
constexpr int LeavingCount = 6;
constexpr double LeavingGap = 0.05;
/// From the first removal to the kill.
constexpr double KillSeconds = 0.44;
/// Endpoints begin to leave so long after the watches were cut: if that is
/// taken for a disturbance, the store has been stable for stableWindowMs again.
constexpr double CalmSeconds = 3.02;
/// drainMs, stableWindowMs.
constexpr double DrainSeconds = 2.5;
constexpr double StableSeconds = 3;
/// "for `drainMs` after the store has accepted that report and a little longer"
constexpr double LongerSeconds = 0.25;
constexpr int Rounds = 4;
constexpr double RoundSeconds = 21;
/// herd_kill: for_s 2, share 0.6 of 5 at most.
constexpr double DownSeconds = 2;
constexpr int MostKilled = 3;
constexpr int Clients = 64;
constexpr double WorkSeconds = 0.25;
/// 4 ms an answer, and 20 ms each way between the region and the store.
constexpr double StoreSeconds = 0.044;
constexpr double ConnectSeconds = 0.04;

constexpr const char *Configuration =
    R"({"version":"r1","routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","sticky","homeRegions","service"],"rows":[["r-endorse","a.example","/endorse/","non_idempotent",2000,400,1,null,2,false,true,[],"portal"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls","coldStartS","coldPerS"],"rows":[["portal","/healthz",390,"h1",false,3.0,10.0]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst","homeRegions"],"rows":[["office",["key-1"],1,0,0,[]]]}})";

class Play {
public:
  /// \param Trouble  "0": none; "cut" and "kill": only one of the two.
  Play(std::string Program, const std::string &Record,
       const std::string &Trouble, std::string Folder)
      : Program_(std::move(Program)),
        Cuts_(Trouble != "0" && Trouble != "kill"),
        Kills_(Trouble != "0" && Trouble != "cut"), Folder_(std::move(Folder)),
        At_(Places::choose()), Store_(At_.store(), At_.Port_ + StorePort,
                                      StoreSeconds, ConnectSeconds),
        Record_(Record) {}

  int run() {
    if (!begin())
      return 2;
    std::vector<std::thread> Sending;
    for (int Each = 0; Each < Clients; ++Each)
      Sending.emplace_back([this, Each] { sendAllTheTime(Each); });
    for (int Round = 0; Round < Rounds; ++Round)
      playRound(Round);
    Done_ = true;
    for (std::thread &Each : Sending)
      Each.join();
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
          At_.endpoint(Each), At_.Port_ + EndpointPort, Zones[Each % 2].first,
          "portal", WorkSeconds));
      if (!startEndpoint(Each))
        return false;
    }
    Store_.put("config", "main", Configuration);
    for (std::size_t Each = 0; Each < Machines.size(); ++Each) {
      Hosts_.push_back(std::make_unique<Host>(
          At_, static_cast<int>(Each), Machines[Each].first,
          Machines[Each].second, "fukuoka", Zones, 3, Folder_));
      StartedAt_.push_back(0);
      if (!Hosts_.back()->start(Program_))
        return false;
    }
    for (const auto &Each : Hosts_)
      if (!waitUntilReady(*Each))
        return false;
    // Until hosts agree on who reads the store.
    pauseFor(13);
    return true;
  }

  static bool waitUntilReady(const Host &Started) {
    const TimePoint Limit = after(15);
    while (!Started.isReady()) {
      if (Clock::now() > Limit)
        return false;
      pauseFor(0.05);
    }
    return true;
  }

  bool startEndpoint(int Index) {
    Endpoint &Started = *Endpoints_[static_cast<std::size_t>(Index)];
    const std::string Id =
        "i-" + std::to_string(Index) + "-" + std::to_string(++Boots_[Index]);
    const bool Up = Started.start(
        Id, [](const Message &) { return Deed::Run; },
        [this](const std::string &Event, const Message &Asked,
               const Endpoint &Where) { note(Event, Asked, Where.id()); });
    if (Up)
      Store_.put("servers", Id, Started.entry(1, 0));
    return Up;
  }

  double now() const { return secondsBetween(Start_, Clock::now()); }

  void note(const std::string &Event, const Message &Asked,
            const std::string &Id) {
    if (Event != "reaches")
      return;
    const double When = now();
    const std::lock_guard Guard(Lock_);
    const auto Gone = Removed_.find(Id);
    if (Gone == Removed_.end())
      return;
    const std::string From = Asked.field("from machine");
    const double Age = When - Gone->second;
    Record_ << When << " reaches endpoint=" << Id
            << " request=" << Asked.field("x-lycheespoke-request-id")
            << " from=" << From << " after_removal=" << Age << "\n";
    if (Age <= DrainSeconds)
      return;
    for (std::size_t Each = 0; Each < Hosts_.size(); ++Each)
      if (Hosts_[Each]->ip() == From && StartedAt_[Each] >= 0 &&
          When - StartedAt_[Each] > StableSeconds)
        Late_.push_back({Asked.field("x-lycheespoke-request-id"), Age});
  }

  void playRound(int Round) {
    const TimePoint End = after(RoundSeconds);
    if (Cuts_) {
      Store_.cutWaiting();
      say("the store has cut the watches that waited");
    }
    pauseFor(CalmSeconds);
    std::thread Leaving([this, Round] {
      for (int Each = 0; Each < LeavingCount; ++Each) {
        leave((Round * LeavingCount + Each) % EndpointCount);
        pauseFor(LeavingGap);
      }
    });
    pauseFor(KillSeconds);
    std::vector<std::size_t> Killed;
    if (Kills_) {
      for (std::size_t Each = 0; Each < Hosts_.size(); ++Each)
        if (Hosts_[Each]->metric("lychee_asks_store") == 1 &&
            Killed.size() < MostKilled)
          Killed.push_back(Each);
      {
        const std::lock_guard Guard(Lock_);
        for (const std::size_t Each : Killed)
          StartedAt_[Each] = -1;
      }
      for (const std::size_t Each : Killed) {
        Hosts_[Each]->end();
        say("killed " + Hosts_[Each]->name());
      }
    }
    Leaving.join();
    pauseFor(DownSeconds);
    for (const std::size_t Each : Killed) {
      Hosts_[Each]->start(Program_);
      waitUntilReady(*Hosts_[Each]);
      const std::lock_guard Guard(Lock_);
      StartedAt_[Each] = now();
    }
    pauseFor(4);
    for (int Each = 0; Each < LeavingCount; ++Each)
      startEndpoint((Round * LeavingCount + Each) % EndpointCount);
    pauseFor(secondsBetween(Clock::now(), End));
  }

  /// The entry is removed, and the endpoint serves on for a while.
  void leave(int Index) {
    const std::string Id = Endpoints_[static_cast<std::size_t>(Index)]->id();
    {
      const std::lock_guard Guard(Lock_);
      Removed_[Id] = now();
    }
    Store_.remove("servers", Id);
    say("removed endpoint=" + Id);
    std::thread([this, Index] {
      pauseFor(DrainSeconds + LongerSeconds);
      Endpoints_[static_cast<std::size_t>(Index)]->crash();
    }).detach();
  }

  void say(const std::string &Text) {
    const std::lock_guard Guard(Lock_);
    Record_ << now() << " " << Text << "\n";
  }

  void sendAllTheTime(int Client) {
    std::mt19937 Random(std::random_device{}());
    for (int Turn = 0; !Done_; ++Turn) {
      Attempt Sent;
      Sent.Method_ = "POST";
      Sent.Id_ = "r-" + std::to_string(Client) + "-" + std::to_string(Turn);
      Sent.Path_ = "/endorse/" + std::to_string(Random() % 24);
      Sent.Object_ = std::to_string(Random() % 200);
      Sent.Body_ = "endorse " + Sent.Id_;
      const Host &To = *Hosts_[Random() % Hosts_.size()];
      const Outcome Seen = ask(To.ip(), To.frontPort(), Sent);
      if (Seen.Status_ == 0)
        pauseFor(0.05);
      const std::lock_guard Guard(Lock_);
      ++Sent_;
      Served_ += Seen.Status_ == 200 ? 1 : 0;
      Statuses_[Sent.Id_] = Seen.Status_;
    }
  }

  int judge() {
    const std::lock_guard Guard(Lock_);
    double Worst = 0;
    std::size_t Lost = 0;
    for (const auto &[Id, Age] : Late_) {
      Worst = std::max(Worst, Age);
      Lost += Statuses_[Id] != 200 ? 1 : 0;
      Record_ << "late request=" << Id << " after_removal=" << Age
              << " status=" << Statuses_[Id] << "\n";
    }
    const std::string Sum = "requests sent: " + std::to_string(Sent_) +
                            ", served: " + std::to_string(Served_) +
                            "; that reached an endpoint later than 2.5 s after "
                            "its entry was removed: " +
                            std::to_string(Late_.size()) + ", the latest at " +
                            std::to_string(Worst) +
                            " s, of these not served: " + std::to_string(Lost);
    Record_ << Sum << "\n";
    Record_.flush();
    std::printf("%s\n", Sum.c_str());
    if (Served_ < Sent_ / 2)
      return 2;
    return Late_.empty() ? 0 : 1;
  }

  const std::string Program_;
  const bool Cuts_, Kills_;
  const std::string Folder_;
  const Places At_;
  Store Store_;
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  /// When a host was ready after its last start; -1 while it is down.
  std::vector<double> StartedAt_;
  std::map<int, int> Boots_;
  const TimePoint Start_ = Clock::now();
  std::atomic<bool> Done_ = false;
  std::mutex Lock_;
  std::ofstream Record_;
  std::map<std::string, double> Removed_;
  std::vector<std::pair<std::string, double>> Late_;
  std::size_t Sent_ = 0, Served_ = 0;
  std::map<std::string, int> Statuses_;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 5)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  Play Played(Words[1], Words[2], Words[3], Words[4]);
  const int Ended = Played.run();
  Played.end();
  std::fflush(stdout);
  _exit(Ended);
}
