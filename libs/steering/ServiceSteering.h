#ifndef LYCHEE_STEERING_SERVICESTEERING_H
#define LYCHEE_STEERING_SERVICESTEERING_H

#include "base/Random.h"
#include "settings/Intent.h"
#include "steering/Steering.h"

#include <deque>
#include <mutex>
#include <unordered_map>

namespace lychee::steering {

/// Bounds of one service's waiting and retrying at one host.
struct ServiceLimits {
  /// Requests that may wait at one host for one service. A queue that holds
  /// more than can be worked off within a deadline only makes callers wait for
  /// a refusal.
  std::size_t QueueLength_ = 256;
  /// Sends of one request, the first included.
  std::uint32_t Sends_ = 3;
};

/// One service's targets, running and waiting requests at one host, under one
/// lock. \see FleetSteering
class ServiceSteering {
public:
  /// \param Index  the low bits of its tickets.
  ServiceSteering(base::ServiceId Service, std::uint16_t Index,
                  const ServiceLimits &Limits, std::uint64_t Seed);
  ServiceSteering(const ServiceSteering &) = delete;
  ServiceSteering &operator=(const ServiceSteering &) = delete;

  const base::ServiceId &id() const noexcept { return Service_; }

  /// Takes over targets. One that left the intent gets no new work; what runs
  /// there ends.
  void applyIntent(const settings::Intent &Intent);

  Decision arrive(const Request &Arrived, base::TimePoint Now);
  Decision finish(std::uint64_t Ticket, const SendReport &Report,
                  base::TimePoint Now, std::vector<Wakeup> &Woken);
  void cancel(std::uint64_t Ticket, base::TimePoint Now);
  void tick(base::TimePoint Now, std::vector<Wakeup> &Woken);

private:
  struct TargetState {
    settings::Target Target_;
    base::RegionId Region_;
    std::uint32_t InFlight_ = 0;
    bool Listed_ = true;
  };
  /// A request between its arrival and its last decision.
  struct Pending {
    Request Request_;
    base::TargetId SentTo_;
    std::uint32_t Sends_ = 0;
    bool Waits_ = false;
  };
  enum class Room { Found, AllBusy, NoTarget };
  struct Choice {
    Room Room_ = Room::NoTarget;
    TargetState *Target_ = nullptr;
  };

  Choice choose(const Pending &Wanted);
  Decision place(std::uint64_t Ticket, Pending &Wanted, base::TimePoint Now);
  Decision send(std::uint64_t Ticket, Pending &Wanted, TargetState &Target);
  Decision hold(std::uint64_t Ticket, Pending &Wanted);
  Decision refuse(Refusal Reason, Ran MayHaveRun) const;
  Decision retry(std::uint64_t Ticket, const SendReport &Report,
                 base::TimePoint Now);
  void letWaitingGo(base::TimePoint Now, std::vector<Wakeup> &Woken);

  const base::ServiceId Service_;
  const std::uint16_t Index_;
  const ServiceLimits Limits_;
  std::mutex Lock_;
  base::Random Random_;
  std::uint64_t Version_ = 0;
  std::uint64_t LastSerial_ = 0;
  std::vector<TargetState> Targets_;
  std::unordered_map<std::uint64_t, Pending> Pending_;
  std::deque<std::uint64_t> Waiting_;
};

} // namespace lychee::steering

#endif
