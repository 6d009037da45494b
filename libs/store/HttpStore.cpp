#include "store/HttpStore.h"

#include "base/JsonText.h"

#include <charconv>
#include <json/json.h>

namespace lychee::store {

namespace asio = boost::asio;
using transport::HttpAnswer;
using transport::HttpRequest;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned FirstServerFailure = 500;

/// \returns the version in an ETag such as "17", quotes and all; 0 for none.
std::uint64_t parseVersion(std::string_view Tag) noexcept {
  if (Tag.size() < 2 || Tag.front() != '"' || Tag.back() != '"')
    return 0;
  Tag = Tag.substr(1, Tag.size() - 2);
  std::uint64_t Version = 0;
  std::from_chars(Tag.data(), Tag.data() + Tag.size(), Version);
  return Version;
}

std::string quoted(std::uint64_t Version) {
  return '"' + std::to_string(Version) + '"';
}

std::string statusReason(const HttpAnswer &Answer) {
  return "status " + std::to_string(Answer.Status_);
}

std::optional<std::vector<Object>> parseListing(const HttpAnswer &Answer,
                                                const std::string &Peer,
                                                base::Error &Last) {
  Last = {"store.list", Peer, statusReason(Answer)};
  if (Answer.Status_ != StatusOk)
    return std::nullopt;
  std::string Why;
  const auto Parsed = base::parseJsonObject(Answer.Body_, Why);
  if (!Parsed || !(*Parsed)["objects"].isArray())
    return std::nullopt;
  const Json::Value &Document = *Parsed;
  std::vector<Object> Found;
  for (const Json::Value &Entry : Document["objects"]) {
    if (!Entry.isObject() || !Entry["path"].isString() ||
        !Entry["version"].isUInt64())
      return std::nullopt;
    Found.push_back(
        {Entry["path"].asString(), "", Entry["version"].asUInt64()});
  }
  return Found;
}

} // namespace

HttpStore::HttpStore(const asio::any_io_executor &Executor,
                     const HttpStoreOptions &Options)
    : Options_(Options), Client_(Executor, {.Address_ = Options.Address_,
                                            .Port_ = Options.Port_,
                                            .Traffic_ = Options.Traffic_}) {}

asio::awaitable<std::optional<Object>> HttpStore::get(std::string_view Path,
                                                      base::Error &Last) {
  return read(std::string(Path), "", Options_.Timeout_, "store.get", Last);
}

asio::awaitable<std::optional<Object>> HttpStore::watch(std::string_view Path,
                                                        std::uint64_t Known,
                                                        base::Duration Wait,
                                                        base::Error &Last) {
  std::string Query = "?known=" + std::to_string(Known) +
                      "&wait_ms=" + std::to_string(base::toMilliseconds(Wait));
  return read(std::string(Path), std::move(Query), Wait + Options_.Timeout_,
              "store.watch", Last);
}

asio::awaitable<std::optional<Object>>
HttpStore::read(std::string Path, std::string Query, base::Duration Timeout,
                std::string_view Step, base::Error &Last) {
  HttpRequest Request;
  Request.Target_ = "/objects/" + Path + Query;
  bool Sent = false;
  std::optional<HttpAnswer> Answer =
      co_await send(std::move(Request), Timeout, Step, Sent, Last);
  if (!Answer)
    co_return std::nullopt;
  if (Answer->Status_ == StatusNotFound)
    co_return Object{std::move(Path), "", 0};
  const std::uint64_t Version = parseVersion(Answer->header("ETag"));
  if (Answer->Status_ != StatusOk || Version == 0) {
    Last = {std::string(Step), Client_.peer(), statusReason(*Answer)};
    co_return std::nullopt;
  }
  co_return Object{std::move(Path), std::move(Answer->Body_), Version};
}

asio::awaitable<PutResult> HttpStore::put(std::string_view Path,
                                          std::string_view Value,
                                          std::uint64_t Expected,
                                          base::Error &Last) {
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/objects/" + std::string(Path);
  if (Expected == 0)
    Request.Headers_.push_back({"If-None-Match", "*"});
  else
    Request.Headers_.push_back({"If-Match", quoted(Expected)});
  Request.Body_ = std::string(Value);
  bool Sent = false;
  const std::optional<HttpAnswer> Answer = co_await send(
      std::move(Request), Options_.Timeout_, "store.put", Sent, Last);
  if (!Answer)
    co_return PutResult{Sent ? PutStatus::Unknown : PutStatus::Failed, 0};
  const std::uint64_t Version = parseVersion(Answer->header("ETag"));
  if (Answer->Status_ == StatusOk && Version != 0)
    co_return PutResult{PutStatus::Written, Version};
  Last = {"store.put", Client_.peer(), statusReason(*Answer)};
  if (Answer->Status_ == StatusPreconditionFailed)
    co_return PutResult{PutStatus::Conflict, Version};
  // A server that failed inside may have written before it failed.
  const bool MayBeWritten =
      Answer->Status_ >= FirstServerFailure || Answer->Status_ == StatusOk;
  co_return PutResult{MayBeWritten ? PutStatus::Unknown : PutStatus::Failed, 0};
}

asio::awaitable<std::optional<std::vector<Object>>>
HttpStore::list(std::string_view Prefix, base::Error &Last) {
  HttpRequest Request;
  Request.Target_ = "/list/" + std::string(Prefix);
  bool Sent = false;
  const std::optional<HttpAnswer> Answer = co_await send(
      std::move(Request), Options_.Timeout_, "store.list", Sent, Last);
  co_return Answer ? parseListing(*Answer, Client_.peer(), Last) : std::nullopt;
}

asio::awaitable<std::optional<HttpAnswer>>
HttpStore::send(HttpRequest Request, base::Duration Timeout,
                std::string_view Step, bool &Sent, base::Error &Last) {
  Request.Headers_.push_back({"Lychee-Host", Options_.Host_});
  return Client_.exchange(std::move(Request), Timeout, Step, Sent, Last);
}

} // namespace lychee::store
