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
/// For messages that can be read.
static TokenMessage read(const TokenMessage &Said) {
  const auto Found = decode(members::encodeTokenMessage(Said));
  CHECK(Found.has_value());
  return Found.value_or(TokenMessage());
}
}
;

TEST(TokenMessages, aQuestionAndItsAnswersComeBackAsTheyWere) {
  const TokenMessage Asked =
      read({7, 42, base::CustomerId("parish"), std::nullopt});
  LONGS_EQUAL(7, Asked.Start_);
  LONGS_EQUAL(42, Asked.Ticket_);
  STRCMP_EQUAL("parish", Asked.Customer_.name().c_str());
  const TokenMessage Given = read({7, 42, {}, std::nullopt});
  CHECK(Given.Customer_.empty());
  CHECK_FALSE(Given.Wait_.has_value());
  const TokenMessage Refused = read({7, 42, {}, 250ms});
  CHECK(Refused.Wait_ == base::Duration(250ms));
}

TEST(TokenMessages, whatIsNoMessageIsNotTaken) {
  for (const char *Text : {"", "[]", "{}", "x", R"({"start":"7","ticket":1})",
                           R"({"start":7})", R"({"start":7,"ticket":-1})"})
    CHECK_FALSE(decode(Text).has_value());
}

/// Two hosts on addresses of their own, of which the first keeps two tokens.
TEST_GROUP(TokenExchange) {
  asio::io_context Loop_;
  int Tokens_ = 2;
  std::map<std::uint64_t, std::optional<base::Duration>> Heard_;
  TokenExchange Keeper_{Loop_.get_executor(),
                        {"127.0.71.1", 7471},
                        1,
                        {[this](const base::CustomerId &, base::TimePoint) {
                           return Tokens_-- > 0
                                      ? std::optional<base::Duration>()
                                      : base::Duration(300ms);
                         },
                         [](auto, auto, auto) {}}};
  TokenExchange Asker_{
      Loop_.get_executor(),
      {"127.0.71.2", 7471},
      2,
      {[](const base::CustomerId &, base::TimePoint) {
         return std::optional<base::Duration>();
       },
       [this](std::uint64_t Ticket, std::optional<base::Duration> Wait,
              base::TimePoint) { Heard_[Ticket] = Wait; }}};

  void setup() override {
    base::Error Last;
    CHECK(Keeper_.open(Last));
    CHECK(Asker_.open(Last));
    asio::co_spawn(Loop_, Keeper_.receiveAll(), asio::detached);
    asio::co_spawn(Loop_, Asker_.receiveAll(), asio::detached);
  }
  /// Runs until so many answers were heard; the runner ends a test that hangs.
  void runUntilHeard(std::size_t Count) {
    while (Heard_.size() < Count)
      Loop_.run_one();
  }
};

TEST(TokenExchange, tokensAreGivenWhileThereAreAny) {
  for (std::uint64_t Ticket = 1; Ticket <= 3; ++Ticket)
    Asker_.ask("127.0.71.1", Ticket, base::CustomerId("parish"));
  runUntilHeard(3);
  CHECK_FALSE(Heard_[1].has_value());
  CHECK_FALSE(Heard_[2].has_value());
  CHECK(Heard_[3] == base::Duration(300ms));
}
