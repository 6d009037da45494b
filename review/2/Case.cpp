// Case 2: another writer puts an entry of kind `servers` whose text cannot be
// read; then an endpoint reports that it drains, and goes on getting requests.
#include "Fleet.h"

using namespace review;

namespace {

constexpr int HostCount = 2;
constexpr int EndpointCount = 4;
constexpr double DrainMs = 2500;
/// How long the leaving endpoint goes on serving after its report.
constexpr double ServesOnMs = 8000;
constexpr int ClientsPerHost = 3;
constexpr int WorkMs = 250;

struct Arrival {
  std::string Id_;
  double AtMs_ = 0;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return 2;
  Record Log(Words[2]);
  const bool Troubled = isTroubled();
  Log.say(Troubled ? "TROUBLE=1: with the disruption"
                   : "TROUBLE=0: without the disruption");
  Fleet Made(Words[1], HostCount, {});
  std::mutex Lock;
  std::vector<Arrival> AtLeaving;
  std::atomic<int> Runs = 0;
  std::vector<std::unique_ptr<Endpoint>> Endpoints;
  for (int Each = 0; Each < EndpointCount; ++Each) {
    EndpointPlan Plan;
    Plan.Id_ = "i-" + std::to_string(Each + 1);
    Plan.At_ = Fleet::at(20 + Each, 8080);
    Plan.WorkMs_ = WorkMs;
    const bool Leaves = Each == EndpointCount - 1;
    Endpoints.push_back(std::make_unique<Endpoint>(
        Plan, Made.store(),
        [&, Leaves, Id = Plan.Id_](const Head &Asked, const std::string &) {
          ++Runs;
          const std::string Name = Asked.get("X-Lycheespoke-Request-Id");
          Log.line("run " + Name + " at " + Id);
          const std::lock_guard Guard(Lock);
          if (Leaves)
            AtLeaving.push_back({Name, nowMs()});
        }));
  }
  if (!Made.startHosts()) {
    Log.say("hosts are not ready");
    return 2;
  }
  sleepMs(1500);
  std::atomic<bool> Ends = false;
  std::atomic<int> Good = 0;
  std::set<std::string> Lost;
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < HostCount * ClientsPerHost; ++Each)
    Clients.emplace_back([&, Each] {
      Client One(Made.host(Each % HostCount).plan().front());
      for (int Number = 0; !Ends; ++Number) {
        ClientRequest Asked;
        Asked.Id_ = "c" + std::to_string(Each) + "-" + std::to_string(Number);
        const bool Once = Number % 2 == 1;
        Asked.Method_ = Once ? "POST" : "GET";
        Asked.Path_ = (Once ? "/once/" : "/safe/") + Asked.Id_;
        Asked.Body_ = Once ? "an order" : "";
        Asked.DeadlineMs_ = 2500;
        const ClientAnswer Read = One.ask(Asked);
        Good += Read.Status_ == 200 ? 1 : 0;
        Log.line("answer " + Asked.Id_ + " " + std::to_string(Read.Status_) +
                 (Once ? " (once)" : ""));
        if (Once && (Read.Status_ == 0 || Read.Status_ == 502)) {
          const std::lock_guard Guard(Lock);
          Lost.insert(Asked.Id_);
        }
        sleepMs(40);
      }
    });
  sleepMs(2000);
  if (Troubled) {
    Made.store().put(
        "servers", "i-other",
        "{\"service\":\"vault\",\"address\":\"" + Fleet::at(60, 8080).text() +
            "\",\"zone\":\"\\ud83d\",\"version\":\"v1\",\"slots\":3,"
            "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}");
    Log.say("another writer's entry: servers/i-other, its zone is half a "
            "surrogate pair");
  }
  sleepMs(2000);
  const double Acked = Endpoints.back()->say("draining");
  Log.say("servers/i-4 draining, acknowledged at " + std::to_string(Acked));
  sleepMs(static_cast<int>(ServesOnMs));
  int Late = 0;
  double Latest = 0;
  {
    const std::lock_guard Guard(Lock);
    for (const Arrival &Each : AtLeaving)
      if (Each.AtMs_ > Acked + DrainMs) {
        ++Late;
        Latest = Each.AtMs_ - Acked;
      }
  }
  Made.store().remove("servers", "i-4");
  Endpoints.back()->end();
  Log.line("i-4 has ended, its entry is removed");
  sleepMs(1500);
  int LostThere = 0;
  {
    const std::lock_guard Guard(Lock);
    for (const Arrival &Each : AtLeaving)
      LostThere += Lost.contains(Each.Id_) ? 1 : 0;
  }
  // For the account only: what the entry does to a host that starts.
  Made.host(1).kill();
  Made.host(1).start();
  Log.say(std::string("a host that starts now is ") +
          (Made.host(1).awaitReady(8000) ? "ready" : "not ready within 8 s"));
  Ends = true;
  for (std::thread &Each : Clients)
    Each.join();
  Log.say("answered 200: " + std::to_string(Good) + ", runs " +
          std::to_string(Runs));
  Log.say("requests that reached i-4 later than drainMs after the "
          "acknowledgement: " +
          std::to_string(Late) + ", the last " + std::to_string(Latest) +
          " ms after it");
  Log.say("requests to be run once that i-4 ran and whose clients were told "
          "502 or nothing, as it ended: " +
          std::to_string(LostThere));
  if (Good == 0)
    return 2;
  Log.say(Late > 0 ? "DRAIN broken" : "DRAIN held");
  return Late > 0 ? 1 : 0;
}
