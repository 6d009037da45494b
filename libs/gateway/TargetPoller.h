#ifndef LYCHEE_GATEWAY_TARGETPOLLER_H
#define LYCHEE_GATEWAY_TARGETPOLLER_H

#include "gateway/AsioTypes.h"
#include "gateway/TargetObserver.h"

#include <atomic>
#include <memory>
#include <vector>

namespace lychee::gateway {

class Worker;

/// Asks each target for its health and load at a steady pace, on a connection
/// of its own, and hands what it finds to the TargetObserver. Judges nothing:
/// reports lag or lie, and the placement weighs them. The first polls are
/// spread over the interval, so that targets are not asked all at once.
///
/// A poll that fails on a kept connection is made again on a new one before
/// the target counts as unwell: the connection may be what is broken.
class TargetPoller {
public:
  /// \param Home  the worker on whose thread the polls run.
  explicit TargetPoller(Worker &Home) : Home_(Home) {}
  TargetPoller(const TargetPoller &) = delete;
  TargetPoller &operator=(const TargetPoller &) = delete;
  ~TargetPoller() { Current_->store(false); }

  /// Polls these from now on and no others. From one thread.
  void setTargets(std::vector<TargetEntry> Targets);

private:
  using Token = std::shared_ptr<std::atomic<bool>>;

  static Task<void> pollOne(Worker &Home, TargetEntry Entry,
                            base::Duration Offset, Token Current);

  Worker &Home_;
  /// False once the polls that hold it have been replaced.
  Token Current_ = std::make_shared<std::atomic<bool>>(true);
};

} // namespace lychee::gateway

#endif
