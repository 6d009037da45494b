#include "operations/Json.h"

#include <memory>

namespace lychee::operations {

namespace {

const Json::Value *find(const Json::Value &From, const char *Name) {
  if (!From.isObject() || !From.isMember(Name))
    return nullptr;
  return &From[Name];
}

} // namespace

std::optional<Json::Value> readJson(std::string_view Text) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Parsed;
  try {
    if (Reader->parse(Text.begin(), Text.end(), &Parsed, nullptr))
      return Parsed;
  } catch (const Json::Exception &) {
    return std::nullopt; // Nested deeper than the library's limit.
  }
  return std::nullopt;
}

std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

std::string textOf(const Json::Value &From, const char *Name) {
  const Json::Value *Member = find(From, Name);
  return Member != nullptr && Member->isString() ? Member->asString() : "";
}

std::uint64_t numberOf(const Json::Value &From, const char *Name) {
  const Json::Value *Member = find(From, Name);
  return Member != nullptr && Member->isUInt64() ? Member->asUInt64() : 0;
}

bool flagOf(const Json::Value &From, const char *Name) {
  const Json::Value *Member = find(From, Name);
  return Member != nullptr && Member->isBool() && Member->asBool();
}

std::vector<std::string> textsOf(const Json::Value &From, const char *Name) {
  std::vector<std::string> Texts;
  const Json::Value *Member = find(From, Name);
  if (Member == nullptr || !Member->isArray())
    return Texts;
  for (const Json::Value &Each : *Member)
    if (Each.isString())
      Texts.push_back(Each.asString());
  return Texts;
}

Json::Value toJson(const std::vector<std::string> &Texts) {
  Json::Value Array = Json::arrayValue;
  for (const std::string &Each : Texts)
    Array.append(Each);
  return Array;
}

} // namespace lychee::operations
