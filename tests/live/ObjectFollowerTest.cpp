#include "live/ObjectFollower.h"

#include "base/SystemClock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace live = lychee::live;
using namespace std::chrono_literals;

namespace {

/// Answers by a script, one entry a call, and ends the loop after the last.
class ScriptedSource final : public live::ObjectSource {
public:
  explicit ScriptedSource(asio::io_context &Loop) : Loop_(Loop) {}

  /// "list", "watch", "gone" or "trouble", in order.
  std::deque<std::string> Script_;
  std::vector<std::string> Calls_;
  std::vector<live::WatchSpan> Spans_;
  /// How long a list takes.
  base::Duration ListTime_{};

  asio::awaitable<std::optional<live::ObjectBatch>>
  list(std::string_view /*Kind*/, base::Error & /*Last*/) override {
    co_await endWithScript();
    const std::string Answer = next("list");
    asio::steady_timer Timer(Loop_);
    Timer.expires_after(ListTime_);
    co_await Timer.async_wait(asio::use_awaitable);
    if (Answer != "list")
      co_return std::nullopt;
    live::ObjectBatch All;
    All.Revision_ = 5;
    co_return All;
  }
  asio::awaitable<std::optional<live::ObjectBatch>>
  watch(std::string_view /*Kind*/, std::uint64_t /*Since*/,
        live::WatchSpan Span, live::SourceFault &Fault,
        base::Error & /*Last*/) override {
    co_await endWithScript();
    const std::string Answer = next("watch");
    Spans_.push_back(Span);
    Fault = Answer == "gone" ? live::SourceFault::HistoryGone
                             : live::SourceFault::Trouble;
    if (Answer != "watch")
      co_return std::nullopt;
    live::ObjectBatch Heard;
    Heard.Objects_.push_back({"one", 6, {}, false});
    Heard.Revision_ = 6;
    co_return Heard;
  }
  void cancelStartedBefore(base::TimePoint /*Moment*/) override {}
  asio::awaitable<bool> write(std::string_view /*Kind*/,
                              std::string_view /*Name*/,
                              Json::Value /*Content*/,
                              base::Error & /*Last*/) override {
    co_return false;
  }
  asio::awaitable<bool> remove(std::string_view /*Kind*/,
                               std::string_view /*Name*/,
                               base::Error & /*Last*/) override {
    co_return false;
  }

private:
  /// Ends the loop at the first call after the script, which never returns.
  asio::awaitable<void> endWithScript() {
    if (!Script_.empty())
      co_return;
    Loop_.stop();
    asio::steady_timer Never(Loop_, asio::steady_timer::time_point::max());
    co_await Never.async_wait(asio::use_awaitable);
  }

  std::string next(const char *Call) {
    Calls_.emplace_back(Call);
    std::string Answer = Script_.front();
    Script_.pop_front();
    return Answer;
  }

  asio::io_context &Loop_;
};

} // namespace

TEST_GROUP(ObjectFollower) {
  live::RecoverySignal Recovered_;
  asio::io_context Loop_;
  ScriptedSource Source_{Loop_};
  std::unique_ptr<live::ObjectFollower> Follower_;
  int Changed_ = 0;
  int Troubles_ = 0;
  base::TimePoint Confirmed_;
  std::function<bool(base::TimePoint)> MustAsk_;
  std::function<double(base::TimePoint)> Spread_;
  live::FollowerTimings Pace_{.Watch_ = 1s, .MaxBackoff_ = 10ms};

  /// Another host heard of a change and sends this one to the store for it.
  void takeLeftOut(std::uint64_t Revision, base::TimePoint AskedAt) const {
    live::ObjectUpdate News;
    News.MustList_ = true;
    News.Newest_ = Revision;
    Follower_->applyUpdate(News, true, AskedAt, AskedAt);
  }

  /// Another host tells a change, and that there is no later one.
  void takeChange(std::uint64_t Revision, base::TimePoint AskedAt) const {
    live::ObjectUpdate News;
    News.Changes_ = {{{"one", Revision, {}, false}}, Revision};
    News.Newest_ = Revision;
    Follower_->applyUpdate(News, true, AskedAt, AskedAt);
  }

  std::string play(std::deque<std::string> Script) {
    Source_.Script_ = std::move(Script);
    live::FollowerCallbacks Heard;
    Heard.Changed_ = [this](const auto &) { ++Changed_; };
    Heard.Confirmed_ = [this](base::TimePoint At) { Confirmed_ = At; };
    Heard.MustReadStore_ = MustAsk_;
    Heard.BackoffFactor_ = Spread_;
    Heard.Trouble_ = [this](const auto &) { ++Troubles_; };
    Follower_ = std::make_unique<live::ObjectFollower>(Source_, Recovered_,
                                                       "kind", Pace_, Heard, 1);
    asio::co_spawn(Loop_, Follower_->run(), [](const std::exception_ptr &) {});
    Loop_.run();
    std::string Calls;
    for (const std::string &Each : Source_.Calls_)
      Calls += Each + " ";
    return Calls;
  }
};

TEST(ObjectFollower, listsOnceAndThenWatches) {
  STRCMP_EQUAL("list watch watch ", play({"list", "watch", "watch"}).c_str());
  // All there is, and what the first watch told; the second told the same.
  LONGS_EQUAL(2, Changed_);
}

TEST(ObjectFollower, listsAgainWhereHistoryIsGone) {
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "gone", "list", "watch"}).c_str());
  LONGS_EQUAL(0, Troubles_);
}

// A store that loses its history goes deaf before it cuts its watches. A watch
// begun right after the cut heard nothing of a zone to be kept clear for 20 s,
// and the host sent into it. A list after the cut shows what is.
TEST(ObjectFollower, listsAgainAfterTrouble) {
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "trouble", "list", "watch"}).c_str());
  LONGS_EQUAL(1, Troubles_);
}

// However many hosts try in its place, a host asks again before its keys are
// stale: pauses of 5 to 10 ms become 50 to 100, and no more than MostPause.
TEST(ObjectFollower, pausesAreLongerWhereOthersTry) {
  Spread_ = [](base::TimePoint) { return 10; };
  const base::TimePoint Begin = base::SystemClock::monotonicNow();
  STRCMP_EQUAL("list list watch ", play({"trouble", "list", "watch"}).c_str());
  CHECK(base::SystemClock::monotonicNow() - Begin >= 50ms);
}

// Others of the region cannot tell what this host missed, so it asks as often
// as it would alone, however many try.
TEST(ObjectFollower, aHostWithAGapAsksAsOftenAsAlone) {
  int Asked = 0;
  Spread_ = [&Asked](base::TimePoint) {
    ++Asked;
    return 1000.0;
  };
  MustAsk_ = [this](base::TimePoint Now) {
    live::ObjectUpdate Gap;
    Gap.MustList_ = true;
    Follower_->applyUpdate(Gap, true, Now, Now);
    return true;
  };
  STRCMP_EQUAL("list watch list list watch ",
               play({"list", "trouble", "trouble", "list", "watch"}).c_str());
  LONGS_EQUAL(0, Asked);
}

// Two kinds are in trouble; one pauses for an hour. The other gets an answer.
// Without the signal the first would come back an hour later.
TEST(ObjectFollower, anAnswerAfterTroubleWakesTheOthers) {
  bool Woken = false;
  asio::co_spawn(Loop_,
                 Recovered_.wait(1h, lychee::base::SystemClock::monotonicNow()),
                 [&Woken](const std::exception_ptr &) { Woken = true; });
  play({"trouble", "list", "watch"});
  Loop_.restart();
  Loop_.poll();
  CHECK(Woken);
}

// One kind's call hangs while the store comes back, and another kind is
// answered. The hung call ends a second later; pausing then for its usual 3 s
// it came back so late that a target that had left was sent to.
TEST(ObjectFollower, aCallThatHungOverTheRecoveryIsRepeatedAtOnce) {
  const base::TimePoint Asked = base::SystemClock::monotonicNow();
  Recovered_.announce(Asked + 1s);
  bool Woken = false;
  asio::co_spawn(Loop_, Recovered_.wait(1h, Asked),
                 [&Woken](const std::exception_ptr &) { Woken = true; });
  Loop_.poll();
  CHECK(Woken);
}

// Other hosts tell what changes, so this one makes no call; once it must ask
// again it lists, since nobody knows what it was not told.
TEST(ObjectFollower, whileItRestsItTakesWhatOthersTellAndThenLists) {
  int Question = 0;
  MustAsk_ = [&](base::TimePoint) {
    ++Question;
    if (Question == 3) {
      const base::TimePoint AskedAt = base::SystemClock::monotonicNow() + 1h;
      live::ObjectUpdate News;
      News.Changes_ = {{{"one", 6, {}, false}}, 6};
      News.Newest_ = 6;
      News.Age_ = 2s;
      Follower_->applyUpdate(News, true, AskedAt, AskedAt);
      CHECK(Confirmed_ == AskedAt - 2s);
    }
    return Question != 2 && Question != 3;
  };
  STRCMP_EQUAL("list list ", play({"list", "list"}).c_str());
  CHECK(Changed_ >= 2);
}

// Another host heard of a change that it cannot tell any more. Its word on how
// fresh that is counts for nothing here, and the store is asked though others
// do, too.
TEST(ObjectFollower, aChangeThatNobodyCanTellIsListed) {
  int Question = 0;
  MustAsk_ = [&](base::TimePoint) {
    if (++Question != 2)
      return true;
    const base::TimePoint Before = Confirmed_;
    live::ObjectUpdate News;
    News.Changes_ = {{}, 9};
    News.Newest_ = 8;
    News.Age_ = 0s;
    Follower_->applyUpdate(News, true, Before + 1h, Before + 1h);
    CHECK(Confirmed_ == Before);
    return false;
  };
  STRCMP_EQUAL("list list ", play({"list", "list"}).c_str());
}

// A host that has just started is asked, and has not listed yet. What it cannot
// tell is no reason to ask the store: else each start of a host that others
// ask makes all of them list every kind.
TEST(ObjectFollower, whatAHostThatKnowsNothingCannotTellIsNoGap) {
  int Question = 0;
  MustAsk_ = [&](base::TimePoint) {
    if (++Question == 2) {
      live::ObjectUpdate News;
      News.MustList_ = true;
      Follower_->applyUpdate(News, false, Confirmed_, Confirmed_);
    }
    if (Question == 4)
      Loop_.stop();
    return Question == 1;
  };
  STRCMP_EQUAL("list ", play({"list", "list"}).c_str());
}

// The connection of a watch falls silent while new ones work. A key withdrawn
// meanwhile goes on working for as long as nobody notices, so the watch is
// given up soon after it should have ended; but not where the store is slow and
// answers late, since then every watch would be given up.
TEST(ObjectFollower, aWatchIsWaitedForNotMuchLongerThanTheStoreTakes) {
  Pace_.WatchGrace_ = 10ms;
  play({"list", "watch"});
  CHECK(Source_.Spans_.front().Grace_ >= 10ms);
  CHECK(Source_.Spans_.front().Grace_ < 30ms);
  Loop_.restart();
  Source_.ListTime_ = 30ms;
  play({"list", "watch"});
  CHECK(Source_.Spans_.back().Grace_ >= 60ms);
}

TEST(ObjectFollower, aChangeThatOthersLeaveOutIsListedOnce) {
  int Question = 0;
  MustAsk_ = [&](base::TimePoint Now) {
    if (++Question == 2)
      takeLeftOut(9, Now);
    // Asked before the list that this brought.
    if (Question == 3)
      takeLeftOut(9, *Follower_->contact() - 1ms);
    if (Question == 5)
      Loop_.stop();
    return Question == 1;
  };
  STRCMP_EQUAL("list list ", play({"list", "list", "list"}).c_str());
}

TEST(ObjectFollower, aHostIsNotSentToTheStoreForWhatAnotherHostToldSince) {
  int Question = 0;
  MustAsk_ = [&](base::TimePoint Now) {
    if (++Question == 2) {
      takeLeftOut(6, Now);
      takeChange(6, Now);
    }
    if (Question == 4)
      Loop_.stop();
    return Question == 1;
  };
  STRCMP_EQUAL("list ", play({"list", "list"}).c_str());
}

TEST(ObjectFollower, newsThatKnowLessThanAnotherHostDoNotCloseAGap) {
  int Question = 0;
  MustAsk_ = [&](base::TimePoint Now) {
    if (++Question == 2) {
      takeLeftOut(9, Now);
      takeChange(6, Now);
    }
    if (Question == 4)
      Loop_.stop();
    return Question == 1;
  };
  STRCMP_EQUAL("list list ", play({"list", "list"}).c_str());
}
