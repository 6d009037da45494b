#ifndef LYCHEE_MEMBERS_ENTRYPOLICY_H
#define LYCHEE_MEMBERS_ENTRYPOLICY_H

#include "members/HostTable.h"

#include <span>
#include <string>
#include <vector>

namespace lychee::members {

/// A caller's question which hosts to connect to.
struct EntryQuery {
  base::RegionId Region_;
  base::ZoneId Zone_;
  /// Regions to prefer if the caller's own region has no host; empty: any.
  std::vector<base::RegionId> Homes_;
  /// Host name that the caller's requests are addressed to.
  std::string Name_;
  /// Largest number of hosts in the answer.
  std::size_t MaxEntries_ = 64;
};

/// State of this host that decides whether callers may be sent to it.
struct LocalHostState {
  bool Ready_ = false;
  bool Leaving_ = false;
  /// Whether the host can reach neither the store nor most other hosts, so that
  /// callers are better served elsewhere.
  bool CutOff_ = false;
  /// Whether the host reaches no targets, so that it has to forward requests.
  bool TargetsUnreached_ = false;
};

/// Selects the hosts that a caller may connect to.
///
/// Load pattern: callers cache the answer for seconds and spread their
/// connections over it at random. A dead host in the answer costs each caller a
/// failed connect, and a distant one adds latency to each request. Too few
/// hosts concentrate a region's callers on one that may die next.
///
/// Candidates are the hosts of the caller's region that are alive, ready and
/// not leaving; if there are none, those of the home regions, then all others.
/// Hosts that reach no targets are left out while at least half of the
/// candidates remain: they would have to forward what callers send them. Were
/// there fewer, the rest would get several times its connections, and callers
/// still get their answers through the others.
/// If there are more candidates than MaxEntries_, zones and host names get
/// different subsets, so that together callers use all hosts, and the same
/// caller gets the same subset each time.
/// \returns the caller addresses of the selected hosts; empty if there is none.
std::vector<std::string> chooseEntries(const EntryQuery &Query,
                                       const HostDescriptor &Self,
                                       const LocalHostState &Local,
                                       std::span<const HostView> Others);

} // namespace lychee::members

#endif
