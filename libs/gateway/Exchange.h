#ifndef LYCHEE_GATEWAY_EXCHANGE_H
#define LYCHEE_GATEWAY_EXCHANGE_H

#include "gateway/Authenticator.h"
#include "gateway/CallerAnswer.h"
#include "gateway/CallerConnection.h"
#include "gateway/CallerRequest.h"
#include "gateway/MessageReader.h"

namespace lychee::gateway {

class Worker;

/// One request of a caller up to the decisions: checks its head, answers what
/// the gateway itself answers, checks the key, finds the service.
/// \see Forwarding, which takes it from there
class Exchange {
public:
  /// \param Reader  has read the head.
  Exchange(Worker &Home, CallerConnection &Caller, RequestReader &Reader);
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  ~Exchange();

  Task<Ending> run();

private:
  Task<Ending> answerLookup();
  Task<Ending> answerReady();
  Task<Ending> refuseEarly(const Identity &Caller, steering::Refusal Reason);
  Task<Ending> forward();

  Worker &Home_;
  CallerConnection &Caller_;
  RequestReader &Reader_;
  base::RequestId Id_;
  CallerRequest Read_;
  CallerAnswer Answer_;
};

} // namespace lychee::gateway

#endif
