#ifndef LYCHEE_BASE_ID_H
#define LYCHEE_BASE_ID_H

#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace lychee::base {

/// A name of one kind of thing. Two kinds do not mix: passing a CustomerId
/// where a ServiceId belongs does not compile.
template <typename Kind> class Id {
public:
  Id() = default;
  explicit Id(std::string_view Name) : Name_(Name) {}

  const std::string &name() const noexcept { return Name_; }
  bool empty() const noexcept { return Name_.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string Name_;
};

using CustomerId = Id<struct CustomerKind>;
using HostId = Id<struct HostKind>;
using KeyId = Id<struct KeyKind>;
using LinkId = Id<struct LinkKind>;
using PlanId = Id<struct PlanKind>;
using RegionId = Id<struct RegionKind>;
using RequestId = Id<struct RequestKind>;
using ServiceId = Id<struct ServiceKind>;
using SiteId = Id<struct SiteKind>;
using TargetId = Id<struct TargetKind>;
using TeamId = Id<struct TeamKind>;
using ZoneId = Id<struct ZoneKind>;

} // namespace lychee::base

template <typename Kind> struct std::hash<lychee::base::Id<Kind>> {
  std::size_t operator()(const lychee::base::Id<Kind> &Value) const noexcept {
    return std::hash<std::string>()(Value.name());
  }
};

#endif
