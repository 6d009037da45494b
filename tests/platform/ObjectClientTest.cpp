#include "platform/ObjectClient.h"

#include "transport/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace live = lychee::live;
namespace settings = lychee::settings;
namespace transport = lychee::transport;
using lychee::platform::ObjectClient;
using namespace std::chrono_literals;

namespace {

constexpr const char *Page =
    R"({"items":[{"metadata":{"name":"t1","revision":7},)"
    R"("spec":{"sequence":4,"slots":3}}],"hasMore":false,"at":9})";
constexpr const char *FirstPage =
    R"({"items":[{"metadata":{"name":"t0","revision":6}}],"hasMore":true,"at":9})";

} // namespace

/// The adapter against a store that answers from a script.
TEST_GROUP(ObjectClient) {
  asio::io_context Loop_;
  /// Body and era of each answer.
  std::deque<std::pair<std::string, std::string>> Answers_;
  base::Error Last_;

  asio::awaitable<transport::HttpAnswer> answer() {
    transport::HttpAnswer Made;
    Made.Body_ = Answers_.front().first;
    if (!Answers_.front().second.empty())
      Made.Headers_.push_back({"Store-Era", Answers_.front().second});
    Answers_.pop_front();
    co_return Made;
  }

  /// Lists once for each of the answers' eras. \returns the last list.
  std::optional<live::ObjectBatch> list(
      std::deque<std::pair<std::string, std::string>> Answers, int Times = 1) {
    Answers_ = std::move(Answers);
    transport::HttpServer Server(
        Loop_.get_executor(), {.Address_ = "127.0.0.1", .Port_ = 0},
        [this](const transport::HttpRequest &) { return answer(); });
    CHECK(Server.listen(Last_));
    settings::Endpoint Store;
    Store.Address_ = "127.0.0.1";
    Store.Port_ = Server.port();
    ObjectClient Client(Loop_.get_executor(), Store, 1s);
    std::optional<live::ObjectBatch> Result;
    asio::co_spawn(
        Loop_,
        [&]() -> asio::awaitable<void> {
          for (int Time = 0; Time < Times; ++Time)
            Result = co_await Client.list("servers", Last_);
          Loop_.stop();
        },
        [](const std::exception_ptr &) {});
    Loop_.run();
    return Result;
  }
};

TEST(ObjectClient, revisionsAreOfTheErasThatAnswersState) {
  const auto All = list({{Page, "3"}}).value_or(live::ObjectBatch());
  CHECK(All.Revision_ == live::StoreRevision(9, 3));
  LONGS_EQUAL(1, All.Objects_.size());
  CHECK(All.Objects_[0].Revision_ == live::StoreRevision(7, 3));
  CHECK_FALSE(All.Objects_[0].Content_.isMember("sequence"));
}

TEST(ObjectClient, storeThatStatesNoEraHasRevisionsAlone) {
  const auto All = list({{Page, ""}}).value_or(live::ObjectBatch());
  CHECK(All.Revision_ == live::StoreRevision(9));
}

TEST(ObjectClient, answerWithoutAReadableEraIsOfTheLastOne) {
  for (const char *Unreadable : {"", "x", "4x", "-1", "99999999999999999999"}) {
    Loop_.restart();
    const auto All = list({{Page, "3"}, {Page, Unreadable}}, 2)
                         .value_or(live::ObjectBatch());
    CHECK(All.Revision_ == live::StoreRevision(9, 3));
  }
}

// A list whose pages are from before and after a restore is no state that the
// store ever had.
TEST(ObjectClient, pagesOfTwoErasAreAFailure) {
  CHECK_FALSE(list({{FirstPage, "3"}, {Page, "4"}}).has_value());
  Loop_.restart();
  LONGS_EQUAL(2, list({{FirstPage, "4"}, {Page, "4"}})
                     .value_or(live::ObjectBatch())
                     .Objects_.size());
}
