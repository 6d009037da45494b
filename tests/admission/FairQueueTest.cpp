#include "admission/FairQueue.h"

#include <array>
#include <map>

#include "CppUTest/TestHarness.h"

using lychee::admission::CustomerIndex;
using lychee::admission::FairQueue;
using lychee::admission::QueuedRequest;
using lychee::admission::QueuePosition;
using lychee::base::CustomerId;
using lychee::base::Duration;
using namespace std::chrono_literals;

namespace {

constexpr Duration OrdinaryWork = 20ms;

bool oldestFirst(CustomerIndex /*Customer*/) { return false; }
bool newestFirst(CustomerIndex /*Customer*/) { return true; }

} // namespace

TEST_GROUP(FairQueue) {
  FairQueue Queue_;
  std::uint64_t LastTicket_ = 0;

  CustomerIndex customer(const char *Name, std::uint32_t Weight = 1) {
    return Queue_.registerCustomer(CustomerId(Name), Weight);
  }

  QueuePosition push(CustomerIndex Customer, std::uint64_t Caller = 1) {
    QueuedRequest Request;
    Request.Ticket_ = ++LastTicket_;
    Request.Customer_ = Customer;
    Request.Caller_ = Caller;
    Request.Work_ = OrdinaryWork;
    return Queue_.push(Request);
  }

  void pushMany(CustomerIndex Customer, int Count, std::uint64_t Caller = 1) {
    for (int Each = 0; Each < Count; ++Each)
      push(Customer, Caller);
  }

  /// \returns the next request; ticket 0 if the queue is empty.
  QueuedRequest pop(bool (*Order)(CustomerIndex) = oldestFirst) {
    return Queue_.pop(Order).value_or(QueuedRequest());
  }

  /// Serves \p Count requests, each of which takes its customer's \p Took.
  std::map<CustomerIndex, int> serve(
      int Count, const std::map<CustomerIndex, Duration> &Took = {}) {
    std::map<CustomerIndex, int> Served;
    for (int Each = 0; Each < Count; ++Each) {
      const QueuedRequest Chosen = pop();
      ++Served[Chosen.Customer_];
      const auto Known = Took.find(Chosen.Customer_);
      if (Known != Took.end())
        Queue_.adjustCharge(Chosen.Customer_, Chosen.Caller_, Chosen.Work_,
                            Known->second);
    }
    return Served;
  }
};

TEST(FairQueue, popOfAnEmptyQueueReturnsNothing) {
  CHECK_FALSE(Queue_.pop(oldestFirst).has_value());
}

TEST(FairQueue, requestsOfOneCallerKeepTheirOrder) {
  const CustomerIndex Only = customer("one");
  pushMany(Only, 3);
  for (std::uint64_t Ticket = 1; Ticket <= 3; ++Ticket)
    UNSIGNED_LONGS_EQUAL(Ticket, pop().Ticket_);
}

TEST(FairQueue, newestFirstReversesTheOrder) {
  const CustomerIndex Only = customer("one");
  pushMany(Only, 3);
  UNSIGNED_LONGS_EQUAL(3, pop(newestFirst).Ticket_);
}

// One customer has 1,000 queued requests when another sends its first one. In a
// single queue it would wait behind all of them; here it is served next.
TEST(FairQueue, aQuietCustomerDoesNotWaitBehindAHeavyOne) {
  const CustomerIndex Heavy = customer("heavy");
  const CustomerIndex Quiet = customer("quiet");
  pushMany(Heavy, 1000);
  serve(100);
  push(Quiet);
  UNSIGNED_LONGS_EQUAL(Quiet, pop().Customer_);
}

TEST(FairQueue, slotTimeFollowsTheWeights) {
  const CustomerIndex One = customer("one", 1);
  const CustomerIndex Three = customer("three", 3);
  pushMany(One, 1000);
  pushMany(Three, 1000);
  const auto Served = serve(800);
  CHECK(Served.at(One) >= 195 && Served.at(One) <= 205);
}

// Two customers send equally many requests, but those of one take a hundred
// times as long. Counted by requests, it would get 99% of the slot time.
// Charged by time, its requests are served a hundred times less often while
// both wait.
TEST(FairQueue, longRequestsAreChargedByTimeAndNotByCount) {
  const CustomerIndex Long = customer("long");
  const CustomerIndex Short = customer("short");
  pushMany(Long, 2000);
  pushMany(Short, 2000);
  const auto Served = serve(1010, {{Long, 2s}, {Short, 20ms}});
  CHECK(Served.at(Long) >= 8 && Served.at(Long) <= 14);
}

// One caller of a customer sends most of its requests. The customer's other
// callers must not wait behind it: each caller gets the same slot time.
TEST(FairQueue, callersOfOneCustomerAreServedEqually) {
  const CustomerIndex Only = customer("one");
  pushMany(Only, 1000, 7);
  for (std::uint64_t Caller = 100; Caller < 110; ++Caller)
    push(Only, Caller);
  int FromHeavy = 0;
  for (int Each = 0; Each < 12; ++Each)
    if (pop().Caller_ == 7)
      ++FromHeavy;
  CHECK(FromHeavy <= 2);
}

// A customer is served, has no queued request, and immediately queues the next
// one, repeatedly. If each of them counted as a first request, it would always
// be served before a customer that stays queued. Its debt must remain until the
// rounds have paid it off.
TEST(FairQueue, leavingAndRejoiningDoesNotClearADebt) {
  const CustomerIndex Steady = customer("steady");
  const CustomerIndex Rejoining = customer("rejoining");
  pushMany(Steady, 1000);
  int FromRejoining = 0;
  for (int Each = 0; Each < 200; ++Each) {
    if (Queue_.sizeOf(Rejoining) == 0)
      push(Rejoining);
    if (pop().Customer_ == Rejoining)
      ++FromRejoining;
  }
  CHECK(FromRejoining >= 95 && FromRejoining <= 105);
}

TEST(FairQueue, aRequestIsRemovedOnlyOnce) {
  const CustomerIndex Only = customer("one");
  const QueuePosition Second = (push(Only), push(Only));
  LONGS_EQUAL(2, Queue_.remove(Second).value_or(QueuedRequest()).Ticket_);
  CHECK_FALSE(Queue_.remove(Second).has_value());
  push(Only); // reuses the freed node
  CHECK_FALSE(Queue_.remove(Second).has_value());
  LONGS_EQUAL(2, Queue_.size());
}

TEST(FairQueue, workAheadCountsOnlyRequestsServedBefore) {
  const CustomerIndex Heavy = customer("heavy");
  const CustomerIndex Quiet = customer("quiet");
  pushMany(Heavy, 1000);
  CHECK(Queue_.workAhead(Heavy, 1) >= 1000 * OrdinaryWork);
  CHECK(Queue_.workAhead(Quiet, 2) <= OrdinaryWork);
}
