#include "fleet/ClaimCodec.h"

#include "fleet/Codec.h"

#include <limits>

namespace lychee::fleet {

namespace {

/// Places of a record's fields in its JSON array.
enum Field : Json::ArrayIndex { High, Low, Print, Grant, State, Status, At };
constexpr Json::ArrayIndex FieldCount = 7;

bool isRecord(const Json::Value &From) {
  if (!From.isArray() || From.size() != FieldCount || !From[At].isInt64())
    return false;
  for (Json::ArrayIndex Index = 0; Index < At; ++Index)
    if (!From[Index].isUInt64())
      return false;
  return From[State].asUInt64() <= 1 &&
         From[Status].asUInt64() <= std::numeric_limits<std::uint16_t>::max();
}

} // namespace

std::string ClaimCodec::encode(const retrying::ClaimObject &From) {
  Json::Value Records(Json::arrayValue);
  for (const retrying::ClaimRecord &Each : From.Records_) {
    Json::Value Made(Json::arrayValue);
    Made.append(Json::UInt64(Each.Key_.High_));
    Made.append(Json::UInt64(Each.Key_.Low_));
    Made.append(Json::UInt64(Each.Fingerprint_));
    Made.append(Json::UInt64(Each.Grant_));
    Made.append(Json::UInt64(Each.State_ == retrying::ClaimState::Done));
    Made.append(Json::UInt64(Each.Status_));
    Made.append(Json::Int64(Each.At_.time_since_epoch().count()));
    Records.append(std::move(Made));
  }
  Json::Value Made(Json::objectValue);
  Made["epoch"] = Json::UInt64(From.Epoch_);
  Made["writer"] = Json::UInt64(From.Writer_);
  Made["claims"] = std::move(Records);
  return Codec::write(Made);
}

std::optional<retrying::ClaimObject> ClaimCodec::decode(std::string_view Text,
                                                        std::uint64_t Version) {
  const auto Parsed = Codec::parse(Text);
  if (!Parsed || !(*Parsed)["epoch"].isUInt64() ||
      !(*Parsed)["writer"].isUInt64() || !(*Parsed)["claims"].isArray())
    return std::nullopt;
  retrying::ClaimObject Made;
  Made.Version_ = Version;
  Made.Epoch_ = (*Parsed)["epoch"].asUInt64();
  Made.Writer_ = (*Parsed)["writer"].asUInt64();
  for (const Json::Value &Each : (*Parsed)["claims"]) {
    if (!isRecord(Each))
      return std::nullopt;
    retrying::ClaimRecord Read;
    Read.Key_ = {Each[High].asUInt64(), Each[Low].asUInt64()};
    Read.Fingerprint_ = Each[Print].asUInt64();
    Read.Grant_ = Each[Grant].asUInt64();
    Read.State_ = Each[State].asUInt64() == 1 ? retrying::ClaimState::Done
                                              : retrying::ClaimState::Granted;
    Read.Status_ = static_cast<std::uint16_t>(Each[Status].asUInt64());
    Read.At_ = base::WallPoint(base::Duration(Each[At].asInt64()));
    Made.Records_.push_back(Read);
  }
  return Made;
}

} // namespace lychee::fleet
