#include "operations/OperatorRpc.h"

#include <algorithm>
#include <utility>

namespace lychee::operations {

namespace {

std::int64_t unixMilliseconds(base::WallPoint Time) {
  return base::toMilliseconds(Time.time_since_epoch());
}

Json::Value encode(const settings::Problems &Found) {
  Json::Value Array = Json::arrayValue;
  for (const settings::Problem &Each : Found) {
    Json::Value Into;
    Into["file"] = Each.File_;
    Into["line"] = Each.Line_;
    Into["key"] = Each.Key_;
    Into["found"] = Each.Found_;
    Into["allowed"] = Each.Allowed_;
    Into["text"] = Each.describe();
    Array.append(Into);
  }
  return Array;
}

Json::Value encode(const std::map<std::string, std::string> &Documents) {
  Json::Value Object = Json::objectValue;
  for (const auto &[Path, Text] : Documents)
    Object[Path] = Text;
  return Object;
}

Json::Value encode(const HistoryEntry &Entry) {
  Json::Value Into;
  Into["time_ms"] = Json::Int64(unixMilliseconds(Entry.Time_));
  Into["kind"] = Entry.Kind_;
  Into["author"] = Entry.Author_;
  Into["team"] = Entry.Team_;
  Into["summary"] = Entry.Summary_;
  Into["id"] = Entry.Id_;
  Into["paths"] = toJson(Entry.Paths_);
  return Into;
}

Json::Value encode(const OperatorError &Last) {
  Json::Value Into;
  Into["status"] = std::string(nameOf(Last.Kind_));
  Into["error"]["step"] = Last.Cause_.Step_;
  Into["error"]["peer"] = Last.Cause_.Peer_;
  Into["error"]["reason"] = Last.Cause_.Reason_;
  Into["problems"] = encode(Last.Problems_);
  if (Last.Kind_ != Failure::Conflict)
    return Into;
  Into["overtaking"] = Json::arrayValue;
  for (const settings::SettingsChange &Each : Last.Overtaking_)
    Into["overtaking"].append(encode(toEntry(Each)));
  Into["present_version"] = Json::UInt64(Last.PresentVersion_);
  Into["present"] = encode(Last.Present_);
  return Into;
}

Json::Value done() {
  Json::Value Into;
  Into["status"] = std::string(nameOf(Failure::None));
  return Into;
}

Json::Value encode(const std::optional<Accepted> &Made,
                   const OperatorError &Last) {
  if (!Made)
    return encode(Last);
  Json::Value Into = done();
  Into["version"] = Json::UInt64(Made->Version_);
  Into["changed"] = Made->Changed_;
  return Into;
}

ChangeHeader headerOf(const Json::Value &From) {
  return {textOf(From, "change_id"), textOf(From, "author")};
}

ApplyRequest applyRequestOf(const Json::Value &From) {
  ApplyRequest Request;
  Request.Header_ = headerOf(From);
  Request.BaseVersion_ = numberOf(From, "base");
  for (const std::string &Team : textsOf(From, "teams"))
    Request.Teams_.emplace_back(Team);
  if (!From.isMember("documents") || !From["documents"].isObject())
    return Request;
  const Json::Value &Documents = From["documents"];
  for (auto Each = Documents.begin(); Each != Documents.end(); ++Each)
    if (Each->isString())
      Request.Documents_[Each.name()] = Each->asString();
  return Request;
}

Json::Value invalid(std::string Reason) {
  OperatorError Last;
  Last.Kind_ = Failure::Invalid;
  Last.Cause_ = {"operator.call", "", std::move(Reason)};
  return encode(Last);
}

/// A change without an id could not be told again after a lost answer.
bool lacksChangeId(const Json::Value &Parameters) {
  return textOf(Parameters, "change_id").empty();
}

} // namespace

const std::vector<OperatorRpc::Entry> &OperatorRpc::table() {
  static const std::vector<Entry> Table{
      {"operator.apply", &OperatorRpc::apply},
      {"operator.preview", &OperatorRpc::preview},
      {"operator.show", &OperatorRpc::show},
      {"operator.drain", &OperatorRpc::drain},
      {"operator.key-add", &OperatorRpc::addKey},
      {"operator.key-withdraw", &OperatorRpc::withdrawKey},
      {"operator.shift", &OperatorRpc::shift},
      {"operator.history", &OperatorRpc::history},
      {"operator.status", &OperatorRpc::status},
      {"operator.members", &OperatorRpc::members},
      {"operator.explain", &OperatorRpc::explain}};
  return Table;
}

std::vector<std::string> OperatorRpc::methods() {
  std::vector<std::string> Names;
  Names.reserve(table().size());
  for (const Entry &Each : table())
    Names.emplace_back(Each.Name_);
  return Names;
}

boost::asio::awaitable<std::string>
OperatorRpc::call(std::string Name, std::string Parameters, std::string Token,
                  base::WallPoint Now, base::TimePoint MonotonicNow) {
  const auto Match =
      std::find_if(table().begin(), table().end(),
                   [&Name](const Entry &Each) { return Each.Name_ == Name; });
  if (Match == table().end())
    co_return writeJson(invalid("no such method"));
  auto Parsed = readJson(Parameters);
  if (!Parsed || !Parsed->isObject())
    co_return writeJson(invalid("the parameters are no JSON object"));
  const Call Asked{std::move(*Parsed), std::move(Token), Now, MonotonicNow};
  const Json::Value Answered = co_await (this->*Match->Called_)(Asked);
  co_return writeJson(Answered);
}

OperatorRpc::Answer OperatorRpc::apply(const Call &Asked) {
  if (lacksChangeId(Asked.Parameters_))
    co_return invalid("change_id is absent");
  OperatorError Last;
  const auto Made = co_await Api_.apply(applyRequestOf(Asked.Parameters_),
                                        Asked.Token_, Asked.Now_, Last);
  co_return encode(Made, Last);
}

OperatorRpc::Answer OperatorRpc::preview(const Call &Asked) {
  OperatorError Last;
  const auto Told = co_await Api_.preview(applyRequestOf(Asked.Parameters_),
                                          Asked.Token_, Last);
  if (!Told)
    co_return encode(Last);
  Json::Value Into = done();
  Into["version"] = Json::UInt64(Told->Version_);
  Into["problems"] = encode(Told->Problems_);
  Into["present"] = encode(Told->Present_);
  co_return Into;
}

OperatorRpc::Answer OperatorRpc::show(const Call &Asked) {
  OperatorError Last;
  const auto Shown = co_await Api_.show(Asked.Token_, Last);
  if (!Shown)
    co_return encode(Last);
  Json::Value Into = done();
  Into["version"] = Json::UInt64(Shown->Version_);
  Into["documents"] = encode(Shown->Documents_);
  co_return Into;
}

OperatorRpc::Answer OperatorRpc::drain(const Call &Asked) {
  const Json::Value &From = Asked.Parameters_;
  const std::string Kind = textOf(From, "kind");
  if (lacksChangeId(From))
    co_return invalid("change_id is absent");
  if (Kind != "host" && Kind != "target")
    co_return invalid("kind is neither host nor target");
  DrainRequest Request;
  Request.Header_ = headerOf(From);
  Request.Kind_ =
      Kind == "host" ? DrainRequest::Kind::Host : DrainRequest::Kind::Target;
  Request.Name_ = textOf(From, "name");
  Request.Undo_ = flagOf(From, "undo");
  OperatorError Last;
  const auto Made =
      co_await Api_.drain(Request, Asked.Token_, Asked.Now_, Last);
  co_return encode(Made, Last);
}

OperatorRpc::Answer OperatorRpc::addKey(const Call &Asked) {
  const Json::Value &From = Asked.Parameters_;
  if (lacksChangeId(From))
    co_return invalid("change_id is absent");
  KeyAddRequest Request;
  Request.Header_ = headerOf(From);
  Request.Customer_ = base::CustomerId(textOf(From, "customer"));
  Request.Key_ = base::KeyId(textOf(From, "key"));
  Request.Salt_ = textOf(From, "salt");
  Request.Hash_ = textOf(From, "hash");
  OperatorError Last;
  const auto Made =
      co_await Api_.addKey(Request, Asked.Token_, Asked.Now_, Last);
  co_return encode(Made, Last);
}

OperatorRpc::Answer OperatorRpc::withdrawKey(const Call &Asked) {
  const Json::Value &From = Asked.Parameters_;
  if (lacksChangeId(From))
    co_return invalid("change_id is absent");
  const KeyWithdrawRequest Request{headerOf(From),
                                   base::KeyId(textOf(From, "key"))};
  OperatorError Last;
  const auto Made =
      co_await Api_.withdrawKey(Request, Asked.Token_, Asked.Now_, Last);
  co_return encode(Made, Last);
}

OperatorRpc::Answer OperatorRpc::shift(const Call &Asked) {
  static constexpr std::string_view Actions[] = {"start", "pause", "abort"};
  const Json::Value &From = Asked.Parameters_;
  const auto *const Match =
      std::find(std::begin(Actions), std::end(Actions), textOf(From, "action"));
  if (lacksChangeId(From))
    co_return invalid("change_id is absent");
  if (Match == std::end(Actions))
    co_return invalid("action is none of start, pause, abort");
  ShiftRequest Request;
  Request.Header_ = headerOf(From);
  Request.Action_ =
      static_cast<ShiftRequest::Action>(Match - std::begin(Actions));
  Request.Plan_ = base::PlanId(textOf(From, "plan"));
  OperatorError Last;
  const auto Made =
      co_await Api_.shift(Request, Asked.Token_, Asked.Now_, Last);
  co_return encode(Made, Last);
}

OperatorRpc::Answer OperatorRpc::history(const Call &Asked) {
  constexpr std::uint64_t DefaultLimit = 20;
  const std::uint64_t Limit = numberOf(Asked.Parameters_, "limit");
  OperatorError Last;
  const auto Told = co_await Api_.history(Limit == 0 ? DefaultLimit : Limit,
                                          Asked.Now_, Asked.Token_, Last);
  if (!Told)
    co_return encode(Last);
  Json::Value Into = done();
  Into["entries"] = Json::arrayValue;
  for (const HistoryEntry &Each : *Told)
    Into["entries"].append(encode(Each));
  co_return Into;
}

OperatorRpc::Answer OperatorRpc::status(const Call &Asked) {
  OperatorError Last;
  const auto Told = Api_.status(Asked.Token_, Asked.MonotonicNow_, Last);
  if (!Told)
    co_return encode(Last);
  Json::Value Into = done();
  Into["host"] = Told->Host_.name();
  Into["region"] = Told->Region_.name();
  Into["zone"] = Told->Zone_.name();
  Into["settings_version"] = Json::UInt64(Told->SettingsVersion_);
  Into["settings_age_ms"] =
      Json::Int64(base::toMilliseconds(Told->SettingsAge_));
  Into["lease_valid"] = Told->LeaseValid_;
  Into["stopping"] = Told->Stopping_;
  Into["in_flight"] = Json::UInt64(Told->RequestsInFlight_);
  Into["waiting"] = Json::UInt64(Told->RequestsWaiting_);
  co_return Into;
}

OperatorRpc::Answer OperatorRpc::members(const Call &Asked) {
  OperatorError Last;
  const auto Told = Api_.members(Asked.Token_, Last);
  if (!Told)
    co_return encode(Last);
  Json::Value Into = done();
  Into["members"] = Json::arrayValue;
  for (const MemberStatus &Each : *Told) {
    Json::Value Member;
    Member["host"] = Each.Host_.name();
    Member["zone"] = Each.Zone_.name();
    Member["address"] = Each.Address_;
    Member["leaving"] = Each.Leaving_;
    Into["members"].append(Member);
  }
  co_return Into;
}

OperatorRpc::Answer OperatorRpc::explain(const Call &Asked) {
  OperatorError Last;
  const base::RequestId Request(textOf(Asked.Parameters_, "request"));
  const auto Told = Api_.explain(Request, Asked.Token_, Last);
  if (!Told)
    co_return encode(Last);
  Json::Value Into = done();
  Into["lines"] = toJson(*Told);
  co_return Into;
}

} // namespace lychee::operations
