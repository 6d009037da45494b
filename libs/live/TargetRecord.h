#ifndef LYCHEE_LIVE_TARGETRECORD_H
#define LYCHEE_LIVE_TARGETRECORD_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace lychee::live {

/// State that a target reports about itself.
struct TargetRecord {
  base::TargetId Id_;
  base::ServiceId Service_;
  /// IP:PORT.
  std::string Address_;
  base::ZoneId Zone_;
  std::string SoftwareVersion_;
  std::uint32_t Slots_ = 1;
  /// The target accepts no new requests and ends soon.
  bool Leaving_ = false;
  /// Remaining time for which the target is cold, counted from its report.
  base::Duration ColdLeft_{};
  /// Start time in Unix milliseconds, which distinguishes the target's
  /// incarnations.
  std::int64_t Started_ = 0;

  bool operator==(const TargetRecord &) const = default;
};

} // namespace lychee::live

#endif
