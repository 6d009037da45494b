#ifndef LYCHEE_LIVE_TARGETRECORD_H
#define LYCHEE_LIVE_TARGETRECORD_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace lychee::live {

/// What a target says of itself.
struct TargetRecord {
  base::TargetId Id_;
  base::ServiceId Service_;
  /// IP:PORT.
  std::string Address_;
  base::ZoneId Zone_;
  std::string SoftwareVersion_;
  std::uint32_t Slots_ = 1;
  /// It takes no new work and ends soon.
  bool Leaving_ = false;
  /// It stays cold for so long after it said this.
  base::Duration ColdLeft_{};
  /// Tells its starts apart: Unix milliseconds of this one.
  std::int64_t Started_ = 0;

  bool operator==(const TargetRecord &) const = default;
};

} // namespace lychee::live

#endif
