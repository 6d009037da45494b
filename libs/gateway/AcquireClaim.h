#ifndef LYCHEE_GATEWAY_ACQUIRECLAIM_H
#define LYCHEE_GATEWAY_ACQUIRECLAIM_H

#include "gateway/AsioTypes.h"
#include "gateway/CallerConnection.h"
#include "gateway/ClaimGate.h"

namespace lychee::gateway {

class Worker;

/// Asks the ClaimGate and waits for its answer, until \p Limit or until the
/// caller hangs up; then the answer is StoreUnavailable. A claim granted after
/// that is given back: nothing ran under it, and left as it is the work could
/// never run anywhere.
Task<ClaimAnswer> acquireClaim(Worker &Home, CallerConnection &Caller,
                               const ClaimRequest &Asked,
                               base::TimePoint Limit);

} // namespace lychee::gateway

#endif
