#ifndef LYCHEE_GATEWAY_TOLDTOHOST_H
#define LYCHEE_GATEWAY_TOLDTOHOST_H

#include <cstdint>

namespace lychee::gateway {

/// What an answer states for the host that forwarded its request.
struct ToldToHost {
  /// The version of the settings of the host that answers.
  std::uint64_t SettingsVersion_ = 0;
  /// Sends to targets that were made for the request.
  std::uint32_t Sends_ = 0;
};

} // namespace lychee::gateway

#endif
