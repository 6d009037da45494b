#include "platform/StandinObjects.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cctype>
#include <json/json.h>
#include <memory>

namespace lychee::standins {

namespace asio = boost::asio;
using transport::HttpAnswer;
using transport::HttpRequest;

namespace {

constexpr std::string_view Root = "/objects/";
constexpr std::chrono::milliseconds WatchPace(5);

HttpAnswer answerOf(unsigned Status, const Json::Value &Body = {}) {
  HttpAnswer Made;
  Made.Status_ = Status;
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Made.Body_ = Json::writeString(Builder, Body);
  Made.Headers_.push_back({"Content-Type", "application/json"});
  return Made;
}

Json::Value objectOf(const std::string &Name, std::uint64_t Revision,
                     const Json::Value &Content) {
  Json::Value Made;
  Made["metadata"]["name"] = Name;
  Made["metadata"]["revision"] = Json::UInt64(Revision);
  Made["spec"] = Content;
  return Made;
}

using Query = std::map<std::string, std::string>;

int hexDigitOf(char Character) {
  constexpr std::string_view Digits = "0123456789abcdef";
  const auto Lower =
      static_cast<char>(std::tolower(static_cast<unsigned char>(Character)));
  const std::size_t Found = Digits.find(Lower);
  return Found == std::string_view::npos ? -1 : static_cast<int>(Found);
}

/// \returns nothing where an escape is malformed or a character stands that
/// has to be escaped.
std::optional<std::string> decode(std::string_view Text, bool IsQuery) {
  std::string Decoded;
  while (!Text.empty()) {
    const char First = Text.front();
    if (First == '#' || First <= ' ')
      return std::nullopt;
    if (First != '%') {
      Decoded += First == '+' && IsQuery ? ' ' : First;
      Text.remove_prefix(1);
      continue;
    }
    if (Text.size() < 3 || hexDigitOf(Text[1]) < 0 || hexDigitOf(Text[2]) < 0)
      return std::nullopt;
    Decoded +=
        static_cast<char>(hexDigitOf(Text[1]) * 16 + hexDigitOf(Text[2]));
    Text.remove_prefix(3);
  }
  return Decoded;
}

std::optional<Query> queryOf(std::string_view Text) {
  Query Read;
  while (!Text.empty()) {
    const std::string_view Pair = Text.substr(0, Text.find('&'));
    Text.remove_prefix(std::min(Text.size(), Pair.size() + 1));
    const std::size_t Mark = std::min(Pair.find('='), Pair.size());
    const auto Name = decode(Pair.substr(0, Mark), true);
    const auto Value =
        decode(Pair.substr(std::min(Mark + 1, Pair.size())), true);
    if (!Name || !Value)
      return std::nullopt;
    Read[*Name] = *Value;
  }
  return Read;
}

} // namespace

StandinObjects::StandinObjects(const std::string &Address, std::uint16_t Port)
    : Server_(Context_.get_executor(), {.Address_ = Address, .Port_ = Port},
              [this](HttpRequest Asked) { return answer(std::move(Asked)); }) {}

StandinObjects::~StandinObjects() {
  Server_.stop();
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

bool StandinObjects::start(base::Error &Last) {
  if (!Server_.listen(Last))
    return false;
  Thread_ = std::thread([this] { Context_.run(); });
  return true;
}

std::optional<StandinObjects::Object>
StandinObjects::find(const std::string &Kind, const std::string &Name) const {
  const auto Objects = Kinds_.find(Kind);
  if (Objects == Kinds_.end())
    return std::nullopt;
  const auto Found = Objects->second.find(Name);
  return Found == Objects->second.end() ? std::nullopt
                                        : std::optional(Found->second);
}

void StandinObjects::change(const std::string &Kind, const std::string &Name,
                            bool Deleted, const Json::Value &Content) {
  Undos_.push_back(
      {base::SystemClock::monotonicNow(), Kind, Name, find(Kind, Name)});
  Changes_.push_back({++Revision_, Kind, Name, Deleted, Content});
}

void StandinObjects::replace(const std::string &Kind, const std::string &Name,
                             const Json::Value &Content) {
  change(Kind, Name, false, Content);
  Kinds_[Kind][Name] = {Content, Revision_};
}

void StandinObjects::erase(const std::string &Kind, const std::string &Name) {
  change(Kind, Name, true, {});
  Kinds_[Kind].erase(Name);
}

void StandinObjects::put(const std::string &Kind, const std::string &Name,
                         const Json::Value &Content) {
  const std::lock_guard Guard(Lock_);
  Owned_[{Kind, Name}] = Content;
  replace(Kind, Name, Content);
}

void StandinObjects::remove(const std::string &Kind, const std::string &Name) {
  const std::lock_guard Guard(Lock_);
  Owned_[{Kind, Name}] = std::nullopt;
  erase(Kind, Name);
}

void StandinObjects::restore(base::Duration Age) {
  const std::lock_guard Guard(Lock_);
  const base::TimePoint CopiedAt = base::SystemClock::monotonicNow() - Age;
  for (; !Undos_.empty() && Undos_.back().At_ > CopiedAt; Undos_.pop_back()) {
    const Undo &Last = Undos_.back();
    if (Last.Before_)
      Kinds_[Last.Kind_][Last.Name_] = *Last.Before_;
    else
      Kinds_[Last.Kind_].erase(Last.Name_);
    --Revision_;
  }
  std::erase_if(Changes_, [this](const Change &Each) {
    return Each.Revision_ > Revision_;
  });
  Forgotten_ = std::min(Forgotten_, Revision_);
  if (Era_)
    ++*Era_;
}

void StandinObjects::writeAgain() {
  const std::lock_guard Guard(Lock_);
  for (const auto &[Where, Content] : Owned_) {
    const auto &[Kind, Name] = Where;
    const std::optional<Object> Present = find(Kind, Name);
    if (Content && (!Present || Present->Content_ != *Content))
      replace(Kind, Name, *Content);
    else if (!Content && Present)
      erase(Kind, Name);
  }
}

void StandinObjects::setEra(std::optional<std::uint64_t> Era) {
  const std::lock_guard Guard(Lock_);
  Era_ = Era;
}

std::size_t StandinObjects::calls() const {
  const std::lock_guard Guard(Lock_);
  return Calls_;
}

void StandinObjects::setFaults(const ObjectFaults &Faults) {
  const std::lock_guard Guard(Lock_);
  Faults_ = Faults;
}

void StandinObjects::setPageEntries(std::size_t Entries) {
  const std::lock_guard Guard(Lock_);
  PageEntries_ = Entries;
}

void StandinObjects::cutWatches() {
  const std::lock_guard Guard(Lock_);
  ++WatchCuts_;
}

void StandinObjects::forgetHistory() {
  const std::lock_guard Guard(Lock_);
  Forgotten_ = Revision_;
  Changes_.clear();
}

std::size_t StandinObjects::count(const std::string &Kind) const {
  const std::lock_guard Guard(Lock_);
  const auto Found = Kinds_.find(Kind);
  return Found == Kinds_.end() ? 0 : Found->second.size();
}

HttpAnswer StandinObjects::list(const std::string &Kind,
                                const std::string &After) const {
  const std::lock_guard Guard(Lock_);
  Json::Value Body;
  Body["items"] = Json::Value(Json::arrayValue);
  Body["hasMore"] = false;
  Body["at"] = Json::UInt64(Revision_);
  const auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return answerOf(200, Body);
  for (auto Each = Found->second.upper_bound(After);
       Each != Found->second.end(); ++Each) {
    if (Body["items"].size() == PageEntries_) {
      Body["hasMore"] = true;
      break;
    }
    Body["items"].append(
        objectOf(Each->first, Each->second.Revision_, Each->second.Content_));
  }
  return answerOf(200, Body);
}

HttpAnswer StandinObjects::changesSince(const std::string &Kind,
                                        std::uint64_t Since, bool &Any) const {
  const std::lock_guard Guard(Lock_);
  Json::Value Body;
  Body["events"] = Json::Value(Json::arrayValue);
  Body["at"] = Json::UInt64(Revision_);
  const bool IsUnknown = Since < Forgotten_ || Since > Revision_;
  Any = IsUnknown || Faults_.Down_ || Faults_.Busy_;
  if (IsUnknown)
    return answerOf(410);
  if (Faults_.Deaf_)
    return answerOf(200, Body);
  for (const Change &Each : Changes_) {
    if (Each.Revision_ <= Since || Each.Kind_ != Kind)
      continue;
    Json::Value Event;
    Event["deleted"] = Each.Deleted_;
    Event["object"] = objectOf(Each.Name_, Each.Revision_, Each.Content_);
    Body["events"].append(Event);
    Any = true;
  }
  return answerOf(200, Body);
}

asio::awaitable<HttpAnswer>
StandinObjects::watch(std::string Kind, std::uint64_t Since,
                      std::int64_t WaitMilliseconds) {
  asio::steady_timer Timer(Context_);
  const base::TimePoint End = base::SystemClock::monotonicNow() +
                              std::chrono::milliseconds(WaitMilliseconds);
  const auto CutsSoFar = [this] {
    const std::lock_guard Guard(Lock_);
    return WatchCuts_;
  };
  const std::size_t CutsBefore = CutsSoFar();
  while (true) {
    if (CutsSoFar() != CutsBefore) {
      HttpAnswer Lost;
      Lost.Lost_ = true;
      co_return Lost;
    }
    bool Any = false;
    HttpAnswer Answer = changesSince(Kind, Since, Any);
    if (Any || base::SystemClock::monotonicNow() >= End)
      co_return Answer;
    Timer.expires_after(WatchPace);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

HttpAnswer StandinObjects::write(const HttpRequest &Asked,
                                 const std::string &Kind, std::string Name) {
  Json::Value Written;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  const std::string &Body = Asked.Body_;
  if (Asked.Method_ != "DELETE" &&
      !Reader->parse(Body.data(), Body.data() + Body.size(), &Written, nullptr))
    return answerOf(400);
  if (Name.empty())
    Name = Written["metadata"]["name"].asString();
  const std::lock_guard Guard(Lock_);
  const bool Exists = Kinds_[Kind].contains(Name);
  if (Asked.Method_ == "POST" && Exists)
    return answerOf(409);
  if (Asked.Method_ != "POST" && !Exists)
    return answerOf(404);
  if (Asked.Method_ == "DELETE")
    erase(Kind, Name);
  else
    replace(Kind, Name, Written["spec"]);
  return answerOf(200, Written);
}

asio::awaitable<HttpAnswer> StandinObjects::answer(HttpRequest Asked) {
  HttpAnswer Answer = co_await answerCall(std::move(Asked));
  const std::lock_guard Guard(Lock_);
  ++Calls_;
  if (Era_)
    Answer.Headers_.push_back({"Store-Era", std::to_string(*Era_)});
  co_return Answer;
}

asio::awaitable<HttpAnswer> StandinObjects::answerCall(HttpRequest Asked) {
  const ObjectFaults Faults = [this] {
    const std::lock_guard Guard(Lock_);
    return Faults_;
  }();
  HttpAnswer Lost;
  Lost.Lost_ = true;
  if (Faults.Down_)
    co_return Lost;
  if (Faults.Busy_)
    co_return answerOf(503);
  const std::string_view Target = Asked.Target_;
  if (!Target.starts_with(Root))
    co_return answerOf(404);
  const std::size_t Mark = Target.find('?');
  const std::string_view Path = Target.substr(Root.size(), Mark - Root.size());
  const std::size_t Slash = std::min(Path.find('/'), Path.size());
  const auto Kind = decode(Path.substr(0, Slash), false);
  const auto Name =
      decode(Path.substr(std::min(Slash + 1, Path.size())), false);
  const auto Stated =
      queryOf(Mark == std::string_view::npos ? "" : Target.substr(Mark + 1));
  if (!Kind || !Name || !Stated)
    co_return answerOf(400);
  if (Asked.Method_ != "GET")
    co_return write(Asked, *Kind, *Name);
  Query Values = *Stated;
  if (!Values.contains("watch"))
    co_return Faults.RejectedKind_ == *Kind ? answerOf(400)
                                            : list(*Kind, Values["after"]);
  HttpAnswer Heard = co_await watch(*Kind, std::stoull(Values["watch"]),
                                    std::stoll(Values["waitMs"]));
  co_return Heard;
}

} // namespace lychee::standins
