#include "fleet/FleetState.h"

#include "fleet/Codec.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

/// Hosts of a zone form a tree of this fan-out with the relay as its root, so
/// that no host receives heartbeats from more than this many. In small zones
/// all hosts send theirs to the relay.
constexpr std::size_t TreeFanOut = 8;

std::int64_t millisecondsOf(base::TimePoint Point) {
  return base::toMilliseconds(Point.time_since_epoch());
}

base::TimePoint timePointOf(std::int64_t Milliseconds) {
  return base::TimePoint(std::chrono::milliseconds(Milliseconds));
}

std::uint64_t numberIn(const Json::Value &From, const char *Name) {
  const Json::Value &Found = From[Name];
  return Found.isUInt64() ? Found.asUInt64() : 0;
}

std::optional<std::int64_t> signedIn(const Json::Value &From,
                                     const char *Name) {
  const Json::Value &Found = From[Name];
  if (!Found.isInt64())
    return std::nullopt;
  return Found.asInt64();
}

/// Rounds the age up, in milliseconds: a value that is too small would
/// overstate freshness.
std::int64_t ageMilliseconds(base::Duration Age) {
  return base::toMilliseconds(Age) + 1;
}

/// \returns the members with the relay first, the others ordered by name.
std::vector<const Member *> heartbeatOrder(const ZoneRecord &Record) {
  std::vector<const Member *> Order;
  for (const Member &Entry : Record.Members_)
    if (Entry.Host_ == Record.Relay_)
      Order.push_back(&Entry);
  for (const Member &Entry : Record.Members_)
    if (Entry.Host_ != Record.Relay_)
      Order.push_back(&Entry);
  return Order;
}

} // namespace

FleetState::FleetState(const LeaseTiming &Timing, const base::ZoneId &Zone,
                       const Member &Self, base::TimePoint Now)
    : Timing_(Timing), Zone_(Zone), Address_(Self.PeerAddress_), Self_(Self),
      Holder_(Timing), Planner_(Timing, Zone, Self, Now) {}

Json::Value FleetState::makeHeartbeat(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Self_.Sequence_ = Holder_.nextHeartbeat(Now);
  Self_.KnownGeneration_ = Planner_.record().Generation_;
  Planner_.receiveHeartbeat(Self_, Now);
  Vote_.recordHost(Self_.Host_, {Replica_.newestVersion(), Now});
  Json::Value Result(Json::objectValue);
  Result["zone"] = Zone_.name();
  Result["from"] = Self_.PeerAddress_;
  Result["record"] = Json::UInt64(Planner_.version());
  Result["directory"] = Json::UInt64(DirectoryVersion_);
  Result["settings"] = Json::UInt64(Replica_.newestVersion());
  Json::Value Members(Json::arrayValue);
  Members.append(Codec::toJson(Self_));
  for (const auto &[Host, Entry] : PendingForward_)
    Members.append(Codec::toJson(Entry));
  PendingForward_.clear();
  Result["members"] = std::move(Members);
  Json::Value Echoes(Json::objectValue);
  for (const auto &[Peer, Reading] : ClockEchoes_)
    Echoes[Peer] = Json::Int64(Reading);
  Result["echoes"] = std::move(Echoes);
  return Result;
}

void FleetState::receiveHeartbeats(const Json::Value &Request,
                                   base::TimePoint Now) {
  if (!Request["members"].isArray())
    return;
  bool First = true;
  for (const Json::Value &Entry : Request["members"]) {
    const std::optional<Member> Received = Codec::toMember(Entry);
    if (!Received || Received->Host_ == Self_.Host_)
      continue;
    Planner_.receiveHeartbeat(*Received, Now);
    PendingForward_[Received->Host_] = *Received;
    const auto Echo = signedIn(Request["echoes"], Self_.Host_.name().c_str());
    // The sender made its statement after it had received this clock reading.
    if (First && Echo && timePointOf(*Echo) <= Now)
      Vote_.recordHost(Received->Host_,
                       {numberIn(Request, "settings"), timePointOf(*Echo)});
    First = false;
  }
}

Json::Value FleetState::answerHeartbeat(const Json::Value &Request,
                                        base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const bool SameZone =
      Request["zone"].isString() && Request["zone"].asString() == Zone_.name();
  if (SameZone && Request["echoes"].isObject())
    receiveHeartbeats(Request, Now);
  Json::Value Result(Json::objectValue);
  Result["host"] = Self_.Host_.name();
  Result["clock"] = Json::Int64(millisecondsOf(Now));
  Result["record"] = Json::UInt64(Planner_.version());
  if (SameZone && Planner_.version() > numberIn(Request, "record"))
    Result["record_body"] = Codec::toJson(Planner_.record());
  Result["directory"] = Json::UInt64(DirectoryVersion_);
  if (DirectoryVersion_ > numberIn(Request, "directory"))
    Result["directory_body"] = Codec::toJson(Directory_);
  Result["settings"] = Json::UInt64(Replica_.newestVersion());
  Result["in_force"] = Json::UInt64(Replica_.appliedVersion());
  if (const auto Age = Replica_.age(Now))
    Result["fresh_ms"] = Json::Int64(ageMilliseconds(*Age));
  return Result;
}

bool FleetState::handleHeartbeatAnswer(const Json::Value &Answer,
                                       base::TimePoint SentAt,
                                       base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Clock = signedIn(Answer, "clock");
  if (Clock && Answer["host"].isString())
    ClockEchoes_[Answer["host"].asString()] = *Clock;
  receiveRecord(Answer, Now);
  if (const auto Seen = Codec::toDirectory(Answer["directory_body"]))
    observeDirectory(*Seen, numberIn(Answer, "directory"));
  if (const auto Age = signedIn(Answer, "fresh_ms"); Age && *Age >= 0)
    Replica_.confirmNewest(numberIn(Answer, "in_force"),
                           SentAt - std::chrono::milliseconds(*Age));
  extendLease(Now);
  return numberIn(Answer, "settings") > Replica_.appliedVersion();
}

void FleetState::receiveRecord(const Json::Value &Answer, base::TimePoint Now) {
  const auto Record = Codec::toZoneRecord(Answer["record_body"]);
  if (Record && Record->Zone_ == Zone_)
    observeRecord(*Record, numberIn(Answer, "record"), Now);
}

void FleetState::observeRecord(const ZoneRecord &Record, std::uint64_t Version,
                               base::TimePoint Now) {
  const bool WasMember = Planner_.isMember();
  Planner_.observe(Record, Version, Now);
  if (WasMember && !Planner_.isMember()) {
    // Removed: the shares of this host may belong to others from now on.
    LeaseGuard_.revoke();
    Holder_.reset();
  }
  extendLease(Now);
}

void FleetState::extendLease(base::TimePoint Now) {
  const Member *Own = Planner_.record().find(Self_.Host_);
  if (!Own || Own->Incarnation_ != Self_.Incarnation_)
    return;
  Holder_.confirmHeartbeat(Own->Sequence_);
  LeaseGuard_.extend(Holder_.expiry(Planner_.record(), Self_.Host_, Now), Now);
}

bool FleetState::grantPledge(const base::HostId &Host,
                             std::uint64_t AdmissionGeneration,
                             base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const Member *Listed = Planner_.record().find(Host);
  if (!Listed || Listed->AdmissionGeneration_ != AdmissionGeneration)
    return false;
  return Planner_.grantPledge(Host, Now);
}

std::uint64_t FleetState::admissionGeneration() const {
  const std::lock_guard Guard(Lock_);
  const Member *Own = Planner_.record().find(Self_.Host_);
  return Own && Own->Incarnation_ == Self_.Incarnation_
             ? Own->AdmissionGeneration_
             : 0;
}

void FleetState::handlePledge(const base::HostId &Host, base::TimePoint SentAt,
                              base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Holder_.recordPledge(Host, SentAt);
  extendLease(Now);
}

void FleetState::handleLeave(const base::HostId &Host) {
  const std::lock_guard Guard(Lock_);
  Planner_.handleLeave(Host);
  PendingForward_.erase(Host);
}

void FleetState::handlePlatformRemoval(const base::HostId &Host) {
  const std::lock_guard Guard(Lock_);
  Planner_.handlePlatformRemoval(Host);
}

void FleetState::setLeaving() {
  const std::lock_guard Guard(Lock_);
  Self_.Leaving_ = true;
}

std::vector<base::HostId> FleetState::voters(base::TimePoint Now) const {
  std::vector<base::HostId> Voters;
  for (const Member &Entry : Planner_.record().Members_)
    if (!Planner_.isLeaseExpired(Entry.Host_, Now))
      Voters.push_back(Entry.Host_);
  return Voters;
}

std::optional<Freshness> FleetState::zoneFreshness(base::TimePoint Now) const {
  if (!Planner_.isMember())
    return std::nullopt;
  return Vote_.zoneFreshness(voters(Now));
}

Json::Value FleetState::freshnessViews(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  Json::Value Zones(Json::objectValue);
  const auto Add = [&Zones, Now](const base::ZoneId &Zone,
                                 const Freshness &Known) {
    Json::Value &Result = Zones[Zone.name()];
    Result["version"] = Json::UInt64(Known.Version_);
    Result["age_ms"] = Json::Int64(ageMilliseconds(Now - Known.At_));
  };
  for (const auto &[Zone, Known] : Vote_.zones())
    Add(Zone, Known);
  if (const auto Own = zoneFreshness(Now))
    Add(Zone_, *Own);
  Json::Value Result(Json::objectValue);
  Result["zones"] = std::move(Zones);
  return Result;
}

void FleetState::handleFreshnessViews(const Json::Value &Answer,
                                      base::TimePoint SentAt) {
  const std::lock_guard Guard(Lock_);
  const Json::Value &Zones = Answer["zones"];
  if (!Zones.isObject())
    return;
  for (const std::string &Name : Zones.getMemberNames()) {
    if (!Zones[Name].isObject() || Name == Zone_.name())
      continue;
    const auto Age = signedIn(Zones[Name], "age_ms");
    if (Age && *Age >= 0)
      Vote_.recordZone(base::ZoneId(Name),
                       {numberIn(Zones[Name], "version"),
                        SentAt - std::chrono::milliseconds(*Age)});
  }
}

void FleetState::applyFreshnessVote(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  std::vector<base::ZoneId> Others;
  for (const auto &[Zone, Entry] : Directory_.Zones_)
    if (Zone != Zone_ && !Entry.Members_.empty())
      Others.push_back(Zone);
  if (const auto All = Vote_.fleetFreshness(zoneFreshness(Now), Others))
    Replica_.confirmNewest(All->Version_, All->At_);
}

void FleetState::handleRecord(const ZoneRecord &Record, std::uint64_t Version,
                              base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  observeRecord(Record, Version, Now);
}

std::optional<RecordPlan> FleetState::beginWrite(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  std::optional<RecordPlan> Plan = Planner_.plan(Now);
  if (Plan)
    Planner_.beginWrite(*Plan);
  return Plan;
}

void FleetState::abandonWrites() {
  const std::lock_guard Guard(Lock_);
  Planner_.abandonWrites();
}

void FleetState::handleDirectory(const Directory &Seen, std::uint64_t Version) {
  const std::lock_guard Guard(Lock_);
  observeDirectory(Seen, Version);
}

void FleetState::observeDirectory(const Directory &Seen,
                                  std::uint64_t Version) {
  if (Version <= DirectoryVersion_)
    return;
  Directory_ = Seen;
  DirectoryVersion_ = Version;
  // A host that the directory does not list takes no part in its epoch.
  if (Directory_.find(Self_.Host_))
    LeaseGuard_.enterEpoch(Directory_.Epoch_);
}

std::optional<Directory>
FleetState::planDirectory(std::uint64_t &Version) const {
  const std::lock_guard Guard(Lock_);
  Version = DirectoryVersion_;
  if (!Planner_.isRelay())
    return std::nullopt;
  return Directory_.withZone(Planner_.record());
}

Versions FleetState::versions() const {
  const std::lock_guard Guard(Lock_);
  return {Planner_.version(), DirectoryVersion_, Replica_.newestVersion()};
}

Directory FleetState::directory() const {
  const std::lock_guard Guard(Lock_);
  return Directory_;
}

ZoneRecord FleetState::zoneRecord() const {
  const std::lock_guard Guard(Lock_);
  return Planner_.record();
}

std::uint64_t FleetState::appliedSettingsVersion() const {
  const std::lock_guard Guard(Lock_);
  return Replica_.appliedVersion();
}

bool FleetState::isRelay() const {
  const std::lock_guard Guard(Lock_);
  return Planner_.isRelay();
}

bool FleetState::talksToStore() const {
  const std::lock_guard Guard(Lock_);
  return !Planner_.isMember() || Planner_.isRelay() || Planner_.isStandby();
}

std::vector<Member> FleetState::heartbeatRecipients() const {
  const std::lock_guard Guard(Lock_);
  const std::vector<const Member *> Order = heartbeatOrder(Planner_.record());
  std::size_t OwnIndex = Order.size();
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    if (Order[Index]->Host_ == Self_.Host_)
      OwnIndex = Index;
  std::vector<Member> Recipients;
  if (OwnIndex == 0)
    return Recipients;
  const std::size_t Parent =
      OwnIndex == Order.size() ? 0 : (OwnIndex - 1) / TreeFanOut;
  if (Parent < Order.size())
    Recipients.push_back(*Order[Parent]);
  for (std::size_t Index = 0; Index < std::min(OwnIndex, Order.size()); ++Index)
    if (Index != Parent)
      Recipients.push_back(*Order[Index]);
  return Recipients;
}

std::vector<Member> FleetState::zonePeers() const {
  const std::lock_guard Guard(Lock_);
  std::vector<Member> Peers;
  for (const Member &Entry : Planner_.record().Members_)
    if (Entry.Host_ != Self_.Host_)
      Peers.push_back(Entry);
  return Peers;
}

bool FleetState::needsPledges(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Planner_.isMember() &&
         Holder_.confirmedExpiry() - Now < Timing_.Ttl_ / 2;
}

} // namespace lychee::fleet
