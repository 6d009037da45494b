#include "gateway/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;

TEST_GROUP(Poll) {
  Fixture Fixture_;
  void setup() override {
    Fixture_.Settings_.PollInterval_ = std::chrono::milliseconds(10);
    Fixture_.Settings_.PollTimeout_ = std::chrono::milliseconds(200);
    Fixture_.start();
  }
  bool sees(
      const std::function<bool(const lychee::gateway::TargetObservation &)>
          &State) {
    return tests::waitFor([&] {
      const auto Seen = Fixture_.Observer_.latest("t1");
      return Seen && State(*Seen);
    });
  }
};

TEST(Poll, healthAndLoadAreReported) {
  CHECK(sees([](const auto &Seen) {
    return Seen.Healthy_ && Seen.HasLoad_ && Seen.Slots_ == 3 &&
           Seen.Running_ == 0;
  }));
  Fixture_.target().setFaults(tests::faultsOf("load=77"));
  CHECK(sees([](const auto &Seen) { return Seen.Running_ == 77; }));
  Fixture_.target().setFaults(tests::faultsOf("down=1"));
  CHECK(sees([](const auto &Seen) {
    return !Seen.Healthy_ && Seen.Reason_ == "health answered 500";
  }));
}

// The poll's own connection goes silent while new ones work. The target is
// well, and a poll that trusted the silent connection would say it is not.
TEST(Poll, aSilentConnectionDoesNotMakeTheTargetUnwell) {
  CHECK(sees([](const auto &Seen) { return Seen.Healthy_; }));
  Fixture_.target().setFaults(tests::faultsOf("silent=1"));
  CHECK(
      tests::waitFor([&] { return Fixture_.target().connectionsMade() >= 2; }));
  const auto Seen = Fixture_.Observer_.latest("t1");
  CHECK(Seen && Seen->Healthy_);
}

TEST(Poll, aDeadTargetIsUnwell) {
  CHECK(sees([](const auto &Seen) { return Seen.Healthy_; }));
  Fixture_.Targets_[0].reset();
  CHECK(sees([](const auto &Seen) {
    return !Seen.Healthy_ && !Seen.Reason_.empty();
  }));
}

// Guards against polls of a target that wants nothing from this host.
TEST(Poll, aTargetThatRestsIsNotPolled) {
  CHECK(sees([](const auto &Seen) { return Seen.Running_ == 0; }));
  Fixture_.Observer_.MayPoll_ = false;
  // Once it was refused, no poll is under way.
  const auto WaitForRefusals = [this](int Count) {
    const int Before = Fixture_.Observer_.Asked_;
    CHECK(tests::waitFor(
        [&] { return Fixture_.Observer_.Asked_ >= Before + Count; }));
  };
  WaitForRefusals(2);
  const int Polls = Fixture_.Observer_.count();
  Fixture_.target().setFaults(tests::faultsOf("load=77"));
  WaitForRefusals(10);
  LONGS_EQUAL(Polls, Fixture_.Observer_.count());
  Fixture_.Observer_.MayPoll_ = true;
  CHECK(sees([](const auto &Seen) { return Seen.Running_ == 77; }));
}
