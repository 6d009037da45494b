#ifndef LYCHEE_STORE_GUARDEDSTORE_H
#define LYCHEE_STORE_GUARDEDSTORE_H

#include "store/CallBudget.h"
#include "store/Store.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>

namespace lychee::store {

/// Calls made through a GuardedStore so far.
struct CallCounts {
  std::uint64_t Gets_ = 0;
  std::uint64_t Puts_ = 0;
  std::uint64_t Lists_ = 0;
  std::uint64_t Watches_ = 0;
  /// Calls that got no answer in time.
  std::uint64_t Failures_ = 0;
  /// Calls not made, because the budget was spent.
  std::uint64_t OverBudget_ = 0;
};

/// Holds one host's calls to the store under its budget, counts them, and
/// remembers when the store last answered. A call over the budget fails at once
/// and certainly was not made; its caller comes back after its Backoff.
/// \see CallBudget, ChangeWriter
class GuardedStore final : public Store {
public:
  /// \param Inner  outlives this.
  GuardedStore(Store &Inner, double CallsPerSecond);

  boost::asio::awaitable<std::optional<Object>> get(std::string_view Path,
                                                    base::Error &Last) override;

  boost::asio::awaitable<PutResult> put(std::string_view Path,
                                        std::string_view Value,
                                        std::uint64_t Expected,
                                        base::Error &Last) override;

  boost::asio::awaitable<std::optional<std::vector<Object>>>
  list(std::string_view Prefix, base::Error &Last) override;

  boost::asio::awaitable<std::optional<Object>>
  watch(std::string_view Path, std::uint64_t Known, base::Duration Wait,
        base::Error &Last) override;

  CallCounts counts() const;

  /// When the last call that got an answer was begun; nothing before the first.
  std::optional<base::TimePoint> lastAnswer() const;

private:
  bool admit(std::uint64_t CallCounts::*Kind, const char *Step,
             base::TimePoint Now, base::Error &Last);
  void finish(bool Answered, base::TimePoint Began);

  Store &Inner_;
  mutable std::mutex Lock_;
  CallBudget Budget_;
  CallCounts Counts_;
  std::optional<base::TimePoint> LastAnswer_;
};

} // namespace lychee::store

#endif
