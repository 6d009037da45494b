// Case 1: an endpoint of several answers some requests 500 (a grey endpoint);
// what is sent to a second endpoint then is not what the client sent.
#include "Fleet.h"

#include <unordered_map>

using namespace review;

namespace {

constexpr int HostCount = 2;
constexpr int EndpointCount = 7;
constexpr std::size_t BodyBytes = 2 << 20;
constexpr int ClientCount = 4;
constexpr double GreyFromMs = 4000;
// The dose of the pages: srv_grey, share 0.15 of the endpoints (1 of 7), x 0.4
// of their requests (2 of 5), 6.5 s.
constexpr double GreyForMs = 6500;
constexpr double TrafficMs = 14000;

struct Sent {
  std::string Method_;
  std::string Path_;
  std::uint64_t BodyHash_ = 0;
  std::size_t BodyBytes_ = 0;
};

class Ledger {
public:
  explicit Ledger(Record &Log) : Log_(Log) {}
  void sent(const ClientRequest &Asked) {
    const std::lock_guard Guard(Lock_);
    Sent_[Asked.Id_] = {Asked.Method_, Asked.Path_, hashOf(Asked.Body_),
                        Asked.Body_.size()};
  }
  void ran(const std::string &Endpoint, const Head &Asked,
           const std::string &Body, bool Fails) {
    const std::lock_guard Guard(Lock_);
    const std::string Id = Asked.get("X-Lycheespoke-Request-Id");
    const auto Found = Sent_.find(Id);
    const bool Same = Found != Sent_.end() &&
                      Found->second.Method_ == Asked.word(0) &&
                      Found->second.Path_ == Asked.word(1) &&
                      Found->second.BodyBytes_ == Body.size() &&
                      Found->second.BodyHash_ == hashOf(Body);
    ++Runs_;
    Failed_ += Fails ? 1 : 0;
    if (!Same) {
      ++Changed_;
      ChangedIds_[Id] = Body.size();
    }
    Log_.line("run " + Id + " at " + Endpoint + " body " +
              std::to_string(Body.size()) + (Same ? " as sent" : " CHANGED") +
              (Fails ? ", answered 500" : ", answered 200"));
  }
  void answered(const ClientRequest &Asked, const ClientAnswer &Read) {
    const std::lock_guard Guard(Lock_);
    const bool Success = Read.Status_ / 100 == 2;
    Good_ += Success ? 1 : 0;
    const bool Changed = ChangedIds_.contains(Asked.Id_);
    GoodOnChanged_ += Success && Changed ? 1 : 0;
    Log_.line("answer " + Asked.Id_ + " " + std::to_string(Read.Status_) +
              (Asked.Chunked_ ? " (sent in chunks)" : " (sent with a length)"));
  }
  int report() {
    const std::lock_guard Guard(Lock_);
    Log_.say("sent " + std::to_string(Sent_.size()) + ", runs " +
             std::to_string(Runs_) + ", of which answered 500 " +
             std::to_string(Failed_) + "; answered 2xx " +
             std::to_string(Good_));
    Log_.say("runs with another body than the client's: " +
             std::to_string(Changed_) + "; of these requests " +
             std::to_string(GoodOnChanged_) + " were answered 2xx");
    if (Good_ == 0)
      return 2;
    Log_.say(Changed_ > 0 ? "UNASKED broken" : "UNASKED held");
    return Changed_ > 0 ? 1 : 0;
  }

private:
  Record &Log_;
  std::mutex Lock_;
  std::unordered_map<std::string, Sent> Sent_;
  std::unordered_map<std::string, std::size_t> ChangedIds_;
  int Runs_ = 0;
  int Failed_ = 0;
  int Changed_ = 0;
  int Good_ = 0;
  int GoodOnChanged_ = 0;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return 2;
  Record Log(Words[2]);
  const bool Troubled = isTroubled();
  Log.say(Troubled ? "TROUBLE=1: with the disruption"
                   : "TROUBLE=0: without the disruption");
  Ledger Seen(Log);
  Fleet Made(Words[1], HostCount, {});
  std::atomic<double> Begin = 1e18;
  std::atomic<int> AskedOfGrey = 0;
  std::vector<std::unique_ptr<Endpoint>> Endpoints;
  for (int Each = 0; Each < EndpointCount; ++Each) {
    EndpointPlan Plan;
    Plan.Id_ = "i-" + std::to_string(Each + 1);
    Plan.At_ = Fleet::at(20 + Each, 8080);
    const std::string Id = Plan.Id_;
    Endpoint::Special Takes;
    if (Each == 0 && Troubled)
      Takes = [&, Id](Connection &Peer,
                      const Head &Asked) -> std::optional<bool> {
        const double Since = nowMs() - Begin;
        if (Since < GreyFromMs || Since > GreyFromMs + GreyForMs ||
            AskedOfGrey++ % 5 >= 2)
          return std::nullopt;
        std::string Body;
        if (!Peer.readBody(Asked, Body))
          return false;
        Seen.ran(Id, Asked, Body, true);
        return Peer.write(Endpoints[0]->answerText(
            Asked, 500, Endpoints[0]->sealLine(Asked), "failed\n"));
      };
    Endpoints.push_back(std::make_unique<Endpoint>(
        Plan, Made.store(),
        [&, Id](const Head &Asked, const std::string &Body) {
          Seen.ran(Id, Asked, Body, false);
        },
        Takes));
  }
  if (!Made.startHosts()) {
    Log.say("hosts are not ready");
    return 2;
  }
  sleepMs(1500);
  Begin = nowMs();
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < ClientCount; ++Each)
    Clients.emplace_back([&, Each] {
      Client One(Made.host(Each % HostCount).plan().front());
      for (int Number = 0; nowMs() - Begin < TrafficMs; ++Number) {
        ClientRequest Asked;
        Asked.Method_ = "PUT";
        Asked.Id_ = "c" + std::to_string(Each) + "-" + std::to_string(Number);
        Asked.Path_ = "/safe/" + Asked.Id_;
        Asked.Body_ = patternOf(Each * 100000 + Number, BodyBytes);
        Asked.Chunked_ = Number % 2 == 1;
        Asked.PieceBytes_ = 256 << 10;
        Seen.sent(Asked);
        Seen.answered(Asked, One.ask(Asked));
        sleepMs(60);
      }
    });
  for (std::thread &Each : Clients)
    Each.join();
  if (Made.hasAnyHostEnded()) {
    Log.say("a host ended by itself");
    return 1;
  }
  return Seen.report();
}
