#ifndef LYCHEE_MEMBERS_ENTRYPOLICY_H
#define LYCHEE_MEMBERS_ENTRYPOLICY_H

#include "members/HostTable.h"

#include <span>
#include <string>
#include <vector>

namespace lychee::members {

/// Who asks where to connect.
struct EntryQuery {
  base::RegionId Region_;
  base::ZoneId Zone_;
  /// Regions to prefer where the caller's own has no host; empty: any.
  std::vector<base::RegionId> Homes_;
  /// Host name that the caller's requests go to.
  std::string Name_;
  /// Callers take no more hosts than this.
  std::size_t MaxEntries_ = 64;
};

/// This host, as far as callers may be sent to it.
struct LocalHostState {
  bool Ready_ = false;
  bool Leaving_ = false;
  /// It can reach neither the store nor most hosts, so callers do better
  /// elsewhere.
  bool CutOff_ = false;
};

/// Chooses the hosts that a caller is told.
///
/// Load pattern: callers keep what they are told for seconds, and spread their
/// connections over it by chance. A dead host in the answer costs each of them
/// a failed connect, a far one costs each request its way; too few hosts put a
/// region's callers on one that may die next.
///
/// Hosts of the caller's region that are alive, ready and not leaving; where
/// there are none, those of the homes, then all others. Where they are more
/// than a caller takes, zones and names are told different ones, so that the
/// fleet's callers use all of them, and the same caller the same each time.
/// \returns their caller addresses; none where nobody can be named.
std::vector<std::string> chooseEntries(const EntryQuery &Asked,
                                       const HostDescriptor &Self,
                                       const LocalHostState &Own,
                                       std::span<const HostView> Others);

} // namespace lychee::members

#endif
