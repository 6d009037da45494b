#include "members/Heartbeat.h"

#include "members/MessageRows.h"

namespace lychee::members {

namespace {

bool readHears(const Json::Value &Rows, Heartbeat &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isString())
      return false;
    Into.Hears_.push_back(Row.asString());
  }
  return true;
}

bool readCard(const Json::Value &Said, HostCard &Into) {
  for (const char *Name : {"host", "region", "zone", "at", "callers"})
    if (!Said[Name].isString())
      return false;
  if (!Said["start"].isUInt64())
    return false;
  Into.Host_ = base::HostId(Said["host"].asString());
  Into.Region_ = base::RegionId(Said["region"].asString());
  Into.Zone_ = base::ZoneId(Said["zone"].asString());
  Into.Address_ = Said["at"].asString();
  Into.Callers_ = Said["callers"].asString();
  Into.Start_ = Said["start"].asUInt64();
  return true;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &Said) {
  Json::Value Text;
  Text["host"] = Said.From_.Host_.name();
  Text["region"] = Said.From_.Region_.name();
  Text["zone"] = Said.From_.Zone_.name();
  Text["at"] = Said.From_.Address_;
  Text["callers"] = Said.From_.Callers_;
  Text["start"] = Json::UInt64(Said.From_.Start_);
  Text["n"] = Json::UInt64(Said.Sequence_);
  Text["ready"] = Said.Ready_;
  Text["leaving"] = Said.Leaving_;
  Text["trouble"] = Said.StoreTrouble_;
  Text["whole"] = Said.IsWhole_;
  // What is empty is left out.
  if (!Said.Demands_.empty())
    addDemands(Said.Demands_, Text["demands"]);
  if (!Said.Loads_.empty())
    addLoads(Said.Loads_, Text["loads"]);
  if (!Said.Evidence_.empty())
    addEvidence(Said.Evidence_, Text["crashes"]);
  for (const std::string &Each : Said.Hears_)
    Text["hears"].append(Each);
  return textOf(Text);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Text,
                                         base::Error &Last) {
  Last = {"heartbeat.decode", "", "not a heartbeat"};
  const std::optional<Json::Value> Object = objectOf(Text, Last);
  if (!Object)
    return std::nullopt;
  const Json::Value &Said = *Object;
  Heartbeat Read;
  Last.Reason_ = "a field is missing or of another type";
  if (!readCard(Said, Read.From_) || !Said["n"].isUInt64() ||
      !Said["ready"].isBool() || !Said["leaving"].isBool() ||
      !readDemands(Said["demands"], Read.Demands_) ||
      !readLoads(Said["loads"], Read.Loads_) ||
      !readEvidence(Said["crashes"], Read.Evidence_) ||
      !readHears(Said["hears"], Read))
    return std::nullopt;
  Read.Sequence_ = Said["n"].asUInt64();
  Read.Ready_ = Said["ready"].asBool();
  Read.Leaving_ = Said["leaving"].asBool();
  Read.IsWhole_ = Said["whole"] != Json::Value(false);
  Read.StoreTrouble_ = Said["trouble"] == Json::Value(true);
  return Read;
}

} // namespace lychee::members
