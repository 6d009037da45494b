#include "relaying/RelayMessages.h"

#include "base/JsonText.h"

#include <json/json.h>

namespace lychee::relaying {

using live::ObjectUpdate;
using live::StoredObject;

namespace {

std::string writeJson(const Json::Value &Document) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Document);
}

std::optional<Json::Value> parse(std::string_view Text, const char *Step,
                                 base::Error &Last) {
  std::string Why;
  auto Document = base::parseJsonObject(Text, Why);
  if (!Document)
    Last = {Step, "host", Why};
  return Document;
}

/// Elements of an object's row; a restored object has one more.
constexpr Json::ArrayIndex RowSize = 5;
constexpr Json::ArrayIndex RestoredRowSize = 6;

/// The last element of a restored object's row is the hash of the content that
/// is left out, or null. The content is moved from.
Json::Value encodeObject(StoredObject &Object) {
  Json::Value Row(Json::arrayValue);
  Row.append(Object.Name_);
  Row.append(Json::UInt64(Object.Revision_.Number_));
  Row.append(Object.Deleted_);
  Row.append(Object.Deleted_ ? Json::Value() : std::move(Object.Content_));
  Row.append(Json::UInt64(Object.Revision_.Era_));
  if (Object.Restored_)
    Row.append(Object.ContentHash_
                   ? Json::Value(Json::UInt64(*Object.ContentHash_))
                   : Json::Value());
  return Row;
}

/// \param Row  whose content is moved from.
std::optional<StoredObject> decodeObject(Json::Value &Row) {
  if (!Row.isArray() || Row.size() < RowSize || Row.size() > RestoredRowSize ||
      !Row[0].isString() || !Row[1].isUInt64() || !Row[2].isBool() ||
      !Row[4].isUInt64())
    return std::nullopt;
  const std::size_t Bytes = live::parsedBytes(Row[3]);
  StoredObject Object{Row[0].asString(),
                      {Row[1].asUInt64(), Row[4].asUInt64()},
                      std::move(Row[3]),
                      Row[2].asBool(),
                      Bytes};
  Object.Restored_ = Row.size() == RestoredRowSize;
  if (Object.Restored_ && Row[5].isUInt64())
    Object.ContentHash_ = Row[5].asUInt64();
  return Object;
}

Json::Value encodeRevision(const live::StoreRevision &Revision) {
  Json::Value Pair(Json::arrayValue);
  Pair.append(Json::UInt64(Revision.Era_));
  Pair.append(Json::UInt64(Revision.Number_));
  return Pair;
}

std::optional<live::StoreRevision> decodeRevision(const Json::Value &Pair) {
  if (!Pair.isArray() || Pair.size() != 2 || !Pair[0].isUInt64() ||
      !Pair[1].isUInt64())
    return std::nullopt;
  return live::StoreRevision(Pair[1].asUInt64(), Pair[0].asUInt64());
}

/// \param Update  whose contents are moved from.
Json::Value encodeUpdate(ObjectUpdate &Update) {
  Json::Value Document;
  Document["at"] = encodeRevision(Update.Changes_.Revision_);
  Document["newest"] = encodeRevision(Update.NewestRevision_);
  if (Update.MustRelist_)
    Document["list"] = true;
  if (Update.Age_)
    Document["age"] = Json::Int64(base::toMilliseconds(*Update.Age_));
  for (StoredObject &Object : Update.Changes_.Objects_)
    Document["objects"].append(encodeObject(Object));
  return Document;
}

/// \param Document  whose contents are moved from.
std::optional<ObjectUpdate> decodeUpdate(const std::string &Kind,
                                         Json::Value &Document) {
  ObjectUpdate Result;
  Result.Kind_ = Kind;
  if (!Document.isObject())
    return std::nullopt;
  const auto Revision = decodeRevision(Document["at"]);
  const auto Newest = decodeRevision(Document["newest"]);
  if (!Revision || !Newest)
    return std::nullopt;
  Result.Changes_.Revision_ = *Revision;
  Result.NewestRevision_ = *Newest;
  Result.MustRelist_ = Document["list"] == Json::Value(true);
  // Rounded up, so that an update never appears more recent than it is.
  if (Document["age"].isInt64())
    Result.Age_ = std::chrono::milliseconds(Document["age"].asInt64() + 1);
  for (Json::Value &Row : Document["objects"]) {
    auto Object = decodeObject(Row);
    if (!Object)
      return std::nullopt;
    Result.Changes_.Objects_.push_back(std::move(*Object));
  }
  return Result;
}

} // namespace

std::string encodeRequest(const RelayRequest &Request) {
  Json::Value Document;
  if (Request.StoreUnavailable_)
    Document["refused"] = true;
  for (const auto &[Kind, Revision] : Request.Known_)
    Document["known"][Kind] = encodeRevision(Revision);
  return writeJson(Document);
}

std::string encodeResponse(RelayResponse Response) {
  Json::Value Document;
  Document["sound"] = Response.IsSynced_;
  if (Response.ContactAge_)
    Document["contact"] =
        Json::Int64(base::toMilliseconds(*Response.ContactAge_));
  if (Response.TroubleAge_)
    Document["trouble"] =
        Json::Int64(base::toMilliseconds(*Response.TroubleAge_));
  for (ObjectUpdate &Update : Response.Updates_)
    Document["news"][Update.Kind_] = encodeUpdate(Update);
  return writeJson(Document);
}

std::optional<RelayRequest> decodeRequest(std::string_view Text,
                                          base::Error &Last) {
  const auto Document = parse(Text, "relay.question", Last);
  if (!Document)
    return std::nullopt;
  RelayRequest Result;
  const Json::Value &Known = (*Document)["known"];
  if (!Known.isObject()) {
    Last = {"relay.question", "host", "known is missing or no object"};
    return std::nullopt;
  }
  Result.StoreUnavailable_ = (*Document)["refused"] == Json::Value(true);
  for (const std::string &Kind : Known.getMemberNames())
    if (const auto Revision = decodeRevision(Known[Kind]))
      Result.Known_[Kind] = *Revision;
  return Result;
}

std::optional<RelayResponse> decodeResponse(std::string_view Text,
                                            base::Error &Last) {
  auto Document = parse(Text, "relay.answer", Last);
  if (!Document)
    return std::nullopt;
  Last = {"relay.answer", "host", "a field is missing or of another type"};
  Json::Value &Updates = (*Document)["news"];
  if (!(*Document)["sound"].isBool() ||
      !(Updates.isObject() || Updates.isNull()))
    return std::nullopt;
  RelayResponse Result;
  Result.IsSynced_ = (*Document)["sound"].asBool();
  // Rounded up for the same reason as the age of an update.
  if ((*Document)["contact"].isInt64())
    Result.ContactAge_ =
        std::chrono::milliseconds((*Document)["contact"].asInt64() + 1);
  if ((*Document)["trouble"].isInt64())
    Result.TroubleAge_ =
        std::chrono::milliseconds((*Document)["trouble"].asInt64());
  for (const std::string &Kind : Updates.getMemberNames()) {
    auto Update = decodeUpdate(Kind, Updates[Kind]);
    if (!Update)
      return std::nullopt;
    Result.Updates_.push_back(std::move(*Update));
  }
  return Result;
}

} // namespace lychee::relaying
