#ifndef LYCHEE_GATEWAY_TARGETPOOLS_H
#define LYCHEE_GATEWAY_TARGETPOOLS_H

#include "gateway/TargetObserver.h"
#include "gateway/TargetPool.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <span>
#include <string>

namespace lychee::gateway {

/// The pool of each target, by address. Thread-safe. \see TargetPool
class TargetPools {
public:
  /// Limit for a target that is sent to before its entry is known here, as
  /// may happen for a moment after a change of settings. Small, since the
  /// sum over all hosts counts.
  static constexpr std::uint32_t UnknownTargetLimit = 8;

  /// \param Limit  of connections to each address that setTargets() has not
  /// told.
  explicit TargetPools(std::uint32_t Limit = UnknownTargetLimit)
      : UnknownLimit_(Limit) {}
  TargetPools(const TargetPools &) = delete;
  TargetPools &operator=(const TargetPools &) = delete;

  /// \returns the pool of \p Address, made where there is none.
  std::shared_ptr<TargetPool> at(const std::string &Address);

  /// Makes these the known targets. The idle connections of others close;
  /// what runs on them ends.
  void setTargets(std::span<const TargetEntry> Targets);

  /// Closes idle connections that showed no life since \p LifeSince.
  void closeOlderThan(base::TimePoint LifeSince);

private:
  const std::uint32_t UnknownLimit_;
  std::shared_mutex Lock_;
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> Pools_;
};

} // namespace lychee::gateway

#endif
