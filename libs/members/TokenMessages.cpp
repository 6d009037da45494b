#include "members/TokenMessages.h"

#include <json/json.h>
#include <memory>

namespace lychee::members {

std::string encodeTokenMessage(const TokenMessage &Said) {
  Json::Value Text;
  Text["start"] = Json::UInt64(Said.Start_);
  Text["ticket"] = Json::UInt64(Said.Ticket_);
  if (!Said.Customer_.empty())
    Text["customer"] = Said.Customer_.name();
  if (Said.Wait_)
    Text["wait_ms"] = Json::Int64(base::toMilliseconds(*Said.Wait_));
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Text);
}

std::optional<TokenMessage> decodeTokenMessage(std::string_view Text,
                                               base::Error &Last) {
  Last = {"token.decode", "", "not a message about tokens"};
  Json::Value Said;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Said,
                     &Last.Reason_) ||
      !Said.isObject() || !Said["start"].isUInt64() ||
      !Said["ticket"].isUInt64())
    return std::nullopt;
  TokenMessage Read;
  Read.Start_ = Said["start"].asUInt64();
  Read.Ticket_ = Said["ticket"].asUInt64();
  if (Said["customer"].isString())
    Read.Customer_ = base::CustomerId(Said["customer"].asString());
  if (Said["wait_ms"].isInt64())
    Read.Wait_ = std::chrono::milliseconds(Said["wait_ms"].asInt64());
  return Read;
}

} // namespace lychee::members
