#include "members/TokenMessages.h"

#include "base/JsonText.h"
#include "members/MessageRows.h"

#include <json/json.h>

namespace lychee::members {

namespace {

Json::Value rowOf(const ReturnTerms &Terms) {
  Json::Value Row(Json::arrayValue);
  Row.append(Terms.IsRetry_);
  Row.append(Json::Int64(base::toMilliseconds(Terms.InTime_)));
  Row.append(Json::Int64(base::toMilliseconds(Terms.Latest_)));
  return Row;
}

std::optional<ReturnTerms> readReturnTerms(const Json::Value &Row) {
  if (!Row.isArray() || Row.size() != 3 || !Row[0].isBool() ||
      !Row[1].isInt() || !Row[2].isInt())
    return std::nullopt;
  return ReturnTerms{Row[0].asBool(), std::chrono::milliseconds(Row[1].asInt()),
                     std::chrono::milliseconds(Row[2].asInt())};
}

} // namespace

std::string encodeTokenMessage(const TokenMessage &Message) {
  Json::Value Document;
  Document["start"] = Json::UInt64(Message.Incarnation_);
  Document["ticket"] = Json::UInt64(Message.Ticket_);
  if (!Message.Wanted_.Customer_.empty())
    Document["customer"] = Message.Wanted_.Customer_.name();
  if (Message.Wanted_.Target_)
    Document["target"] = rowOf(*Message.Wanted_.Target_);
  if (Message.Wanted_.Return_)
    Document["return"] = rowOf(*Message.Wanted_.Return_);
  if (Message.Wait_)
    Document["wait_ms"] = Json::Int64(base::toMilliseconds(*Message.Wait_));
  if (Message.Refunded_)
    Document["refund"] = Message.Refunded_->name();
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Document);
}

std::optional<TokenMessage> decodeTokenMessage(std::string_view Text,
                                               base::Error &Last) {
  Last = {"token.decode", "", "not a message about tokens"};
  const auto Parsed = base::parseJsonObject(Text, Last.Reason_);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Document = *Parsed;
  if (!Document["start"].isUInt64() || !Document["ticket"].isUInt64()) {
    Last.Reason_ = "not a message about tokens";
    return std::nullopt;
  }
  TokenMessage Result;
  Result.Incarnation_ = Document["start"].asUInt64();
  Result.Ticket_ = Document["ticket"].asUInt64();
  if (Document["customer"].isString())
    Result.Wanted_.Customer_ =
        base::CustomerId(Document["customer"].asString());
  Result.Wanted_.Target_ = readTargetRate(Document["target"]);
  Result.Wanted_.Return_ = readReturnTerms(Document["return"]);
  if (Document["wait_ms"].isInt64())
    Result.Wait_ = std::chrono::milliseconds(Document["wait_ms"].asInt64());
  if (Document["refund"].isString())
    Result.Refunded_ = base::CustomerId(Document["refund"].asString());
  return Result;
}

} // namespace lychee::members
