#ifndef LYCHEE_SCENARIO_ENGINE_H
#define LYCHEE_SCENARIO_ENGINE_H

#include "scenario/FakeTarget.h"
#include "scenario/Recorder.h"
#include "scenario/Strategy.h"

#include <set>
#include <unordered_map>

namespace lychee::scenario {

/// Plays one scenario against one strategy in virtual time: callers that send,
/// hosts that ask their Steering and do what it says, and fakes of targets.
/// Delays are constants and nothing is lost but by a fault of the scenario:
/// this plays decisions, not a network. Runs of one seed are alike to the last
/// decision; not thread-safe, one engine a thread.
class Engine {
public:
  /// \param Traced  serials of requests whose decisions Outcome::Trace_ shows.
  Engine(const Scenario &Played, Strategy &Plays,
         std::set<std::uint64_t> Traced = {});
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  Outcome run();

private:
  using RequestPointer = std::shared_ptr<CallerRequest>;

  struct PlayedTarget {
    settings::Target Intent_;
    base::ServiceId Service_;
    base::RegionId Region_;
    std::unique_ptr<FakeTarget> Fake_;
    /// Sent there by hosts and not yet ended.
    std::size_t InFlight_ = 0;
    std::optional<base::TimePoint> DrainBegan_;
    bool Lies_ = false;
    bool ReportsStopped_ = false;
    base::Duration ReportLag_{};
  };
  struct OpenSend {
    RequestPointer Request_;
    std::uint64_t Ticket_ = 0;
    std::size_t Target_ = 0;
    base::TimePoint Began_;
  };
  struct PlayedHost {
    std::string Name_;
    base::RegionId Region_;
    bool Alive_ = true;
    /// Counts the host's processes, so that what was meant for one that died
    /// does not reach the next.
    std::uint32_t Process_ = 0;
    std::unordered_map<std::uint64_t, RequestPointer> Waiting_;
    std::unordered_map<std::uint64_t, OpenSend> Sends_;
  };

  // Building and ending, in Engine.cpp.
  void buildFleet();
  void startStrategy();
  void scheduleTicks();
  void tick();
  void reportLoads();
  void deliverReport(const LoadReport &Taken, base::Duration Lag);
  void sampleHeadroom();
  void endAll();

  // Callers, in EngineCallers.cpp.
  void scheduleArrivals(std::size_t Load);
  void scheduleNext(std::size_t Load);
  RequestPointer makeRequest(std::size_t Load, base::Random &Source);
  void call(const RequestPointer &Asked);
  std::optional<std::size_t> hostFor(const CallerRequest &Asked) const;
  void tellCaller(const RequestPointer &Asked, const steering::Decision &Final);
  void watchPlans(const CallerRequest &Asked, const steering::Decision &Taken);

  // Hosts, in EngineHosts.cpp.
  void arrive(std::size_t Host, const RequestPointer &Asked);
  void follow(std::size_t Host, const RequestPointer &Asked,
              const steering::Decision &Taken);
  void send(std::size_t Host, const RequestPointer &Asked,
            const steering::Decision &Taken);
  void endSend(std::size_t Host, std::uint32_t Process, std::uint64_t Send,
               steering::SendOutcome End);
  void wake(std::size_t Host, const std::vector<steering::Wakeup> &Woken);
  void countLetIn(CallerRequest &Asked, const steering::Decision &Taken);
  steering::Request steeringRequest(const CallerRequest &Asked) const;
  void countSend(const CallerRequest &Asked, const PlayedTarget &Target);
  void leaveTarget(PlayedTarget &Left);

  // Faults and operators, in EngineEvents.cpp.
  void scheduleEvent(const EventSpec &Event);
  void begin(const EventSpec &Event);
  void end(const EventSpec &Event);
  void setTargetFault(const EventSpec &Event, bool Begins);
  void setRegion(const std::string &Region, bool Lost);
  void setHost(std::size_t Host, bool Gone);
  void setLoadFactor(const std::string &Label, double Factor);
  void poison(const EventSpec &Event);
  void operatorActs(const EventSpec &Event);
  void spreadIntent();

  base::Duration delay(const base::RegionId &From,
                       const base::RegionId &To) const;
  base::TimePoint end() const { return Start_ + Played_.Duration_; }
  void note(const CallerRequest &Asked, const std::string &Text);
  void noteDecision(std::size_t Host, const CallerRequest &Asked,
                    const steering::Decision &Taken);

  const Scenario &Played_;
  Strategy &Plays_;
  const std::set<std::uint64_t> Traced_;
  EventQueue Events_;
  const base::TimePoint Start_;
  Recorder Recorder_;
  /// One stream for each load, so that a change of one leaves the others.
  std::vector<base::Random> LoadRandom_;
  base::Random TargetRandom_;
  base::Random SpreadRandom_;
  settings::Intent Intent_;
  std::vector<PlayedTarget> Targets_;
  std::unordered_map<base::TargetId, std::size_t> TargetPlaces_;
  std::vector<PlayedHost> Hosts_;
  std::map<base::RegionId, std::vector<base::RegionId>> Preferences_;
  std::map<std::pair<base::RegionId, base::RegionId>, base::Duration> Delays_;
  std::vector<double> LoadFactors_;
  std::set<std::string> Warm_;
  std::uint64_t LastSerial_ = 0;
  std::uint64_t LastSend_ = 0;
  bool PeersCut_ = false;
};

} // namespace lychee::scenario

#endif
