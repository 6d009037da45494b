#include "relaying/RelayMessages.h"

#include <json/json.h>
#include <memory>

namespace lychee::relaying {

using live::ObjectUpdate;
using live::StoredObject;

namespace {

std::string textOf(const Json::Value &Document) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Document);
}

std::optional<Json::Value> parse(std::string_view Text, const char *Step,
                                 base::Error &Last) {
  Json::Value Document;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  std::string Why;
  if (Reader->parse(Text.data(), Text.data() + Text.size(), &Document, &Why) &&
      Document.isObject())
    return Document;
  Last = {Step, "host", Why.empty() ? "no JSON object" : Why};
  return std::nullopt;
}

Json::Value rowOf(const StoredObject &Each) {
  Json::Value Row(Json::arrayValue);
  Row.append(Each.Name_);
  Row.append(Json::UInt64(Each.Revision_));
  Row.append(Each.Deleted_);
  Row.append(Each.Deleted_ ? Json::Value() : Each.Content_);
  return Row;
}

std::optional<StoredObject> readRow(const Json::Value &Row) {
  if (!Row.isArray() || Row.size() != 4 || !Row[0].isString() ||
      !Row[1].isUInt64() || !Row[2].isBool())
    return std::nullopt;
  return StoredObject{Row[0].asString(), Row[1].asUInt64(), Row[3],
                      Row[2].asBool(), live::parsedBytes(Row[3])};
}

Json::Value newsOf(const ObjectUpdate &Each) {
  Json::Value Told;
  Told["at"] = Json::UInt64(Each.Changes_.Revision_);
  Told["newest"] = Json::UInt64(Each.Newest_);
  if (Each.MustList_)
    Told["list"] = true;
  if (Each.Age_)
    Told["age"] = Json::Int64(base::toMilliseconds(*Each.Age_));
  for (const StoredObject &Object : Each.Changes_.Objects_)
    Told["objects"].append(rowOf(Object));
  return Told;
}

std::optional<ObjectUpdate> readNews(const std::string &Kind,
                                     const Json::Value &Told) {
  ObjectUpdate Read;
  Read.Kind_ = Kind;
  if (!Told.isObject() || !Told["at"].isUInt64() || !Told["newest"].isUInt64())
    return std::nullopt;
  Read.Changes_.Revision_ = Told["at"].asUInt64();
  Read.Newest_ = Told["newest"].asUInt64();
  Read.MustList_ = Told["list"] == Json::Value(true);
  // Rounded up: what is told must not seem fresher than it is.
  if (Told["age"].isInt64())
    Read.Age_ = std::chrono::milliseconds(Told["age"].asInt64() + 1);
  for (const Json::Value &Row : Told["objects"]) {
    const auto Object = readRow(Row);
    if (!Object)
      return std::nullopt;
    Read.Changes_.Objects_.push_back(*Object);
  }
  return Read;
}

} // namespace

std::string encodeQuestion(const RelayRequest &Asked) {
  Json::Value Text;
  if (Asked.StoreUnavailable_)
    Text["refused"] = true;
  for (const auto &[Kind, Revision] : Asked.Known_)
    Text["known"][Kind] = Json::UInt64(Revision);
  return textOf(Text);
}

std::string encodeAnswer(const RelayResponse &Told) {
  Json::Value Text;
  Text["sound"] = Told.IsSynced_;
  if (Told.ContactAge_)
    Text["contact"] = Json::Int64(base::toMilliseconds(*Told.ContactAge_));
  if (Told.TroubleAge_)
    Text["trouble"] = Json::Int64(base::toMilliseconds(*Told.TroubleAge_));
  for (const ObjectUpdate &Each : Told.Updates_)
    Text["news"][Each.Kind_] = newsOf(Each);
  return textOf(Text);
}

std::optional<RelayRequest> decodeQuestion(std::string_view Text,
                                           base::Error &Last) {
  const auto Document = parse(Text, "relay.question", Last);
  if (!Document)
    return std::nullopt;
  RelayRequest Read;
  const Json::Value &Known = (*Document)["known"];
  if (!Known.isObject()) {
    Last = {"relay.question", "host", "known is missing or no object"};
    return std::nullopt;
  }
  Read.StoreUnavailable_ = (*Document)["refused"] == Json::Value(true);
  for (const std::string &Kind : Known.getMemberNames())
    if (Known[Kind].isUInt64())
      Read.Known_[Kind] = Known[Kind].asUInt64();
  return Read;
}

std::optional<RelayResponse> decodeAnswer(std::string_view Text,
                                          base::Error &Last) {
  const auto Document = parse(Text, "relay.answer", Last);
  if (!Document)
    return std::nullopt;
  Last = {"relay.answer", "host", "a field is missing or of another type"};
  const Json::Value &News = (*Document)["news"];
  if (!(*Document)["sound"].isBool() || !(News.isObject() || News.isNull()))
    return std::nullopt;
  RelayResponse Read;
  Read.IsSynced_ = (*Document)["sound"].asBool();
  // Rounded up, as the age of news.
  if ((*Document)["contact"].isInt64())
    Read.ContactAge_ =
        std::chrono::milliseconds((*Document)["contact"].asInt64() + 1);
  if ((*Document)["trouble"].isInt64())
    Read.TroubleAge_ =
        std::chrono::milliseconds((*Document)["trouble"].asInt64());
  for (const std::string &Kind : News.getMemberNames()) {
    auto Each = readNews(Kind, News[Kind]);
    if (!Each)
      return std::nullopt;
    Read.Updates_.push_back(std::move(*Each));
  }
  return Read;
}

} // namespace lychee::relaying
