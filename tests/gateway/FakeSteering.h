#ifndef LYCHEE_TESTS_GATEWAY_FAKESTEERING_H
#define LYCHEE_TESTS_GATEWAY_FAKESTEERING_H

#include "steering/Steering.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lychee::tests {

/// A steering that sends to its targets in turn and keeps account of what the
/// gateway reports: every ticket handed out must be finished or cancelled.
class FakeSteering : public steering::Steering {
public:
  explicit FakeSteering(std::vector<std::string> Addresses)
      : Addresses_(std::move(Addresses)) {}

  /// Requests sent at once; others wait. 0: no limit.
  std::size_t Limit_ = 0;
  int MaximumSends_ = 3;
  steering::Refusal RefuseAll_ = steering::Refusal::None;
  base::Duration WaitLimit_ = std::chrono::seconds(10);
  bool MayRepeat_ = true;
  /// Idempotent requests go to the next address after a target's own failure,
  /// whatever is left of their bodies.
  bool RetriesFailures_ = false;
  /// The address of these that is another host's; empty: all are targets.
  std::string HostAddress_;
  /// Which of all writes is withheld from its target, counted from 1; 0: none.
  int WithheldWrite_ = 0;

  steering::Decision arrive(const steering::Request &Arrived,
                            base::TimePoint Now) override;
  steering::Decision finish(std::uint64_t Ticket,
                            const steering::SendReport &Report,
                            base::TimePoint Now,
                            std::vector<steering::Wakeup> &Woken) override;
  bool mayHedge(std::uint64_t /*Ticket*/, base::TimePoint /*Now*/) override {
    return MayRepeat_;
  }
  bool mayWrite(std::uint64_t /*Ticket*/, base::TimePoint /*Now*/) override {
    return ++Writes_ != WithheldWrite_;
  }
  void recordAnswerHead(std::uint64_t Ticket, const steering::AnswerHead &Head,
                        base::TimePoint Now) override;
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override;
  void tick(base::TimePoint Now, std::vector<steering::Wakeup> &Woken) override;

  std::vector<steering::SendOutcome> ends() const;
  std::vector<steering::SendReport> reports() const;
  std::vector<steering::AnswerHead> heads() const;
  std::size_t openTickets() const;
  std::size_t waiting() const;
  int arrivals() const;

private:
  struct Ticket {
    bool Idempotent_ = false;
    int Sends_ = 0;
    base::TimePoint Deadline_;
  };

  steering::Decision send(std::uint64_t Number);
  void wake(std::vector<steering::Wakeup> &Woken);

  mutable std::mutex Lock_;
  std::vector<std::string> Addresses_;
  std::size_t Next_ = 0;
  std::uint64_t LastTicket_ = 0;
  std::map<std::uint64_t, Ticket> Sent_;
  std::deque<std::uint64_t> Waiting_;
  std::map<std::uint64_t, Ticket> WaitingTickets_;
  std::vector<steering::SendReport> Reports_;
  std::vector<steering::AnswerHead> Heads_;
  int Arrivals_ = 0;
  std::atomic<int> Writes_ = 0;
};

} // namespace lychee::tests

#endif
