#include "fleet/Codec.h"

#include "base/JsonText.h"

namespace lychee::fleet {

namespace {

bool readText(const Json::Value &From, const char *Name, std::string &To) {
  const Json::Value &Found = From[Name];
  if (!Found.isString())
    return false;
  To = Found.asString();
  return true;
}

bool readNumber(const Json::Value &From, const char *Name, std::uint64_t &To) {
  const Json::Value &Found = From[Name];
  if (!Found.isUInt64())
    return false;
  To = Found.asUInt64();
  return true;
}

template <typename Kind>
bool readId(const Json::Value &From, const char *Name, base::Id<Kind> &To) {
  std::string Text;
  if (!readText(From, Name, Text))
    return false;
  To = base::Id<Kind>(Text);
  return true;
}

bool readMembers(const Json::Value &From, std::vector<Member> &To) {
  if (!From.isArray())
    return false;
  for (const Json::Value &Entry : From) {
    std::optional<Member> Parsed = Codec::toMember(Entry);
    if (!Parsed)
      return false;
    To.push_back(std::move(*Parsed));
  }
  return true;
}

Json::Value membersToJson(const std::vector<Member> &From) {
  Json::Value Result(Json::arrayValue);
  for (const Member &Entry : From)
    Result.append(Codec::toJson(Entry));
  return Result;
}

} // namespace

Json::Value Codec::toJson(const Member &From) {
  Json::Value Result(Json::objectValue);
  Result["host"] = From.Host_.name();
  Result["region"] = From.Region_.name();
  Result["peers"] = From.PeerAddress_;
  Result["callers"] = From.CallerAddress_;
  Result["incarnation"] = Json::UInt64(From.Incarnation_);
  Result["sequence"] = Json::UInt64(From.Sequence_);
  Result["admitted"] = Json::UInt64(From.AdmissionGeneration_);
  Result["known"] = Json::UInt64(From.KnownGeneration_);
  if (From.Leaving_)
    Result["leaving"] = true;
  return Result;
}

std::optional<Member> Codec::toMember(const Json::Value &From) {
  Member Result;
  const bool IsValid =
      From.isObject() && readId(From, "host", Result.Host_) &&
      readId(From, "region", Result.Region_) &&
      readText(From, "peers", Result.PeerAddress_) &&
      readText(From, "callers", Result.CallerAddress_) &&
      readNumber(From, "incarnation", Result.Incarnation_) &&
      readNumber(From, "sequence", Result.Sequence_) &&
      readNumber(From, "admitted", Result.AdmissionGeneration_) &&
      readNumber(From, "known", Result.KnownGeneration_);
  if (!IsValid || Result.Host_.empty())
    return std::nullopt;
  Result.Leaving_ = From["leaving"].isBool() && From["leaving"].asBool();
  return Result;
}

Json::Value Codec::toJson(const ZoneRecord &From) {
  Json::Value Result(Json::objectValue);
  Result["zone"] = From.Zone_.name();
  Result["generation"] = Json::UInt64(From.Generation_);
  Result["relay"] = From.Relay_.name();
  Result["members"] = membersToJson(From.Members_);
  return Result;
}

std::optional<ZoneRecord> Codec::toZoneRecord(const Json::Value &From) {
  ZoneRecord Result;
  const bool IsValid = From.isObject() && readId(From, "zone", Result.Zone_) &&
                       readNumber(From, "generation", Result.Generation_) &&
                       readId(From, "relay", Result.Relay_) &&
                       readMembers(From["members"], Result.Members_);
  if (!IsValid)
    return std::nullopt;
  return Result;
}

Json::Value Codec::toJson(const Directory &From) {
  Json::Value Result(Json::objectValue);
  Result["epoch"] = Json::UInt64(From.Epoch_);
  Json::Value Zones(Json::objectValue);
  for (const auto &[Id, Entry] : From.Zones_) {
    Json::Value &Zone = Zones[Id.name()];
    Zone["generation"] = Json::UInt64(Entry.Generation_);
    Zone["relay"] = Entry.Relay_.name();
    Zone["members"] = membersToJson(Entry.Members_);
  }
  Result["zones"] = std::move(Zones);
  return Result;
}

std::optional<Directory> Codec::toDirectory(const Json::Value &From) {
  Directory Result;
  if (!From.isObject() || !readNumber(From, "epoch", Result.Epoch_) ||
      !From["zones"].isObject())
    return std::nullopt;
  const Json::Value &Zones = From["zones"];
  for (const std::string &Name : Zones.getMemberNames()) {
    const Json::Value &Entry = Zones[Name];
    Directory::Zone &Zone = Result.Zones_[base::ZoneId(Name)];
    const bool IsValid = Entry.isObject() &&
                         readNumber(Entry, "generation", Zone.Generation_) &&
                         readId(Entry, "relay", Zone.Relay_) &&
                         readMembers(Entry["members"], Zone.Members_);
    if (!IsValid)
      return std::nullopt;
  }
  return Result;
}

std::string Codec::write(const Json::Value &From) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, From);
}

std::optional<Json::Value> Codec::parse(std::string_view Text) {
  std::string Ignored;
  return base::parseJsonObject(Text, Ignored);
}

} // namespace lychee::fleet
