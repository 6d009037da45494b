#ifndef LYCHEE_TESTS_GATEWAY_FAKES_H
#define LYCHEE_TESTS_GATEWAY_FAKES_H

#include "gateway/Collaborators.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lychee::tests {

inline constexpr std::string_view GoodKey = "k1.s3cr3t-of-k1";

/// Knows one key, until it is withdrawn.
class FakeAuthenticator : public gateway::Authenticator {
public:
  std::atomic<bool> Withdrawn_ = false;

  gateway::Identity check(std::string_view Presented,
                          base::TimePoint) override {
    gateway::Identity Made;
    if (Presented != GoodKey)
      return Made;
    Made.Refusal_ =
        Withdrawn_ ? steering::Refusal::KeyWithdrawn : steering::Refusal::None;
    Made.Customer_ = base::CustomerId("c1");
    Made.Key_ = base::KeyId("k1");
    return Made;
  }
};

/// One service takes every path below /s/ and has GET, HEAD and PUT idempotent.
class FakeRouter : public gateway::RequestRouter {
public:
  base::Duration Deadline_ = std::chrono::seconds(10);

  std::optional<gateway::Route>
  route(const gateway::RouteQuery &Query) override {
    if (!Query.Path_.starts_with("/s/"))
      return std::nullopt;
    gateway::Route Made;
    Made.Service_ = base::ServiceId("s");
    Made.Deadline_ = Deadline_;
    Made.Idempotent_ = Query.Method_ == "GET" || Query.Method_ == "HEAD" ||
                       Query.Method_ == "PUT";
    return Made;
  }
};

/// Names one host until it leaves.
class FakeDirectory : public gateway::HostDirectory {
public:
  std::atomic<bool> Leaving_ = false;
  std::string Address_ = "127.0.0.1:1";

  std::optional<gateway::HostAnswer> lookUp(const base::ServiceId &Service,
                                            std::uint32_t,
                                            base::TimePoint) override {
    if (Service.name() != "s")
      return std::nullopt;
    gateway::HostAnswer Made;
    Made.TimeToLive_ = std::chrono::seconds(5);
    Made.SettingsVersion_ = 7;
    if (!Leaving_)
      Made.Hosts_.push_back({base::HostId("h1"), base::RegionId("r1"),
                             base::ZoneId("z1"), Address_});
    return Made;
  }

  /// Called on the thread that begins the stop.
  std::function<void()> OnLeaving_ = [] {};

  void announceLeaving(base::TimePoint) override {
    Leaving_ = true;
    OnLeaving_();
  }
};

/// Grants each key once; remembers how it ended.
class FakeClaims : public gateway::ClaimGate {
public:
  std::atomic<bool> StoreDown_ = false;
  /// Answers are kept back until release().
  std::atomic<bool> KeepBack_ = false;

  void release() {
    const std::lock_guard Guard(Lock_);
    for (const auto &Each : KeptBack_)
      Each();
    KeptBack_.clear();
    KeepBack_ = false;
  }

  void acquire(const gateway::ClaimRequest &Asked, base::TimePoint,
               Answered Done) override {
    gateway::ClaimAnswer Made;
    {
      const std::lock_guard Guard(Lock_);
      if (!StoreDown_)
        Made.Kind_ = Claims_.contains(Asked.IdempotencyKey_)
                         ? gateway::ClaimAnswer::Kind::AlreadyRun
                         : gateway::ClaimAnswer::Kind::Granted;
      if (Made.Kind_ == gateway::ClaimAnswer::Kind::Granted)
        Claims_[Asked.IdempotencyKey_] = gateway::ClaimEnd::Unknown;
    }
    if (!KeepBack_) {
      Done(Made);
      return;
    }
    const std::lock_guard Guard(Lock_);
    KeptBack_.emplace_back([Done, Made] { Done(Made); });
  }

  void settle(const gateway::ClaimRequest &Granted, gateway::ClaimEnd End, int,
              base::TimePoint) override {
    const std::lock_guard Guard(Lock_);
    if (End == gateway::ClaimEnd::NotRun)
      Claims_.erase(Granted.IdempotencyKey_);
    else
      Claims_[Granted.IdempotencyKey_] = End;
  }

private:
  std::mutex Lock_;
  std::map<std::string, gateway::ClaimEnd> Claims_;
  std::vector<std::function<void()>> KeptBack_;
};

/// Keeps the outcome of each request.
class FakeListener : public gateway::DecisionListener {
public:
  void decided(const steering::Request &, const steering::Decision &,
               base::TimePoint) override {}
  void sendEnded(const steering::Request &, const steering::Decision &,
                 const steering::SendReport &, base::TimePoint) override {}
  void hedged(const steering::Request &, const steering::Decision &,
              base::TimePoint) override {
    ++Hedges_;
  }
  void requestEnded(const steering::Request &, const gateway::RequestEnd &End,
                    base::TimePoint) override {
    const std::lock_guard Guard(Lock_);
    Outcomes_.emplace_back(End.Outcome_);
  }
  int hedges() const noexcept { return Hedges_; }
  std::vector<std::string> outcomes() const {
    const std::lock_guard Guard(Lock_);
    return Outcomes_;
  }

private:
  mutable std::mutex Lock_;
  std::vector<std::string> Outcomes_;
  std::atomic<int> Hedges_ = 0;
};

class FakeObserver : public gateway::TargetObserver {
public:
  std::atomic<bool> MayPoll_ = true;
  /// How often it was asked for permission.
  std::atomic<int> Asked_ = 0;

  bool mayPoll(const gateway::TargetEntry &, base::TimePoint) override {
    ++Asked_;
    return MayPoll_;
  }
  int count() const {
    const std::lock_guard Guard(Lock_);
    return Count_;
  }
  void observed(const gateway::TargetObservation &Seen,
                base::TimePoint) override {
    const std::lock_guard Guard(Lock_);
    Seen_[Seen.Target_.name()] = Seen;
    ++Count_;
  }
  std::optional<gateway::TargetObservation>
  latest(const std::string &Target) const {
    const std::lock_guard Guard(Lock_);
    const auto Found = Seen_.find(Target);
    if (Found == Seen_.end())
      return std::nullopt;
    return Found->second;
  }

private:
  mutable std::mutex Lock_;
  std::map<std::string, gateway::TargetObservation> Seen_;
  int Count_ = 0;
};

} // namespace lychee::tests

#endif
