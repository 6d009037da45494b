#ifndef LYCHEE_STORE_CALLBUDGET_H
#define LYCHEE_STORE_CALLBUDGET_H

#include "base/Time.h"

namespace lychee::store {

/// How many calls a second this host may make to the store, over all kinds.
///
/// The load it answers: a store that recovers while every host asks for what it
/// missed. Without the bound, retries of a whole fleet keep it down. One second
/// of calls may come at once, so that a settings change with its chunks is
/// fetched without waiting.
class CallBudget {
public:
  /// \param CallsPerSecond  above 0.
  explicit CallBudget(double CallsPerSecond) noexcept;

  /// \returns true, and counts the call, where one is left.
  bool take(base::TimePoint Now) noexcept;

private:
  double CallsPerSecond_;
  double Left_;
  base::TimePoint Filled_;
};

} // namespace lychee::store

#endif
