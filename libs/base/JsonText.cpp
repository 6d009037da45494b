#include "base/JsonText.h"

#include <algorithm>
#include <array>
#include <json/reader.h>
#include <map>
#include <memory>

namespace lychee::base {

namespace {

/// Lead bytes of a character of several bytes, and the bounds of its second
/// byte: shorter forms, surrogates and what is beyond U+10FFFF are excluded.
struct LeadByte {
  unsigned char First_;
  unsigned char Last_;
  int Followers_;
  unsigned char SecondFirst_;
  unsigned char SecondLast_;
};

constexpr std::array<LeadByte, 8> LeadBytes = {{
    {0xC2, 0xDF, 1, 0x80, 0xBF},
    {0xE0, 0xE0, 2, 0xA0, 0xBF},
    {0xE1, 0xEC, 2, 0x80, 0xBF},
    {0xED, 0xED, 2, 0x80, 0x9F},
    {0xEE, 0xEF, 2, 0x80, 0xBF},
    {0xF0, 0xF0, 3, 0x90, 0xBF},
    {0xF1, 0xF3, 3, 0x80, 0xBF},
    {0xF4, 0xF4, 3, 0x80, 0x8F},
}};

constexpr unsigned char FirstNonAscii = 0x80;

bool isAscii(std::string_view Text) noexcept {
  return std::all_of(Text.begin(), Text.end(), [](char Each) {
    return static_cast<unsigned char>(Each) < FirstNonAscii;
  });
}

/// \returns the length of the character that \p Text begins with; 0: none.
std::size_t characterLength(std::string_view Text) noexcept {
  const auto ByteAt = [Text](std::size_t Index) {
    return static_cast<unsigned char>(Text[Index]);
  };
  if (ByteAt(0) < FirstNonAscii)
    return 1;
  for (const LeadByte &Each : LeadBytes) {
    if (ByteAt(0) < Each.First_ || ByteAt(0) > Each.Last_)
      continue;
    const auto Length = static_cast<std::size_t>(Each.Followers_) + 1;
    if (Text.size() < Length || ByteAt(1) < Each.SecondFirst_ ||
        ByteAt(1) > Each.SecondLast_)
      return 0;
    for (std::size_t Index = 2; Index < Length; ++Index)
      if (ByteAt(Index) < 0x80 || ByteAt(Index) > 0xBF)
        return 0;
    return Length;
  }
  return 0;
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is bounded by the parser.
bool hasUtf8Only(const Json::Value &Parsed) {
  if (Parsed.isString()) {
    const char *Begin = nullptr;
    const char *End = nullptr;
    return !Parsed.getString(&Begin, &End) ||
           isUtf8({Begin, static_cast<std::size_t>(End - Begin)});
  }
  if (!Parsed.isObject() && !Parsed.isArray())
    return true;
  for (auto Each = Parsed.begin(); Each != Parsed.end(); ++Each)
    if ((Parsed.isObject() && !isUtf8(Each.name())) || !hasUtf8Only(*Each))
      return false;
  return true;
}

/// Readers are costly to make, and each is used by one thread at a time.
Json::CharReader &readerFor(int MaxDepth) {
  thread_local std::map<int, std::unique_ptr<Json::CharReader>> Readers;
  std::unique_ptr<Json::CharReader> &Reader = Readers[MaxDepth];
  if (Reader)
    return *Reader;
  Json::CharReaderBuilder Builder;
  Builder["collectComments"] = false;
  Builder["allowComments"] = false;
  Builder["allowTrailingCommas"] = false;
  Builder["failIfExtra"] = true;
  Builder["stackLimit"] = MaxDepth;
  Reader.reset(Builder.newCharReader());
  return *Reader;
}

} // namespace

bool isUtf8(std::string_view Text) noexcept {
  while (!Text.empty()) {
    const std::size_t Length = characterLength(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

std::optional<Json::Value> parseJson(std::string_view Text, std::string &Why,
                                     int MaxDepth) {
  Json::CharReader &Reader = readerFor(MaxDepth);
  Json::Value Parsed;
  Why.clear();
  try {
    if (!Reader.parse(Text.data(), Text.data() + Text.size(), &Parsed, &Why)) {
      if (Why.empty())
        Why = "no JSON";
      return std::nullopt;
    }
  } catch (const Json::Exception &Failure) {
    Why = Failure.what();
    return std::nullopt;
  }
  // Characters beyond ASCII come as they are or as escapes.
  const bool MayHaveOthers =
      !isAscii(Text) || Text.find("\\u") != std::string_view::npos;
  if (MayHaveOthers && !hasUtf8Only(Parsed)) {
    Why = "not UTF-8";
    return std::nullopt;
  }
  return Parsed;
}

std::optional<Json::Value> parseJsonObject(std::string_view Text,
                                           std::string &Why, int MaxDepth) {
  std::optional<Json::Value> Parsed = parseJson(Text, Why, MaxDepth);
  if (Parsed && !Parsed->isObject()) {
    Why = "no JSON object";
    return std::nullopt;
  }
  return Parsed;
}

} // namespace lychee::base
