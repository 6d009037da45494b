#include "claims/ClaimCodec.h"

#include "fleet/Codec.h"

#include <charconv>
#include <cstdio>

namespace lychee::claims {

using fleet::Codec;
using retrying::ClaimKey;
using retrying::ClaimObject;
using retrying::ClaimOutcome;
using retrying::ClaimRecord;
using retrying::ClaimResult;
using retrying::ClaimState;

namespace {

constexpr std::size_t HexDigits = 16;

/// Places of a record's fields: an array in place of an object keeps it at
/// about 80 bytes, and 8,000 of them below the store's 1 MB a value.
enum Place : Json::ArrayIndex {
  Key,
  Fingerprint,
  Grant,
  State,
  Status,
  At,
  Count
};

bool parseHex(std::string_view Text, std::uint64_t &Into) {
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Into, 16);
  return Read.ec == std::errc() && Read.ptr == Text.data() + Text.size();
}

Json::Value numberOf(std::uint64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

std::optional<ClaimRecord> toRecord(const Json::Value &From) {
  if (!From.isArray() || From.size() != Place::Count)
    return std::nullopt;
  for (Json::ArrayIndex Index = Fingerprint; Index < Count; ++Index)
    if (!From[Index].isUInt64())
      return std::nullopt;
  if (!From[Key].isString() || From[State].asUInt64() > 1 ||
      From[Status].asUInt64() > 999)
    return std::nullopt;
  const auto Found = ClaimCodec::toKey(From[Key].asString());
  if (!Found)
    return std::nullopt;
  ClaimRecord Made;
  Made.Key_ = *Found;
  Made.Fingerprint_ = From[Fingerprint].asUInt64();
  Made.Grant_ = From[Grant].asUInt64();
  Made.State_ = static_cast<ClaimState>(From[State].asUInt64());
  Made.Status_ = static_cast<std::uint16_t>(From[Status].asUInt64());
  Made.At_ = base::WallPoint(std::chrono::milliseconds(From[At].asUInt64()));
  return Made;
}

Json::Value toJson(const ClaimRecord &From) {
  Json::Value Made(Json::arrayValue);
  Made.append(ClaimCodec::toText(From.Key_));
  Made.append(numberOf(From.Fingerprint_));
  Made.append(numberOf(From.Grant_));
  Made.append(numberOf(static_cast<std::uint64_t>(From.State_)));
  Made.append(numberOf(From.Status_));
  Made.append(numberOf(static_cast<std::uint64_t>(
      base::toMilliseconds(From.At_.time_since_epoch()))));
  return Made;
}

} // namespace

std::string ClaimCodec::toText(const ClaimKey &From) {
  char Text[2 * HexDigits + 1];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(From.High_),
                static_cast<unsigned long long>(From.Low_));
  return Text;
}

std::optional<ClaimKey> ClaimCodec::toKey(std::string_view Text) {
  ClaimKey Made;
  if (Text.size() != 2 * HexDigits ||
      !parseHex(Text.substr(0, HexDigits), Made.High_) ||
      !parseHex(Text.substr(HexDigits), Made.Low_))
    return std::nullopt;
  return Made;
}

std::string ClaimCodec::encode(const ClaimObject &From) {
  Json::Value Records(Json::arrayValue);
  for (const ClaimRecord &Each : From.Records_)
    Records.append(claims::toJson(Each));
  Json::Value Made(Json::objectValue);
  Made["epoch"] = numberOf(From.Epoch_);
  Made["writer"] = numberOf(From.Writer_);
  Made["records"] = std::move(Records);
  return Codec::write(Made);
}

std::optional<ClaimObject> ClaimCodec::decodeObject(std::string_view Text,
                                                    std::uint64_t Version) {
  ClaimObject Made;
  Made.Version_ = Version;
  if (Version == 0)
    return Made;
  const auto Parsed = Codec::parse(Text);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Records = (*Parsed)["records"];
  if (!(*Parsed)["epoch"].isUInt64() || !(*Parsed)["writer"].isUInt64() ||
      !Records.isArray())
    return std::nullopt;
  Made.Epoch_ = (*Parsed)["epoch"].asUInt64();
  Made.Writer_ = (*Parsed)["writer"].asUInt64();
  for (const Json::Value &Each : Records) {
    const auto Record = toRecord(Each);
    if (!Record)
      return std::nullopt;
    Made.Records_.push_back(*Record);
  }
  return Made;
}

Json::Value ClaimCodec::toJson(const ClaimResult &From) {
  Json::Value Made(Json::objectValue);
  Made["answer"] = numberOf(static_cast<std::uint64_t>(From.Outcome_));
  Made["key"] = toText(From.Key_);
  Made["grant"] = numberOf(From.Grant_);
  Made["status"] = From.Status_;
  return Made;
}

std::optional<ClaimResult> ClaimCodec::toVerdict(const Json::Value &From) {
  if (!From.isObject() || !From["answer"].isUInt64() ||
      !From["key"].isString() || !From["grant"].isUInt64() ||
      !From["status"].isUInt())
    return std::nullopt;
  const auto Found = toKey(From["key"].asString());
  const std::uint64_t Answer = From["answer"].asUInt64();
  if (!Found ||
      Answer > static_cast<std::uint64_t>(ClaimOutcome::StoreUnavailable))
    return std::nullopt;
  ClaimResult Made;
  Made.Outcome_ = static_cast<ClaimOutcome>(Answer);
  Made.Key_ = *Found;
  Made.Grant_ = From["grant"].asUInt64();
  Made.Status_ = static_cast<std::uint16_t>(From["status"].asUInt());
  return Made;
}

} // namespace lychee::claims
