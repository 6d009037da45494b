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

/// Indexes of a record's fields. Encoding a record as an array instead of an
/// object keeps it at about 80 bytes, and 8,000 records below the store's limit
/// of 1 MB per value.
enum Field : Json::ArrayIndex {
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

std::optional<ClaimRecord> toRecord(const Json::Value &Source) {
  if (!Source.isArray() || Source.size() != Field::Count)
    return std::nullopt;
  for (Json::ArrayIndex Index = Fingerprint; Index < Count; ++Index)
    if (!Source[Index].isUInt64())
      return std::nullopt;
  if (!Source[Key].isString() || Source[State].asUInt64() > 1 ||
      Source[Status].asUInt64() > 999)
    return std::nullopt;
  const auto Found = ClaimCodec::toKey(Source[Key].asString());
  if (!Found)
    return std::nullopt;
  ClaimRecord Record;
  Record.Key_ = *Found;
  Record.Fingerprint_ = Source[Fingerprint].asUInt64();
  Record.Grant_ = Source[Grant].asUInt64();
  Record.State_ = static_cast<ClaimState>(Source[State].asUInt64());
  Record.Status_ = static_cast<std::uint16_t>(Source[Status].asUInt64());
  Record.At_ =
      base::WallPoint(std::chrono::milliseconds(Source[At].asUInt64()));
  return Record;
}

Json::Value toJson(const ClaimRecord &Record) {
  Json::Value Encoded(Json::arrayValue);
  Encoded.append(ClaimCodec::toText(Record.Key_));
  Encoded.append(numberOf(Record.Fingerprint_));
  Encoded.append(numberOf(Record.Grant_));
  Encoded.append(numberOf(static_cast<std::uint64_t>(Record.State_)));
  Encoded.append(numberOf(Record.Status_));
  Encoded.append(numberOf(static_cast<std::uint64_t>(
      base::toMilliseconds(Record.At_.time_since_epoch()))));
  return Encoded;
}

} // namespace

std::string ClaimCodec::toText(const ClaimKey &Key) {
  char Text[2 * HexDigits + 1];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(Key.High_),
                static_cast<unsigned long long>(Key.Low_));
  return Text;
}

std::optional<ClaimKey> ClaimCodec::toKey(std::string_view Text) {
  ClaimKey Key;
  if (Text.size() != 2 * HexDigits ||
      !parseHex(Text.substr(0, HexDigits), Key.High_) ||
      !parseHex(Text.substr(HexDigits), Key.Low_))
    return std::nullopt;
  return Key;
}

std::string ClaimCodec::encode(const ClaimObject &Object) {
  Json::Value Records(Json::arrayValue);
  for (const ClaimRecord &Each : Object.Records_)
    Records.append(claims::toJson(Each));
  Json::Value Encoded(Json::objectValue);
  Encoded["epoch"] = numberOf(Object.Epoch_);
  Encoded["writer"] = numberOf(Object.Writer_);
  Encoded["records"] = std::move(Records);
  return Codec::write(Encoded);
}

std::optional<ClaimObject> ClaimCodec::decodeObject(std::string_view Text,
                                                    std::uint64_t Version) {
  ClaimObject Object;
  Object.Version_ = Version;
  if (Version == 0)
    return Object;
  const auto Parsed = Codec::parse(Text);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Records = (*Parsed)["records"];
  if (!(*Parsed)["epoch"].isUInt64() || !(*Parsed)["writer"].isUInt64() ||
      !Records.isArray())
    return std::nullopt;
  Object.Epoch_ = (*Parsed)["epoch"].asUInt64();
  Object.Writer_ = (*Parsed)["writer"].asUInt64();
  for (const Json::Value &Each : Records) {
    const auto Record = toRecord(Each);
    if (!Record)
      return std::nullopt;
    Object.Records_.push_back(*Record);
  }
  return Object;
}

Json::Value ClaimCodec::toJson(const ClaimResult &Result) {
  Json::Value Encoded(Json::objectValue);
  Encoded["answer"] = numberOf(static_cast<std::uint64_t>(Result.Outcome_));
  Encoded["key"] = toText(Result.Key_);
  Encoded["grant"] = numberOf(Result.Grant_);
  Encoded["status"] = Result.Status_;
  return Encoded;
}

std::optional<ClaimResult> ClaimCodec::toResult(const Json::Value &Source) {
  if (!Source.isObject() || !Source["answer"].isUInt64() ||
      !Source["key"].isString() || !Source["grant"].isUInt64() ||
      !Source["status"].isUInt())
    return std::nullopt;
  const auto Found = toKey(Source["key"].asString());
  const std::uint64_t Answer = Source["answer"].asUInt64();
  if (!Found ||
      Answer > static_cast<std::uint64_t>(ClaimOutcome::StoreUnavailable))
    return std::nullopt;
  ClaimResult Result;
  Result.Outcome_ = static_cast<ClaimOutcome>(Answer);
  Result.Key_ = *Found;
  Result.Grant_ = Source["grant"].asUInt64();
  Result.Status_ = static_cast<std::uint16_t>(Source["status"].asUInt());
  return Result;
}

} // namespace lychee::claims
