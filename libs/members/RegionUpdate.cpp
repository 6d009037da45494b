#include "members/RegionUpdate.h"

#include "members/MessageRows.h"

namespace lychee::members {

namespace {

/// Bits of a host's state in its row.
constexpr unsigned ReadyBit = 1;
constexpr unsigned LeavingBit = 2;
constexpr unsigned GoneBit = 4;
constexpr unsigned TargetsUnreachedBit = 8;
constexpr Json::ArrayIndex HostColumns = 6;

unsigned stateBits(const HostStatus &Host) {
  return (Host.Ready_ ? ReadyBit : 0U) | (Host.Leaving_ ? LeavingBit : 0U) |
         (Host.Gone_ ? GoneBit : 0U) |
         (Host.TargetsUnreached_ ? TargetsUnreachedBit : 0U);
}

Json::Value encodeHost(const HostStatus &Host) {
  Json::Value Row(Json::arrayValue);
  Row.append(Host.Descriptor_.Host_.name());
  Row.append(Host.Descriptor_.Zone_.name());
  Row.append(Host.Descriptor_.Address_);
  Row.append(Host.Descriptor_.CallerAddress_);
  Row.append(Json::UInt64(Host.Descriptor_.Incarnation_));
  Row.append(stateBits(Host));
  return Row;
}

bool readHosts(const Json::Value &Rows, const base::RegionId &Region,
               std::vector<HostStatus> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != HostColumns || !Row[4].isUInt64() ||
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
                    (State & GoneBit) != 0,
                    (State & TargetsUnreachedBit) != 0});
  }
  return true;
}

} // namespace

std::string encodeRegionUpdate(const RegionUpdate &Update) {
  Json::Value Document;
  Document["region"] = Update.Region_.name();
  Document["speaker"] = Update.Representative_.name();
  Document["start"] = Json::UInt64(Update.Incarnation_);
  Document["n"] = Json::UInt64(Update.Sequence_);
  for (const HostStatus &Host : Update.Summary_.Hosts_)
    Document["hosts"].append(encodeHost(Host));
  if (!Update.Summary_.Demands_.empty())
    addDemands(Update.Summary_.Demands_, Document["demands"]);
  if (!Update.Summary_.Loads_.empty())
    addLoads(Update.Summary_.Loads_, Document["loads"]);
  if (!Update.Summary_.Evidence_.empty())
    addEvidence(Update.Summary_.Evidence_, Document["crashes"]);
  if (!Update.Summary_.TargetRates_.empty())
    addTargetRates(Update.Summary_.TargetRates_, Document["rates"]);
  if (!Update.Summary_.TargetLeavings_.empty())
    addTargetLeavings(Update.Summary_.TargetLeavings_, Document["leavings"]);
  return writeJson(Document);
}

std::optional<RegionUpdate> decodeRegionUpdate(std::string_view Text,
                                               base::Error &Last) {
  Last = {"region-news.decode", "", ""};
  const std::optional<Json::Value> Object = parseObject(Text, Last);
  if (!Object)
    return std::nullopt;
  const Json::Value &Document = *Object;
  Last.Reason_ = "a field is missing or of another type";
  if (!Document["region"].isString() || !Document["speaker"].isString() ||
      !Document["start"].isUInt64() || !Document["n"].isUInt64())
    return std::nullopt;
  RegionUpdate Result;
  Result.Region_ = base::RegionId(Document["region"].asString());
  Result.Representative_ = base::HostId(Document["speaker"].asString());
  Result.Incarnation_ = Document["start"].asUInt64();
  Result.Sequence_ = Document["n"].asUInt64();
  if (!readHosts(Document["hosts"], Result.Region_, Result.Summary_.Hosts_) ||
      !readDemands(Document["demands"], Result.Summary_.Demands_) ||
      !readLoads(Document["loads"], Result.Summary_.Loads_) ||
      !readEvidence(Document["crashes"], Result.Summary_.Evidence_) ||
      !readTargetRates(Document["rates"], Result.Summary_.TargetRates_) ||
      !readTargetLeavings(Document["leavings"],
                          Result.Summary_.TargetLeavings_))
    return std::nullopt;
  return Result;
}

} // namespace lychee::members
