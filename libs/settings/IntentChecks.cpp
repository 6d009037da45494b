#include "settings/IntentParser.h"

#include <algorithm>
#include <limits>
#include <set>

namespace lychee::settings {

namespace {

constexpr double BitsPerByte = 8;

/// Checks one draft; every problem names the section at fault.
class IntentChecks {
public:
  IntentChecks(IntentDraft &Draft, Problems &Found)
      : Draft_(Draft), Wanted_(Draft.Wanted_), Found_(Found) {}

  IntentChecks(const IntentChecks &) = delete;
  IntentChecks &operator=(const IntentChecks &) = delete;

  void run() {
    checkRegions();
    checkLinks();
    checkSites();
    mergeClientBlocks();
    placeTargets();
    checkServices();
    checkKeys();
    for (const auto &[Id, Plan] : Wanted_.Plans_)
      checkPlan(Plan);
  }

private:
  void report(const std::string &Heading, const std::string &Key,
              const std::string &Shown, const std::string &Allowed) {
    const auto Entry = Draft_.Origins_.find(Heading);
    const Origin Place =
        Entry == Draft_.Origins_.end() ? Origin{} : Entry->second;
    const std::string Label = Key.empty() ? Heading : Heading + "." + Key;
    Found_.push_back({Place.File_, Place.Line_, Label, Shown, Allowed});
  }

  base::TeamId teamOf(const std::string &Heading) const {
    const auto Entry = Draft_.Origins_.find(Heading);
    return Entry == Draft_.Origins_.end() ? base::TeamId()
                                          : Entry->second.Team_;
  }

  void checkRegions() {
    for (const auto &[Id, Read] : Wanted_.Regions_)
      for (const base::ZoneId &Zone : Read.Zones_) {
        const auto [Entry, New] = ZoneRegions_.emplace(Zone, Id);
        if (!New)
          report("region " + Id.name(), "zones", Zone.name(),
                 "a zone of one region; " + Entry->second.name() +
                     " has it too");
      }
  }

  void requireRegion(const std::string &Heading, const std::string &Key,
                     const base::RegionId &Region) {
    if (!Region.empty() && !Wanted_.Regions_.contains(Region))
      report(Heading, Key, Region.name(), "a region that a section describes");
  }

  void checkLinks() {
    std::set<std::pair<base::RegionId, base::RegionId>> Pairs;
    for (Link &Read : Wanted_.Links_) {
      if (Read.Right_ < Read.Left_)
        std::swap(Read.Left_, Read.Right_);
      const std::string Heading = linkHeading(Read);
      requireRegion(Heading, "between", Read.Left_);
      requireRegion(Heading, "between", Read.Right_);
      if (!Pairs.emplace(Read.Left_, Read.Right_).second)
        report(Heading, "between", Read.Left_.name() + " " + Read.Right_.name(),
               "one link for each two regions");
    }
  }

  std::string linkHeading(const Link &Read) const {
    return "link " + Read.Id_.name();
  }

  void checkSites() {
    for (const auto &[Id, Read] : Wanted_.Sites_) {
      for (const base::RegionId &Region : Read.Regions_)
        requireRegion("site " + Id.name(), "regions", Region);
      Wanted_.SiteOrder_.push_back(Id);
    }
    if (Wanted_.SiteOrder_.size() > std::numeric_limits<std::uint16_t>::max())
      report("site " + Wanted_.SiteOrder_.back().name(), "",
             std::to_string(Wanted_.SiteOrder_.size()) + " sites",
             "at most 65535");
  }

  void reportBlocks(const Origin &Place, const base::SiteId &Site,
                    const std::string &Shown, const std::string &Allowed) {
    Found_.push_back(
        {Place.File_, Place.Line_, "clients " + Site.name(), Shown, Allowed});
  }

  void mergeClientBlocks() {
    std::size_t Total = 0;
    for (const IntentDraft::SiteBlocks &Group : Draft_.SiteBlocks_)
      Total += Group.Blocks_.size();
    Wanted_.ClientBlocks_.reserve(Total);
    for (const IntentDraft::SiteBlocks &Group : Draft_.SiteBlocks_)
      mergeGroup(Group);
    std::sort(Wanted_.ClientBlocks_.begin(), Wanted_.ClientBlocks_.end());
    reportDoubledBlocks();
  }

  void mergeGroup(const IntentDraft::SiteBlocks &Group) {
    const auto &Order = Wanted_.SiteOrder_;
    const auto Position =
        std::lower_bound(Order.begin(), Order.end(), Group.Site_);
    if (Position == Order.end() || *Position != Group.Site_)
      return reportBlocks(Group.Origin_, Group.Site_, Group.Site_.name(),
                          "a site that a section describes");
    for (ClientBlock Block : Group.Blocks_) {
      Block.SiteIndex_ = static_cast<std::uint16_t>(Position - Order.begin());
      Wanted_.ClientBlocks_.push_back(Block);
    }
  }

  void reportDoubledBlocks() {
    const auto Same = [](const ClientBlock &Left, const ClientBlock &Right) {
      return Left.Network_ == Right.Network_ &&
             Left.PrefixLength_ == Right.PrefixLength_;
    };
    const auto &Blocks = Wanted_.ClientBlocks_;
    auto Match = std::adjacent_find(Blocks.begin(), Blocks.end(), Same);
    while (Match != Blocks.end()) {
      reportDoubledBlock(*Match, *std::next(Match));
      Match = std::adjacent_find(std::next(Match), Blocks.end(), Same);
    }
  }

  void reportDoubledBlock(const ClientBlock &First, const ClientBlock &Second) {
    const base::SiteId &Owner = Wanted_.SiteOrder_[First.SiteIndex_];
    const base::SiteId &Other = Wanted_.SiteOrder_[Second.SiteIndex_];
    for (const IntentDraft::SiteBlocks &Group : Draft_.SiteBlocks_)
      if (Group.Site_ == Other)
        return reportBlocks(Group.Origin_, Other, describe(Second),
                            "a block once; site " + Owner.name() + " has it");
  }

  static std::string describe(const ClientBlock &Block) {
    std::string Text;
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Text += std::to_string(Block.Network_ >> Shift & 0xff) +
              (Shift > 0 ? "." : "");
    return Text + "/" + std::to_string(Block.PrefixLength_);
  }

  void placeTargets() {
    std::map<std::string, base::TargetId> Addresses;
    for (auto &[ServiceName, Read] : Draft_.Targets_) {
      const std::string Heading = "target " + Read.Id_.name();
      if (!Read.Zone_.empty() && !ZoneRegions_.contains(Read.Zone_))
        report(Heading, "zone", Read.Zone_.name(),
               "an availability zone of a region");
      const auto [Entry, New] = Addresses.emplace(Read.Address_, Read.Id_);
      if (!New)
        report(Heading, "address", Read.Address_,
               "an address of one target; " + Entry->second.name() +
                   " has it too");
      const auto Owner = Wanted_.Services_.find(ServiceName);
      if (Owner == Wanted_.Services_.end()) {
        if (!ServiceName.empty())
          report(Heading, "service", ServiceName.name(),
                 "a service that a section describes");
        continue;
      }
      requireSameTeam(Heading, "service", "service " + ServiceName.name());
      Owner->second.Targets_.push_back(Read);
    }
  }

  /// A team may not write into what another team owns, such as a key for
  /// another's customer: it would run requests at that customer's cost.
  void requireSameTeam(const std::string &Heading, const std::string &Key,
                       const std::string &Other) {
    const base::TeamId Owner = teamOf(Other);
    if (Owner != teamOf(Heading))
      report(Heading, Key, Other + " of team " + Owner.name(),
             "one of the own team");
  }

  void checkServices() {
    std::map<std::pair<std::string, std::string>, base::ServiceId> Owners;
    for (const auto &[Id, Read] : Wanted_.Services_) {
      const std::string Heading = "service " + Id.name();
      if (Read.Targets_.empty())
        report(Heading, "", "no target", "at least one [target NAME] of it");
      for (const std::string &Host : Read.HostNames_) {
        const auto [Entry, New] =
            Owners.emplace(std::pair(Host, Read.PathPrefix_), Id);
        if (!New)
          report(Heading, "path", Host + Read.PathPrefix_,
                 "a host and path of one service; " + Entry->second.name() +
                     " has it too");
      }
    }
  }

  void checkKeys() {
    for (const auto &[Id, Read] : Wanted_.Keys_) {
      const std::string Heading = "key " + Id.name();
      if (Read.Customer_.empty())
        continue;
      if (!Wanted_.Customers_.contains(Read.Customer_))
        report(Heading, "customer", Read.Customer_.name(),
               "a customer that a section describes");
      else
        requireSameTeam(Heading, "customer",
                        "customer " + Read.Customer_.name());
    }
  }

  void checkPlan(const ShiftPlan &Plan) {
    const std::string Heading = "shift " + Plan.Id_.name();
    requireRegion(Heading, "from", Plan.From_);
    requireRegion(Heading, "to", Plan.To_);
    if (!Plan.From_.empty() && Plan.From_ == Plan.To_)
      report(Heading, "to", Plan.To_.name(), "another region than from");
    if (Plan.Step_ > Plan.Cap_)
      report(Heading, "step", std::to_string(Plan.Step_), "at most the cap");
    const auto Moved = Wanted_.Services_.find(Plan.Service_);
    if (Moved == Wanted_.Services_.end()) {
      if (!Plan.Service_.empty())
        report(Heading, "service", Plan.Service_.name(),
               "a service that a section describes");
      return;
    }
    requireSameTeam(Heading, "service", "service " + Plan.Service_.name());
    if (slotsIn(Moved->second, Plan.To_) == 0)
      report(Heading, "to", Plan.To_.name(), "a region with targets of it");
    checkPlanLink(Heading, Plan, Moved->second);
  }

  std::uint64_t slotsIn(const Service &Of, const base::RegionId &Region) const {
    std::uint64_t Slots = 0;
    for (const Target &Each : Of.Targets_) {
      const auto Entry = ZoneRegions_.find(Each.Zone_);
      if (Entry != ZoneRegions_.end() && Entry->second == Region)
        Slots += Each.Slots_;
    }
    return Slots;
  }

  /// The moved callers' bytes cross the link from the region they came from.
  /// At most they are what that region's slots could have served.
  void checkPlanLink(const std::string &Heading, const ShiftPlan &Plan,
                     const Service &Moved) {
    if (Plan.From_.empty() || Plan.To_.empty() || Plan.From_ == Plan.To_)
      return;
    const Link *Line = findLink(Plan.From_, Plan.To_);
    if (Line == nullptr)
      return report(Heading, "to", Plan.To_.name(),
                    "a region with a link to " + Plan.From_.name());
    const double RequestsPerSecond =
        static_cast<double>(slotsIn(Moved, Plan.From_)) /
        base::toSeconds(Moved.ExpectedWork_);
    const double BitsPerSecond = Plan.Cap_ * RequestsPerSecond *
                                 static_cast<double>(Moved.ExpectedBytes_) *
                                 BitsPerByte;
    if (BitsPerSecond > static_cast<double>(Line->BitsPerSecond_))
      report(Heading, "cap",
             std::to_string(static_cast<std::uint64_t>(BitsPerSecond)) +
                 " bit/s over the link",
             "at most its " + std::to_string(Line->BitsPerSecond_) + " bit/s");
  }

  const Link *findLink(const base::RegionId &One,
                       const base::RegionId &Other) const {
    for (const Link &Each : Wanted_.Links_)
      if ((Each.Left_ == One && Each.Right_ == Other) ||
          (Each.Left_ == Other && Each.Right_ == One))
        return &Each;
    return nullptr;
  }

  IntentDraft &Draft_;
  Intent &Wanted_;
  Problems &Found_;
  std::map<base::ZoneId, base::RegionId> ZoneRegions_;
};

} // namespace

void checkIntent(IntentDraft &Draft, Problems &Found) {
  IntentChecks(Draft, Found).run();
}

} // namespace lychee::settings
