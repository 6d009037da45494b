#include "base/Error.h"

#include "base/KeyValueLine.h"

namespace lychee::base {

std::string Error::describe() const {
  return KeyValueLine()
      .add("step", Step_)
      .add("peer", Peer_)
      .add("reason", Reason_)
      .text();
}

} // namespace lychee::base
