#include "members/Heartbeat.h"

#include <json/json.h>
#include <memory>

namespace lychee::members {

namespace {

/// Rates are told in hundredths: enough for shares, and short.
constexpr double Hundredths = 100;

Json::Value evidenceOf(const retrying::CrashEvidence &Seen) {
  Json::Value Row(Json::arrayValue);
  Row.append(Json::UInt64(Seen.Fingerprint_));
  Row.append(Json::UInt64(Seen.Target_));
  Row.append(Json::Int64(base::toMilliseconds(Seen.Age_)));
  return Row;
}

bool readDemands(const Json::Value &Rows, Heartbeat &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 2 || !Row[0].isString() ||
        !Row[1].isInt64())
      return false;
    Into.Demands_.push_back({base::CustomerId(Row[0].asString()),
                             double(Row[1].asInt64()) / Hundredths});
  }
  return true;
}

bool readLoads(const Json::Value &Rows, Heartbeat &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 3 || !Row[0].isString() ||
        !Row[1].isInt64() || !Row[2].isString())
      return false;
    Into.Loads_.push_back({base::ServiceId(Row[0].asString()),
                           double(Row[1].asInt64()) / Hundredths,
                           base::RegionId(Row[2].asString())});
  }
  return true;
}

Json::Value hundredthsOf(const std::string &Name, double Amount) {
  Json::Value Row(Json::arrayValue);
  Row.append(Name);
  Row.append(Json::Int64(Amount * Hundredths));
  return Row;
}

bool readEvidence(const Json::Value &Rows, Heartbeat &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 3 || !Row[0].isUInt64() ||
        !Row[1].isUInt64() || !Row[2].isInt64())
      return false;
    Into.Evidence_.push_back({Row[0].asUInt64(), Row[1].asUInt64(),
                              std::chrono::milliseconds(Row[2].asInt64())});
  }
  return true;
}

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
  for (const CustomerDemand &Each : Said.Demands_)
    Text["demands"].append(
        hundredthsOf(Each.Customer_.name(), Each.RequestsPerSecond_));
  for (const ServiceDemand &Each : Said.Loads_) {
    Json::Value Row = hundredthsOf(Each.Service_.name(), Each.Slots_);
    Row.append(Each.BoundTo_.name());
    Text["loads"].append(Row);
  }
  for (const retrying::CrashEvidence &Each : Said.Evidence_)
    Text["crashes"].append(evidenceOf(Each));
  for (const std::string &Each : Said.Hears_)
    Text["hears"].append(Each);
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Text);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Text,
                                         base::Error &Last) {
  Last = {"heartbeat.decode", "", "not a heartbeat"};
  Json::Value Said;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Said,
                     &Last.Reason_) ||
      !Said.isObject()) {
    if (Last.Reason_.empty())
      Last.Reason_ = "no JSON object";
    return std::nullopt;
  }
  Heartbeat Read;
  Last.Reason_ = "a field is missing or of another type";
  if (!readCard(Said, Read.From_) || !Said["n"].isUInt64() ||
      !Said["ready"].isBool() || !Said["leaving"].isBool() ||
      !readDemands(Said["demands"], Read) || !readLoads(Said["loads"], Read) ||
      !readEvidence(Said["crashes"], Read) || !readHears(Said["hears"], Read))
    return std::nullopt;
  Read.Sequence_ = Said["n"].asUInt64();
  Read.Ready_ = Said["ready"].asBool();
  Read.Leaving_ = Said["leaving"].asBool();
  Read.IsWhole_ = Said["whole"] != Json::Value(false);
  Read.StoreTrouble_ = Said["trouble"] == Json::Value(true);
  return Read;
}

} // namespace lychee::members
