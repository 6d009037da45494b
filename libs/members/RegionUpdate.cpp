#include "members/RegionUpdate.h"

#include "members/MessageRows.h"

namespace lychee::members {

namespace {

/// A host's state in its row.
constexpr unsigned ReadyBit = 1;
constexpr unsigned LeavingBit = 2;
constexpr unsigned GoneBit = 4;
constexpr Json::ArrayIndex LineColumns = 6;

unsigned stateOf(const HostLine &Each) {
  return (Each.Ready_ ? ReadyBit : 0U) | (Each.Leaving_ ? LeavingBit : 0U) |
         (Each.Gone_ ? GoneBit : 0U);
}

Json::Value rowOf(const HostLine &Each) {
  Json::Value Row(Json::arrayValue);
  Row.append(Each.Card_.Host_.name());
  Row.append(Each.Card_.Zone_.name());
  Row.append(Each.Card_.Address_);
  Row.append(Each.Card_.CallerAddress_);
  Row.append(Json::UInt64(Each.Card_.Incarnation_));
  Row.append(stateOf(Each));
  return Row;
}

bool readHosts(const Json::Value &Rows, const base::RegionId &Region,
               std::vector<HostLine> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != LineColumns || !Row[4].isUInt64() ||
        !Row[5].isUInt())
      return false;
    for (Json::ArrayIndex Column = 0; Column < 4; ++Column)
      if (!Row[Column].isString())
        return false;
    const unsigned State = Row[5].asUInt();
    Into.push_back({{base::HostId(Row[0].asString()), Region,
                     base::ZoneId(Row[1].asString()), Row[2].asString(),
                     Row[3].asString(), Row[4].asUInt64()},
                    (State & ReadyBit) != 0,
                    (State & LeavingBit) != 0,
                    (State & GoneBit) != 0});
  }
  return true;
}

} // namespace

std::string encodeRegionNews(const RegionUpdate &Said) {
  Json::Value Text;
  Text["region"] = Said.Region_.name();
  Text["speaker"] = Said.Speaker_.name();
  Text["start"] = Json::UInt64(Said.Start_);
  Text["n"] = Json::UInt64(Said.Sequence_);
  for (const HostLine &Each : Said.Summary_.Hosts_)
    Text["hosts"].append(rowOf(Each));
  if (!Said.Summary_.Demands_.empty())
    addDemands(Said.Summary_.Demands_, Text["demands"]);
  if (!Said.Summary_.Loads_.empty())
    addLoads(Said.Summary_.Loads_, Text["loads"]);
  if (!Said.Summary_.Evidence_.empty())
    addEvidence(Said.Summary_.Evidence_, Text["crashes"]);
  return textOf(Text);
}

std::optional<RegionUpdate> decodeRegionNews(std::string_view Text,
                                             base::Error &Last) {
  Last = {"region-news.decode", "", ""};
  const std::optional<Json::Value> Object = objectOf(Text, Last);
  if (!Object)
    return std::nullopt;
  const Json::Value &Said = *Object;
  Last.Reason_ = "a field is missing or of another type";
  if (!Said["region"].isString() || !Said["speaker"].isString() ||
      !Said["start"].isUInt64() || !Said["n"].isUInt64())
    return std::nullopt;
  RegionUpdate Read;
  Read.Region_ = base::RegionId(Said["region"].asString());
  Read.Speaker_ = base::HostId(Said["speaker"].asString());
  Read.Start_ = Said["start"].asUInt64();
  Read.Sequence_ = Said["n"].asUInt64();
  if (!readHosts(Said["hosts"], Read.Region_, Read.Summary_.Hosts_) ||
      !readDemands(Said["demands"], Read.Summary_.Demands_) ||
      !readLoads(Said["loads"], Read.Summary_.Loads_) ||
      !readEvidence(Said["crashes"], Read.Summary_.Evidence_))
    return std::nullopt;
  return Read;
}

} // namespace lychee::members
