#include "fleet/FleetState.h"

#include "fleet/Codec.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

/// A zone of this many hosts beats to its relay alone; larger ones form a tree
/// of this width, so that no host hears more than this many.
constexpr std::size_t TreeWidth = 8;

std::int64_t millisecondsOf(base::TimePoint Point) {
  return base::toMilliseconds(Point.time_since_epoch());
}

base::TimePoint pointOf(std::int64_t Milliseconds) {
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

/// Rounds an age up: a millisecond too fresh would be wrong.
std::int64_t ageIn(base::Duration Age) { return base::toMilliseconds(Age) + 1; }

/// \returns the members with the relay first, the others in order of names.
std::vector<const Member *> inOrder(const ZoneRecord &Record) {
  std::vector<const Member *> Order;
  for (const Member &Each : Record.Members_)
    if (Each.Host_ == Record.Relay_)
      Order.push_back(&Each);
  for (const Member &Each : Record.Members_)
    if (Each.Host_ != Record.Relay_)
      Order.push_back(&Each);
  return Order;
}

} // namespace

FleetState::FleetState(const LeaseTiming &Terms, const base::ZoneId &Zone,
                       const Member &Self, base::TimePoint Now)
    : Terms_(Terms), Zone_(Zone), Address_(Self.PeerAddress_), Self_(Self),
      Holder_(Terms), Keeper_(Terms, Zone, Self, Now) {}

Json::Value FleetState::beat(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Self_.Sequence_ = Holder_.beat(Now);
  Self_.KnownGeneration_ = Keeper_.record().Generation_;
  Keeper_.hear(Self_, Now);
  Vote_.stated(Self_.Host_, {Replica_.newest(), Now});
  Json::Value Made(Json::objectValue);
  Made["zone"] = Zone_.name();
  Made["from"] = Self_.PeerAddress_;
  Made["record"] = Json::UInt64(Keeper_.version());
  Made["directory"] = Json::UInt64(DirectoryVersion_);
  Made["settings"] = Json::UInt64(Replica_.newest());
  Json::Value Members(Json::arrayValue);
  Members.append(Codec::toJson(Self_));
  for (const auto &[Host, Each] : PassOn_)
    Members.append(Codec::toJson(Each));
  PassOn_.clear();
  Made["members"] = std::move(Members);
  Json::Value Echoes(Json::objectValue);
  for (const auto &[Peer, Reading] : Echoes_)
    Echoes[Peer] = Json::Int64(Reading);
  Made["echoes"] = std::move(Echoes);
  return Made;
}

void FleetState::hearAll(const Json::Value &Request, base::TimePoint Now) {
  if (!Request["members"].isArray())
    return;
  bool First = true;
  for (const Json::Value &Each : Request["members"]) {
    const std::optional<Member> Heard = Codec::toMember(Each);
    if (!Heard || Heard->Host_ == Self_.Host_)
      continue;
    Keeper_.hear(*Heard, Now);
    PassOn_[Heard->Host_] = *Heard;
    const auto Echo = signedIn(Request["echoes"], Self_.Host_.name().c_str());
    // The sender knew what it says after it had read this host's clock.
    if (First && Echo && pointOf(*Echo) <= Now)
      Vote_.stated(Heard->Host_,
                   {numberIn(Request, "settings"), pointOf(*Echo)});
    First = false;
  }
}

Json::Value FleetState::answerBeat(const Json::Value &Request,
                                   base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const bool SameZone =
      Request["zone"].isString() && Request["zone"].asString() == Zone_.name();
  if (SameZone && Request["echoes"].isObject())
    hearAll(Request, Now);
  Json::Value Made(Json::objectValue);
  Made["host"] = Self_.Host_.name();
  Made["clock"] = Json::Int64(millisecondsOf(Now));
  Made["record"] = Json::UInt64(Keeper_.version());
  if (SameZone && Keeper_.version() > numberIn(Request, "record"))
    Made["record_body"] = Codec::toJson(Keeper_.record());
  Made["directory"] = Json::UInt64(DirectoryVersion_);
  if (DirectoryVersion_ > numberIn(Request, "directory"))
    Made["directory_body"] = Codec::toJson(Directory_);
  Made["settings"] = Json::UInt64(Replica_.newest());
  Made["in_force"] = Json::UInt64(Replica_.inForce());
  if (const auto Age = Replica_.age(Now))
    Made["fresh_ms"] = Json::Int64(ageIn(*Age));
  return Made;
}

bool FleetState::beatAnswered(const Json::Value &Answer,
                              base::TimePoint AskedAt, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Clock = signedIn(Answer, "clock");
  if (Clock && Answer["host"].isString())
    Echoes_[Answer["host"].asString()] = *Clock;
  takeRecord(Answer, Now);
  if (const auto Seen = Codec::toDirectory(Answer["directory_body"]))
    enterDirectory(*Seen, numberIn(Answer, "directory"));
  if (const auto Age = signedIn(Answer, "fresh_ms"); Age && *Age >= 0)
    Replica_.confirmNewest(numberIn(Answer, "in_force"),
                           AskedAt - std::chrono::milliseconds(*Age));
  extend(Now);
  return numberIn(Answer, "settings") > Replica_.inForce();
}

void FleetState::takeRecord(const Json::Value &Answer, base::TimePoint Now) {
  const auto Record = Codec::toZoneRecord(Answer["record_body"]);
  if (Record && Record->Zone_ == Zone_)
    observe(*Record, numberIn(Answer, "record"), Now);
}

void FleetState::observe(const ZoneRecord &Record, std::uint64_t Version,
                         base::TimePoint Now) {
  const bool WasMember = Keeper_.isMember();
  Keeper_.observe(Record, Version, Now);
  if (WasMember && !Keeper_.isMember()) {
    // Removed: what this host held may belong to others from here on.
    Guard_.drop();
    Holder_.forget();
  }
  extend(Now);
}

void FleetState::extend(base::TimePoint Now) {
  const Member *Own = Keeper_.record().find(Self_.Host_);
  if (!Own || Own->Incarnation_ != Self_.Incarnation_)
    return;
  Holder_.confirm(Own->Sequence_);
  Guard_.extend(Holder_.until(Keeper_.record(), Self_.Host_, Now), Now);
}

bool FleetState::pledge(const base::HostId &Host, std::uint64_t Admitted,
                        base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const Member *Listed = Keeper_.record().find(Host);
  if (!Listed || Listed->AdmissionGeneration_ != Admitted)
    return false;
  return Keeper_.pledge(Host, Now);
}

std::uint64_t FleetState::admitted() const {
  const std::lock_guard Guard(Lock_);
  const Member *Own = Keeper_.record().find(Self_.Host_);
  return Own && Own->Incarnation_ == Self_.Incarnation_
             ? Own->AdmissionGeneration_
             : 0;
}

void FleetState::pledged(const base::HostId &Host, base::TimePoint AskedAt,
                         base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Holder_.pledge(Host, AskedAt);
  extend(Now);
}

void FleetState::goodbye(const base::HostId &Host) {
  const std::lock_guard Guard(Lock_);
  Keeper_.leave(Host);
  PassOn_.erase(Host);
}

void FleetState::platformGone(const base::HostId &Host) {
  const std::lock_guard Guard(Lock_);
  Keeper_.platformGone(Host);
}

void FleetState::setLeaving() {
  const std::lock_guard Guard(Lock_);
  Self_.Leaving_ = true;
}

std::vector<base::HostId> FleetState::voters(base::TimePoint Now) const {
  std::vector<base::HostId> Found;
  for (const Member &Each : Keeper_.record().Members_)
    if (!Keeper_.leaseIsOver(Each.Host_, Now))
      Found.push_back(Each.Host_);
  return Found;
}

std::optional<Freshness> FleetState::zoneFreshness(base::TimePoint Now) const {
  if (!Keeper_.isMember())
    return std::nullopt;
  return Vote_.ofZone(voters(Now));
}

Json::Value FleetState::views(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  Json::Value Zones(Json::objectValue);
  const auto Add = [&Zones, Now](const base::ZoneId &Zone,
                                 const Freshness &Known) {
    Json::Value &Made = Zones[Zone.name()];
    Made["version"] = Json::UInt64(Known.Version_);
    Made["age_ms"] = Json::Int64(ageIn(Now - Known.At_));
  };
  for (const auto &[Zone, Known] : Vote_.zones())
    Add(Zone, Known);
  if (const auto Own = zoneFreshness(Now))
    Add(Zone_, *Own);
  Json::Value Made(Json::objectValue);
  Made["zones"] = std::move(Zones);
  return Made;
}

void FleetState::viewsAnswered(const Json::Value &Answer,
                               base::TimePoint AskedAt) {
  const std::lock_guard Guard(Lock_);
  const Json::Value &Zones = Answer["zones"];
  if (!Zones.isObject())
    return;
  for (const std::string &Name : Zones.getMemberNames()) {
    if (!Zones[Name].isObject() || Name == Zone_.name())
      continue;
    const auto Age = signedIn(Zones[Name], "age_ms");
    if (Age && *Age >= 0)
      Vote_.learned(base::ZoneId(Name),
                    {numberIn(Zones[Name], "version"),
                     AskedAt - std::chrono::milliseconds(*Age)});
  }
}

void FleetState::vote(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  std::vector<base::ZoneId> Others;
  for (const auto &[Zone, Each] : Directory_.Zones_)
    if (Zone != Zone_ && !Each.Members_.empty())
      Others.push_back(Zone);
  if (const auto All = Vote_.ofFleet(zoneFreshness(Now), Others))
    Replica_.confirmNewest(All->Version_, All->At_);
}

void FleetState::sawRecord(const ZoneRecord &Record, std::uint64_t Version,
                           base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  observe(Record, Version, Now);
}

std::optional<RecordPlan> FleetState::beginWrite(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  std::optional<RecordPlan> Plan = Keeper_.plan(Now);
  if (Plan)
    Keeper_.begin(*Plan);
  return Plan;
}

void FleetState::abandonWrite() {
  const std::lock_guard Guard(Lock_);
  Keeper_.abandon();
}

void FleetState::sawDirectory(const Directory &Seen, std::uint64_t Version) {
  const std::lock_guard Guard(Lock_);
  enterDirectory(Seen, Version);
}

void FleetState::enterDirectory(const Directory &Seen, std::uint64_t Version) {
  if (Version <= DirectoryVersion_)
    return;
  Directory_ = Seen;
  DirectoryVersion_ = Version;
  // A host that the directory is without has no part in its epoch.
  if (Directory_.find(Self_.Host_))
    Guard_.enter(Directory_.Epoch_);
}

std::optional<Directory>
FleetState::directoryPlan(std::uint64_t &Version) const {
  const std::lock_guard Guard(Lock_);
  Version = DirectoryVersion_;
  if (!Keeper_.isRelay())
    return std::nullopt;
  return Directory_.with(Keeper_.record());
}

Versions FleetState::versions() const {
  const std::lock_guard Guard(Lock_);
  return {Keeper_.version(), DirectoryVersion_, Replica_.newest()};
}

Directory FleetState::directory() const {
  const std::lock_guard Guard(Lock_);
  return Directory_;
}

ZoneRecord FleetState::record() const {
  const std::lock_guard Guard(Lock_);
  return Keeper_.record();
}

std::uint64_t FleetState::inForce() const {
  const std::lock_guard Guard(Lock_);
  return Replica_.inForce();
}

bool FleetState::isRelay() const {
  const std::lock_guard Guard(Lock_);
  return Keeper_.isRelay();
}

bool FleetState::talksToStore() const {
  const std::lock_guard Guard(Lock_);
  return !Keeper_.isMember() || Keeper_.isRelay() || Keeper_.isStandby();
}

std::vector<Member> FleetState::superiors() const {
  const std::lock_guard Guard(Lock_);
  const std::vector<const Member *> Order = inOrder(Keeper_.record());
  std::size_t Own = Order.size();
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    if (Order[Index]->Host_ == Self_.Host_)
      Own = Index;
  std::vector<Member> Found;
  if (Own == 0)
    return Found;
  const std::size_t Parent = Own == Order.size() ? 0 : (Own - 1) / TreeWidth;
  if (Parent < Order.size())
    Found.push_back(*Order[Parent]);
  for (std::size_t Index = 0; Index < std::min(Own, Order.size()); ++Index)
    if (Index != Parent)
      Found.push_back(*Order[Index]);
  return Found;
}

std::vector<Member> FleetState::zonePeers() const {
  const std::lock_guard Guard(Lock_);
  std::vector<Member> Found;
  for (const Member &Each : Keeper_.record().Members_)
    if (Each.Host_ != Self_.Host_)
      Found.push_back(Each);
  return Found;
}

bool FleetState::needsPledges(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Keeper_.isMember() && Holder_.confirmedUntil() - Now < Terms_.Ttl_ / 2;
}

} // namespace lychee::fleet
