#include "Answers.h"

#include "base/SystemClock.h"
#include "operations/Json.h"

#include <iostream>
#include <openssl/rand.h>
#include <set>
#include <thread>
#include <vector>

namespace lychee::command {

namespace {

using operations::numberOf;
using operations::textOf;

constexpr std::size_t ChangeIdBytes = 16;
constexpr base::Duration PollPause = std::chrono::milliseconds(200);
constexpr base::Duration PollTimeout = std::chrono::seconds(2);

struct StatusCode {
  std::string_view Status_;
  ExitCode Code_;
};

constexpr StatusCode StatusCodes[] = {
    {"done", ExitCode::Done},          {"denied", ExitCode::Denied},
    {"invalid", ExitCode::Invalid},    {"conflict", ExitCode::Conflict},
    {"not-found", ExitCode::NotFound}, {"unavailable", ExitCode::Unavailable},
    {"unknown", ExitCode::Unknown}};

ExitCode codeOf(const Json::Value &Answer) {
  for (const StatusCode &Each : StatusCodes)
    if (Each.Status_ == textOf(Answer, "status"))
      return Each.Code_;
  return ExitCode::Unknown;
}

void tellProblems(const Json::Value &Answer) {
  for (const Json::Value &Each : Answer["problems"])
    std::cerr << textOf(Each, "text") << "\n";
}

void tellAccepted(const Options &Given, Json::Value Answer,
                  const std::map<std::string, std::string> &Shown) {
  for (const auto &[Name, Text] : Shown)
    Answer[Name] = Text;
  if (Given.Json_)
    return printJson(Answer);
  const bool Changed = operations::flagOf(Answer, "changed");
  std::cout << (Changed ? "accepted" : "unchanged")
            << " version=" << numberOf(Answer, "version") << "\n";
  for (const auto &[Name, Text] : Shown)
    std::cout << Name << " " << Text << "\n";
  std::cout.flush();
}

/// Hosts of the fleet by address; the asked one where the list is empty.
std::map<std::string, std::string> addressesOf(const Options &Given) {
  OperatorClient Client(Given.Server_, Given.Token_);
  base::Error Last;
  std::map<std::string, std::string> Hosts;
  const auto Answer =
      Client.call("operator.members", Json::objectValue, PollTimeout, Last);
  if (Answer && isDone(*Answer))
    for (const Json::Value &Each : (*Answer)["members"])
      Hosts[textOf(Each, "host")] = textOf(Each, "address");
  if (Hosts.empty())
    Hosts[Given.Server_] = Given.Server_;
  return Hosts;
}

std::uint64_t versionAt(const std::string &Address, const Options &Given) {
  OperatorClient Client(Address, Given.Token_);
  base::Error Last;
  const auto Answer =
      Client.call("operator.status", Json::objectValue, PollTimeout, Last);
  return Answer ? numberOf(*Answer, "settings_version") : 0;
}

} // namespace

void printJson(const Json::Value &Answer) {
  std::cout << operations::writeJson(Answer) << "\n";
}

ExitCode usageError(const std::string &What) {
  std::cerr << "lychee: " << What << "; see lychee help\n";
  return ExitCode::Usage;
}

ExitCode tellNoAnswer(const Options &Given, const base::Error &Last,
                      const char *Status) {
  if (Given.Json_) {
    Json::Value Answer;
    Answer["status"] = Status;
    Answer["error"]["step"] = Last.Step_;
    Answer["error"]["peer"] = Last.Peer_;
    Answer["error"]["reason"] = Last.Reason_;
    printJson(Answer);
  }
  std::cerr << "lychee: " << Status << ": " << Last.describe() << "\n";
  return ExitCode::Unavailable;
}

ExitCode tellFailure(const Options &Given, const Json::Value &Answer) {
  if (Given.Json_)
    printJson(Answer);
  tellProblems(Answer);
  const Json::Value &Error = Answer["error"];
  const base::Error Told{textOf(Error, "step"), textOf(Error, "peer"),
                         textOf(Error, "reason")};
  std::cerr << "lychee: " << textOf(Answer, "status") << ": " << Told.describe()
            << "\n";
  return codeOf(Answer);
}

bool isDone(const Json::Value &Answer) {
  return textOf(Answer, "status") == "done";
}

std::map<std::string, std::string> documentsOf(const Json::Value &Answer,
                                               const char *Name) {
  std::map<std::string, std::string> Documents;
  if (!Answer.isMember(Name) || !Answer[Name].isObject())
    return Documents;
  for (auto Each = Answer[Name].begin(); Each != Answer[Name].end(); ++Each)
    if (Each->isString())
      Documents[Each.name()] = Each->asString();
  return Documents;
}

ExitCode makeChange(const Options &Given, const std::string &Method,
                    Json::Value Parameters, Json::Value &Made,
                    const std::map<std::string, std::string> &Shown) {
  Parameters["change_id"] = drawHex(ChangeIdBytes);
  Parameters["author"] = Given.Author_;
  OperatorClient Client(Given.Server_, Given.Token_);
  base::Error Last;
  const auto Answer = Client.callUntilAnswered(Method, Parameters, Last);
  if (!Answer) {
    // Connection refused: nothing ran. After that point the change may stand.
    const bool Lost = Client.mayHaveArrived();
    tellNoAnswer(Given, Last, Lost ? "unknown" : "unavailable");
    return Lost ? ExitCode::Unknown : ExitCode::Unavailable;
  }
  Made = *Answer;
  if (!isDone(*Answer))
    return tellFailure(Given, *Answer);
  tellAccepted(Given, *Answer, Shown);
  const std::uint64_t Version = numberOf(*Answer, "version");
  return Given.Wait_ ? waitUntilInForce(Given, Version) : ExitCode::Done;
}

ExitCode waitUntilInForce(const Options &Given, std::uint64_t Version) {
  const base::TimePoint End =
      base::SystemClock::monotonicNow() + Given.WaitTimeout_;
  std::map<std::string, std::string> Missing = addressesOf(Given);
  const std::size_t All = Missing.size();
  while (true) {
    const std::map<std::string, std::string> Asked = Missing;
    for (const auto &[Host, Address] : Asked) {
      const std::uint64_t InForce = versionAt(Address, Given);
      if (InForce < Version)
        continue;
      Missing.erase(Host);
      std::cerr << "in force host=" << Host << " version=" << InForce << " ("
                << All - Missing.size() << " of " << All << ")\n";
    }
    if (Missing.empty())
      return ExitCode::Done;
    if (base::SystemClock::monotonicNow() >= End)
      break;
    std::this_thread::sleep_for(PollPause);
  }
  for (const auto &[Host, Address] : Missing)
    std::cerr << "not in force host=" << Host << " address=" << Address
              << " version=" << versionAt(Address, Given) << "\n";
  return ExitCode::NotInForce;
}

std::string drawHex(std::size_t Bytes) {
  static constexpr char HexDigits[] = "0123456789abcdef";
  std::vector<unsigned char> Drawn(Bytes);
  if (RAND_bytes(Drawn.data(), static_cast<int>(Bytes)) != 1) {
    std::cerr << "lychee: the system gives no random bytes\n";
    std::exit(static_cast<int>(ExitCode::Unavailable));
  }
  std::string Hex;
  for (const unsigned char Byte : Drawn) {
    Hex += HexDigits[Byte >> 4];
    Hex += HexDigits[Byte & 0xf];
  }
  return Hex;
}

} // namespace lychee::command
