#include "members/MessageRows.h"

#include "base/JsonText.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <json/json.h>

namespace lychee::members {

namespace {

/// Rates are sent in hundredths, which is precise enough for shares and short.
constexpr double Hundredths = 100;
constexpr double Milliseconds = 1000;

Json::Value rowInHundredths(const std::string &Name, double Amount) {
  Json::Value Row(Json::arrayValue);
  Row.append(Name);
  Row.append(Json::Int64(Amount * Hundredths));
  return Row;
}

} // namespace

std::string writeJson(const Json::Value &Document) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Document);
}

std::optional<Json::Value> parseObject(std::string_view Text,
                                       base::Error &Last) {
  return base::parseJsonObject(Text, Last.Reason_);
}

void addDemands(std::span<const CustomerDemand> All, Json::Value &Into) {
  for (const CustomerDemand &Entry : All)
    Into.append(
        rowInHundredths(Entry.Customer_.name(), Entry.RequestsPerSecond_));
}

void addLoads(std::span<const ServiceDemand> All, Json::Value &Into) {
  for (const ServiceDemand &Entry : All) {
    Json::Value Row = rowInHundredths(Entry.Service_.name(), Entry.Slots_);
    Row.append(Entry.BoundTo_.name());
    Into.append(Row);
  }
}

void addEvidence(std::span<const retrying::CrashEvidence> All,
                 Json::Value &Into) {
  for (const retrying::CrashEvidence &Entry : All) {
    Json::Value Row(Json::arrayValue);
    Row.append(Json::UInt64(Entry.Fingerprint_));
    Row.append(Json::UInt64(Entry.Target_));
    Row.append(Json::Int64(base::toMilliseconds(Entry.Age_)));
    Into.append(Row);
  }
}

bool readDemands(const Json::Value &Rows, std::vector<CustomerDemand> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 2 || !Row[0].isString() ||
        !Row[1].isInt64())
      return false;
    Into.push_back({base::CustomerId(Row[0].asString()),
                    double(Row[1].asInt64()) / Hundredths});
  }
  return true;
}

bool readLoads(const Json::Value &Rows, std::vector<ServiceDemand> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 3 || !Row[0].isString() ||
        !Row[1].isInt64() || !Row[2].isString())
      return false;
    Into.push_back({base::ServiceId(Row[0].asString()),
                    double(Row[1].asInt64()) / Hundredths,
                    base::RegionId(Row[2].asString())});
  }
  return true;
}

bool readEvidence(const Json::Value &Rows,
                  std::vector<retrying::CrashEvidence> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 3 || !Row[0].isUInt64() ||
        !Row[1].isUInt64() || !Row[2].isInt64())
      return false;
    Into.push_back({Row[0].asUInt64(), Row[1].asUInt64(),
                    std::chrono::milliseconds(Row[2].asInt64())});
  }
  return true;
}

/// The rate is sent in full: rounded, it would differ from what answers state,
/// and hosts would see a change each time.
Json::Value rowOf(const TargetRate &Entry) {
  Json::Value Row(Json::arrayValue);
  Row.append(Json::UInt64(Entry.Target_));
  Row.append(Entry.PerSecond_ ? Json::Value(*Entry.PerSecond_) : Json::Value());
  Row.append(Json::Int64(base::toMilliseconds(Entry.Age_)));
  return Row;
}

std::optional<TargetRate> readTargetRate(const Json::Value &Row) {
  if (!Row.isArray() || Row.size() != 3 || !Row[0].isUInt64() ||
      !(Row[1].isNull() || Row[1].isNumeric()) || !Row[2].isInt64())
    return std::nullopt;
  TargetRate Result;
  Result.Target_ = Row[0].asUInt64();
  if (!Row[1].isNull())
    Result.PerSecond_ = Row[1].asDouble();
  Result.Age_ = std::chrono::milliseconds(Row[2].asInt64());
  return Result;
}

void addTargetRates(std::span<const TargetRate> All, Json::Value &Into) {
  for (const TargetRate &Entry : All)
    Into.append(rowOf(Entry));
}

bool readTargetRates(const Json::Value &Rows, std::vector<TargetRate> &Into) {
  for (const Json::Value &Row : Rows) {
    const std::optional<TargetRate> Entry = readTargetRate(Row);
    if (!Entry)
      return false;
    Into.push_back(*Entry);
  }
  return true;
}

void addTargetLeavings(std::span<const TargetLeaving> All, Json::Value &Into) {
  for (const TargetLeaving &Entry : All) {
    Json::Value Row(Json::arrayValue);
    Row.append(Json::UInt64(Entry.Target_));
    Row.append(Json::Int64(base::toMilliseconds(Entry.Age_)));
    Into.append(Row);
  }
}

bool readTargetLeavings(const Json::Value &Rows,
                        std::vector<TargetLeaving> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 2 || !Row[0].isUInt64() ||
        !Row[1].isInt64())
      return false;
    Into.push_back(
        {Row[0].asUInt64(), std::chrono::milliseconds(Row[1].asInt64())});
  }
  return true;
}

void addPressures(std::span<const ServicePressure> All, Json::Value &Into) {
  for (const ServicePressure &Entry :
       All.first(std::min(All.size(), MaxServicePressures))) {
    Json::Value Row(Json::arrayValue);
    Row.append(Entry.Service_.name());
    Row.append(Entry.BoundTo_.name());
    Row.append(Entry.Priority_);
    for (const double Amount : {Entry.AskedSlots_, Entry.AdmittedSlots_,
                                Entry.LackingSlots_, Entry.Share_ * Hundredths})
      Row.append(Json::Int64(std::llround(Amount * Hundredths)));
    Into.append(Row);
  }
}

bool readPressures(const Json::Value &Rows,
                   std::vector<ServicePressure> &Into) {
  constexpr Json::ArrayIndex Columns = 7;
  for (const Json::Value &Row : Rows) {
    if (Into.size() >= MaxServicePressures)
      return true;
    if (!Row.isArray() || Row.size() != Columns || !Row[0].isString() ||
        !Row[1].isString() || !Row[2].isUInt())
      return false;
    std::array<double, 4> Amounts{};
    for (Json::ArrayIndex Column = 0; Column < Amounts.size(); ++Column) {
      const Json::Value &Amount = Row[3 + Column];
      if (!Amount.isInt64() || Amount.asInt64() < 0)
        return false;
      Amounts[Column] = double(Amount.asInt64()) / Hundredths;
    }
    Into.push_back({base::ServiceId(Row[0].asString()),
                    base::RegionId(Row[1].asString()), Row[2].asUInt(),
                    Amounts[0], Amounts[1], Amounts[2],
                    std::min(1.0, Amounts[3] / Hundredths)});
  }
  return true;
}

void addTimes(std::span<const RuleExecutionTimes> All, Json::Value &Into) {
  for (const RuleExecutionTimes &Entry : All) {
    Json::Value Row(Json::arrayValue);
    Row.append(Entry.Rule_);
    for (const double Seconds :
         {Entry.WarmSeconds_, Entry.ColdSeconds_, Entry.UsualSeconds_})
      Row.append(Json::Int64(Seconds * Milliseconds));
    Into.append(Row);
  }
}

bool readTimes(const Json::Value &Rows, std::vector<RuleExecutionTimes> &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 4 || !Row[0].isString())
      return false;
    RuleExecutionTimes Result;
    Result.Rule_ = Row[0].asString();
    for (Json::ArrayIndex Column = 1; Column < 4; ++Column)
      if (!Row[Column].isInt64())
        return false;
    Result.WarmSeconds_ = double(Row[1].asInt64()) / Milliseconds;
    Result.ColdSeconds_ = double(Row[2].asInt64()) / Milliseconds;
    Result.UsualSeconds_ = double(Row[3].asInt64()) / Milliseconds;
    Into.push_back(std::move(Result));
  }
  return true;
}

} // namespace lychee::members
