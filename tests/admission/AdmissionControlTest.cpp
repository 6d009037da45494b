#include "admission/AdmissionControl.h"
#include "base/Random.h"

#include <map>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::admission::AdmissionControl;
using lychee::admission::AdmissionDecision;
using lychee::admission::AdmissionRequest;
using lychee::admission::CustomerIndex;
using lychee::admission::DroppedRequest;
using lychee::admission::nameOf;
using lychee::admission::RefusalReason;
using lychee::base::CustomerId;
using lychee::base::drawUnit;
using lychee::base::Duration;
using lychee::base::Random;
using lychee::base::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration Work = 20ms;
constexpr std::uint32_t Slots = 4;

/// A service of a few slots behind an AdmissionControl, in virtual time: each
/// request takes Work. Counts what each customer's callers get.
class Service {
public:
  struct Counts {
    int Answered_ = 0;
    std::set<std::uint64_t> AnsweredCallers_;
    std::map<RefusalReason, int> Refused_;
    Duration LongestWait_{};
    Duration LongestToRefuse_{};
  };

  explicit Service(
      const AdmissionControl::Limits &Set = AdmissionControl::Limits())
      : Control_(Set) {}

  CustomerIndex customer(const char *Name) {
    return Control_.registerCustomer(CustomerId(Name), 1);
  }

  AdmissionDecision ask(CustomerIndex Customer, Duration Deadline = 2s,
                        std::uint64_t Caller = 1) {
    AdmissionRequest Asks;
    Asks.Ticket_ = ++LastTicket_;
    Asks.Customer_ = Customer;
    Asks.Caller_ = Caller;
    Asks.Deadline_ = Now_ + Deadline;
    Asks.HasCapacity_ = Running_.size() < Slots;
    const AdmissionDecision Verdict = Control_.admit(Asks, Now_);
    if (Verdict.Action_ == AdmissionDecision::Action::Refuse)
      ++Of_[Customer].Refused_[Verdict.Reason_];
    if (Verdict.Action_ == AdmissionDecision::Action::Admit)
      start(Customer, Caller, Verdict.ExpectedWork_);
    return Verdict;
  }

  /// Lets time pass in steps of a millisecond.
  void run(Duration Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End;) {
      Now_ += 1ms;
      while (!Running_.empty() && Running_.begin()->first <= Now_)
        endFirst();
      Control_.expire(Now_, Left_);
      noteLeft();
    }
  }

  Counts &of(CustomerIndex Customer) { return Of_[Customer]; }
  TimePoint now() const { return Now_; }
  AdmissionControl &control() { return Control_; }

private:
  struct Job {
    CustomerIndex Customer_;
    std::uint64_t Caller_;
    Duration Expected_;
  };

  void start(CustomerIndex Customer, std::uint64_t Caller, Duration Expected) {
    Running_.emplace(Now_ + Work, Job{Customer, Caller, Expected});
  }

  void endFirst() {
    const Job Done = Running_.begin()->second;
    Running_.erase(Running_.begin());
    ++Of_[Done.Customer_].Answered_;
    Of_[Done.Customer_].AnsweredCallers_.insert(Done.Caller_);
    Control_.recordCompletion(Done.Customer_, Done.Caller_, Done.Expected_,
                              Work, true, Now_);
    const auto Next = Control_.dequeue(Now_, Left_);
    noteLeft();
    if (!Next)
      return;
    Counts &Own = Of_[Next->Customer_];
    Own.LongestWait_ = std::max(Own.LongestWait_, Now_ - Next->Arrived_);
    CHECK_TEXT(Now_ + Work <= Next->Deadline_ + 10ms,
               "a request was let in that could not be answered in time");
    start(Next->Customer_, Next->Caller_, Next->Work_);
  }

  void noteLeft() {
    for (const DroppedRequest &Each : Left_) {
      Counts &Own = Of_[Each.Request_.Customer_];
      ++Own.Refused_[Each.Reason_];
      Own.LongestToRefuse_ =
          std::max(Own.LongestToRefuse_, Now_ - Each.Request_.Arrived_);
    }
    Left_.clear();
  }

  AdmissionControl Control_;
  TimePoint Now_ = TimePoint(100s);
  std::uint64_t LastTicket_ = 0;
  std::multimap<TimePoint, Job> Running_;
  std::map<CustomerIndex, Counts> Of_;
  std::vector<DroppedRequest> Left_;
};

int refusedIn(const Service::Counts &Own) {
  int Sum = 0;
  for (const auto &[Reason, Count] : Own.Refused_)
    Sum += Count;
  return Sum;
}

} // namespace

TEST_GROUP(AdmissionControl) {
  Service Service_;
  CustomerIndex One_ = 0;
  CustomerIndex Two_ = 0;

  void setup() override {
    One_ = Service_.customer("one");
    Two_ = Service_.customer("two");
  }

  void expectRefused(RefusalReason Expected, const AdmissionDecision &Verdict)
      const {
    CHECK(AdmissionDecision::Action::Refuse == Verdict.Action_);
    STRCMP_EQUAL(std::string(nameOf(Expected)).c_str(),
                 std::string(nameOf(Verdict.Reason_)).c_str());
  }
};

TEST(AdmissionControl, whoeverIsOverItsRateIsRefusedBeforeRoomIsLookedAt) {
  AdmissionRequest Asks;
  Asks.Customer_ = One_;
  Asks.Deadline_ = Service_.now() + 2s;
  Asks.HasCapacity_ = true;
  Asks.Rate_ = {false, 300ms};
  const AdmissionDecision Verdict =
      Service_.control().admit(Asks, Service_.now());
  expectRefused(RefusalReason::RateLimited, Verdict);
  CHECK(300ms == Verdict.RetryAfter_);
}

TEST(AdmissionControl, whatCannotEndInTimeIsRefusedAtOnce) {
  const AdmissionDecision Verdict = Service_.ask(One_, 10ms);
  expectRefused(RefusalReason::DeadlineTooShort, Verdict);
  CHECK(Duration::zero() == Verdict.RetryAfter_);
}

TEST(AdmissionControl, aNewcomerDoesNotTakeTheRoomOfThoseInLine) {
  for (int Each = 0; Each < 5; ++Each)
    Service_.ask(One_);
  AdmissionRequest Asks;
  Asks.Customer_ = Two_;
  Asks.Deadline_ = Service_.now() + 2s;
  Asks.HasCapacity_ = true;
  CHECK(AdmissionDecision::Action::Wait ==
        Service_.control().admit(Asks, Service_.now()).Action_);
}

// 300 requests come at once, more than the slots but no more than can be served
// within their deadline. All are answered: a burst inside the rate is no
// overload.
TEST(AdmissionControl, aBurstThatFitsItsDeadlineIsServedWhole) {
  for (int Each = 0; Each < 300; ++Each)
    Service_.ask(One_);
  Service_.run(2s);
  LONGS_EQUAL(300, Service_.of(One_).Answered_);
}

// 1,000 come at once; 400 fit. The others hear so at once, and not after having
// waited for two seconds in vain.
TEST(AdmissionControl, whatDoesNotFitOfABurstIsRefusedAtOnce) {
  int RefusedAtOnce = 0;
  for (int Each = 0; Each < 1000; ++Each)
    if (Service_.ask(One_).Action_ == AdmissionDecision::Action::Refuse)
      ++RefusedAtOnce;
  Service_.run(3s);
  CHECK(Service_.of(One_).Answered_ >= 390);
  LONGS_EQUAL(1000 - Service_.of(One_).Answered_, refusedIn(Service_.of(One_)));
  CHECK(RefusedAtOnce >= refusedIn(Service_.of(One_)) - 10);
}

// A refused caller is told when to come back. The figure is true: after that
// time, with nothing else coming, the same request is let in.
TEST(AdmissionControl, retryAfterIsTrue) {
  AdmissionDecision Refused;
  for (int Each = 0; Each < 1000; ++Each) {
    Refused = Service_.ask(One_);
    if (Refused.Action_ == AdmissionDecision::Action::Refuse)
      break;
  }
  expectRefused(RefusalReason::WaitTooLong, Refused);
  CHECK(Refused.RetryAfter_ > Duration::zero());
  Service_.run(Refused.RetryAfter_ + Work);
  CHECK(AdmissionDecision::Action::Refuse != Service_.ask(One_).Action_);
}

// One customer sends five times what the service can do, another a tenth of it.
// In one line both would wait two seconds. The quiet one must not notice.
TEST(AdmissionControl, aHeavyCustomerDoesNotMoveAQuietOnesWait) {
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    Random Numbers(Seed);
    Service Fresh;
    const CustomerIndex Heavy = Fresh.customer("heavy");
    const CustomerIndex Quiet = Fresh.customer("quiet");
    for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
      if (drawUnit(Numbers) < 1.0)
        Fresh.ask(Heavy, 2s, 1 + Numbers() % 20);
      if (drawUnit(Numbers) < 0.02)
        Fresh.ask(Quiet, 2s, 1 + Numbers() % 20);
      Fresh.run(1ms);
    }
    LONGS_EQUAL(0, refusedIn(Fresh.of(Quiet)));
    CHECK(Fresh.of(Quiet).LongestWait_ <= 5 * Work);
    CHECK(Fresh.of(Heavy).Answered_ > 1500);
  }
}

// All callers together send three times what the service can do, for long. A
// line that fills up to the deadline would answer each just before it gives up.
// After some seconds the line is short, and what is refused hears it soon.
TEST(AdmissionControl, underSaturationTheLineIsShort) {
  for (int Millisecond = 0; Millisecond < 20000; ++Millisecond) {
    if (Millisecond == 8000)
      Service_.of(One_) = {};
    if (Millisecond % 5 < 3)
      Service_.ask(One_, 2s, static_cast<std::uint64_t>(Millisecond) % 50);
    Service_.run(1ms);
  }
  const Service::Counts &Later = Service_.of(One_);
  CHECK(Later.LongestWait_ <= 210ms);
  CHECK(Later.LongestToRefuse_ <= 210ms);
  CHECK(Later.Answered_ >= 2350); // 2,400 fit into 12 s
}

TEST(AdmissionControl, afterSaturationABurstIsWelcomeAgain) {
  for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
    Service_.ask(One_);
    Service_.run(1ms);
  }
  Service_.run(10s);
  Service_.of(One_) = {};
  for (int Each = 0; Each < 300; ++Each)
    Service_.ask(One_);
  Service_.run(2s);
  LONGS_EQUAL(300, Service_.of(One_).Answered_);
}

// One caller of a customer sends most of its requests. Its other callers, who
// send one now and then, must get through as if it were not there.
TEST(AdmissionControl, aHeavyCallerDoesNotCrowdOutItsCustomersOthers) {
  for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
    Service_.ask(One_, 2s, 7);
    if (Millisecond % 100 == 0)
      Service_.ask(One_, 2s, 1000 + static_cast<std::uint64_t>(Millisecond));
    Service_.run(1ms);
  }
  Service_.run(1s);
  LONGS_EQUAL(101, Service_.of(One_).AnsweredCallers_.size());
}
