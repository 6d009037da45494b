#ifndef LYCHEE_ADMISSION_PRIORITYORDER_H
#define LYCHEE_ADMISSION_PRIORITYORDER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace lychee::admission {

/// Priorities that are told apart; 0 is the most urgent, and all from the last
/// one on count as one.
inline constexpr std::size_t PriorityCount = 8;

/// A request of a customer of whose demand only a fraction is served.
struct PriorityQuery {
  /// Fraction of the customer's demand that is served.
  double Fraction_ = 1;
  std::uint32_t Priority_ = 0;
  /// All requests of the customer have this priority.
  bool IsOnlyPriority_ = false;
  /// Number in [0, 1), as random as the request.
  double Draw_ = 0;
};

enum class ShareOutcome : std::uint8_t {
  Admitted,
  /// The customer asks for more than its share.
  OverShare,
  /// The customer's share is used by its more urgent requests.
  LessUrgent,
};

/// Outcome for one request, with what it was decided by.
struct ShareDecision {
  ShareOutcome Outcome_ = ShareOutcome::Admitted;
  /// Fraction of the customer's demand that is served.
  double Fraction_ = 1;
  /// Part of the customer's demand that is served before this request, in
  /// [0, 1].
  double Ahead_ = 0;
};

/// Orders the requests of one customer by priority and admits them as far as
/// the customer's fraction reaches.
///
/// Load pattern: rules of several priorities compete for a full service. A
/// random draw would refuse urgent and less urgent requests alike; strict order
/// would serve none of the less urgent ones. The order is that of a request's
/// priority in the demand for the service, since one host sees too few requests
/// of one customer to know that customer's own distribution.
class PriorityOrder {
public:
  /// Minimum rate at which a priority is served, as part of the customer's
  /// fraction. Callers require a quarter; the rest covers random variation.
  static constexpr double MinPart = 0.3;

  /// \param Demands  the demand for the service by priority.
  void setDemands(std::span<const double, PriorityCount> Demands) noexcept;

  ShareDecision decide(const PriorityQuery &Query) const noexcept;

private:
  /// Fractions of the demand, of more urgent priorities and of its own.
  std::array<double, PriorityCount> Before_{};
  std::array<double, PriorityCount> Own_{};
};

/// \returns the index of a priority in arrays by priority.
inline std::size_t priorityIndex(std::uint32_t Priority) noexcept {
  return Priority < PriorityCount ? Priority : PriorityCount - 1;
}

} // namespace lychee::admission

#endif
