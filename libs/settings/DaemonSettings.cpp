#include "settings/DaemonSettings.h"

#include "settings/SectionReader.h"

#include <algorithm>
#include <array>

namespace lychee::settings {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t GiB = KiB * KiB * KiB;
constexpr std::size_t Sha256Digits = 64;

void readHost(SectionReader &Section, DaemonSettings &Into) {
  Section.name("name", Into.Host_);
  Section.name("region", Into.Region_);
  Section.name("zone", Into.Zone_);
  Section.count("threads", Into.Threads_, {1, 256});
  Section.address("source", Into.Source_);
  Section.count("descriptors", Into.Descriptors_, {64, 1'000'000});
}

void readCallers(SectionReader &Section, DaemonSettings &Into) {
  Section.listener("listen", Into.Callers_);
  std::uint64_t HeaderLimit = Into.HeaderLimitBytes_;
  Section.size("header_limit", HeaderLimit, {KiB, KiB * KiB});
  Into.HeaderLimitBytes_ = static_cast<std::uint32_t>(HeaderLimit);
  Section.size("body_limit", Into.BodyLimitBytes_, {KiB, 1024 * GiB});
  Section.size("body_memory", Into.BodyMemoryBytes_,
               {4 * KiB * KiB, 1024 * GiB});
  Section.count("connection_limit", Into.ConnectionLimit_, {1, 1'000'000});
  Section.duration("idle_timeout", Into.IdleTimeout_, {100ms, 1h});
  Section.duration("header_timeout", Into.HeaderTimeout_, {100ms, 1h});
  Section.duration("progress_timeout", Into.ProgressTimeout_, {100ms, 1h});
}

void readPeers(SectionReader &Section, DaemonSettings &Into) {
  Section.listener("listen", Into.Peers_);
  Section.peers("seeds", Into.Seeds_);
  Section.secret("secret", Into.FleetSecret_, {32, 1024});
}

void readMetrics(SectionReader &Section, DaemonSettings &Into) {
  Section.listener("listen", Into.Metrics_);
}

void readStore(SectionReader &Section, DaemonSettings &Into) {
  Section.peer("address", Into.Store_);
  Section.duration("timeout", Into.StoreTimeout_, {10ms, 1min});
  Section.number("calls_per_second", Into.StoreCallsPerSecond_, {0.1, 10'000});
}

void readStop(SectionReader &Section, DaemonSettings &Into) {
  Section.duration("lookup_ttl", Into.LookupTimeToLive_, {100ms, 1h});
  Section.duration("deadline", Into.StopDeadline_, {100ms, 1h});
}

void readOperators(SectionReader &Section, DaemonSettings &Into) {
  Section.hexadecimal("bootstrap_token_hash", Into.BootstrapTokenHash_,
                      {Sha256Digits, Sha256Digits}, Need::Optional);
}

void readLog(SectionReader &Section, DaemonSettings &Into) {
  static constexpr std::array<std::string_view, 4> Levels{"debug", "info",
                                                          "warning", "error"};
  const std::size_t Info = 1;
  Into.LogLevel_ = Levels[Section.choice("level", Levels, Info)];
}

void readLive(SectionReader &Section, DaemonSettings &Into) {
  LiveSettings Read;
  std::vector<Endpoint> Seeds;
  Section.listener("directory", Read.Directory_);
  Section.listener("readiness", Read.Readiness_);
  Section.listener("heartbeats", Read.Heartbeats_);
  Section.listener("relays", Read.Relays_);
  Section.peers("seeds", Seeds);
  for (const Endpoint &Each : Seeds)
    Read.SeedAddresses_.push_back(Each.Address_);
  for (const IniEntry *Each : Section.findAll("bound"))
    Read.Bounds_.push_back(Each->Value_);
  for (const IniEntry *Each : Section.findAll("contract"))
    Read.Contracts_.push_back(Each->Value_);
  Section.yesNo("fair_shares", Read.FairShares_);
  Section.yesNo("paced_returns", Read.PacedReturns_);
  Section.yesNo("leading_split", Read.LeadingSplit_);
  Into.Live_ = std::move(Read);
}

void readZone(const IniSection &Section, std::string_view File,
              DaemonSettings &Into, Problems &Found) {
  SectionReader Reader(Section, File, Found);
  base::RegionId Region;
  Reader.name("region", Region);
  Reader.finish();
  if (Into.Live_)
    Into.Live_->Zones_.emplace(base::ZoneId(Section.Name_), Region);
  else
    Reader.rejectSection("the section without [live]", "beside [live] only");
}

struct SectionRule {
  std::string_view Kind_;
  void (*Read_)(SectionReader &, DaemonSettings &);
  /// Whether the section's keys are asked for where it does not stand.
  bool (*Applies_)(const IniDocument &) = nullptr;
};

bool isKind(const IniSection &Section, std::string_view Kind) {
  return Section.Kind_ == Kind && Section.Name_.empty();
}

bool isZone(const IniSection &Section) {
  return Section.Kind_ == "zone" && !Section.Name_.empty();
}

bool hasLive(const IniDocument &Document) {
  return std::any_of(
      Document.Sections_.begin(), Document.Sections_.end(),
      [](const IniSection &Each) { return isKind(Each, "live"); });
}

bool hasNoLive(const IniDocument &Document) { return !hasLive(Document); }

constexpr std::array<SectionRule, 9> Rules{{{"host", readHost},
                                            {"callers", readCallers},
                                            {"peers", readPeers, hasNoLive},
                                            {"metrics", readMetrics},
                                            {"store", readStore},
                                            {"stop", readStop},
                                            {"operators", readOperators},
                                            {"log", readLog},
                                            {"live", readLive, hasLive}}};

void reportUnknownSections(const IniDocument &Document, std::string_view File,
                           Problems &Found) {
  for (const IniSection &Section : Document.Sections_) {
    const bool Known =
        std::any_of(Rules.begin(), Rules.end(), [&](const SectionRule &Rule) {
          return isKind(Section, Rule.Kind_) || isZone(Section);
        });
    if (!Known)
      SectionReader(Section, File, Found)
          .rejectSection("an unknown section",
                         "[host], [callers], [peers], [metrics], [store], "
                         "[stop], [operators], [log], [live], [zone NAME]");
  }
}

/// Reads the first section of the rule's kind; one that does not stand reads
/// as empty, so that its required keys are told as absent.
void readSection(const SectionRule &Rule, const IniDocument &Document,
                 std::string_view File, DaemonSettings &Into, Problems &Found) {
  IniSection Absent;
  Absent.Kind_ = Rule.Kind_;
  const IniSection *Match = nullptr;
  for (const IniSection &Section : Document.Sections_) {
    if (!isKind(Section, Rule.Kind_))
      continue;
    if (Match != nullptr)
      SectionReader(Section, File, Found)
          .rejectSection("the section a second time", "once in a file");
    else
      Match = &Section;
  }
  SectionReader Reader(Match != nullptr ? *Match : Absent, File, Found);
  Rule.Read_(Reader, Into);
  Reader.finish();
}

} // namespace

std::optional<DaemonSettings> parseDaemonSettings(std::string_view Text,
                                                  std::string_view File,
                                                  Problems &Found) {
  const std::size_t Before = Found.size();
  const IniDocument Document = readIni(Text, File, Found);
  DaemonSettings Settings;
  for (const SectionRule &Rule : Rules)
    if (Rule.Applies_ == nullptr || Rule.Applies_(Document))
      readSection(Rule, Document, File, Settings, Found);
  for (const IniSection &Section : Document.Sections_)
    if (isZone(Section))
      readZone(Section, File, Settings, Found);
  reportUnknownSections(Document, File, Found);
  if (Found.size() != Before)
    return std::nullopt;
  return Settings;
}

} // namespace lychee::settings
