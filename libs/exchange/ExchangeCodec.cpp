#include "exchange/ExchangeCodec.h"

#include "fleet/Codec.h"

#include <limits>

namespace lychee::exchange {

namespace {

using fleet::Codec;

/// Reads members of one object, and remembers whether each was there and of
/// its type, so that a caller asks once at the end.
class ObjectReader {
public:
  explicit ObjectReader(const Json::Value &From)
      : From_(From), Whole_(From.isObject()) {}

  std::string text(const char *Name) {
    const Json::Value *Found = find(Name);
    return need(Found != nullptr && Found->isString()) ? Found->asString()
                                                       : std::string();
  }

  template <typename Id> Id id(const char *Name) { return Id(text(Name)); }

  std::uint64_t number(const char *Name) {
    const Json::Value *Found = find(Name);
    return need(Found != nullptr && Found->isUInt64()) ? Found->asUInt64() : 0;
  }

  std::uint32_t smallNumber(const char *Name) {
    const std::uint64_t Read = number(Name);
    need(Read <= std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(Read);
  }

  /// Never negative: a negative amount would turn a gift round.
  std::int64_t amount(const char *Name) {
    const std::uint64_t Read = number(Name);
    need(Read <= std::uint64_t(std::numeric_limits<std::int64_t>::max()));
    return Whole_ ? static_cast<std::int64_t>(Read) : 0;
  }

  const Json::Value &list(const char *Name) {
    static const Json::Value Empty(Json::arrayValue);
    const Json::Value *Found = find(Name);
    return need(Found != nullptr && Found->isArray()) ? *Found : Empty;
  }

  void require(bool Holds) { need(Holds); }
  bool whole() const noexcept { return Whole_; }

private:
  const Json::Value *find(const char *Name) const {
    return From_.isObject()
               ? From_.find(Name, Name + std::char_traits<char>::length(Name))
               : nullptr;
  }

  bool need(bool Holds) {
    Whole_ = Whole_ && Holds;
    return Holds;
  }

  const Json::Value &From_;
  bool Whole_;
};

template <typename Made, typename Fill>
std::optional<Made> decode(std::string_view Text, Fill Into) {
  const std::optional<Json::Value> Parsed = Codec::parse(Text);
  if (!Parsed)
    return std::nullopt;
  ObjectReader Reader(*Parsed);
  Made Result;
  Into(Reader, Result);
  if (!Reader.whole())
    return std::nullopt;
  return Result;
}

Json::Value number(std::int64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

Json::Value loadsToJson(const std::vector<steering::PeerLoad> &From) {
  Json::Value Made(Json::arrayValue);
  for (const steering::PeerLoad &Each : From) {
    Json::Value Entry(Json::objectValue);
    Entry["s"] = Each.Service_.name();
    Entry["t"] = Each.Target_.name();
    Entry["n"] = Each.InFlight_;
    Made.append(std::move(Entry));
  }
  return Made;
}

Json::Value spareToJson(const std::vector<steering::SpareSlots> &From) {
  Json::Value Made(Json::arrayValue);
  for (const steering::SpareSlots &Each : From) {
    Json::Value Entry(Json::objectValue);
    Entry["s"] = Each.Service_.name();
    Entry["r"] = Each.Region_.name();
    Entry["n"] = Each.Free_;
    Made.append(std::move(Entry));
  }
  return Made;
}

Json::Value offersToJson(const std::vector<budget::SpareOffer> &From) {
  Json::Value Made(Json::arrayValue);
  for (const budget::SpareOffer &Each : From) {
    Json::Value Entry(Json::objectValue);
    Entry["b"] = Each.Budget_;
    Entry["r"] = number(Each.Rate_);
    Entry["t"] = number(Each.Tokens_);
    Made.append(std::move(Entry));
  }
  return Made;
}

Json::Value evidenceToJson(const std::vector<retrying::CrashEvidence> &From) {
  Json::Value Made(Json::arrayValue);
  for (const retrying::CrashEvidence &Each : From) {
    Json::Value Entry(Json::objectValue);
    Entry["f"] = Json::Value(static_cast<Json::UInt64>(Each.Fingerprint_));
    Entry["t"] = Json::Value(static_cast<Json::UInt64>(Each.Target_));
    Entry["a"] = number(base::toMilliseconds(Each.Age_));
    Made.append(std::move(Entry));
  }
  return Made;
}

void readRound(ObjectReader &Reader, steering::HostLoadUpdate &Into) {
  Into.Host_ = Reader.id<base::HostId>("h");
  for (const Json::Value &Each : Reader.list("l")) {
    ObjectReader Entry(Each);
    Into.Loads_.push_back({Entry.id<base::ServiceId>("s"),
                           Entry.id<base::TargetId>("t"),
                           Entry.smallNumber("n")});
    Reader.require(Entry.whole());
  }
  for (const Json::Value &Each : Reader.list("s")) {
    ObjectReader Entry(Each);
    Into.SpareSlots_.push_back({Entry.id<base::ServiceId>("s"),
                                Entry.id<base::RegionId>("r"),
                                Entry.smallNumber("n")});
    Reader.require(Entry.whole());
  }
}

void readOffers(ObjectReader &Reader, std::vector<budget::SpareOffer> &Into) {
  for (const Json::Value &Each : Reader.list("o")) {
    ObjectReader Entry(Each);
    Into.push_back({Entry.text("b"), Entry.amount("r"), Entry.amount("t")});
    Reader.require(Entry.whole());
  }
}

void readEvidence(ObjectReader &Reader,
                  std::vector<retrying::CrashEvidence> &Into) {
  for (const Json::Value &Each : Reader.list("c")) {
    ObjectReader Entry(Each);
    retrying::CrashEvidence Read;
    Read.Fingerprint_ = Entry.number("f");
    Read.Target_ = Entry.number("t");
    Read.Age_ = std::chrono::milliseconds(Entry.smallNumber("a"));
    Into.push_back(Read);
    Reader.require(Entry.whole());
  }
}

} // namespace

std::string ExchangeCodec::encode(const HostReport &From) {
  Json::Value Made(Json::objectValue);
  Made["h"] = From.Round_.Host_.name();
  Made["l"] = loadsToJson(From.Round_.Loads_);
  Made["s"] = spareToJson(From.Round_.SpareSlots_);
  Made["o"] = offersToJson(From.Offers_);
  Made["c"] = evidenceToJson(From.Evidence_);
  Made["e"] = Json::Value(static_cast<Json::UInt64>(From.Entered_));
  return Codec::write(Made);
}

std::optional<HostReport> ExchangeCodec::decodeReport(std::string_view Text) {
  return decode<HostReport>(Text, [](ObjectReader &Reader, HostReport &Into) {
    readRound(Reader, Into.Round_);
    readOffers(Reader, Into.Offers_);
    readEvidence(Reader, Into.Evidence_);
    Into.Entered_ = Reader.number("e");
  });
}

std::string ExchangeCodec::encode(const steering::SlotRequest &From) {
  Json::Value Made(Json::objectValue);
  Made["a"] = From.Requester_.name();
  Made["ar"] = From.RequesterRegion_.name();
  Made["d"] = From.Donor_.name();
  Made["s"] = From.Service_.name();
  Made["r"] = From.Region_.name();
  Made["n"] = From.Slots_;
  Made["t"] = From.RecallTarget_.name();
  return Codec::write(Made);
}

std::optional<steering::SlotRequest>
ExchangeCodec::decodeSlotAsk(std::string_view Text) {
  return decode<steering::SlotRequest>(
      Text, [](ObjectReader &Reader, steering::SlotRequest &Into) {
        Into.Requester_ = Reader.id<base::HostId>("a");
        Into.RequesterRegion_ = Reader.id<base::RegionId>("ar");
        Into.Donor_ = Reader.id<base::HostId>("d");
        Into.Service_ = Reader.id<base::ServiceId>("s");
        Into.Region_ = Reader.id<base::RegionId>("r");
        Into.Slots_ = Reader.smallNumber("n");
        Into.RecallTarget_ = Reader.id<base::TargetId>("t");
      });
}

std::string ExchangeCodec::encode(const steering::SlotGrant &From) {
  Json::Value Made(Json::objectValue);
  Made["d"] = From.Donor_.name();
  Made["g"] = From.Receiver_.name();
  Made["s"] = From.Service_.name();
  Made["r"] = From.Region_.name();
  Json::Value Counts(Json::arrayValue);
  for (const steering::SlotCount &Each : From.Counts_) {
    Json::Value Entry(Json::objectValue);
    Entry["t"] = Each.Target_.name();
    Entry["n"] = Each.TotalGranted_;
    Counts.append(std::move(Entry));
  }
  Made["c"] = std::move(Counts);
  return Codec::write(Made);
}

std::optional<steering::SlotGrant>
ExchangeCodec::decodeSlotGift(std::string_view Text) {
  return decode<steering::SlotGrant>(
      Text, [](ObjectReader &Reader, steering::SlotGrant &Into) {
        Into.Donor_ = Reader.id<base::HostId>("d");
        Into.Receiver_ = Reader.id<base::HostId>("g");
        Into.Service_ = Reader.id<base::ServiceId>("s");
        Into.Region_ = Reader.id<base::RegionId>("r");
        for (const Json::Value &Each : Reader.list("c")) {
          ObjectReader Entry(Each);
          Into.Counts_.push_back(
              {Entry.id<base::TargetId>("t"), Entry.smallNumber("n")});
          Reader.require(Entry.whole());
        }
      });
}

std::string ExchangeCodec::encode(const budget::ShareRequest &From) {
  Json::Value Made(Json::objectValue);
  Made["b"] = From.Budget_;
  Made["e"] = Json::Value(static_cast<Json::UInt64>(From.Epoch_));
  Made["a"] = From.Requester_.name();
  Made["r"] = number(From.Rate_);
  Made["t"] = number(From.Tokens_);
  return Codec::write(Made);
}

std::optional<budget::ShareRequest>
ExchangeCodec::decodeAsk(std::string_view Text) {
  return decode<budget::ShareRequest>(
      Text, [](ObjectReader &Reader, budget::ShareRequest &Into) {
        Into.Budget_ = Reader.text("b");
        Into.Epoch_ = Reader.number("e");
        Into.Requester_ = Reader.id<base::HostId>("a");
        Into.Rate_ = Reader.amount("r");
        Into.Tokens_ = Reader.amount("t");
      });
}

std::string ExchangeCodec::encode(const budget::Transfer &From) {
  Json::Value Made(Json::objectValue);
  Made["b"] = From.Budget_;
  Made["e"] = Json::Value(static_cast<Json::UInt64>(From.Epoch_));
  Made["d"] = From.Donor_.name();
  Made["g"] = From.Receiver_.name();
  Made["q"] = Json::Value(static_cast<Json::UInt64>(From.Sequence_));
  Made["r"] = number(From.Amount_.Rate_);
  Made["c"] = number(From.Amount_.Capacity_);
  Made["t"] = number(From.Tokens_);
  return Codec::write(Made);
}

std::optional<budget::Transfer>
ExchangeCodec::decodeTransfer(std::string_view Text) {
  return decode<budget::Transfer>(
      Text, [](ObjectReader &Reader, budget::Transfer &Into) {
        Into.Budget_ = Reader.text("b");
        Into.Epoch_ = Reader.number("e");
        Into.Donor_ = Reader.id<base::HostId>("d");
        Into.Receiver_ = Reader.id<base::HostId>("g");
        Into.Sequence_ = Reader.number("q");
        Into.Amount_.Rate_ = Reader.amount("r");
        Into.Amount_.Capacity_ = Reader.amount("c");
        Into.Tokens_ = Reader.amount("t");
      });
}

} // namespace lychee::exchange
