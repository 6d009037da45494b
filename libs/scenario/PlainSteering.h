#ifndef LYCHEE_SCENARIO_PLAINSTEERING_H
#define LYCHEE_SCENARIO_PLAINSTEERING_H

#include "budget/RateBudgets.h"
#include "steering/Steering.h"

namespace lychee::scenario {

/// Takes a part away from the project's own steering, to measure what the part
/// is worth. \see FleetRules
class PlainSteering final : public steering::Steering {
public:
  /// The customer that all are in the one line.
  static constexpr const char *Everyone = "everyone";

  /// \param Rates  checks customers' rates where all wait in one line, as the
  /// inner steering knows one customer only; else null.
  PlainSteering(steering::Steering &Inner, bool LocalOnly,
                budget::RateBudgets *Rates)
      : Inner_(Inner), LocalOnly_(LocalOnly), Rates_(Rates) {}

  steering::Decision arrive(const steering::Request &Arrived,
                            base::TimePoint Now) override;
  steering::Decision finish(std::uint64_t Ticket,
                            const steering::SendReport &Report,
                            base::TimePoint Now,
                            std::vector<steering::Wakeup> &Woken) override {
    return Inner_.finish(Ticket, Report, Now, Woken);
  }
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override {
    Inner_.cancel(Ticket, Now);
  }
  void tick(base::TimePoint Now,
            std::vector<steering::Wakeup> &Woken) override {
    Inner_.tick(Now, Woken);
  }

private:
  steering::Steering &Inner_;
  const bool LocalOnly_;
  budget::RateBudgets *const Rates_;
};

} // namespace lychee::scenario

#endif
