#ifndef LYCHEE_GATEWAY_AUTHENTICATOR_H
#define LYCHEE_GATEWAY_AUTHENTICATOR_H

#include "base/Id.h"
#include "base/Time.h"
#include "steering/Steering.h"

#include <cstdint>
#include <string_view>

namespace lychee::gateway {

/// What a presented key is good for.
struct Identity {
  /// None where the key is good; else why it is not.
  steering::Refusal Refusal_ = steering::Refusal::UnknownKey;
  base::CustomerId Customer_;
  base::KeyId Key_;
  std::uint64_t SettingsVersion_ = 0;
  /// When coming back helps; zero where waiting does not help.
  base::Duration RetryAfter_{};
  /// The customer's own rank; goes before the route's.
  std::optional<std::uint32_t> Priority_;
  /// Regions in which the customer's requests may be served; empty: in any.
  std::vector<base::RegionId> Homes_;
};

/// Tells whose key it is. Asked on every request, also on a connection that
/// has shown its key before: a withdrawn key stops working on it, too.
/// Called from several threads. \see settings::KeyRing
class Authenticator {
public:
  Authenticator() = default;
  Authenticator(const Authenticator &) = delete;
  Authenticator &operator=(const Authenticator &) = delete;
  virtual ~Authenticator() = default;

  /// \param Presented  the text after "Bearer ", from outside and unchecked.
  virtual Identity check(std::string_view Presented, base::TimePoint Now) = 0;

  /// Asked once more right before a send, since a request may have waited, or
  /// the process may have been paused, since the first check.
  /// \returns None where the key that \p Found was found by still holds; else
  /// why it does not.
  virtual steering::Refusal recheck(const Identity &Found,
                                    base::TimePoint Now) {
    (void)Found;
    (void)Now;
    return steering::Refusal::None;
  }
};

} // namespace lychee::gateway

#endif
