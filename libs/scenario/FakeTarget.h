#ifndef LYCHEE_SCENARIO_FAKETARGET_H
#define LYCHEE_SCENARIO_FAKETARGET_H

#include "base/Random.h"
#include "scenario/CallerRequest.h"
#include "scenario/EventQueue.h"
#include "steering/Steering.h"

#include <deque>
#include <memory>
#include <vector>

namespace lychee::scenario {

/// One send, as a target sees it.
struct TargetJob {
  std::uint64_t Send_ = 0;
  std::shared_ptr<CallerRequest> Request_;
  base::Duration Work_{};
  std::function<void(steering::SendOutcome)> Done_;
};

/// A small fake of a target: slots, a queue before them, and the faults of
/// EventSpec. What it answers comes through each job's Done_, at the target's
/// end of the line. \see Engine
class FakeTarget {
public:
  /// Told of each request that begins to run.
  using RunListener = std::function<void(const CallerRequest &)>;

  /// \param Connections  jobs it takes at once; more fail to connect.
  FakeTarget(EventQueue &Events, std::uint32_t Slots, std::uint32_t Connections,
             RunListener Began);
  FakeTarget(const FakeTarget &) = delete;
  FakeTarget &operator=(const FakeTarget &) = delete;

  void accept(TargetJob Job, base::Random &Source);
  /// The host closed the connection: work that waits is not begun.
  void abandon(std::uint64_t Send);

  void setSlow(double Factor) noexcept { Slow_ = Factor; }
  void setSheds(double Share) noexcept { Sheds_ = Share; }
  void setSilent(bool Silent) noexcept { Silent_ = Silent; }
  /// Going down loses all that runs or waits there.
  void setDown(bool Down);

  bool down() const noexcept { return Down_; }
  std::uint32_t slots() const noexcept { return Slots_; }
  std::size_t running() const noexcept { return Running_.size(); }
  std::size_t load() const noexcept { return Running_.size() + Queue_.size(); }
  std::uint64_t crashes() const noexcept { return Crashes_; }

  /// Time from a crash until it serves again.
  static constexpr base::Duration RestartTime = std::chrono::seconds(3);

private:
  void begin(TargetJob Job);
  void end(std::uint64_t Send);
  void crash();
  void beginNext();

  EventQueue &Events_;
  const std::uint32_t Slots_;
  const std::uint32_t Connections_;
  const RunListener Began_;
  double Slow_ = 1;
  double Sheds_ = 0;
  bool Silent_ = false;
  bool Down_ = false;
  std::uint64_t Crashes_ = 0;
  std::vector<TargetJob> Running_;
  std::deque<TargetJob> Queue_;
};

} // namespace lychee::scenario

#endif
