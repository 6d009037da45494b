#ifndef LYCHEE_STEERING_RETURNTIME_H
#define LYCHEE_STEERING_RETURNTIME_H

#include "base/Random.h"
#include "base/Time.h"

namespace lychee::steering {

/// \returns when a caller that was refused because all targets rest should come
/// back: within half of the rest that was left, after the first target ends it.
///
/// Load pattern: all callers that were refused in a rest of seconds, in the
/// moment in which a single target takes requests again.
/// \param First  time until the first target ends its rest.
base::Duration returnAfterRest(base::Duration First, base::Random &Random);

} // namespace lychee::steering

#endif
