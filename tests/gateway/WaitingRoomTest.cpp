#include "gateway/WaitingRoom.h"

#include <boost/asio/io_context.hpp>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace gateway = lychee::gateway;
using lychee::steering::Decision;
using lychee::steering::Wakeup;

TEST_GROUP(WaitingRoom) {
  asio::io_context Loop_;
  gateway::WaitingRoom Room_;

  void deliver(std::uint64_t Ticket, Decision::Action Action) {
    Decision Made;
    Made.Action_ = Action;
    Made.Ticket_ = Ticket;
    Wakeup Woken{Ticket, Made};
    CHECK(Room_.deliver(std::span(&Woken, 1)).empty());
  }
};

// Guards against a request that hangs because the decision after a second wait
// came before its coroutine had taken the first.
TEST(WaitingRoom, aDecisionThatOvertakesASecondWaitIsNotLost) {
  const auto Turn = Room_.enter(7, Loop_.get_executor());
  deliver(7, Decision::Action::Wait);
  Loop_.run();
  CHECK(Turn->decision().has_value());
  deliver(7, Decision::Action::Send);
  CHECK(Room_.leave(7).Action_ == Decision::Action::Send);
  LONGS_EQUAL(0, Room_.size());
}

TEST(WaitingRoom, aDecisionThatComesBeforeTheWaitIsKept) {
  deliver(7, Decision::Action::Send);
  const auto Turn = Room_.enter(7, Loop_.get_executor());
  CHECK(Turn->decision().has_value());
  CHECK(Room_.leave(7).Action_ == Decision::Action::Send);
}
