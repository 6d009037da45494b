#ifndef LYCHEE_DISPATCH_SHAREDRETRYBUDGET_H
#define LYCHEE_DISPATCH_SHAREDRETRYBUDGET_H

#include <cstddef>

namespace lychee::dispatch {

/// Budget for retries and hedges of a service's requests, as this host's share
/// of what all hosts may send together: a fraction of the requests plus a fixed
/// number in each window.
///
/// Load pattern: targets fail or refuse because they are overloaded; without a
/// budget each request becomes several, and the overload sustains itself. Each
/// host earns tokens by its own requests, so the fractions add up over all
/// hosts, and the fixed number is divided by the number of hosts. No
/// communication between hosts is needed.
class SharedRetryBudget {
public:
  /// Share of the allowance that is used: windows slide, and a saved token may
  /// be spent in a window in which it was not earned.
  static constexpr double UsedShare = 0.8;

  /// \param Ratio  retries and hedges per request.
  /// \param Slack  additional ones in each window, for all hosts together.
  SharedRetryBudget(double Ratio, double Slack) noexcept
      : Ratio_(Ratio * UsedShare), Slack_(Slack * UsedShare) {}

  /// Counts a request and adds the tokens that it earns.
  /// \param Hosts  number of hosts that divide the slack.
  void recordRequest(std::size_t Hosts) noexcept;

  bool trySpend() noexcept;
  /// Returns a token that was spent ahead and not needed.
  void refund() noexcept { Tokens_ += 1; }
  bool hasToken() const noexcept { return Tokens_ >= 1; }

private:
  const double Ratio_;
  const double Slack_;
  double Tokens_ = 1;
};

} // namespace lychee::dispatch

#endif
