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

/// Simulates a service of a few slots behind an AdmissionControl in virtual
/// time. Each request takes Work. Counts the results of each customer.
class Service {
public:
  struct Counts {
    int Answered_ = 0;
    std::set<std::uint64_t> AnsweredCallers_;
    std::map<RefusalReason, int> Refused_;
    Duration LongestWait_{};
    Duration LongestTimeToRefusal_{};
  };

  explicit Service(
      const AdmissionControl::Limits &Set = AdmissionControl::Limits())
      : Control_(Set) {}

  CustomerIndex customer(const char *Name) {
    return Control_.registerCustomer(CustomerId(Name), 1);
  }

  AdmissionDecision send(CustomerIndex Customer, Duration Deadline = 2s,
                         std::uint64_t Caller = 1) {
    AdmissionRequest Request;
    Request.Ticket_ = ++LastTicket_;
    Request.Customer_ = Customer;
    Request.Caller_ = Caller;
    Request.Deadline_ = Now_ + Deadline;
    Request.HasCapacity_ = Running_.size() < Slots;
    const AdmissionDecision Decision = Control_.admit(Request, Now_);
    if (Decision.Action_ == AdmissionDecision::Action::Refuse)
      ++Counts_[Customer].Refused_[Decision.Reason_];
    if (Decision.Action_ == AdmissionDecision::Action::Admit)
      start(Customer, Caller, Decision.ExpectedWork_);
    return Decision;
  }

  /// Advances virtual time in steps of a millisecond.
  void run(Duration Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End;) {
      Now_ += 1ms;
      while (!Running_.empty() && Running_.begin()->first <= Now_)
        endFirst();
      Control_.expire(Now_, Dropped_);
      countDropped();
    }
  }

  Counts &of(CustomerIndex Customer) { return Counts_[Customer]; }
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
    ++Counts_[Done.Customer_].Answered_;
    Counts_[Done.Customer_].AnsweredCallers_.insert(Done.Caller_);
    Control_.recordCompletion(Done.Customer_, Done.Caller_, Done.Expected_,
                              Work, true, Now_);
    const auto Next = Control_.dequeue(Now_, Dropped_);
    countDropped();
    if (!Next)
      return;
    Counts &Own = Counts_[Next->Customer_];
    Own.LongestWait_ = std::max(Own.LongestWait_, Now_ - Next->Arrived_);
    CHECK_TEXT(Now_ + Work <= Next->Deadline_ + 10ms,
               "a request was let in that could not be answered in time");
    start(Next->Customer_, Next->Caller_, Next->Work_);
  }

  void countDropped() {
    for (const DroppedRequest &Each : Dropped_) {
      Counts &Own = Counts_[Each.Request_.Customer_];
      ++Own.Refused_[Each.Reason_];
      Own.LongestTimeToRefusal_ =
          std::max(Own.LongestTimeToRefusal_, Now_ - Each.Request_.Arrived_);
    }
    Dropped_.clear();
  }

  AdmissionControl Control_;
  TimePoint Now_ = TimePoint(100s);
  std::uint64_t LastTicket_ = 0;
  std::multimap<TimePoint, Job> Running_;
  std::map<CustomerIndex, Counts> Counts_;
  std::vector<DroppedRequest> Dropped_;
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

  void expectRefused(RefusalReason Expected, const AdmissionDecision &Decision)
      const {
    CHECK(AdmissionDecision::Action::Refuse == Decision.Action_);
    STRCMP_EQUAL(std::string(nameOf(Expected)).c_str(),
                 std::string(nameOf(Decision.Reason_)).c_str());
  }
};

TEST(AdmissionControl, aCustomerAboveItsRateIsRefusedDespiteFreeSlots) {
  AdmissionRequest Request;
  Request.Customer_ = One_;
  Request.Deadline_ = Service_.now() + 2s;
  Request.HasCapacity_ = true;
  Request.Rate_ = {false, 300ms};
  const AdmissionDecision Decision =
      Service_.control().admit(Request, Service_.now());
  expectRefused(RefusalReason::RateLimited, Decision);
  CHECK(300ms == Decision.RetryAfter_);
}

TEST(AdmissionControl, aRequestThatCannotEndInTimeIsRefusedAtOnce) {
  const AdmissionDecision Decision = Service_.send(One_, 10ms);
  expectRefused(RefusalReason::DeadlineTooShort, Decision);
  CHECK(Duration::zero() == Decision.RetryAfter_);
}

TEST(AdmissionControl, aNewRequestDoesNotOvertakeQueuedOnes) {
  for (int Each = 0; Each < 5; ++Each)
    Service_.send(One_);
  AdmissionRequest Request;
  Request.Customer_ = Two_;
  Request.Deadline_ = Service_.now() + 2s;
  Request.HasCapacity_ = true;
  CHECK(AdmissionDecision::Action::Wait ==
        Service_.control().admit(Request, Service_.now()).Action_);
}

// 300 requests arrive at once, more than there are slots but no more than can
// be served within their deadline. All must be answered: a burst within the
// rate is not an overload.
TEST(AdmissionControl, aBurstThatFitsItsDeadlineIsServedCompletely) {
  for (int Each = 0; Each < 300; ++Each)
    Service_.send(One_);
  Service_.run(2s);
  LONGS_EQUAL(300, Service_.of(One_).Answered_);
}

// 1,000 requests arrive at once, of which 400 can be served in time. The others
// must be refused at once, and not after two seconds in the queue.
TEST(AdmissionControl, theExcessOfABurstIsRefusedAtOnce) {
  int RefusedAtOnce = 0;
  for (int Each = 0; Each < 1000; ++Each)
    if (Service_.send(One_).Action_ == AdmissionDecision::Action::Refuse)
      ++RefusedAtOnce;
  Service_.run(3s);
  CHECK(Service_.of(One_).Answered_ >= 390);
  LONGS_EQUAL(1000 - Service_.of(One_).Answered_, refusedIn(Service_.of(One_)));
  CHECK(RefusedAtOnce >= refusedIn(Service_.of(One_)) - 10);
}

// A refusal tells the caller when to retry. After that time, without other
// requests, the same request must be accepted.
TEST(AdmissionControl, aRetryAfterTheGivenTimeIsAccepted) {
  AdmissionDecision Refused;
  for (int Each = 0; Each < 1000; ++Each) {
    Refused = Service_.send(One_);
    if (Refused.Action_ == AdmissionDecision::Action::Refuse)
      break;
  }
  expectRefused(RefusalReason::WaitTooLong, Refused);
  CHECK(Refused.RetryAfter_ > Duration::zero());
  Service_.run(Refused.RetryAfter_ + Work);
  CHECK(AdmissionDecision::Action::Refuse != Service_.send(One_).Action_);
}

// One customer sends five times the service's capacity, another a tenth of it.
// In a single queue both would wait two seconds. The second one must not be
// delayed or refused.
TEST(AdmissionControl, aHeavyCustomerDoesNotDelayAQuietOne) {
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    Random Numbers(Seed);
    Service Fresh;
    const CustomerIndex Heavy = Fresh.customer("heavy");
    const CustomerIndex Quiet = Fresh.customer("quiet");
    for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
      if (drawUnit(Numbers) < 1.0)
        Fresh.send(Heavy, 2s, 1 + Numbers() % 20);
      if (drawUnit(Numbers) < 0.02)
        Fresh.send(Quiet, 2s, 1 + Numbers() % 20);
      Fresh.run(1ms);
    }
    LONGS_EQUAL(0, refusedIn(Fresh.of(Quiet)));
    CHECK(Fresh.of(Quiet).LongestWait_ <= 5 * Work);
    CHECK(Fresh.of(Heavy).Answered_ > 1500);
  }
}

// All callers together keep sending three times the service's capacity. A queue
// that filled up to the deadline would serve each request just before its
// caller gives up. After some seconds waits must be short and refusals early.
TEST(AdmissionControl, waitsAreShortDuringSaturation) {
  for (int Millisecond = 0; Millisecond < 20000; ++Millisecond) {
    if (Millisecond == 8000)
      Service_.of(One_) = {};
    if (Millisecond % 5 < 3)
      Service_.send(One_, 2s, static_cast<std::uint64_t>(Millisecond) % 50);
    Service_.run(1ms);
  }
  const Service::Counts &Later = Service_.of(One_);
  CHECK(Later.LongestWait_ <= 210ms);
  CHECK(Later.LongestTimeToRefusal_ <= 210ms);
  CHECK(Later.Answered_ >= 2350); // 2,400 fit into 12 s
}

TEST(AdmissionControl, aBurstIsServedAgainAfterSaturation) {
  for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
    Service_.send(One_);
    Service_.run(1ms);
  }
  Service_.run(10s);
  Service_.of(One_) = {};
  for (int Each = 0; Each < 300; ++Each)
    Service_.send(One_);
  Service_.run(2s);
  LONGS_EQUAL(300, Service_.of(One_).Answered_);
}

// One caller of a customer sends most of its requests. The customer's other
// callers, each of which sends one request, must be served nevertheless.
TEST(AdmissionControl, aHeavyCallerDoesNotStarveOtherCallersOfItsCustomer) {
  for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
    Service_.send(One_, 2s, 7);
    if (Millisecond % 100 == 0)
      Service_.send(One_, 2s, 1000 + static_cast<std::uint64_t>(Millisecond));
    Service_.run(1ms);
  }
  Service_.run(1s);
  LONGS_EQUAL(101, Service_.of(One_).AnsweredCallers_.size());
}
