#ifndef LYCHEE_APPS_LYCHEED_HOSTREGISTRATION_H
#define LYCHEE_APPS_LYCHEED_HOSTREGISTRATION_H

#include "live/ObjectSource.h"
#include "members/Heartbeat.h"

#include <boost/asio/awaitable.hpp>

namespace lychee::daemon {

/// This host's entry in the store, by which other hosts find it where the
/// seeds they know are gone. Of the control loop's thread.
/// \see members::HostTable
class HostRegistration {
public:
  /// \param Store  outlives this.
  HostRegistration(live::ObjectSource &Store, members::HostDescriptor Self)
      : Store_(Store), Self_(std::move(Self)) {}
  HostRegistration(const HostRegistration &) = delete;
  HostRegistration &operator=(const HostRegistration &) = delete;

  /// Writes the entry, and tries again until it stands; does nothing while it
  /// is being written.
  boost::asio::awaitable<void> enter();
  /// Removes it; an entry that stays only costs others a datagram now and then.
  boost::asio::awaitable<void> leave();

private:
  live::ObjectSource &Store_;
  const members::HostDescriptor Self_;
  bool Entering_ = false;
};

} // namespace lychee::daemon

#endif
