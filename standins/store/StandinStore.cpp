#include "store/StandinStore.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <chrono>
#include <json/json.h>
#include <memory>
#include <optional>

namespace lychee::standins {

namespace asio = boost::asio;
using transport::HttpAnswer;
using transport::HttpRequest;

namespace {

constexpr std::size_t ValueLimitBytes = 1 << 20;
/// Between two looks of a waiting watch; far below what a watcher can tell.
constexpr std::uint64_t WatchPollMilliseconds = 5;
/// A silent watch is given up on after this, to bound what a test leaves open.
constexpr std::uint64_t SilentWatchMilliseconds = 600'000;

std::uint64_t parseNumber(std::string_view Text) noexcept {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// \returns the number behind "NAME=" in the query; nothing where absent.
std::optional<std::uint64_t> queryNumber(std::string_view Query,
                                         std::string_view Name) {
  const std::string Begin = std::string(Name) + "=";
  const std::size_t At = Query.find(Begin);
  if (At == std::string_view::npos)
    return std::nullopt;
  return parseNumber(Query.substr(At + Begin.size()));
}

std::string quoted(std::uint64_t Version) {
  return '"' + std::to_string(Version) + '"';
}

HttpAnswer withStatus(unsigned Status, std::uint64_t Version = 0) {
  HttpAnswer Answer;
  Answer.Status_ = Status;
  if (Version != 0)
    Answer.Headers_.push_back({"ETag", quoted(Version)});
  return Answer;
}

HttpAnswer withJson(const Json::Value &Document) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  HttpAnswer Answer;
  Answer.Headers_.push_back({"Content-Type", "application/json"});
  Answer.Body_ = Json::writeString(Builder, Document);
  return Answer;
}

/// \returns the version a write asks for; nothing where it names none.
std::optional<std::uint64_t> expectedVersion(const HttpRequest &Request) {
  if (Request.header("If-None-Match") == "*")
    return 0;
  std::string_view Tag = Request.header("If-Match");
  if (Tag.size() < 2 || Tag.front() != '"')
    return std::nullopt;
  return parseNumber(Tag.substr(1, Tag.size() - 2));
}

std::optional<StoreFaults> parseFaults(const std::string &Body) {
  Json::Value Document;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Body.data(), Body.data() + Body.size(), &Document,
                     nullptr) ||
      !Document.isObject())
    return std::nullopt;
  StoreFaults Faults;
  Faults.SlowMilliseconds_ = Document.get("slow_ms", 0).asUInt64();
  Faults.Down_ = Document.get("down", false).asBool();
  Faults.LoseAnswers_ = Document.get("lose_answers", 0).asUInt64();
  Faults.StaleWatch_ = Document.get("stale_watch", false).asBool();
  Faults.SilentWatch_ = Document.get("silent_watch", false).asBool();
  for (const Json::Value &Host : Document["cut"])
    Faults.Cut_.insert(Host.asString());
  return Faults;
}

} // namespace

StandinStore::StandinStore(asio::any_io_executor Executor,
                           transport::HttpServerOptions Options)
    : Executor_(std::move(Executor)),
      Server_(Executor_, std::move(Options), [this](HttpRequest Request) {
        return answer(std::move(Request));
      }) {}

void StandinStore::setFaults(StoreFaults Faults) {
  const std::lock_guard Guard(Lock_);
  Faults_ = std::move(Faults);
}

StoreFaults StandinStore::faults() const {
  const std::lock_guard Guard(Lock_);
  return Faults_;
}

std::map<std::string, std::uint64_t> StandinStore::counts() const {
  const std::lock_guard Guard(Lock_);
  return Counts_;
}

void StandinStore::count(const std::string &Kind) {
  const std::lock_guard Guard(Lock_);
  ++Counts_[Kind];
}

asio::awaitable<HttpAnswer> StandinStore::answer(HttpRequest Request) {
  constexpr std::string_view Objects = "/objects/";
  constexpr std::string_view Listing = "/list/";
  const std::string_view Target = Request.Target_;
  if (Target.starts_with("/control/"))
    co_return control(Request);
  const StoreFaults Faults = faults();
  if (Faults.Down_ ||
      Faults.Cut_.contains(std::string(Request.header("Lychee-Host")))) {
    count("refused");
    HttpAnswer None;
    None.Lost_ = true;
    co_return None;
  }
  co_await pause(Faults.SlowMilliseconds_);
  if (Target.starts_with(Listing)) {
    count("list");
    co_return list(Target.substr(Listing.size()));
  }
  if (!Target.starts_with(Objects))
    co_return withStatus(404);
  const std::string_view Rest = Target.substr(Objects.size());
  const std::size_t Question = std::min(Rest.find('?'), Rest.size());
  std::string Path(Rest.substr(0, Question));
  const std::string_view Query = Rest.substr(Question);
  if (Request.Method_ == "PUT") {
    count("put");
    co_return put(Path, Request);
  }
  if (Request.Method_ != "GET")
    co_return withStatus(405);
  const auto Known = queryNumber(Query, "known");
  if (!Known) {
    count("get");
    co_return get(Path);
  }
  count("watch");
  const std::uint64_t Wait = queryNumber(Query, "wait_ms").value_or(0);
  co_return co_await watch(std::move(Path), *Known, Wait);
}

asio::awaitable<void> StandinStore::pause(std::uint64_t Milliseconds) const {
  if (Milliseconds == 0)
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::milliseconds(Milliseconds));
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<HttpAnswer>
StandinStore::watch(std::string Path, std::uint64_t Known,
                    std::uint64_t WaitMilliseconds) {
  const auto End = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(WaitMilliseconds);
  while (versionOf(Path) <= Known && std::chrono::steady_clock::now() < End) {
    if (faults().Down_) {
      HttpAnswer None;
      None.Lost_ = true;
      co_return None;
    }
    co_await pause(WatchPollMilliseconds);
  }
  const StoreFaults Faults = faults();
  if (Faults.SilentWatch_)
    co_await pause(SilentWatchMilliseconds);
  co_return Faults.StaleWatch_ ? getPrevious(Path) : get(Path);
}

std::uint64_t StandinStore::versionOf(const std::string &Path) const {
  const std::lock_guard Guard(Lock_);
  const auto Found = Entries_.find(Path);
  return Found == Entries_.end() ? 0 : Found->second.Version_;
}

HttpAnswer StandinStore::get(const std::string &Path) const {
  const std::lock_guard Guard(Lock_);
  const auto Found = Entries_.find(Path);
  if (Found == Entries_.end())
    return withStatus(404);
  HttpAnswer Answer = withStatus(200, Found->second.Version_);
  Answer.Body_ = Found->second.Value_;
  return Answer;
}

HttpAnswer StandinStore::getPrevious(const std::string &Path) const {
  const std::lock_guard Guard(Lock_);
  const auto Found = Entries_.find(Path);
  if (Found == Entries_.end() || Found->second.Version_ < 2)
    return withStatus(404);
  HttpAnswer Answer = withStatus(200, Found->second.Version_ - 1);
  Answer.Body_ = Found->second.Previous_;
  return Answer;
}

HttpAnswer StandinStore::put(const std::string &Path,
                             const HttpRequest &Request) {
  const auto Expected = expectedVersion(Request);
  if (!Expected)
    return withStatus(428);
  if (Request.Body_.size() > ValueLimitBytes)
    return withStatus(413);
  const std::lock_guard Guard(Lock_);
  Entry &Written = Entries_[Path];
  if (Written.Version_ != *Expected)
    return withStatus(412, Written.Version_);
  Written.Previous_ = std::move(Written.Value_);
  Written.Value_ = Request.Body_;
  ++Written.Version_;
  HttpAnswer Answer = withStatus(200, Written.Version_);
  if (Faults_.LoseAnswers_ > 0) {
    --Faults_.LoseAnswers_;
    Answer.Lost_ = true;
  }
  return Answer;
}

HttpAnswer StandinStore::list(std::string_view Prefix) const {
  Json::Value Document;
  Document["objects"] = Json::Value(Json::arrayValue);
  const std::lock_guard Guard(Lock_);
  for (auto Each = Entries_.lower_bound(Prefix);
       Each != Entries_.end() && Each->first.starts_with(Prefix); ++Each) {
    if (Each->second.Version_ == 0)
      continue;
    Json::Value Found;
    Found["path"] = Each->first;
    Found["version"] = Json::UInt64(Each->second.Version_);
    Document["objects"].append(Found);
  }
  return withJson(Document);
}

HttpAnswer StandinStore::countsAnswer() const {
  Json::Value Document(Json::objectValue);
  for (const auto &[Kind, Number] : counts())
    Document[Kind] = Json::UInt64(Number);
  return withJson(Document);
}

HttpAnswer StandinStore::control(const HttpRequest &Request) {
  if (Request.Target_ == "/control/counts")
    return countsAnswer();
  if (Request.Target_ != "/control/faults" || Request.Method_ != "POST")
    return withStatus(404);
  std::optional<StoreFaults> Faults = parseFaults(Request.Body_);
  if (!Faults)
    return withStatus(400);
  setFaults(std::move(*Faults));
  return withStatus(204);
}

} // namespace lychee::standins
