#include "platform/ObjectClient.h"
#include "platform/StandinObjects.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <unistd.h>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace live = lychee::live;
namespace settings = lychee::settings;
using lychee::platform::ObjectClient;
using lychee::standins::StandinObjects;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t StorePort = 7410;

/// Names that mean something else where they are put into a path or a query as
/// they are.
std::vector<std::string> oddNames() {
  using namespace std::string_literals;
  return {
      "a00%#",     "a01%",      "a02&b=",      "a03+",
      "a04%C3%A9", "a05 b",     "a06/../b",    "a07?watch=1",
      "a08;b",     "a09=",      "a10%7A",      "a11\r\nHost: b",
      "a12\x7f",   "a13\0b"s,   "a14\xc3\xa9", "a15\"\\",
      "a16[]{}|^", "a17%2F%00", "%",           "+",
      ".",         "..",        "#",           "a18" + std::string(900, '%')};
}

} // namespace

/// Lists of the adapter that have several pages, from a store that reads a
/// query as RFC 3986 and forms say.
TEST_GROUP(ListPages) {
  const std::string Address_ =
      "127.92." + std::to_string(static_cast<int>(getpid()) % 200) + ".1";
  StandinObjects Store_{Address_, StorePort};
  asio::io_context Loop_;
  live::SourceFault Fault_ = live::SourceFault::Trouble;
  base::Error Last_;

  void setup() override { CHECK(Store_.start(Last_)); }

  template <typename Call> auto run(Call Made) {
    settings::Endpoint Where;
    Where.Address_ = Address_;
    Where.Port_ = StorePort;
    ObjectClient Client(Loop_.get_executor(), Where, 2s);
    typename decltype(Made(Client))::value_type Result{};
    asio::co_spawn(
        Loop_,
        [&]() -> asio::awaitable<void> {
          Result = co_await Made(Client);
          Loop_.stop();
        },
        [](const std::exception_ptr &) {});
    Loop_.run();
    Loop_.restart();
    return Result;
  }

  std::optional<live::ObjectBatch> list() {
    return run([this](ObjectClient &Client) {
      return Client.list("servers", Fault_, Last_);
    });
  }

  /// Checks that a list has each of the names once.
  void checkListed(std::vector<std::string> Names, const std::string &Why) {
    const auto All = list();
    CHECK_TRUE_TEXT(All.has_value(), (Why + Last_.Reason_).c_str());
    std::vector<std::string> Listed;
    for (const live::StoredObject &Each :
         All.value_or(live::ObjectBatch()).Objects_)
      Listed.push_back(Each.Name_);
    std::sort(Names.begin(), Names.end());
    std::sort(Listed.begin(), Listed.end());
    CHECK_TRUE_TEXT(Names == Listed, Why.c_str());
  }
};

// Targets behind an oddly named entry were lost, with an error or silently.
TEST(ListPages, anOddNameAtTheEndOfAPageHidesNothing) {
  for (const std::string &Odd : oddNames()) {
    Store_.put("servers", Odd, {});
    for (const char *Target : {"i-1", "i-2", "z-9"})
      Store_.put("servers", Target, {});
    Store_.setPageEntries(1);
    checkListed({Odd, "i-1", "i-2", "z-9"}, Odd);
    Store_.remove("servers", Odd);
  }
}

TEST(ListPages, manyOddNamesAreListedWithPagesOfAnySize) {
  std::vector<std::string> All = oddNames();
  All.insert(All.end(), {"i-1", "i-2", "z-9"});
  for (const std::string &Each : All)
    Store_.put("servers", Each, {});
  for (std::size_t Entries = 1; Entries <= All.size() + 1; ++Entries) {
    Store_.setPageEntries(Entries);
    checkListed(All, std::to_string(Entries));
  }
}

TEST(ListPages, anOddNameIsWrittenAndRemovedUnderThatName) {
  for (const std::string &Odd : oddNames()) {
    for (int Time = 0; Time < 2; ++Time)
      CHECK_TRUE_TEXT(run([&](ObjectClient &Client) -> asio::awaitable<bool> {
                        co_return co_await Client.write("servers", Odd, {},
                                                        Last_);
                      }),
                      Odd.c_str());
    checkListed({Odd}, Odd);
    CHECK_TRUE_TEXT(run([&](ObjectClient &Client) -> asio::awaitable<bool> {
                      co_return co_await Client.remove("servers", Odd, Last_);
                    }),
                    Odd.c_str());
    LONGS_EQUAL_TEXT(0, Store_.count("servers"), Odd.c_str());
  }
}
