#ifndef LYCHEE_BENCH_DECISIONS_TRIAL_H
#define LYCHEE_BENCH_DECISIONS_TRIAL_H

#include "base/Random.h"
#include "base/Time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace lychee::bench {

/// Events of a trial in virtual time; equal times in order of scheduling.
class Timeline {
public:
  using Action = std::function<void(base::TimePoint)>;

  void at(base::TimePoint When, Action What) {
    Events_.push({When, ++Count_, std::move(What)});
  }

  void runUntil(base::TimePoint End) {
    while (!Events_.empty() && Events_.top().When_ <= End) {
      const Event Next = Events_.top();
      Events_.pop();
      Next.What_(Next.When_);
    }
  }

private:
  struct Event {
    base::TimePoint When_;
    std::uint64_t Order_ = 0;
    Action What_;

    bool operator<(const Event &Other) const {
      if (When_ != Other.When_)
        return When_ > Other.When_;
      return Order_ > Other.Order_;
    }
  };

  std::priority_queue<Event> Events_;
  std::uint64_t Count_ = 0;
};

/// \returns a span of exponential distribution.
inline base::Duration drawExponential(base::Random &Random,
                                      base::Duration Mean) {
  return base::fromSeconds(-base::toSeconds(Mean) *
                           std::log(1 - base::drawUnit(Random)));
}

/// Samples in milliseconds and their quantiles.
class Samples {
public:
  void add(base::Duration Sample) {
    Values_.push_back(1000 * base::toSeconds(Sample));
  }

  void append(const Samples &Others) {
    Values_.insert(Values_.end(), Others.Values_.begin(), Others.Values_.end());
  }

  std::size_t count() const { return Values_.size(); }

  double quantile(double Part) {
    if (Values_.empty())
      return 0;
    std::sort(Values_.begin(), Values_.end());
    const auto Last = static_cast<double>(Values_.size() - 1);
    return Values_[static_cast<std::size_t>(Part * Last)];
  }

private:
  std::vector<double> Values_;
};

/// Median and spread of one figure over several seeds.
struct Spread {
  double Least_ = 0;
  double Median_ = 0;
  double Most_ = 0;

  static Spread of(std::vector<double> Values) {
    std::sort(Values.begin(), Values.end());
    return {Values.front(), Values[Values.size() / 2], Values.back()};
  }

  /// \returns "median (least-most)".
  std::string text() const {
    std::array<char, 64> Text{};
    std::snprintf(Text.data(), Text.size(), "%.1f (%.1f-%.1f)", Median_, Least_,
                  Most_);
    return Text.data();
  }
};

/// Prints each admission discipline beside plain FIFO, over several seeds.
void runAdmissionTrial(int Seeds);

/// Prints each way to share few slots between many hosts.
void runPlacementTrial(int Seeds);

/// Prints the cost of single decisions in real time.
void runCosts();

} // namespace lychee::bench

#endif
