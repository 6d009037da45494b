#include "settings/SettingsRoot.h"

#include <algorithm>
#include <json/json.h>
#include <memory>

namespace lychee::settings {

namespace {

std::int64_t toUnixMilliseconds(base::WallPoint Time) {
  return base::toMilliseconds(Time.time_since_epoch());
}

Json::Value encodeChange(const SettingsChange &Change) {
  Json::Value Into;
  Into["version"] = Json::UInt64(Change.Version_);
  Into["change_id"] = Change.ChangeId_;
  Into["author"] = Change.Author_;
  Into["team"] = Change.Team_.name();
  Into["kind"] = Change.Kind_;
  Into["summary"] = Change.Summary_;
  Into["time_ms"] = Json::Int64(toUnixMilliseconds(Change.Time_));
  Into["paths"] = Json::arrayValue;
  for (const std::string &Path : Change.Paths_)
    Into["paths"].append(Path);
  return Into;
}

/// Takes members out of a JSON object and remembers whether all were there.
class Decoder {
public:
  explicit Decoder(const Json::Value &From) : From_(From) {}
  Decoder(const Decoder &) = delete;
  Decoder &operator=(const Decoder &) = delete;

  void text(const char *Name, std::string &Into) {
    const Json::Value *Member = find(Name);
    if (Member == nullptr || !Member->isString())
      Whole_ = false;
    else
      Into = Member->asString();
  }

  void number(const char *Name, std::uint64_t &Into) {
    const Json::Value *Member = find(Name);
    if (Member == nullptr || !Member->isUInt64())
      Whole_ = false;
    else
      Into = Member->asUInt64();
  }

  /// \returns an array's or object's member, empty where it is neither.
  const Json::Value &members(const char *Name) {
    static const Json::Value None;
    const Json::Value *Member = find(Name);
    if (Member != nullptr && (Member->isArray() || Member->isObject()))
      return *Member;
    Whole_ = false;
    return None;
  }

  bool whole() const noexcept { return Whole_; }

private:
  const Json::Value *find(const char *Name) const {
    if (!From_.isObject() || !From_.isMember(Name))
      return nullptr;
    return &From_[Name];
  }

  const Json::Value &From_;
  bool Whole_ = true;
};

bool decodeChange(const Json::Value &From, SettingsChange &Into) {
  constexpr std::uint64_t LatestMilliseconds = 7'258'118'400'000; // year 2200
  Decoder Members(From);
  std::string Team;
  std::uint64_t Milliseconds = 0;
  Members.number("version", Into.Version_);
  Members.text("change_id", Into.ChangeId_);
  Members.text("author", Into.Author_);
  Members.text("team", Team);
  Members.text("kind", Into.Kind_);
  Members.text("summary", Into.Summary_);
  Members.number("time_ms", Milliseconds);
  for (const Json::Value &Path : Members.members("paths"))
    if (Path.isString())
      Into.Paths_.push_back(Path.asString());
  Into.Team_ = base::TeamId(Team);
  Into.Time_ = base::WallPoint(
      std::chrono::milliseconds(std::min(Milliseconds, LatestMilliseconds)));
  return Members.whole();
}

bool decodeMembers(const Json::Value &From, SettingsRoot &Into) {
  Decoder Members(From);
  Members.number("version", Into.Version_);
  const Json::Value &Documents = Members.members("documents");
  for (auto Each = Documents.begin(); Each != Documents.end(); ++Each) {
    if (!Each->isString())
      return false;
    Into.Documents_[Each.name()] = Each->asString();
  }
  const Json::Value &Teams = Members.members("team_versions");
  for (auto Each = Teams.begin(); Each != Teams.end(); ++Each) {
    if (!Each->isUInt64())
      return false;
    Into.TeamVersions_[base::TeamId(Each.name())] = Each->asUInt64();
  }
  for (const Json::Value &Each : Members.members("recent"))
    if (!decodeChange(Each, Into.Recent_.emplace_back()))
      return false;
  return Members.whole();
}

/// \returns whether \p Text is one JSON value and nothing else.
bool parseJson(std::string_view Text, Json::Value &Into) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  try {
    return Reader->parse(Text.begin(), Text.end(), &Into, nullptr);
  } catch (const Json::Exception &) {
    return false; // Nested deeper than the library's limit.
  }
}

} // namespace

const SettingsChange *
SettingsRoot::findChange(std::string_view ChangeId) const noexcept {
  const auto Match = std::find_if(Recent_.begin(), Recent_.end(),
                                  [ChangeId](const SettingsChange &Change) {
                                    return Change.ChangeId_ == ChangeId;
                                  });
  return Match == Recent_.end() ? nullptr : &*Match;
}

std::string chunkPath(std::string_view Hash) {
  return "settings/chunk/" + std::string(Hash);
}

std::string encodeRoot(const SettingsRoot &Root) {
  Json::Value Into;
  Into["version"] = Json::UInt64(Root.Version_);
  Into["documents"] = Json::objectValue;
  for (const auto &[Path, Hash] : Root.Documents_)
    Into["documents"][Path] = Hash;
  Into["team_versions"] = Json::objectValue;
  for (const auto &[Team, Version] : Root.TeamVersions_)
    Into["team_versions"][Team.name()] = Json::UInt64(Version);
  Into["recent"] = Json::arrayValue;
  for (const SettingsChange &Change : Root.Recent_)
    Into["recent"].append(encodeChange(Change));
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Into);
}

std::optional<SettingsRoot> decodeRoot(std::string_view Text,
                                       base::Error &Last) {
  Json::Value Parsed;
  SettingsRoot Root;
  if (parseJson(Text, Parsed) && decodeMembers(Parsed, Root))
    return Root;
  Last = {"settings.root", std::string(SettingsRoot::Path),
          "the object is not a settings root"};
  return std::nullopt;
}

} // namespace lychee::settings
