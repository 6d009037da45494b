#include "members/Heartbeat.h"

#include "members/MessageRows.h"

namespace lychee::members {

namespace {

bool readHears(const Json::Value &Rows, Heartbeat &Into) {
  for (const Json::Value &Row : Rows) {
    if (!Row.isString())
      return false;
    Into.LivePeers_.push_back(Row.asString());
  }
  return true;
}

/// Names on the wire are short: a heartbeat goes to each host of a region twice
/// a second.
constexpr const char *HostName = "h";
constexpr const char *StartName = "s";
constexpr const char *SequenceName = "n";
constexpr const char *StateName = "f";
constexpr const char *DemandsName = "d";
constexpr const char *LoadsName = "l";
constexpr const char *EvidenceName = "c";
constexpr const char *HearsName = "o";
constexpr const char *TimesName = "w";
constexpr const char *RegionName = "region";
constexpr const char *ZoneName = "zone";
constexpr const char *AddressName = "at";
constexpr const char *CallersName = "callers";

constexpr unsigned ReadyBit = 1;
constexpr unsigned LeavingBit = 2;
constexpr unsigned StoreTroubleBit = 4;
constexpr unsigned WholeBit = 8;

unsigned stateOf(const Heartbeat &Said) {
  return (Said.Ready_ ? ReadyBit : 0U) | (Said.Leaving_ ? LeavingBit : 0U) |
         (Said.StoreTrouble_ ? StoreTroubleBit : 0U) |
         (Said.IsFull_ ? WholeBit : 0U);
}

void readState(unsigned State, Heartbeat &Into) {
  Into.Ready_ = (State & ReadyBit) != 0;
  Into.Leaving_ = (State & LeavingBit) != 0;
  Into.StoreTrouble_ = (State & StoreTroubleBit) != 0;
  Into.IsFull_ = (State & WholeBit) != 0;
}

void addCard(const HostDescriptor &Card, Json::Value &Into) {
  Into[RegionName] = Card.Region_.name();
  Into[ZoneName] = Card.Zone_.name();
  Into[AddressName] = Card.Address_;
  Into[CallersName] = Card.CallerAddress_;
}

/// Either all of the card is told, or host and start alone.
bool readCard(const Json::Value &Said, Heartbeat &Into) {
  if (!Said[HostName].isString() || !Said[StartName].isUInt64())
    return false;
  Into.Sender_.Host_ = base::HostId(Said[HostName].asString());
  Into.Sender_.Incarnation_ = Said[StartName].asUInt64();
  Into.HasDescriptor_ = Said.isMember(RegionName);
  if (!Into.HasDescriptor_)
    return true;
  for (const char *Name : {RegionName, ZoneName, AddressName, CallersName})
    if (!Said[Name].isString())
      return false;
  Into.Sender_.Region_ = base::RegionId(Said[RegionName].asString());
  Into.Sender_.Zone_ = base::ZoneId(Said[ZoneName].asString());
  Into.Sender_.Address_ = Said[AddressName].asString();
  Into.Sender_.CallerAddress_ = Said[CallersName].asString();
  return true;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &Said) {
  Json::Value Text;
  Text[HostName] = Said.Sender_.Host_.name();
  Text[StartName] = Json::UInt64(Said.Sender_.Incarnation_);
  Text[SequenceName] = Json::UInt64(Said.Sequence_);
  Text[StateName] = stateOf(Said);
  if (Said.HasDescriptor_)
    addCard(Said.Sender_, Text);
  // What is empty is left out.
  if (!Said.Demands_.empty())
    addDemands(Said.Demands_, Text[DemandsName]);
  if (!Said.Loads_.empty())
    addLoads(Said.Loads_, Text[LoadsName]);
  if (!Said.Evidence_.empty())
    addEvidence(Said.Evidence_, Text[EvidenceName]);
  if (!Said.Times_.empty())
    addTimes(Said.Times_, Text[TimesName]);
  for (const std::string &Each : Said.LivePeers_)
    Text[HearsName].append(Each);
  return textOf(Text);
}

std::string encodeHeartbeat(const Heartbeat &Said, std::size_t MostBytes) {
  std::string Text = encodeHeartbeat(Said);
  if (Text.size() <= MostBytes)
    return Text;
  Heartbeat Shorter = Said;
  Shorter.Evidence_.clear();
  Shorter.Times_.clear();
  Shorter.LivePeers_.clear();
  Text = encodeHeartbeat(Shorter);
  if (Text.size() <= MostBytes)
    return Text;
  Shorter.Demands_.clear();
  Shorter.IsFull_ = false;
  return encodeHeartbeat(Shorter);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Text,
                                         base::Error &Last) {
  Last = {"heartbeat.decode", "", "not a heartbeat"};
  const std::optional<Json::Value> Object = objectOf(Text, Last);
  if (!Object)
    return std::nullopt;
  const Json::Value &Said = *Object;
  Heartbeat Read;
  Last.Reason_ = "a field is missing or of another type";
  if (!readCard(Said, Read) || !Said[SequenceName].isUInt64() ||
      !Said[StateName].isUInt() ||
      !readDemands(Said[DemandsName], Read.Demands_) ||
      !readLoads(Said[LoadsName], Read.Loads_) ||
      !readEvidence(Said[EvidenceName], Read.Evidence_) ||
      !readTimes(Said[TimesName], Read.Times_) ||
      !readHears(Said[HearsName], Read))
    return std::nullopt;
  Read.Sequence_ = Said[SequenceName].asUInt64();
  readState(Said[StateName].asUInt(), Read);
  return Read;
}

} // namespace lychee::members
