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

constexpr std::uint64_t LaterEra = 1;

/// Responds according to a script with one entry per call, and ends the loop
/// after the last one.
class ScriptedSource final : public live::ObjectSource {
public:
  explicit ScriptedSource(asio::io_context &Loop) : Loop_(Loop) {}

  /// "list", "watch", "gone", "cut" or "trouble", in order. "restored": a list
  /// or a watch of a later era than the others.
  std::deque<std::string> Script_;
  std::vector<std::string> Calls_;
  std::vector<live::WatchSpan> Timeouts_;
  /// How long a list takes.
  base::Duration ListTime_{};
  /// Called with the number of the call before it is answered.
  std::function<void(std::size_t)> BeforeAnswer_;

  asio::awaitable<std::optional<live::ObjectBatch>>
  list(std::string_view /*Kind*/, live::SourceFault & /*Fault*/,
       base::Error & /*Last*/) override {
    co_await endWithScript();
    const std::string Answer = next("list");
    asio::steady_timer Timer(Loop_);
    Timer.expires_after(ListTime_);
    co_await Timer.async_wait(asio::use_awaitable);
    if (Answer != "list" && Answer != "restored")
      co_return std::nullopt;
    live::ObjectBatch All;
    All.Revision_ = Answer == "restored" ? live::StoreRevision(3, LaterEra) : 5;
    co_return All;
  }
  asio::awaitable<std::optional<live::ObjectBatch>>
  watch(std::string_view /*Kind*/, live::StoreRevision /*Since*/,
        live::WatchSpan Timeouts, live::SourceFault &Fault,
        base::Error & /*Last*/) override {
    co_await endWithScript();
    const std::string Answer = next("watch");
    Timeouts_.push_back(Timeouts);
    Fault = Answer == "gone"  ? live::SourceFault::HistoryGone
            : Answer == "cut" ? live::SourceFault::WatchCut
                              : live::SourceFault::Trouble;
    if (Answer != "watch" && Answer != "restored")
      co_return std::nullopt;
    live::ObjectBatch Callbacks;
    if (Answer == "restored") {
      Callbacks.Objects_.push_back({"two", {4, LaterEra}, {}, false});
      Callbacks.Revision_ = {4, LaterEra};
      co_return Callbacks;
    }
    Callbacks.Objects_.push_back({"one", 6, {}, false});
    Callbacks.Revision_ = 6;
    co_return Callbacks;
  }
  void cancelStartedBefore(base::TimePoint /*Time*/) override {}
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
  /// Ends the loop at the first call after the script; that call never returns.
  asio::awaitable<void> endWithScript() {
    if (!Script_.empty())
      co_return;
    Loop_.stop();
    asio::steady_timer Never(Loop_, asio::steady_timer::time_point::max());
    co_await Never.async_wait(asio::use_awaitable);
  }

  std::string next(const char *Call) {
    Calls_.emplace_back(Call);
    if (BeforeAnswer_)
      BeforeAnswer_(Calls_.size());
    std::string Answer = Script_.front();
    Script_.pop_front();
    return Answer;
  }

  asio::io_context &Loop_;
};

} // namespace

TEST_GROUP(ObjectFollower) {
  live::RecoverySignal Recovery_;
  asio::io_context Loop_;
  ScriptedSource Source_{Loop_};
  std::unique_ptr<live::ObjectFollower> Follower_;
  int Changed_ = 0;
  int Failures_ = 0;
  int ErasSeen_ = 0;
  std::size_t Missing_ = 0;
  base::TimePoint RestoredAt_;
  base::TimePoint ConfirmedAt_;
  std::function<bool(base::TimePoint)> MustReadStore_;
  std::function<double(base::TimePoint)> BackoffFactor_;
  live::FollowerTimings Timings_{.Watch_ = 1s, .MaxBackoff_ = 10ms};

  /// Receives an update from another host that omits a change, so that it must
  /// be fetched from the store.
  void receiveUpdateWithoutChanges(std::uint64_t Revision,
                                   base::TimePoint RequestedAt) const {
    live::ObjectUpdate Update;
    Update.MustRelist_ = true;
    Update.NewestRevision_ = Revision;
    Follower_->applyUpdate(Update, true, RequestedAt, RequestedAt);
  }

  /// Receives an update with a change, which is the newest one.
  void receiveChange(std::uint64_t Revision, base::TimePoint RequestedAt)
      const {
    live::ObjectUpdate Update;
    Update.Changes_ = {{{"one", Revision, {}, false}}, Revision};
    Update.NewestRevision_ = Revision;
    Follower_->applyUpdate(Update, true, RequestedAt, RequestedAt);
  }

  std::string play(std::deque<std::string> Script) {
    Source_.Script_ = std::move(Script);
    live::FollowerCallbacks Callbacks;
    Callbacks.Changed_ = [this](const auto &) { ++Changed_; };
    Callbacks.Confirmed_ = [this](base::TimePoint At) { ConfirmedAt_ = At; };
    Callbacks.EraSeen_ = [this](std::uint64_t) { ++ErasSeen_; };
    Callbacks.Restored_ = [this](const live::RestoreReport &Done) {
      Missing_ += Done.Missing_;
      RestoredAt_ = base::SystemClock::monotonicNow();
    };
    Callbacks.MustReadStore_ = MustReadStore_;
    Callbacks.BackoffFactor_ = BackoffFactor_;
    Callbacks.Trouble_ = [this](const auto &) { ++Failures_; };
    Follower_ = std::make_unique<live::ObjectFollower>(
        Source_, Recovery_, "kind", Timings_, Callbacks, 1);
    asio::co_spawn(Loop_, Follower_->run(), [](const std::exception_ptr &) {});
    Loop_.run();
    std::string Calls;
    for (const std::string &Call : Source_.Calls_)
      Calls += Call + " ";
    return Calls;
  }
};

TEST(ObjectFollower, listsOnceAndThenWatches) {
  STRCMP_EQUAL("list watch watch ", play({"list", "watch", "watch"}).c_str());
  // The first list and the first watch; the second watch returned the same
  // change.
  LONGS_EQUAL(2, Changed_);
}

TEST(ObjectFollower, listsAgainIfHistoryIsGone) {
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "gone", "list", "watch"}).c_str());
  LONGS_EQUAL(0, Failures_);
}

// A store that loses its history stops delivering changes before it closes its
// watches. A watch started right after the loss received nothing about a zone
// to be kept clear for 20 s, and the host sent requests to it. A list after the
// loss returns the current state.
TEST(ObjectFollower, listsAgainAfterAFailure) {
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "trouble", "list", "watch"}).c_str());
  LONGS_EQUAL(1, Failures_);
}

// A sound store may cut a watch that waits; counted as a failure of the store,
// it kept targets in use that left within the next seconds.
TEST(ObjectFollower, aCutWatchIsNoFailureOfTheStore) {
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "cut", "list", "watch"}).c_str());
  LONGS_EQUAL(0, Failures_);
}

TEST(ObjectFollower, aFailureRightAfterACutWatchCounts) {
  STRCMP_EQUAL("list watch list list watch ",
               play({"list", "cut", "trouble", "list", "watch"}).c_str());
  LONGS_EQUAL(1, Failures_);
}

// Pauses of 5 to 10 ms become 50 to 100 ms, but never exceed MaxPause: however
// many hosts try, a host calls again before its keys become stale.
TEST(ObjectFollower, pausesAreLongerIfOtherHostsTry) {
  BackoffFactor_ = [](base::TimePoint) { return 10; };
  const base::TimePoint Begin = base::SystemClock::monotonicNow();
  STRCMP_EQUAL("list list watch ", play({"trouble", "list", "watch"}).c_str());
  CHECK(base::SystemClock::monotonicNow() - Begin >= 50ms);
}

// Other hosts of the region cannot send what this host missed, so it calls as
// often as it would alone, however many hosts try.
TEST(ObjectFollower, hostWithMissingChangesPausesAsIfAlone) {
  int FactorCalls = 0;
  BackoffFactor_ = [&FactorCalls](base::TimePoint) {
    ++FactorCalls;
    return 1000.0;
  };
  MustReadStore_ = [this](base::TimePoint Now) {
    live::ObjectUpdate Update;
    Update.MustRelist_ = true;
    Follower_->applyUpdate(Update, true, Now, Now);
    return true;
  };
  STRCMP_EQUAL("list watch list list watch ",
               play({"list", "trouble", "trouble", "list", "watch"}).c_str());
  LONGS_EQUAL(0, FactorCalls);
}

// Calls for two kinds of objects fail, and one follower pauses for an hour.
// When the other gets a response, the first must not wait for the end of its
// pause.
TEST(ObjectFollower, recoveryWakesOtherFollowers) {
  bool Woken = false;
  asio::co_spawn(Loop_,
                 Recovery_.wait(1h, lychee::base::SystemClock::monotonicNow()),
                 [&Woken](const std::exception_ptr &) { Woken = true; });
  play({"trouble", "list", "watch"});
  Loop_.restart();
  Loop_.poll();
  CHECK(Woken);
}

// A call for one kind hangs while the store recovers, and another kind gets a
// response. The hung call ends a second later. With its usual pause of 3 s the
// follower recovered so late that a request was sent to a target that had left.
TEST(ObjectFollower, callThatHungDuringRecoveryIsRetriedImmediately) {
  const base::TimePoint CallStart = base::SystemClock::monotonicNow();
  Recovery_.notify(CallStart + 1s);
  bool Woken = false;
  asio::co_spawn(Loop_, Recovery_.wait(1h, CallStart),
                 [&Woken](const std::exception_ptr &) { Woken = true; });
  Loop_.poll();
  CHECK(Woken);
}

// Other hosts send changes, so this one makes no calls. Once it must read the
// store again it lists, because it may have missed changes.
TEST(ObjectFollower, appliesUpdatesOnStandbyAndThenLists) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint) {
    ++Checks;
    if (Checks == 3) {
      const base::TimePoint RequestedAt =
          base::SystemClock::monotonicNow() + 1h;
      live::ObjectUpdate Update;
      Update.Changes_ = {{{"one", 6, {}, false}}, 6};
      Update.NewestRevision_ = 6;
      Update.Age_ = 2s;
      Follower_->applyUpdate(Update, true, RequestedAt, RequestedAt);
      CHECK(ConfirmedAt_ == RequestedAt - 2s);
    }
    return Checks != 2 && Checks != 3;
  };
  STRCMP_EQUAL("list list ", play({"list", "list"}).c_str());
  CHECK(Changed_ >= 2);
}

// Guards against a host that never serves because the store refused it when it
// started, and other hosts answered it by then.
TEST(ObjectFollower, listsUntilItHasAStateWhateverOthersRead) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint) {
    if (++Checks == 3)
      Loop_.stop();
    return false;
  };
  STRCMP_EQUAL("list list ", play({"trouble", "list"}).c_str());
}

// Another host knows of a change that it can no longer send. Its age does not
// confirm the state here, and the store must be read although other hosts read
// it, too.
TEST(ObjectFollower, changeThatNoHostCanSendIsListed) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint) {
    if (++Checks != 2)
      return true;
    const base::TimePoint Before = ConfirmedAt_;
    live::ObjectUpdate Update;
    Update.Changes_ = {{}, 9};
    Update.NewestRevision_ = 8;
    Update.Age_ = 0s;
    Follower_->applyUpdate(Update, true, Before + 1h, Before + 1h);
    CHECK(ConfirmedAt_ == Before);
    return false;
  };
  STRCMP_EQUAL("list list ", play({"list", "list"}).c_str());
}

// A host that has just started is polled before its first list. What it cannot
// send is no reason to read the store; otherwise each restart of a reader would
// make all hosts that poll it list every kind.
TEST(ObjectFollower, updateOfAHostWithoutStateReportsNoMissingChange) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint) {
    if (++Checks == 2) {
      live::ObjectUpdate Update;
      Update.MustRelist_ = true;
      Follower_->applyUpdate(Update, false, ConfirmedAt_, ConfirmedAt_);
    }
    if (Checks == 4)
      Loop_.stop();
    return Checks == 1;
  };
  STRCMP_EQUAL("list ", play({"list", "list"}).c_str());
}

// A watch's connection falls silent while new ones work. A key that is
// withdrawn in the meantime continues to work until this is noticed, so the
// watch must be given up soon after it should have ended. If the store is slow,
// the time-out must be longer; otherwise every watch would be given up.
TEST(ObjectFollower, watchTimeoutFollowsTheStoresResponseTime) {
  Timings_.WatchGrace_ = 10ms;
  play({"list", "watch"});
  CHECK(Source_.Timeouts_.front().Grace_ >= 10ms);
  CHECK(Source_.Timeouts_.front().Grace_ < 30ms);
  Loop_.restart();
  Source_.ListTime_ = 30ms;
  play({"list", "watch"});
  CHECK(Source_.Timeouts_.back().Grace_ >= 60ms);
}

TEST(ObjectFollower, changeOmittedByOthersIsListedOnce) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint Now) {
    if (++Checks == 2)
      receiveUpdateWithoutChanges(9, Now);
    // Requested before the list that the first update caused.
    if (Checks == 3)
      receiveUpdateWithoutChanges(9, *Follower_->contact() - 1ms);
    if (Checks == 5)
      Loop_.stop();
    return Checks == 1;
  };
  STRCMP_EQUAL("list list ", play({"list", "list", "list"}).c_str());
}

TEST(ObjectFollower, changeReceivedFromAnotherHostIsNotListed) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint Now) {
    if (++Checks == 2) {
      receiveUpdateWithoutChanges(6, Now);
      receiveChange(6, Now);
    }
    if (Checks == 4)
      Loop_.stop();
    return Checks == 1;
  };
  STRCMP_EQUAL("list ", play({"list", "list"}).c_str());
}

TEST(ObjectFollower, olderUpdateDoesNotClearAMissingChange) {
  int Checks = 0;
  MustReadStore_ = [&](base::TimePoint Now) {
    if (++Checks == 2) {
      receiveUpdateWithoutChanges(9, Now);
      receiveChange(6, Now);
    }
    if (Checks == 4)
      Loop_.stop();
    return Checks == 1;
  };
  STRCMP_EQUAL("list list ", play({"list", "list"}).c_str());
}

// A watch that hung through the restore answers with changes of the new era,
// without those between the copy and the revision that it began at.
TEST(ObjectFollower, watchOfALaterEraIsNotAppliedButListed) {
  STRCMP_EQUAL("list watch watch list ",
               play({"list", "watch", "restored", "restored"}).c_str());
  // The watched object, and its absence from the copy.
  LONGS_EQUAL(3, Changed_);
  LONGS_EQUAL(2, ErasSeen_);
  LONGS_EQUAL(1, Missing_);
}

// Guards against a host that takes a list of a later era for a list that was
// delayed, lists again and again, and follows the store no more.
TEST(ObjectFollower, listOfALaterEraIsFollowedWhateverItsRevision) {
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "gone", "restored", "restored"}).c_str());
  CHECK(Follower_->revision() == live::StoreRevision(4, LaterEra));
  CHECK(Follower_->isSynced());
}

TEST(ObjectFollower, answersOfAnEarlierEraAreFailures) {
  play({"restored", "watch", "list", "restored"});
  LONGS_EQUAL(1, Failures_);
  CHECK(Follower_->revision() == live::StoreRevision(3, LaterEra));
}

TEST(ObjectFollower, updateOfAnEarlierEraConfirmsNothing) {
  MustReadStore_ = [&, Checks = 0](base::TimePoint Now) mutable {
    if (++Checks != 2)
      return true;
    const base::TimePoint Before = ConfirmedAt_;
    receiveChange(9, Now + 1h);
    CHECK(ConfirmedAt_ == Before);
    return true;
  };
  play({"restored", "restored"});
  CHECK(Follower_->revision() == live::StoreRevision(4, LaterEra));
}

// The copy may lack a withdrawal that was acknowledged before the restore, and
// that operators have not written again yet.
TEST(ObjectFollower, restoredStoreConfirmsNothingLaterThanTheRestore) {
  Timings_.Watch_ = 0s;
  play({"list", "gone", "restored", "restored", "restored"});
  CHECK(RestoredAt_ > base::TimePoint());
  CHECK(ConfirmedAt_ <= RestoredAt_);
}

TEST(ObjectFollower, callCancelledForALaterEraIsNoFailure) {
  Source_.BeforeAnswer_ = [this](std::size_t Call) {
    if (Call == 2)
      Follower_->noteEra(LaterEra);
  };
  STRCMP_EQUAL("list watch list watch ",
               play({"list", "trouble", "restored", "restored"}).c_str());
  LONGS_EQUAL(0, Failures_);
}
