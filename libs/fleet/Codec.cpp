#include "fleet/Codec.h"

#include <memory>

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
  for (const Json::Value &Each : From) {
    std::optional<Member> Read = Codec::toMember(Each);
    if (!Read)
      return false;
    To.push_back(std::move(*Read));
  }
  return true;
}

Json::Value membersToJson(const std::vector<Member> &From) {
  Json::Value Made(Json::arrayValue);
  for (const Member &Each : From)
    Made.append(Codec::toJson(Each));
  return Made;
}

} // namespace

Json::Value Codec::toJson(const Member &From) {
  Json::Value Made(Json::objectValue);
  Made["host"] = From.Host_.name();
  Made["region"] = From.Region_.name();
  Made["peers"] = From.PeerAddress_;
  Made["callers"] = From.CallerAddress_;
  Made["incarnation"] = Json::UInt64(From.Incarnation_);
  Made["sequence"] = Json::UInt64(From.Sequence_);
  Made["admitted"] = Json::UInt64(From.AdmissionGeneration_);
  Made["known"] = Json::UInt64(From.KnownGeneration_);
  if (From.Leaving_)
    Made["leaving"] = true;
  return Made;
}

std::optional<Member> Codec::toMember(const Json::Value &From) {
  Member Made;
  const bool Read = From.isObject() && readId(From, "host", Made.Host_) &&
                    readId(From, "region", Made.Region_) &&
                    readText(From, "peers", Made.PeerAddress_) &&
                    readText(From, "callers", Made.CallerAddress_) &&
                    readNumber(From, "incarnation", Made.Incarnation_) &&
                    readNumber(From, "sequence", Made.Sequence_) &&
                    readNumber(From, "admitted", Made.AdmissionGeneration_) &&
                    readNumber(From, "known", Made.KnownGeneration_);
  if (!Read || Made.Host_.empty())
    return std::nullopt;
  Made.Leaving_ = From["leaving"].isBool() && From["leaving"].asBool();
  return Made;
}

Json::Value Codec::toJson(const ZoneRecord &From) {
  Json::Value Made(Json::objectValue);
  Made["zone"] = From.Zone_.name();
  Made["generation"] = Json::UInt64(From.Generation_);
  Made["relay"] = From.Relay_.name();
  Made["members"] = membersToJson(From.Members_);
  return Made;
}

std::optional<ZoneRecord> Codec::toZoneRecord(const Json::Value &From) {
  ZoneRecord Made;
  const bool Read = From.isObject() && readId(From, "zone", Made.Zone_) &&
                    readNumber(From, "generation", Made.Generation_) &&
                    readId(From, "relay", Made.Relay_) &&
                    readMembers(From["members"], Made.Members_);
  if (!Read)
    return std::nullopt;
  return Made;
}

Json::Value Codec::toJson(const Directory &From) {
  Json::Value Made(Json::objectValue);
  Made["epoch"] = Json::UInt64(From.Epoch_);
  Json::Value Zones(Json::objectValue);
  for (const auto &[Id, Each] : From.Zones_) {
    Json::Value &Zone = Zones[Id.name()];
    Zone["generation"] = Json::UInt64(Each.Generation_);
    Zone["relay"] = Each.Relay_.name();
    Zone["members"] = membersToJson(Each.Members_);
  }
  Made["zones"] = std::move(Zones);
  return Made;
}

std::optional<Directory> Codec::toDirectory(const Json::Value &From) {
  Directory Made;
  if (!From.isObject() || !readNumber(From, "epoch", Made.Epoch_) ||
      !From["zones"].isObject())
    return std::nullopt;
  const Json::Value &Zones = From["zones"];
  for (const std::string &Name : Zones.getMemberNames()) {
    const Json::Value &Each = Zones[Name];
    Directory::Zone &Zone = Made.Zones_[base::ZoneId(Name)];
    const bool Read = Each.isObject() &&
                      readNumber(Each, "generation", Zone.Generation_) &&
                      readId(Each, "relay", Zone.Relay_) &&
                      readMembers(Each["members"], Zone.Members_);
    if (!Read)
      return std::nullopt;
  }
  return Made;
}

std::string Codec::write(const Json::Value &From) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, From);
}

std::optional<Json::Value> Codec::parse(std::string_view Text) {
  Json::Value Made;
  Json::CharReaderBuilder Builder;
  Builder["collectComments"] = false;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  const bool Read =
      Reader->parse(Text.data(), Text.data() + Text.size(), &Made, nullptr) &&
      Made.isObject();
  if (!Read)
    return std::nullopt;
  return Made;
}

} // namespace lychee::fleet
