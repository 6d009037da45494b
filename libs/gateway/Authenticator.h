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
};

} // namespace lychee::gateway

#endif
