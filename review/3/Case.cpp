// Case 3: an endpoint rejects a long upload before it is in, keeps the
// connection and reads on later; it gets other bytes than the body's.
#include "Fleet.h"

#include <unordered_map>

using namespace review;

namespace {

constexpr int HostCount = 2;
constexpr int EndpointCount = 4;
constexpr int ClientCount = 8;
constexpr int UploadsEach = 30;
/// Every fifth upload is long.
constexpr int LongOf = 5;
constexpr std::size_t LongBytes = 24 << 20;
constexpr std::size_t ShortBytes = 60000;
// The dose of the pages: garble, share 0.5 of the endpoints (2 of 4), x 0.02
// of their answers (one of the 50 to 60 of each).
constexpr int EarlyEndpoints = 2;
constexpr int EarlyFrom = 10;
/// How long the endpoint leaves the rest of the body unread.
constexpr int ReadsOnAfterMs = 1500;

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return 2;
  Record Log(Words[2]);
  const bool Troubled = isTroubled();
  Log.say(Troubled ? "TROUBLE=1: with the disruption"
                   : "TROUBLE=0: without the disruption");
  // Beside the case: an endpoint that answers 200 early and stores later.
  const bool Accepts = std::getenv("EARLY_ACCEPTS") != nullptr;
  Fleet Made(Words[1], HostCount, {});
  std::mutex Lock;
  std::unordered_map<std::string, std::pair<std::uint64_t, std::size_t>> Sent;
  std::atomic<int> Runs = 0;
  std::atomic<int> Changed = 0;
  std::atomic<int> Early = 0;
  std::atomic<int> Wrong = 0;
  std::atomic<int> Good = 0;
  std::atomic<int> Asked[EndpointCount] = {};
  std::atomic<bool> HasRejected[EndpointCount] = {};
  const auto BodyOf = [&](const std::string &Id) {
    std::pair<std::uint64_t, std::size_t> Of;
    {
      const std::lock_guard Guard(Lock);
      Of = Sent[Id];
    }
    return patternOf(Of.first, Of.second);
  };
  std::vector<std::unique_ptr<Endpoint>> Endpoints;
  for (int Each = 0; Each < EndpointCount; ++Each) {
    EndpointPlan Plan;
    Plan.Id_ = "i-" + std::to_string(Each + 1);
    Plan.At_ = Fleet::at(20 + Each, 8080);
    Plan.Slots_ = 9;
    Plan.ReceiveBytes_ = 64 << 10;
    const std::string Id = Plan.Id_;
    const auto RejectsEarly = [&, Id,
                               Each](Connection &Peer,
                                     const Head &Read) -> std::optional<bool> {
      const bool IsLong = std::stoul(Read.get("Content-Length")) == LongBytes;
      if (++Asked[Each] < EarlyFrom || !IsLong ||
          HasRejected[Each].exchange(true))
        return std::nullopt;
      ++Early;
      const std::string Name = Read.get("X-Lycheespoke-Request-Id");
      const std::string Due = BodyOf(Name);
      Log.line("early " + Name + " at " + Id +
               (Accepts ? ": 200; " : ": 503, not executed; ") +
               Read.get("Content-Length") + " bytes are due");
      if (!Peer.write(
              Accepts
                  ? Endpoints[Each]->answerText(
                        Read, 200, Endpoints[Each]->sealLine(Read), "")
                  : Endpoints[Each]->answerText(
                        Read, 503, "X-Lycheespoke-Not-Executed: 1\r\n", "")))
        return false;
      sleepMs(ReadsOnAfterMs);
      std::string Got;
      Peer.setTimeout(3000);
      while (Got.size() < Due.size() &&
             Peer.readSome(Got, Due.size() - Got.size())) {
      }
      std::size_t Same = 0;
      while (Same < Got.size() && Got[Same] == Due[Same])
        ++Same;
      std::string Told = "early " + Name + " at " + Id + ": read on " +
                         std::to_string(Got.size()) + " bytes, the first " +
                         std::to_string(Same) + " as sent";
      if (Same < Got.size()) {
        ++Wrong;
        const std::size_t From = Due.find(
            Got.substr(Same, std::min<std::size_t>(64, Got.size() - Same)));
        Told += "; there stand OTHER BYTES, of the body's offset " +
                (From == std::string::npos ? "(none)" : std::to_string(From));
      }
      Log.say(Told);
      return false;
    };
    Endpoints.push_back(std::make_unique<Endpoint>(
        Plan, Made.store(),
        [&, Id](const Head &Read, const std::string &Body) {
          ++Runs;
          const std::string Name = Read.get("X-Lycheespoke-Request-Id");
          const bool AsSent = Body == BodyOf(Name);
          Changed += AsSent ? 0 : 1;
          Log.line("run " + Name + " at " + Id +
                   (AsSent ? " as sent" : " CHANGED"));
        },
        Troubled && Each < EarlyEndpoints ? Endpoint::Special(RejectsEarly)
                                          : Endpoint::Special()));
  }
  if (!Made.startHosts()) {
    Log.say("hosts are not ready");
    return 2;
  }
  sleepMs(1500);
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < ClientCount; ++Each)
    Clients.emplace_back([&, Each] {
      Client One(Made.host(Each % HostCount).plan().front());
      for (int Number = 0; Number < UploadsEach; ++Number) {
        ClientRequest Upload;
        Upload.Method_ = "POST";
        Upload.Id_ = "c" + std::to_string(Each) + "-" + std::to_string(Number);
        Upload.Path_ = "/load/" + Upload.Id_;
        const std::uint64_t Seed = Each * 1000 + Number + 1;
        const std::size_t Bytes =
            Number % LongOf == LongOf - 1 ? LongBytes : ShortBytes;
        {
          const std::lock_guard Guard(Lock);
          Sent[Upload.Id_] = {Seed, Bytes};
        }
        Upload.Body_ = patternOf(Seed, Bytes);
        Upload.PieceBytes_ = 512 << 10;
        Upload.PieceMs_ = 40;
        const ClientAnswer Read = One.ask(Upload);
        Good += Read.Status_ == 200 ? 1 : 0;
        Log.line("answer " + Upload.Id_ + " " + std::to_string(Read.Status_));
      }
    });
  for (std::thread &Each : Clients)
    Each.join();
  Endpoints.clear();
  Log.say("uploads " + std::to_string(ClientCount * UploadsEach) +
          ", answered 200: " + std::to_string(Good) + ", runs " +
          std::to_string(Runs) + ", of which with another body " +
          std::to_string(Changed));
  Log.say("rejected early: " + std::to_string(Early) +
          "; got other bytes where the rest was due: " + std::to_string(Wrong));
  if (Good == 0 || (Troubled && Early == 0))
    return 2;
  const bool Broken = Wrong + Changed > 0;
  Log.say(Broken ? "UNASKED broken" : "UNASKED held");
  return Broken ? 1 : 0;
}
