#include "exchange/ExchangeCodec.h"

#include "fleet/Codec.h"

#include <limits>

namespace lychee::exchange {

namespace {

using fleet::Codec;

/// Reads the members of one object and records whether all were present and had
/// the right type, so that callers check once at the end.
class ObjectReader {
public:
  explicit ObjectReader(const Json::Value &From)
      : From_(From), IsComplete_(From.isObject()) {}

  std::string text(const char *Name) {
    const Json::Value *Found = find(Name);
    return check(Found != nullptr && Found->isString()) ? Found->asString()
                                                        : std::string();
  }

  template <typename Id> Id id(const char *Name) { return Id(text(Name)); }

  std::uint64_t number(const char *Name) {
    const Json::Value *Found = find(Name);
    return check(Found != nullptr && Found->isUInt64()) ? Found->asUInt64() : 0;
  }

  std::uint32_t number32(const char *Name) {
    const std::uint64_t Read = number(Name);
    check(Read <= std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(Read);
  }

  /// Refuses negative amounts, which would turn a grant into a withdrawal.
  std::int64_t amount(const char *Name) {
    const std::uint64_t Read = number(Name);
    check(Read <= std::uint64_t(std::numeric_limits<std::int64_t>::max()));
    return IsComplete_ ? static_cast<std::int64_t>(Read) : 0;
  }

  const Json::Value &array(const char *Name) {
    static const Json::Value Empty(Json::arrayValue);
    const Json::Value *Found = find(Name);
    return check(Found != nullptr && Found->isArray()) ? *Found : Empty;
  }

  void require(bool Condition) { check(Condition); }
  bool isComplete() const noexcept { return IsComplete_; }

private:
  const Json::Value *find(const char *Name) const {
    return From_.isObject()
               ? From_.find(Name, Name + std::char_traits<char>::length(Name))
               : nullptr;
  }

  bool check(bool Condition) {
    IsComplete_ = IsComplete_ && Condition;
    return Condition;
  }

  const Json::Value &From_;
  bool IsComplete_;
};

template <typename Message, typename Fill>
std::optional<Message> decode(std::string_view Text, Fill Into) {
  const std::optional<Json::Value> Parsed = Codec::parse(Text);
  if (!Parsed)
    return std::nullopt;
  ObjectReader Reader(*Parsed);
  Message Result;
  Into(Reader, Result);
  if (!Reader.isComplete())
    return std::nullopt;
  return Result;
}

Json::Value number(std::int64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

Json::Value loadsToJson(const std::vector<steering::PeerLoad> &From) {
  Json::Value Result(Json::arrayValue);
  for (const steering::PeerLoad &Item : From) {
    Json::Value Entry(Json::objectValue);
    Entry["s"] = Item.Service_.name();
    Entry["t"] = Item.Target_.name();
    Entry["n"] = Item.InFlight_;
    Result.append(std::move(Entry));
  }
  return Result;
}

Json::Value spareSlotsToJson(const std::vector<steering::SpareSlots> &From) {
  Json::Value Result(Json::arrayValue);
  for (const steering::SpareSlots &Item : From) {
    Json::Value Entry(Json::objectValue);
    Entry["s"] = Item.Service_.name();
    Entry["r"] = Item.Region_.name();
    Entry["n"] = Item.Free_;
    Result.append(std::move(Entry));
  }
  return Result;
}

Json::Value offersToJson(const std::vector<budget::SpareOffer> &From) {
  Json::Value Result(Json::arrayValue);
  for (const budget::SpareOffer &Item : From) {
    Json::Value Entry(Json::objectValue);
    Entry["b"] = Item.Budget_;
    Entry["r"] = number(Item.Rate_);
    Entry["t"] = number(Item.Tokens_);
    Result.append(std::move(Entry));
  }
  return Result;
}

Json::Value evidenceToJson(const std::vector<retrying::CrashEvidence> &From) {
  Json::Value Result(Json::arrayValue);
  for (const retrying::CrashEvidence &Item : From) {
    Json::Value Entry(Json::objectValue);
    Entry["f"] = Json::Value(static_cast<Json::UInt64>(Item.Fingerprint_));
    Entry["t"] = Json::Value(static_cast<Json::UInt64>(Item.Target_));
    Entry["a"] = number(base::toMilliseconds(Item.Age_));
    Result.append(std::move(Entry));
  }
  return Result;
}

void readLoadUpdate(ObjectReader &Reader, steering::HostLoadUpdate &Into) {
  Into.Host_ = Reader.id<base::HostId>("h");
  for (const Json::Value &Item : Reader.array("l")) {
    ObjectReader Entry(Item);
    Into.Loads_.push_back({Entry.id<base::ServiceId>("s"),
                           Entry.id<base::TargetId>("t"), Entry.number32("n")});
    Reader.require(Entry.isComplete());
  }
  for (const Json::Value &Item : Reader.array("s")) {
    ObjectReader Entry(Item);
    Into.SpareSlots_.push_back({Entry.id<base::ServiceId>("s"),
                                Entry.id<base::RegionId>("r"),
                                Entry.number32("n")});
    Reader.require(Entry.isComplete());
  }
}

void readOffers(ObjectReader &Reader, std::vector<budget::SpareOffer> &Into) {
  for (const Json::Value &Item : Reader.array("o")) {
    ObjectReader Entry(Item);
    Into.push_back({Entry.text("b"), Entry.amount("r"), Entry.amount("t")});
    Reader.require(Entry.isComplete());
  }
}

void readEvidence(ObjectReader &Reader,
                  std::vector<retrying::CrashEvidence> &Into) {
  for (const Json::Value &Item : Reader.array("c")) {
    ObjectReader Entry(Item);
    retrying::CrashEvidence Read;
    Read.Fingerprint_ = Entry.number("f");
    Read.Target_ = Entry.number("t");
    Read.Age_ = std::chrono::milliseconds(Entry.number32("a"));
    Into.push_back(Read);
    Reader.require(Entry.isComplete());
  }
}

} // namespace

std::string ExchangeCodec::encode(const HostReport &From) {
  Json::Value Result(Json::objectValue);
  Result["h"] = From.LoadUpdate_.Host_.name();
  Result["l"] = loadsToJson(From.LoadUpdate_.Loads_);
  Result["s"] = spareSlotsToJson(From.LoadUpdate_.SpareSlots_);
  Result["o"] = offersToJson(From.Offers_);
  Result["c"] = evidenceToJson(From.Evidence_);
  Result["e"] = Json::Value(static_cast<Json::UInt64>(From.EnteredEpoch_));
  return Codec::write(Result);
}

std::optional<HostReport> ExchangeCodec::decodeReport(std::string_view Text) {
  return decode<HostReport>(Text, [](ObjectReader &Reader, HostReport &Into) {
    readLoadUpdate(Reader, Into.LoadUpdate_);
    readOffers(Reader, Into.Offers_);
    readEvidence(Reader, Into.Evidence_);
    Into.EnteredEpoch_ = Reader.number("e");
  });
}

std::string ExchangeCodec::encode(const steering::SlotRequest &From) {
  Json::Value Result(Json::objectValue);
  Result["a"] = From.Requester_.name();
  Result["ar"] = From.RequesterRegion_.name();
  Result["d"] = From.Donor_.name();
  Result["s"] = From.Service_.name();
  Result["r"] = From.Region_.name();
  Result["n"] = From.Slots_;
  Result["t"] = From.RecallTarget_.name();
  return Codec::write(Result);
}

std::optional<steering::SlotRequest>
ExchangeCodec::decodeSlotRequest(std::string_view Text) {
  return decode<steering::SlotRequest>(
      Text, [](ObjectReader &Reader, steering::SlotRequest &Into) {
        Into.Requester_ = Reader.id<base::HostId>("a");
        Into.RequesterRegion_ = Reader.id<base::RegionId>("ar");
        Into.Donor_ = Reader.id<base::HostId>("d");
        Into.Service_ = Reader.id<base::ServiceId>("s");
        Into.Region_ = Reader.id<base::RegionId>("r");
        Into.Slots_ = Reader.number32("n");
        Into.RecallTarget_ = Reader.id<base::TargetId>("t");
      });
}

std::string ExchangeCodec::encode(const steering::SlotGrant &From) {
  Json::Value Result(Json::objectValue);
  Result["d"] = From.Donor_.name();
  Result["g"] = From.Receiver_.name();
  Result["s"] = From.Service_.name();
  Result["r"] = From.Region_.name();
  Json::Value Counts(Json::arrayValue);
  for (const steering::SlotCount &Item : From.Counts_) {
    Json::Value Entry(Json::objectValue);
    Entry["t"] = Item.Target_.name();
    Entry["n"] = Item.TotalGranted_;
    Counts.append(std::move(Entry));
  }
  Result["c"] = std::move(Counts);
  return Codec::write(Result);
}

std::optional<steering::SlotGrant>
ExchangeCodec::decodeSlotGrant(std::string_view Text) {
  return decode<steering::SlotGrant>(
      Text, [](ObjectReader &Reader, steering::SlotGrant &Into) {
        Into.Donor_ = Reader.id<base::HostId>("d");
        Into.Receiver_ = Reader.id<base::HostId>("g");
        Into.Service_ = Reader.id<base::ServiceId>("s");
        Into.Region_ = Reader.id<base::RegionId>("r");
        for (const Json::Value &Item : Reader.array("c")) {
          ObjectReader Entry(Item);
          Into.Counts_.push_back(
              {Entry.id<base::TargetId>("t"), Entry.number32("n")});
          Reader.require(Entry.isComplete());
        }
      });
}

std::string ExchangeCodec::encode(const budget::ShareRequest &From) {
  Json::Value Result(Json::objectValue);
  Result["b"] = From.Budget_;
  Result["e"] = Json::Value(static_cast<Json::UInt64>(From.Epoch_));
  Result["a"] = From.Requester_.name();
  Result["r"] = number(From.Rate_);
  Result["t"] = number(From.Tokens_);
  return Codec::write(Result);
}

std::optional<budget::ShareRequest>
ExchangeCodec::decodeShareRequest(std::string_view Text) {
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
  Json::Value Result(Json::objectValue);
  Result["b"] = From.Budget_;
  Result["e"] = Json::Value(static_cast<Json::UInt64>(From.Epoch_));
  Result["d"] = From.Donor_.name();
  Result["g"] = From.Receiver_.name();
  Result["q"] = Json::Value(static_cast<Json::UInt64>(From.Sequence_));
  Result["r"] = number(From.Amount_.Rate_);
  Result["c"] = number(From.Amount_.Capacity_);
  Result["t"] = number(From.Tokens_);
  return Codec::write(Result);
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
