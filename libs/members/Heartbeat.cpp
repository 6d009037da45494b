#include "members/Heartbeat.h"

#include "members/MessageRows.h"

namespace lychee::members {

namespace {

bool readLivePeers(const Json::Value &Rows, Heartbeat &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isString())
      return false;
    Into.LivePeers_.push_back(Row.asString());
  }
  return true;
}

/// Field names are short because a heartbeat goes to each host of a region
/// twice per second.
constexpr const char *HostName = "h";
constexpr const char *IncarnationName = "s";
constexpr const char *SequenceName = "n";
constexpr const char *StateName = "f";
constexpr const char *DemandsName = "d";
constexpr const char *LoadsName = "l";
constexpr const char *EvidenceName = "c";
constexpr const char *LivePeersName = "o";
constexpr const char *TimesName = "w";
constexpr const char *TargetRatesName = "r";
constexpr const char *TargetLeavingsName = "g";
constexpr const char *PressuresName = "p";
constexpr const char *VersionAheadName = "v";
constexpr const char *RegionName = "region";
constexpr const char *ZoneName = "zone";
constexpr const char *AddressName = "at";
constexpr const char *CallersName = "callers";

constexpr unsigned ReadyBit = 1;
constexpr unsigned LeavingBit = 2;
constexpr unsigned StoreTroubleBit = 4;
constexpr unsigned FullBit = 8;
constexpr unsigned TargetsUnreachedBit = 16;

unsigned stateBits(const Heartbeat &Message) {
  return (Message.Ready_ ? ReadyBit : 0U) |
         (Message.Leaving_ ? LeavingBit : 0U) |
         (Message.StoreTrouble_ ? StoreTroubleBit : 0U) |
         (Message.IsFull_ ? FullBit : 0U) |
         (Message.TargetsUnreached_ ? TargetsUnreachedBit : 0U);
}

void readState(unsigned State, Heartbeat &Into) {
  Into.Ready_ = (State & ReadyBit) != 0;
  Into.Leaving_ = (State & LeavingBit) != 0;
  Into.StoreTrouble_ = (State & StoreTroubleBit) != 0;
  Into.IsFull_ = (State & FullBit) != 0;
  Into.TargetsUnreached_ = (State & TargetsUnreachedBit) != 0;
}

void addDescriptor(const HostDescriptor &Descriptor, Json::Value &Into) {
  Into[RegionName] = Descriptor.Region_.name();
  Into[ZoneName] = Descriptor.Zone_.name();
  Into[AddressName] = Descriptor.Address_;
  Into[CallersName] = Descriptor.CallerAddress_;
}

/// Reads the full descriptor, or only host and incarnation if the sender
/// omitted the rest.
bool readDescriptor(const Json::Value &Document, Heartbeat &Into) {
  if (!Document[HostName].isString() || !Document[IncarnationName].isUInt64())
    return false;
  Into.Sender_.Host_ = base::HostId(Document[HostName].asString());
  Into.Sender_.Incarnation_ = Document[IncarnationName].asUInt64();
  Into.HasDescriptor_ = Document.isMember(RegionName);
  if (!Into.HasDescriptor_)
    return true;
  for (const char *Name : {RegionName, ZoneName, AddressName, CallersName})
    if (!Document[Name].isString())
      return false;
  Into.Sender_.Region_ = base::RegionId(Document[RegionName].asString());
  Into.Sender_.Zone_ = base::ZoneId(Document[ZoneName].asString());
  Into.Sender_.Address_ = Document[AddressName].asString();
  Into.Sender_.CallerAddress_ = Document[CallersName].asString();
  return true;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &Message) {
  Json::Value Document;
  Document[HostName] = Message.Sender_.Host_.name();
  Document[IncarnationName] = Json::UInt64(Message.Sender_.Incarnation_);
  Document[SequenceName] = Json::UInt64(Message.Sequence_);
  Document[StateName] = stateBits(Message);
  if (Message.HasDescriptor_)
    addDescriptor(Message.Sender_, Document);
  if (Message.VersionAhead_)
    Document[VersionAheadName] = Json::UInt64(*Message.VersionAhead_);
  // Empty fields are omitted.
  if (!Message.Demands_.empty())
    addDemands(Message.Demands_, Document[DemandsName]);
  if (!Message.Loads_.empty())
    addLoads(Message.Loads_, Document[LoadsName]);
  if (!Message.Pressures_.empty())
    addPressures(Message.Pressures_, Document[PressuresName]);
  if (!Message.Evidence_.empty())
    addEvidence(Message.Evidence_, Document[EvidenceName]);
  if (!Message.TargetRates_.empty())
    addTargetRates(Message.TargetRates_, Document[TargetRatesName]);
  if (!Message.TargetLeavings_.empty())
    addTargetLeavings(Message.TargetLeavings_, Document[TargetLeavingsName]);
  if (!Message.Times_.empty())
    addTimes(Message.Times_, Document[TimesName]);
  for (const std::string &Address : Message.LivePeers_)
    Document[LivePeersName].append(Address);
  return writeJson(Document);
}

std::string encodeHeartbeat(const Heartbeat &Message, std::size_t MaxBytes) {
  std::string Text = encodeHeartbeat(Message);
  if (Text.size() <= MaxBytes)
    return Text;
  Heartbeat Shorter = Message;
  Shorter.Evidence_.clear();
  Shorter.TargetRates_.clear();
  Shorter.TargetLeavings_.clear();
  Shorter.Times_.clear();
  Shorter.LivePeers_.clear();
  Text = encodeHeartbeat(Shorter);
  if (Text.size() <= MaxBytes)
    return Text;
  Shorter.Demands_.clear();
  Shorter.IsFull_ = false;
  Shorter.Pressures_.clear();
  return encodeHeartbeat(Shorter);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Text,
                                         base::Error &Last) {
  Last = {"heartbeat.decode", "", "not a heartbeat"};
  const std::optional<Json::Value> Object = parseObject(Text, Last);
  if (!Object)
    return std::nullopt;
  const Json::Value &Document = *Object;
  Heartbeat Result;
  Last.Reason_ = "a field is missing or of another type";
  if (!readDescriptor(Document, Result) || !Document[SequenceName].isUInt64() ||
      !Document[StateName].isUInt() ||
      !readDemands(Document[DemandsName], Result.Demands_) ||
      !readLoads(Document[LoadsName], Result.Loads_) ||
      !readPressures(Document[PressuresName], Result.Pressures_) ||
      !readEvidence(Document[EvidenceName], Result.Evidence_) ||
      !readTargetRates(Document[TargetRatesName], Result.TargetRates_) ||
      !readTargetLeavings(Document[TargetLeavingsName],
                          Result.TargetLeavings_) ||
      !readTimes(Document[TimesName], Result.Times_) ||
      !readLivePeers(Document[LivePeersName], Result))
    return std::nullopt;
  Result.Sequence_ = Document[SequenceName].asUInt64();
  readState(Document[StateName].asUInt(), Result);
  if (Document[VersionAheadName].isUInt64())
    Result.VersionAhead_ = Document[VersionAheadName].asUInt64();
  return Result;
}

} // namespace lychee::members
