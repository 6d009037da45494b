#include "settings/SectionReader.h"

#include <algorithm>

namespace lychee::settings {

namespace {

constexpr std::string_view NameForm =
    "1 to 40 lower-case letters, digits and inner hyphens";

/// \returns \p Value in the largest unit that shows it whole.
std::string showDuration(base::Duration Value) {
  using namespace std::chrono_literals;
  struct Unit {
    base::Duration Length_;
    const char *Name_;
  };
  constexpr Unit Units[] = {{1h, "h"}, {1min, "m"}, {1s, "s"}, {1ms, "ms"}};
  for (const Unit &U : Units)
    if (Value >= U.Length_ && Value % U.Length_ == 0s)
      return std::to_string(Value / U.Length_) + U.Name_;
  return std::to_string(Value / 1us) + "us";
}

std::string showNumber(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

std::string between(const std::string &Low, const std::string &High) {
  return Low + " to " + High;
}

} // namespace

SectionReader::SectionReader(const IniSection &Section, std::string_view File,
                             Problems &Found)
    : Section_(Section), File_(File), Found_(Found) {}

const IniEntry *SectionReader::find(std::string_view Key, Need Needed) {
  const bool First = !isKnown(Key);
  if (First)
    Known_.emplace_back(Key);
  const IniEntry *Match = nullptr;
  for (const IniEntry &Entry : Section_.Entries_) {
    if (Entry.Key_ != Key)
      continue;
    if (Match != nullptr && First)
      note(Entry.Line_, Key, "the key a second time", "once in a section");
    if (Match == nullptr)
      Match = &Entry;
  }
  if (Match == nullptr && Needed == Need::Required && First)
    note(Section_.Line_, Key, "nothing", "the key must stand here");
  return Match;
}

std::vector<const IniEntry *> SectionReader::findAll(std::string_view Key) {
  Known_.emplace_back(Key);
  std::vector<const IniEntry *> Matches;
  for (const IniEntry &Entry : Section_.Entries_)
    if (Entry.Key_ == Key)
      Matches.push_back(&Entry);
  return Matches;
}

std::vector<std::string_view> SectionReader::words(std::string_view Key,
                                                   Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return {};
  std::vector<std::string_view> Words = splitWords(Entry->Value_);
  if (Words.empty())
    reject(*Entry, "nothing", "at least one word");
  return Words;
}

void SectionReader::count(std::string_view Key, std::uint32_t &Into,
                          Bounds<std::uint32_t> Allowed, Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const auto Value = parseCount(Entry->Value_);
  if (!Value || *Value < Allowed.Low_ || *Value > Allowed.High_)
    return reject(*Entry,
                  "a whole number, " + between(std::to_string(Allowed.Low_),
                                               std::to_string(Allowed.High_)));
  Into = static_cast<std::uint32_t>(*Value);
}

void SectionReader::number(std::string_view Key, double &Into,
                           Bounds<double> Allowed, Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const auto Value = parseNumber(Entry->Value_);
  if (!Value || *Value < Allowed.Low_ || *Value > Allowed.High_)
    return reject(*Entry,
                  "a decimal number, " + between(showNumber(Allowed.Low_),
                                                 showNumber(Allowed.High_)));
  Into = *Value;
}

void SectionReader::duration(std::string_view Key, base::Duration &Into,
                             Bounds<base::Duration> Allowed, Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const auto Value = parseDuration(Entry->Value_);
  if (!Value || *Value < Allowed.Low_ || *Value > Allowed.High_)
    return reject(*Entry, "a whole number with us, ms, s, m or h, " +
                              between(showDuration(Allowed.Low_),
                                      showDuration(Allowed.High_)));
  Into = *Value;
}

void SectionReader::size(std::string_view Key, std::uint64_t &Into,
                         Bounds<std::uint64_t> Allowed, Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const auto Value = parseSize(Entry->Value_);
  if (!Value || *Value < Allowed.Low_ || *Value > Allowed.High_)
    return reject(*Entry, "a whole number with B, KiB, MiB or GiB, " +
                              between(std::to_string(Allowed.Low_) + "B",
                                      std::to_string(Allowed.High_) + "B"));
  Into = *Value;
}

void SectionReader::bitRate(std::string_view Key, std::uint64_t &Into,
                            Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const auto Value = parseBitRate(Entry->Value_);
  if (!Value || *Value == 0)
    return reject(*Entry,
                  "a whole number above 0 with kbit/s, Mbit/s or Gbit/s");
  Into = *Value;
}

void SectionReader::yesNo(std::string_view Key, bool &Into) {
  const IniEntry *Entry = find(Key, Need::Optional);
  if (Entry == nullptr)
    return;
  const auto Value = parseYesNo(Entry->Value_);
  if (!Value)
    return reject(*Entry, "yes or no");
  Into = *Value;
}

void SectionReader::wallTime(std::string_view Key, base::WallPoint &Into) {
  const IniEntry *Entry = find(Key, Need::Required);
  if (Entry == nullptr)
    return;
  const auto Value = parseWallTime(Entry->Value_);
  if (!Value)
    return reject(*Entry, "a time in UTC such as 2026-12-03T08:00:00Z");
  Into = *Value;
}

void SectionReader::address(std::string_view Key, std::string &Into) {
  const IniEntry *Entry = find(Key, Need::Optional);
  if (Entry == nullptr)
    return;
  if (!parseAddress(Entry->Value_))
    return reject(*Entry, "an IPv4 address");
  Into = Entry->Value_;
}

void SectionReader::listener(std::string_view Key, Endpoint &Into) {
  const IniEntry *Entry = find(Key, Need::Required);
  if (Entry == nullptr)
    return;
  const auto Value = parseEndpoint(Entry->Value_);
  if (!Value)
    return reject(*Entry, "IPv4:PORT, port 0 to 65535");
  Into = *Value;
}

void SectionReader::peer(std::string_view Key, Endpoint &Into) {
  const IniEntry *Entry = find(Key, Need::Required);
  if (Entry == nullptr)
    return;
  const auto Value = parseEndpoint(Entry->Value_);
  if (!Value || Value->Port_ == 0)
    return reject(*Entry, "IPv4:PORT, port 1 to 65535");
  Into = *Value;
}

void SectionReader::peers(std::string_view Key, std::vector<Endpoint> &Into) {
  const IniEntry *Entry = find(Key, Need::Optional);
  if (Entry == nullptr)
    return;
  for (const std::string_view Word : splitWords(Entry->Value_)) {
    const auto Value = parseEndpoint(Word);
    if (Value && Value->Port_ != 0)
      Into.push_back(*Value);
    else
      reject(*Entry, Word, "IPv4:PORT, port 1 to 65535, cut by blanks");
  }
}

std::size_t SectionReader::choice(std::string_view Key,
                                  std::span<const std::string_view> Allowed,
                                  std::size_t Default) {
  const IniEntry *Entry = find(Key, Need::Optional);
  if (Entry == nullptr)
    return Default;
  const auto Match = std::find(Allowed.begin(), Allowed.end(), Entry->Value_);
  if (Match != Allowed.end())
    return static_cast<std::size_t>(Match - Allowed.begin());
  std::string All;
  for (const std::string_view Word : Allowed)
    All += (All.empty() ? "" : ", ") + std::string(Word);
  reject(*Entry, "one of " + All);
  return Default;
}

void SectionReader::secret(std::string_view Key, std::string &Into,
                           Bounds<std::size_t> Length, Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const std::size_t Size = Entry->Value_.size();
  if (Size < Length.Low_ || Size > Length.High_)
    return reject(*Entry, std::to_string(Size) + " bytes",
                  between(std::to_string(Length.Low_),
                          std::to_string(Length.High_) + " bytes"));
  Into = Entry->Value_;
}

void SectionReader::hexadecimal(std::string_view Key, std::string &Into,
                                Bounds<std::size_t> Length, Need Needed) {
  const IniEntry *Entry = find(Key, Needed);
  if (Entry == nullptr)
    return;
  const std::size_t Size = Entry->Value_.size();
  if (Size < Length.Low_ || Size > Length.High_ ||
      !isHexadecimal(Entry->Value_))
    return reject(*Entry, "a value of " + std::to_string(Size) + " characters",
                  between(std::to_string(Length.Low_),
                          std::to_string(Length.High_) +
                              " lower-case hexadecimal digits"));
  Into = Entry->Value_;
}

void SectionReader::reject(const IniEntry &Entry, std::string_view Allowed) {
  reject(Entry, Entry.Value_.empty() ? "nothing" : Entry.Value_, Allowed);
}

void SectionReader::reject(const IniEntry &Entry, std::string_view Shown,
                           std::string_view Allowed) {
  note(Entry.Line_, Entry.Key_, Shown, Allowed);
}

void SectionReader::rejectSection(std::string_view Shown,
                                  std::string_view Allowed) {
  Found_.push_back({std::string(File_), Section_.Line_, label(),
                    std::string(Shown), std::string(Allowed)});
}

void SectionReader::finish() {
  std::string All;
  for (const std::string &Key : Known_)
    All += (All.empty() ? "one of " : ", ") + Key;
  for (const IniEntry &Entry : Section_.Entries_)
    if (!isKnown(Entry.Key_))
      note(Entry.Line_, Entry.Key_, "an unknown key", All);
}

bool SectionReader::checkName(const IniEntry &Entry, std::string_view Word) {
  if (isName(Word))
    return true;
  reject(Entry, Word.empty() ? "nothing" : Word, NameForm);
  return false;
}

void SectionReader::note(int Line, std::string_view Key, std::string_view Shown,
                         std::string_view Allowed) {
  Found_.push_back({std::string(File_), Line, label() + "." + std::string(Key),
                    std::string(Shown), std::string(Allowed)});
}

std::string SectionReader::label() const {
  if (Section_.Name_.empty())
    return Section_.Kind_;
  return Section_.Kind_ + " " + Section_.Name_;
}

bool SectionReader::isKnown(std::string_view Key) const {
  return std::find(Known_.begin(), Known_.end(), Key) != Known_.end();
}

} // namespace lychee::settings
