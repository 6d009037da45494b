#ifndef LYCHEE_GATEWAY_REQUESTROUTER_H
#define LYCHEE_GATEWAY_REQUESTROUTER_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lychee::gateway {

/// What of a request tells its service.
struct RouteQuery {
  /// Lychee-Service header; goes before the other two; empty where absent.
  std::string_view ServiceName_;
  /// Host header without its port, lower case.
  std::string_view HostName_;
  /// Request target without its query.
  std::string_view Path_;
  std::string_view Method_;
  /// IPv4 address of the caller in host byte order.
  std::uint32_t CallerAddress_ = 0;
};

/// What the settings say about a request's service and caller.
struct Route {
  base::ServiceId Service_;
  /// Time it may take where the caller names none.
  base::Duration Deadline_{};
  bool Idempotent_ = false;
  /// Regions for this caller, nearest first.
  std::vector<base::RegionId> Preference_;
  std::uint64_t SettingsVersion_ = 0;
  /// What operators call the rule that took the request; empty: it has none.
  std::string Name_;
  /// False: the rule that took the request cannot be read, and nothing else is
  /// known of it.
  bool Readable_ = true;
  /// When coming back helps if it cannot be read.
  base::Duration RetryAfter_{};
  /// Anyone may ask; no key is checked.
  bool Public_ = false;
  /// Longest time that a caller is kept waiting, whatever it asks for.
  std::optional<base::Duration> Timeout_;
  /// Time within which an answer is worth most; zero: none is stated.
  base::Duration Objective_{};
  /// Targets that one request may be sent to; 0: as the steering sees fit.
  std::uint32_t MaximumSends_ = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// Requests about one object go best to targets that lately handled it.
  bool ByObject_ = false;
  /// Regions in which it may be served; empty: in any.
  std::vector<base::RegionId> Homes_;
};

/// Finds the service that a request asks for. Called from several threads.
class RequestRouter {
public:
  RequestRouter() = default;
  RequestRouter(const RequestRouter &) = delete;
  RequestRouter &operator=(const RequestRouter &) = delete;
  virtual ~RequestRouter() = default;

  /// \returns nothing where no service takes the request.
  virtual std::optional<Route> route(const RouteQuery &Query) = 0;

  /// \returns the version of the settings that requests are routed by; 0: not
  /// told.
  virtual std::uint64_t settingsVersion() const { return 0; }
};

} // namespace lychee::gateway

#endif
