#include "members/TokenExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
namespace asio = boost::asio;
using members::TokenExchange;
using members::TokenMessage;
using namespace std::chrono_literals;

TEST_GROUP(TokenMessages){
    static std::optional<TokenMessage> decode(const std::string &Text){
        base::Error Ignored;
return members::decodeTokenMessage(Text, Ignored);
}
/// Encodes and decodes a message, and requires that decoding succeeds.
static TokenMessage read(const TokenMessage &Message) {
  const auto Found = decode(members::encodeTokenMessage(Message));
  CHECK(Found.has_value());
  return Found.value_or(TokenMessage());
}
}
;

TEST(TokenMessages, decodingRestoresRequestsAndAnswers) {
  const TokenMessage Request =
      read({7, 42, {base::CustomerId("parish")}, std::nullopt});
  LONGS_EQUAL(7, Request.Incarnation_);
  LONGS_EQUAL(42, Request.Ticket_);
  STRCMP_EQUAL("parish", Request.Wanted_.Customer_.name().c_str());
  const TokenMessage Granted = read({7, 42, {}, std::nullopt});
  CHECK(Granted.Wanted_.empty());
  CHECK_FALSE(Granted.Wait_.has_value());
  const TokenMessage Refused = read({7, 42, {}, 250ms});
  CHECK(Refused.Wait_ == base::Duration(250ms));
}

TEST(TokenMessages, decodingRestoresARequestForATargetsToken) {
  const TokenMessage Request =
      read({7, 42, {{}, members::TargetRate{99, 2.123456, 40ms}}, {}});
  CHECK(Request.Wanted_.Customer_.empty());
  CHECK(Request.Wanted_.Target_.has_value());
  const members::TargetRate Target =
      Request.Wanted_.Target_.value_or(members::TargetRate());
  LONGS_EQUAL(99, Target.Target_);
  DOUBLES_EQUAL(2.123456, Target.PerSecond_.value_or(0), 0);
  CHECK(Target.Age_ == base::Duration(40ms));
}

TEST(TokenMessages, decodingRestoresATokenThatGoesBack) {
  const TokenMessage Refund =
      read({7, 0, {}, std::nullopt, base::CustomerId("parish")});
  CHECK(Refund.Wanted_.empty());
  STRCMP_EQUAL("parish",
               Refund.Refunded_.value_or(base::CustomerId()).name().c_str());
}

TEST(TokenMessages, otherTextsAreRejected) {
  for (const char *Text : {"", "[]", "{}", "x", R"({"start":"7","ticket":1})",
                           R"({"start":7})", R"({"start":7,"ticket":-1})"})
    CHECK_FALSE(decode(Text).has_value());
}

/// Two hosts on addresses of their own; the first one owns two tokens.
TEST_GROUP(TokenExchange) {
  asio::io_context Loop_;
  int Tokens_ = 2;
  std::map<std::uint64_t, std::optional<base::Duration>> Answers_;
  TokenExchange Owner_{Loop_.get_executor(),
                       {"127.0.71.1", 7471},
                       1,
                       {[this](const members::TokenRequest &, base::TimePoint) {
                          return Tokens_-- > 0 ? std::optional<base::Duration>()
                                               : base::Duration(300ms);
                        },
                        [](auto, auto, auto) {}}};
  TokenExchange Requester_{
      Loop_.get_executor(),
      {"127.0.71.2", 7471},
      2,
      {[](const members::TokenRequest &, base::TimePoint) {
         return std::optional<base::Duration>();
       },
       [this](std::uint64_t Ticket, std::optional<base::Duration> Wait,
              base::TimePoint) { Answers_[Ticket] = Wait; }}};

  void setup() override {
    base::Error Last;
    CHECK(Owner_.open(Last));
    CHECK(Requester_.open(Last));
    asio::co_spawn(Loop_, Owner_.receiveAll(), asio::detached);
    asio::co_spawn(Loop_, Requester_.receiveAll(), asio::detached);
  }
  /// Runs until \p Count answers were received. The test runner ends a test
  /// that hangs.
  void runUntilAnswered(std::size_t Count) {
    while (Answers_.size() < Count)
      Loop_.run_one();
  }
};

TEST(TokenExchange, tokensAreGrantedWhileAvailable) {
  for (std::uint64_t Ticket = 1; Ticket <= 3; ++Ticket)
    Requester_.ask("127.0.71.1", Ticket, {base::CustomerId("parish")});
  runUntilAnswered(3);
  CHECK_FALSE(Answers_[1].has_value());
  CHECK_FALSE(Answers_[2].has_value());
  CHECK(Answers_[3] == base::Duration(300ms));
}
