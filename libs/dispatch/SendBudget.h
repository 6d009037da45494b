#ifndef LYCHEE_DISPATCH_SENDBUDGET_H
#define LYCHEE_DISPATCH_SENDBUDGET_H

#include <cstddef>

namespace lychee::dispatch {

/// Second sends of a service's requests, as this host's part of what all hosts
/// may send together: a fraction of the requests plus a fixed number in each
/// window.
///
/// Load pattern: targets fail or refuse since they are overloaded; without a
/// budget each request becomes several, and the overload keeps itself up. Each
/// host earns by its own requests, so the fractions add up by themselves, and
/// the fixed number is divided by the hosts. No word between hosts is needed.
class SendBudget {
public:
  /// Part of what is allowed that is used: windows slide, and a saved-up token
  /// may be spent in a window in which it was not earned.
  static constexpr double UsedPart = 0.8;

  /// \param Ratio  second sends for each request. \param Slack  free ones in
  /// each window, for all hosts together.
  SendBudget(double Ratio, double Slack) noexcept
      : Ratio_(Ratio * UsedPart), Slack_(Slack * UsedPart) {}

  /// A request came. \param Hosts  how many hosts divide the slack.
  void requested(std::size_t Hosts) noexcept;

  bool spend() noexcept;
  /// Gives back what was spent ahead and not needed.
  void refund() noexcept { Tokens_ += 1; }
  bool hasOne() const noexcept { return Tokens_ >= 1; }

private:
  const double Ratio_;
  const double Slack_;
  double Tokens_ = 1;
};

} // namespace lychee::dispatch

#endif
