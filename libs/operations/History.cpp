#include "operations/History.h"

#include "base/Hash.h"
#include "base/SystemClock.h"
#include "operations/Json.h"
#include "settings/Values.h"
#include "store/ChangeWriter.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::operations {

namespace {

constexpr std::string_view Prefix = "history/";

/// Five reads a second: a quarter of a host's default budget of calls.
constexpr base::Duration ReadPause = std::chrono::milliseconds(200);

/// \returns \p Number with zeros before it, so that paths sort by number.
std::string padded(std::int64_t Number, std::size_t Width) {
  std::string Digits = std::to_string(Number);
  if (Digits.size() < Width)
    Digits.insert(0, Width - Digits.size(), '0');
  return Digits;
}

std::int64_t millisecondsOf(base::WallPoint Time) {
  return base::toMilliseconds(Time.time_since_epoch());
}

/// Store paths hold letters, digits, hyphens; anything else becomes a hyphen.
std::string pathPart(std::string_view Text) {
  std::string Part(Text.substr(0, 40));
  std::replace_if(
      Part.begin(), Part.end(),
      [](unsigned char Byte) { return std::isalnum(Byte) == 0; }, '-');
  return Part;
}

std::string pathOf(const HistoryEntry &Entry) {
  constexpr std::size_t MillisecondDigits = 14;
  std::string Path(Prefix);
  Path += dayOf(Entry.Time_) + "/";
  Path += padded(millisecondsOf(Entry.Time_), MillisecondDigits) + "-";
  return Path + pathPart(Entry.Kind_) + "-" + pathPart(Entry.Id_);
}

} // namespace

std::string dayOf(base::WallPoint Time) {
  constexpr std::size_t DateLength = 10;
  return settings::formatWallTime(Time).substr(0, DateLength);
}

HistoryEntry toEntry(const settings::SettingsChange &Change) {
  HistoryEntry Entry;
  Entry.Time_ = Change.Time_;
  Entry.Kind_ = Change.Kind_;
  Entry.Author_ = Change.Author_;
  Entry.Team_ = Change.Team_.name();
  Entry.Summary_ = Change.Summary_;
  Entry.Id_ = std::to_string(Change.Version_);
  Entry.Paths_ = Change.Paths_;
  return Entry;
}

std::string encodeEntry(const HistoryEntry &Entry) {
  Json::Value Into;
  Into["time_ms"] = Json::Int64(millisecondsOf(Entry.Time_));
  Into["kind"] = Entry.Kind_;
  Into["author"] = Entry.Author_;
  Into["team"] = Entry.Team_;
  Into["summary"] = Entry.Summary_;
  Into["id"] = Entry.Id_;
  Into["paths"] = toJson(Entry.Paths_);
  return writeJson(Into);
}

std::optional<HistoryEntry> decodeEntry(std::string_view Text) {
  const std::optional<Json::Value> Parsed = readJson(Text);
  if (!Parsed)
    return std::nullopt;
  HistoryEntry Entry;
  Entry.Time_ = base::WallPoint(std::chrono::milliseconds(
      static_cast<std::int64_t>(numberOf(*Parsed, "time_ms"))));
  Entry.Kind_ = textOf(*Parsed, "kind");
  Entry.Author_ = textOf(*Parsed, "author");
  Entry.Team_ = textOf(*Parsed, "team");
  Entry.Summary_ = textOf(*Parsed, "summary");
  Entry.Id_ = textOf(*Parsed, "id");
  Entry.Paths_ = textsOf(*Parsed, "paths");
  if (Entry.Kind_.empty())
    return std::nullopt;
  return Entry;
}

boost::asio::awaitable<bool> History::append(HistoryEntry Entry,
                                             base::Error &Last) {
  const std::string Path = pathOf(Entry);
  // The path follows from the entry: what is there already is this entry.
  const store::Change Written{Path, encodeEntry(Entry), 0,
                              [](std::string_view) { return true; }};
  store::ChangeWriter Writer(Store_, base::stableHash(Path));
  const store::PutResult Put = co_await Writer.write(
      Written, base::SystemClock::monotonicNow() + Patience_, Last);
  co_return Put.Status_ == store::PutStatus::Written ||
      Put.Status_ == store::PutStatus::Conflict;
}

boost::asio::awaitable<std::optional<std::vector<HistoryEntry>>>
History::newest(std::size_t Limit, base::WallPoint Until,
                const std::vector<HistoryEntry> &Known, base::Error &Last) {
  Limit = std::min(Limit, LargestLimit);
  Entries KnownByPath;
  for (const HistoryEntry &Each : Known)
    KnownByPath.emplace(pathOf(Each), Each);
  std::vector<HistoryEntry> Found;
  for (int Back = 0; Back < DaysBack && Found.size() < Limit; ++Back) {
    const std::string Day = dayOf(Until - std::chrono::days(Back));
    if (!co_await readDay(Day, Limit, KnownByPath, Found, Last))
      co_return std::nullopt;
  }
  co_return Found;
}

boost::asio::awaitable<bool>
History::readDay(std::string_view Day, std::size_t Limit, const Entries &Known,
                 std::vector<HistoryEntry> &Into, base::Error &Last) {
  const std::string Below = std::string(Prefix) + std::string(Day) + "/";
  auto Listed = co_await Store_.list(Below, Last);
  if (!Listed)
    co_return false;
  std::vector<store::Object> &Objects = *Listed;
  std::sort(Objects.begin(), Objects.end(),
            [](const store::Object &Left, const store::Object &Right) {
              return Left.Path_ > Right.Path_;
            });
  for (const store::Object &Each : Objects) {
    if (Into.size() >= Limit)
      break;
    const auto Match = Known.find(Each.Path_);
    if (Match != Known.end()) {
      Into.push_back(Match->second);
      continue;
    }
    auto Entry = co_await readEntry(Each.Path_, Last);
    if (!Entry)
      co_return false;
    Into.push_back(std::move(*Entry));
  }
  co_return true;
}

boost::asio::awaitable<std::optional<HistoryEntry>>
History::readEntry(const std::string &Path, base::Error &Last) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor);
  Timer.expires_after(ReadPause);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  const auto Read = co_await Store_.get(Path, Last);
  if (!Read)
    co_return std::nullopt;
  auto Entry = decodeEntry(Read->Value_);
  if (!Entry)
    Last = {"history.read", Path, "the object is no entry"};
  co_return Entry;
}

} // namespace lychee::operations
