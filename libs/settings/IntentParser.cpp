#include "settings/IntentParser.h"

#include <algorithm>
#include <array>

namespace lychee::settings {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Sha256Digits = 64;
constexpr std::uint64_t GiB = 1ULL << 30;
constexpr std::string_view Suffix = ".ini";
constexpr std::string_view NetworkTeam = "network";

/// The store holds values of a megabyte.
constexpr std::size_t DocumentLimitBytes = std::size_t{1} << 20;

/// What one section's reader works with.
struct Place {
  const IniSection &Section_;
  SectionReader &Reader_;
  const Origin &Origin_;
  IntentDraft &Draft_;
};

void readRegion(const Place &At) {
  Region Read;
  Read.Id_ = base::RegionId(At.Section_.Name_);
  At.Reader_.names("zones", Read.Zones_);
  At.Draft_.Wanted_.Regions_[Read.Id_] = Read;
}

void readLink(const Place &At) {
  Link Read;
  Read.Id_ = base::LinkId(At.Section_.Name_);
  std::vector<base::RegionId> Ends;
  At.Reader_.names("between", Ends);
  At.Reader_.bitRate("capacity", Read.BitsPerSecond_);
  At.Reader_.duration("delay", Read.OneWayDelay_, {0s, 10s}, Need::Required);
  if (const IniEntry *Entry = At.Reader_.find("between", Need::Required);
      Entry != nullptr && (Ends.size() != 2 || Ends[0] == Ends[1]))
    return At.Reader_.reject(*Entry, "two different regions");
  if (Ends.size() != 2)
    return;
  Read.Left_ = Ends[0];
  Read.Right_ = Ends[1];
  At.Draft_.Wanted_.Links_.push_back(Read);
}

void readSite(const Place &At) {
  Site Read;
  Read.Id_ = base::SiteId(At.Section_.Name_);
  At.Reader_.names("regions", Read.Regions_);
  At.Draft_.Wanted_.Sites_[Read.Id_] = Read;
}

void readClients(const Place &At) {
  IntentDraft::SiteBlocks Read;
  Read.Site_ = base::SiteId(At.Section_.Name_);
  Read.Origin_ = At.Origin_;
  for (const IniEntry *Entry : At.Reader_.findAll("blocks"))
    for (const std::string_view Word : splitWords(Entry->Value_)) {
      if (const auto Block = parseNetwork(Word))
        Read.Blocks_.push_back(*Block);
      else
        At.Reader_.reject(*Entry, Word,
                          "IPv4/LENGTH, length 0 to 32, no bit set below it");
    }
  At.Draft_.SiteBlocks_.push_back(std::move(Read));
}

void readService(const Place &At) {
  Service Read;
  Read.Id_ = base::ServiceId(At.Section_.Name_);
  Read.Team_ = At.Origin_.Team_;
  if (const IniEntry *Entry = At.Reader_.find("path", Need::Required)) {
    Read.PathPrefix_ = Entry->Value_;
    if (Read.PathPrefix_.empty() || Read.PathPrefix_.front() != '/')
      At.Reader_.reject(*Entry, "a path that begins with /");
  }
  for (const std::string_view Word : At.Reader_.words("hosts", Need::Required))
    Read.HostNames_.emplace_back(Word);
  for (const std::string_view Word :
       At.Reader_.words("idempotent", Need::Optional))
    Read.IdempotentMethods_.emplace_back(Word);
  At.Reader_.duration("deadline", Read.Deadline_, {10ms, 1h});
  At.Reader_.duration("work", Read.ExpectedWork_, {100us, 10min});
  At.Reader_.size("bytes", Read.ExpectedBytes_, {1, GiB});
  At.Draft_.Wanted_.Services_[Read.Id_] = Read;
}

void readTarget(const Place &At) {
  Target Read;
  base::ServiceId Service;
  Endpoint Address;
  Read.Id_ = base::TargetId(At.Section_.Name_);
  At.Reader_.name("service", Service);
  At.Reader_.name("zone", Read.Zone_);
  At.Reader_.peer("address", Address);
  At.Reader_.count("slots", Read.Slots_, {1, 100'000}, Need::Required);
  At.Reader_.count("connections", Read.Connections_, {1, 1'000'000},
                   Need::Required);
  At.Reader_.yesNo("leaving", Read.Leaving_);
  Read.Address_ = Address.text();
  At.Draft_.Targets_.emplace_back(Service, Read);
}

void readCustomer(const Place &At) {
  constexpr double LargestRate = 1e7;
  Customer Read;
  Read.Id_ = base::CustomerId(At.Section_.Name_);
  Read.Team_ = At.Origin_.Team_;
  At.Reader_.number("rate", Read.RatePerSecond_, {0.001, LargestRate},
                    Need::Required);
  At.Reader_.number("burst", Read.Burst_, {1, LargestRate}, Need::Required);
  At.Reader_.count("weight", Read.Weight_, {1, 1000});
  At.Draft_.Wanted_.Customers_[Read.Id_] = Read;
}

void readKey(const Place &At) {
  constexpr std::size_t ShortestSaltDigits = 16;
  Key Read;
  Read.Id_ = base::KeyId(At.Section_.Name_);
  At.Reader_.name("customer", Read.Customer_);
  At.Reader_.hexadecimal("salt", Read.Salt_,
                         {ShortestSaltDigits, Sha256Digits});
  At.Reader_.hexadecimal("hash", Read.Hash_, {Sha256Digits, Sha256Digits});
  At.Reader_.yesNo("withdrawn", Read.Withdrawn_);
  At.Draft_.Wanted_.Keys_[Read.Id_] = Read;
}

void readShift(const Place &At) {
  static constexpr std::array<std::string_view, 3> States{"running", "held",
                                                          "aborted"};
  ShiftPlan Read;
  Read.Id_ = base::PlanId(At.Section_.Name_);
  At.Reader_.name("service", Read.Service_);
  At.Reader_.name("from", Read.From_);
  At.Reader_.name("to", Read.To_);
  At.Reader_.number("cap", Read.Cap_, {0.001, 1}, Need::Required);
  At.Reader_.number("step", Read.Step_, {0.001, 1}, Need::Required);
  At.Reader_.duration("pace", Read.Pace_, {1s, 24h}, Need::Required);
  At.Reader_.wallTime("start", Read.Start_);
  At.Reader_.number("reached", Read.Reached_, {0, 1});
  Read.State_ =
      static_cast<ShiftPlan::State>(At.Reader_.choice("state", States, 0));
  At.Draft_.Wanted_.Plans_[Read.Id_] = Read;
}

void readTeam(const Place &At) {
  std::string Hash;
  At.Reader_.hexadecimal("token_hash", Hash, {Sha256Digits, Sha256Digits});
  // A team that could name another's token would own its subtree.
  if (At.Section_.Name_ != At.Origin_.Team_.name())
    At.Reader_.rejectSection("the token of another team",
                             "[team " + At.Origin_.Team_.name() +
                                 "] in documents of that team");
  At.Draft_.Wanted_.TeamTokenHashes_[base::TeamId(At.Section_.Name_)] = Hash;
}

void readHost(const Place &At) {
  bool Leaving = false;
  At.Reader_.yesNo("leaving", Leaving);
  if (Leaving)
    At.Draft_.Wanted_.LeavingHosts_.insert(base::HostId(At.Section_.Name_));
}

struct SectionRule {
  std::string_view Kind_;
  void (*Read_)(const Place &);
  /// Whether only the network's team may write it: places and hosts are
  /// shared by all teams, and draining a host takes from all.
  bool OfNetwork_ = false;
  /// Whether two sections may bear the same heading.
  bool Repeatable_ = false;
};

constexpr std::array<SectionRule, 11> Rules{
    {{"region", readRegion, true},
     {"link", readLink, true},
     {"site", readSite, true},
     {"clients", readClients, true, true},
     {"service", readService},
     {"target", readTarget},
     {"customer", readCustomer},
     {"key", readKey},
     {"shift", readShift},
     {"team", readTeam},
     {"host", readHost, true}}};

const SectionRule *findRule(std::string_view Kind) {
  const auto Match =
      std::find_if(Rules.begin(), Rules.end(), [Kind](const SectionRule &Rule) {
        return Rule.Kind_ == Kind;
      });
  return Match == Rules.end() ? nullptr : &*Match;
}

std::string allKinds() {
  std::string All;
  for (const SectionRule &Rule : Rules)
    All += (All.empty() ? "[" : ", [") + std::string(Rule.Kind_) + " NAME]";
  return All;
}

/// \returns whether the heading is new; notes who had it first where not.
bool claimHeading(const IniSection &Section, const Origin &Here,
                  SectionReader &Reader, IntentDraft &Draft) {
  const auto [Entry, New] =
      Draft.Origins_.emplace(Section.Kind_ + " " + Section.Name_, Here);
  if (New)
    return true;
  Reader.rejectSection("a second owner",
                       "one section of this name, which stands at " +
                           Entry->second.text());
  return false;
}

void readSection(const IniSection &Section, const Origin &Here,
                 IntentDraft &Draft, Problems &Found) {
  SectionReader Reader(Section, Here.File_, Found);
  const SectionRule *Rule = findRule(Section.Kind_);
  if (Rule == nullptr)
    return Reader.rejectSection("an unknown section", allKinds());
  if (!isName(Section.Name_))
    return Reader.rejectSection(
        Section.Name_.empty() ? "no name" : "name " + Section.Name_,
        "1 to 40 lower-case letters, digits and inner hyphens");
  if (Rule->OfNetwork_ && Here.Team_.name() != NetworkTeam)
    return Reader.rejectSection("it in a document of team " + Here.Team_.name(),
                                "it in documents of team network only");
  if (!Rule->Repeatable_ && !claimHeading(Section, Here, Reader, Draft))
    return;
  Rule->Read_({Section, Reader, Here, Draft});
  Reader.finish();
}

/// \returns whether \p Path is TEAM/NAME.ini, perhaps with folders between.
bool isDocumentPath(std::string_view Path) {
  if (!Path.ends_with(Suffix))
    return false;
  Path.remove_suffix(Suffix.size());
  std::size_t Parts = 0;
  for (std::size_t Slash = 0; Slash != std::string_view::npos; ++Parts) {
    Slash = Path.find('/');
    if (!isName(Path.substr(0, Slash)))
      return false;
    Path.remove_prefix(Slash == std::string_view::npos ? 0 : Slash + 1);
  }
  return Parts >= 2;
}

} // namespace

void readDocument(std::string_view Path, std::string_view Text,
                  IntentDraft &Draft, Problems &Found) {
  if (!isDocumentPath(Path)) {
    Found.push_back({std::string(Path), 0, "path", std::string(Path),
                     "TEAM/NAME.ini of lower-case letters, digits, hyphens"});
    return;
  }
  if (Text.size() > DocumentLimitBytes) {
    Found.push_back({std::string(Path), 0, "document",
                     std::to_string(Text.size()) + " bytes",
                     "at most " + std::to_string(DocumentLimitBytes) +
                         " bytes; cut it into several"});
    return;
  }
  const IniDocument Document = readIni(Text, Path, Found);
  Origin Here;
  Here.File_ = Path;
  Here.Team_ = base::TeamId(Path.substr(0, Path.find('/')));
  for (const IniSection &Section : Document.Sections_) {
    Here.Line_ = Section.Line_;
    readSection(Section, Here, Draft, Found);
  }
}

} // namespace lychee::settings
