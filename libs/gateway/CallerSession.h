#ifndef LYCHEE_GATEWAY_CALLERSESSION_H
#define LYCHEE_GATEWAY_CALLERSESSION_H

#include "gateway/CallerConnection.h"
#include "gateway/MessageReader.h"

namespace lychee::gateway {

class Worker;

/// One caller's connection: reads requests in the order in which they come,
/// pipelined ones too, has each served by an Exchange, and bounds how long the
/// connection may lie idle and how long a head may take. \see Exchange
class CallerSession {
public:
  CallerSession(Worker &Home, Socket Accepted);
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  CallerConnection &connection() noexcept { return Caller_; }

  /// Runs until the connection is closed.
  Task<void> run();

private:
  Task<bool> waitForRequest();
  Task<bool> serveOne();
  Task<void> refuseUnread(ReadEnd End);
  Task<void> linger();

  Worker &Home_;
  CallerConnection Caller_;
};

} // namespace lychee::gateway

#endif
