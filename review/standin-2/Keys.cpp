#include "Deployment.h"
#include "Endpoint.h"
#include "Store.h"

#include <cstdio>
#include <memory>

/// Cases on keys that a new version takes away. "tenant": the version takes
/// away the only tenant. "weight": the same version splits a route by weights
/// that are fractions.
using namespace review;

namespace {

/// revokeMs
constexpr double RevokeSeconds = 5;
constexpr double BeforeSeconds = 3;
constexpr double AfterSeconds = 16;
constexpr int HostCount = 3;
constexpr double GapSeconds = 0.05;

const std::vector<std::pair<std::string, std::string>> Zones = {
    {"ob-nord", "oberbayern"}, {"fr-west", "franken"}, {"sw-ost", "schwaben"}};

std::string configuration(int Version, const std::string &Split,
                          const std::string &Tenants) {
  const std::string Target = Split.empty() ? "null,2,false,true,[],\"portal\""
                                           : Split + ",2,false,true,[],null";
  return "{\"version\":\"r" + std::to_string(Version) +
         R"(","routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","sticky","homeRegions","service"],"rows":[["r-endorse","a.example","/endorse/","non_idempotent",800,400,1,)" +
         Target +
         R"(]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls","coldStartS","coldPerS"],"rows":[["portal","/healthz",330,"h1",false,3.0,10.0],["vault","/healthz",330,"h1",false,3.0,10.0]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst","homeRegions"],"rows":[)" +
         Tenants + "]}}";
}

class Play {
public:
  Play(std::string Program, const std::string &Record, bool Troubled,
       std::string Folder, bool OfTenant)
      : Program_(std::move(Program)), Troubled_(Troubled),
        Folder_(std::move(Folder)), OfTenant_(OfTenant), At_(Places::choose()),
        Store_(At_.store(), At_.Port_ + StorePort), Record_(Record) {}

  int run() {
    if (!begin())
      return 2;
    sendFor(BeforeSeconds);
    writeNext();
    sendFor(AfterSeconds);
    pauseFor(1);
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
    for (int Each = 0; Each < 6; ++Each) {
      Endpoints_.push_back(std::make_unique<Endpoint>(
          At_.endpoint(Each), At_.Port_ + EndpointPort,
          Zones[static_cast<std::size_t>(Each) % Zones.size()].first,
          Each < 3 ? "portal" : "vault", 0.01));
      const std::string Id = "i-" + std::to_string(Each);
      if (!Endpoints_.back()->start(
              Id, [](const Message &) { return Deed::Run; },
              [this](const std::string &Event, const Message &Asked,
                     const Endpoint &Where) {
                if (Event == "has-run")
                  note(Asked, Where.id());
              }))
        return false;
      Store_.put("servers", Id, Endpoints_.back()->entry(1, 0));
    }
    Store_.put("config", "main",
               configuration(1, "",
                             OfTenant_
                                 ? R"(["office",["key-1"],1,0,0,[]])"
                                 : R"(["office",["key-1","key-2"],1,0,0,[]])"));
    for (int Each = 0; Each < HostCount; ++Each) {
      const auto &[Zone, Region] = Zones[static_cast<std::size_t>(Each)];
      Hosts_.push_back(std::make_unique<Host>(At_, Each, "edge-" + Zone + "-1",
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

  /// The store's answer is the ack; this one accepts at once.
  void writeNext() {
    if (OfTenant_ && Troubled_)
      Store_.put("config", "main", configuration(2, "", ""));
    else if (OfTenant_)
      Store_.put("config", "main",
                 configuration(2, "", R"(["office",["key-2"],1,0,0,[]])"));
    else
      Store_.put(
          "config", "main",
          configuration(
              2,
              Troubled_
                  ? R"([{"service":"portal","weight":0.9},{"service":"vault","weight":0.1}])"
                  : R"([{"service":"portal","weight":9},{"service":"vault","weight":1}])",
              R"(["office",["key-1"],1,0,0,[]])"));
    Acked_ = now();
    const std::lock_guard Guard(Lock_);
    Record_ << *Acked_ << " version r2 is acknowledged\n";
  }

  double now() const { return secondsBetween(Start_, Clock::now()); }
  std::string withdrawn() const { return OfTenant_ ? "key-1" : "key-2"; }

  void sendFor(double Seconds) {
    const TimePoint End = after(Seconds);
    while (Clock::now() < End) {
      ++Turn_;
      const char *Never = "key-that-never-was";
      sendOne(Turn_ % 4 == 0 ? Never : withdrawn());
      if (!OfTenant_)
        sendOne("key-1");
      pauseFor(GapSeconds);
    }
  }

  void sendOne(const std::string &Key) {
    Attempt Sent;
    Sent.Method_ = "POST";
    Sent.Id_ = "r-" + std::to_string(++Sent_);
    Sent.Path_ = "/endorse/" + std::to_string(Sent_);
    Sent.Body_ = "endorse " + Sent.Id_;
    Sent.Key_ = Key;
    {
      const std::lock_guard Guard(Lock_);
      Keys_[Sent.Id_] = Key;
      SentAt_[Sent.Id_] = now();
    }
    const Host &To = *Hosts_[static_cast<std::size_t>(Sent_) % Hosts_.size()];
    const Outcome Seen = ask(To.ip(), To.frontPort(), Sent);
    const std::lock_guard Guard(Lock_);
    Served_ += Seen.Status_ == 200 ? 1 : 0;
    Record_ << now() << " request=" << Sent.Id_ << " key=" << Key
            << " host=" << To.name() << " status=" << Seen.Status_ << "\n";
  }

  void note(const Message &Asked, const std::string &Id) {
    const std::string Request = Asked.field("x-lycheespoke-request-id");
    const std::lock_guard Guard(Lock_);
    Record_ << now() << " has run request=" << Request << " endpoint=" << Id
            << " tenant=" << Asked.field("x-lycheespoke-tenant") << "\n";
    const std::string Key = Keys_[Request];
    if (Key == withdrawn() && Acked_ &&
        SentAt_[Request] > *Acked_ + RevokeSeconds)
      ++Withdrawn_;
    if (Key == "key-that-never-was")
      ++Never_;
  }

  int judge() {
    for (const auto &Each : Hosts_)
      if (!Each->isRunning())
        return 2;
    const std::lock_guard Guard(Lock_);
    const std::string Sum =
        "requests sent: " + std::to_string(Sent_) +
        ", answered 200: " + std::to_string(Served_) +
        "; run though sent with a key that had been "
        "taken away more than 5 s before: " +
        std::to_string(Withdrawn_) +
        "; run though no configuration ever held their key: " +
        std::to_string(Never_);
    Record_ << Sum << "\n";
    Record_.flush();
    std::printf("%s\n", Sum.c_str());
    if (Served_ == 0)
      return 2;
    return Withdrawn_ + Never_ > 0 ? 1 : 0;
  }

  const std::string Program_;
  const bool Troubled_;
  const std::string Folder_;
  const bool OfTenant_;
  const Places At_;
  Store Store_;
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  const TimePoint Start_ = Clock::now();
  std::optional<double> Acked_;
  int Turn_ = 0;
  int Sent_ = 0;
  std::mutex Lock_;
  std::ofstream Record_;
  std::map<std::string, std::string> Keys_;
  std::map<std::string, double> SentAt_;
  int Served_ = 0, Withdrawn_ = 0, Never_ = 0;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 6)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  Play Played(Words[1], Words[2], std::string(Words[3]) != "0", Words[4],
              std::string(Words[5]) == "tenant");
  const int Ended = Played.run();
  Played.end();
  std::fflush(stdout);
  _exit(Ended);
}
