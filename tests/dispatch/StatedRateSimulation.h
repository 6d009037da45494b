#ifndef LYCHEE_TESTS_DISPATCH_STATEDRATESIMULATION_H
#define LYCHEE_TESTS_DISPATCH_STATEDRATESIMULATION_H

#include "base/Random.h"
#include "dispatch/DispatchSteering.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lychee::tests {

/// A fleet whose hosts send one service's requests to targets, some of which
/// state the rate that they take, ask for a rest or say that they leave.
struct StatedRateFleet {
  std::size_t Hosts_ = 12;
  std::size_t Regions_ = 3;
  std::size_t Targets_ = 30;
  /// Requests per second of all callers.
  double PerSecond_ = 210;
  std::uint64_t Objects_ = 60;
};

/// Plays such a fleet in virtual time, from a seed. Hosts hear of each other as
/// late as heartbeats tell them, and exchange tokens by messages that take time
/// and get lost where a host is down or cut off. Targets answer everything but
/// what they turn away to rest.
class StatedRateSimulation {
public:
  /// A host keeps a rate from this long after it was told.
  static constexpr base::Duration HearingTime = std::chrono::milliseconds(500);

  StatedRateSimulation(const StatedRateFleet &Size, std::uint64_t Seed);
  StatedRateSimulation(const StatedRateSimulation &) = delete;
  StatedRateSimulation &operator=(const StatedRateSimulation &) = delete;

  void run(double Seconds);

  /// From now on the target states \p PerSecond; nothing: no rate.
  void state(std::size_t Index, std::optional<double> PerSecond);

  /// From now on all targets are cold for \p Seconds, and withstand
  /// ColdPerSecond requests a second.
  void makeCold(double Seconds);
  static constexpr double ColdPerSecond = 5;

  /// From now on the target turns requests away and asks for a rest of
  /// \p Seconds each time; nothing: it answers again.
  void rest(std::size_t Index, std::optional<double> Seconds) {
    Targets_[Index].RestSeconds_ = Seconds;
  }
  /// From now on the target's answers say that it leaves.
  void leave(std::size_t Index) { Targets_[Index].Leaving_ = true; }
  /// The target starts anew, and its entry says so.
  void startTarget(std::size_t Index);
  /// The targets' entries are gone at all hosts, and there again later.
  void dropEntries();
  void restoreEntries();

  // Troubles of hosts.
  void restart(std::size_t Number);
  /// The host does nothing until wake().
  void freeze(std::size_t Number) { Hosts_[Number].Frozen_ = true; }
  void wake(std::size_t Number);
  /// The host and the others do not hear each other until reconnect().
  void cutOff(std::size_t Number);
  void reconnect(std::size_t Number);

  // What targets saw and callers got.

  /// \returns by how many requests the fullest window of a target lies beyond
  /// what its rate allows; at most 0 where it is kept. \see RateWindows.h
  /// \param OnlyTold  counts requests of hosts only that had been told.
  double worstExcess(std::size_t Index, bool OnlyTold) const;
  /// \returns the requests per second that a target got in the last
  /// \p Seconds.
  double rateAt(std::size_t Index, double Seconds) const;
  /// \returns the most requests that a target got within a second, since \p
  /// Seconds ago.
  int mostInASecond(std::size_t Index, double Seconds) const;
  /// \returns the most requests that the target got from a host in a rest that
  /// it had asked this start of the host for, from RestHearingTime on.
  int mostInARest(std::size_t Index) const;
  static constexpr base::Duration RestHearingTime =
      std::chrono::milliseconds(500);
  /// \returns the number of requests that the target got later than \p Seconds
  /// after the first of its answers that said that it leaves.
  /// \param SameHost  counts for each host from the first answer to it.
  int sentToLeaving(std::size_t Index, double Seconds, bool SameHost) const;
  /// \returns the times after which refused callers were told to come back,
  /// in seconds.
  const std::vector<double> &retryAfters() const noexcept {
    return RetryAfters_;
  }
  int sent() const noexcept { return Sent_; }
  int refused() const noexcept { return Refused_; }

private:
  using Steering = dispatch::DispatchSteering;

  struct Host {
    members::HostDescriptor Descriptor_;
    std::shared_ptr<Steering> Steering_;
    base::TimePoint UpSince_;
    /// Since when the others do not hear it.
    std::optional<base::TimePoint> SilentSince_;
    bool CutOff_ = false;
    bool Frozen_ = false;
    /// Number of the start, so that messages to an earlier one get lost.
    int Start_ = 0;
  };
  struct Arrival {
    base::TimePoint At_;
    /// The sending host was told of a rate HearingTime before.
    bool Told_ = false;
    /// The sending host, by number and start.
    std::pair<std::size_t, int> Host_;
  };
  struct Rest {
    std::pair<std::size_t, int> Host_;
    base::TimePoint Since_;
    base::TimePoint Until_;
  };
  struct Statement {
    base::TimePoint Since_;
    std::optional<double> PerSecond_;
  };
  struct Target {
    std::vector<Statement> Statements_;
    std::optional<base::TimePoint> FirstStated_;
    std::vector<Arrival> Arrivals_;
    /// When a host, by number and start, had its first answer with a rate.
    std::map<std::pair<std::size_t, int>, base::TimePoint> ToldAt_;
    std::uint32_t Running_ = 0;
    std::optional<double> RestSeconds_;
    std::vector<Rest> Rests_;
    bool Leaving_ = false;
    /// When a host had its first answer that said that the target leaves.
    std::map<std::pair<std::size_t, int>, base::TimePoint> LeavingToldAt_;
  };

  void schedule(base::Duration After, std::function<void()> Action);
  void runUntil(base::TimePoint Moment);
  void start(std::size_t Number);
  bool hears(const Host &Listener, const Host &Speaker) const;
  dispatch::FleetDemand viewOf(std::size_t Number) const;
  void update(std::size_t Number);
  void announceAll();
  /// What a host announces of its targets' statements.
  struct News {
    std::vector<members::TargetRate> Rates_;
    std::vector<members::TargetLeaving> Leavings_;

    bool empty() const noexcept { return Rates_.empty() && Leavings_.empty(); }
  };

  void tell(std::size_t Number, const News &Said, bool OwnRegion,
            base::Duration Delay);
  void tickAll();
  void arrive();
  void apply(std::size_t Number, const steering::Decision &Made);
  void answer(std::size_t Number, int Start, std::uint64_t Ticket,
              std::size_t Where, base::TimePoint SentAt);
  steering::TargetStatement statementTo(std::pair<std::size_t, int> Asker,
                                        Target &Server);
  template <typename Wanted>
  void requestToken(std::size_t Asker, const std::string &Owner,
                    std::uint64_t Ticket, const Wanted &Token);
  base::Duration delay(const Host &From, const Host &To) const;
  bool isReachable(const Host &Either, int Start) const;
  double allowedAt(const Target &Subject, base::TimePoint Moment) const;

  const StatedRateFleet Size_;
  base::Random Random_;
  base::TimePoint Now_ = base::TimePoint(std::chrono::seconds(100));
  std::shared_ptr<live::Intent> Intent_;
  std::vector<live::KnownTarget> Known_;
  std::map<base::ZoneId, base::RegionId> Zones_;
  std::vector<Host> Hosts_;
  std::vector<Target> Targets_;
  std::multimap<base::TimePoint, std::function<void()>> Events_;
  std::set<std::pair<std::size_t, std::uint64_t>> Waiting_;
  int Sent_ = 0;
  int Refused_ = 0;
  std::vector<double> RetryAfters_;
};

} // namespace lychee::tests

#endif
