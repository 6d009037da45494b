#ifndef LYCHEE_GATEWAY_TARGETPOLL_H
#define LYCHEE_GATEWAY_TARGETPOLL_H

#include "gateway/MessageReader.h"
#include "gateway/TargetObserver.h"
#include "gateway/TargetPool.h"

#include <memory>
#include <string>
#include <string_view>

namespace lychee::gateway {

class Worker;

/// Polls of one target on a kept connection. Of its worker's thread.
/// \see TargetPoller
class TargetPoll {
public:
  TargetPoll(Worker &Home, const TargetEntry &Entry);
  TargetPoll(const TargetPoll &) = delete;
  TargetPoll &operator=(const TargetPoll &) = delete;

  Task<TargetObservation> poll();

private:
  Task<bool> connect();
  /// \returns whether an answer came; \p Status and \p Body tell it.
  Task<bool> get(std::string_view Path, unsigned &Status, std::string &Body);
  Task<bool> ask(TargetObservation &Seen);
  void bound();

  Worker &Home_;
  const TargetEntry Entry_;
  std::shared_ptr<TargetPool> Pool_;
  std::unique_ptr<TargetConnection> Connection_;
  Watch Watch_;
  std::string Failure_;
};

} // namespace lychee::gateway

#endif
