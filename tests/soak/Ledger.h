#ifndef LYCHEE_TESTS_SOAK_LEDGER_H
#define LYCHEE_TESTS_SOAK_LEDGER_H

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lychee::soak {

/// One request as its caller saw it.
struct Attempt {
  std::string Id_;
  /// The host that it was sent to.
  std::size_t Host_ = 0;
  /// It may run once at most.
  bool IsBooking_ = false;
  /// Targets that its rule lets it be sent to.
  std::size_t MostTargets_ = 1;
  std::string Key_;
  base::TimePoint SentAt_;
  /// 0: the connection ended without an answer.
  int Status_ = 0;
};

/// Keeps what callers were answered, and holds it against what targets ran:
///
/// - a booking runs once at most;
/// - what was refused as not run (429, 503, 408, 421) has not run;
/// - what was answered with success has run;
/// - no attempt runs on more targets than its rule allows, whatever hosts it
///   went through;
/// - nothing runs for a key that was withdrawn longer ago than promised.
///
/// Thread-safe.
class Ledger {
public:
  /// What deployments promise for a withdrawn key.
  static constexpr base::Duration KeyBound = std::chrono::seconds(5);

  void add(Attempt Made);
  void withdraw(const std::string &Key, base::TimePoint At);
  void recordHostStart(base::TimePoint At);

  /// Records that a host was killed, started, paused or woken.
  void recordTrouble(std::size_t Host, base::TimePoint At) {
    recordTrouble(Host, At, At);
  }
  /// Records that a host was cut from targets, so that others sent for it.
  void recordTrouble(std::size_t Host, base::TimePoint Begin,
                     base::TimePoint End);
  /// \returns whether a host had such a trouble from \p Begin to \p End.
  bool hadTrouble(std::size_t Host, base::TimePoint Begin,
                  base::TimePoint End) const;
  /// \returns the host that a request was sent to.
  std::optional<std::size_t> hostOf(const std::string &Id) const;

  /// \returns when hosts started again.
  std::vector<base::TimePoint> hostStarts() const;

  /// \param RunsOf  how often each of the targets ran a request.
  /// \returns a line for each promise that was broken.
  std::vector<std::string>
  broken(const std::function<std::vector<std::uint64_t>(const std::string &Id)>
             &RunsOf) const;

  /// A span in which some hosts are cut from all targets and nothing else is
  /// wrong.
  struct Cut {
    std::vector<std::size_t> Hosts_;
    base::TimePoint Begin_;
    base::TimePoint End_;
  };
  /// \returns a line where first tries at the hosts failed: more than 10 and
  /// one in 50 of those sent later than CutBound after the begin. Those with
  /// other keys than \p Key do not count, nor those that may go to one target
  /// only, which may ask for a rest.
  std::optional<std::string> failedIn(const Cut &Played,
                                      const std::string &Key) const;
  static constexpr base::Duration CutBound = std::chrono::seconds(3);

  /// \returns "requests=.. served=.. refused=.. failed=..".
  std::string summary() const;

private:
  mutable std::mutex Lock_;
  std::vector<Attempt> Attempts_;
  std::map<std::string, base::TimePoint> Withdrawn_;
  std::vector<base::TimePoint> HostStarts_;
  /// By host: begin and end.
  std::multimap<std::size_t, std::pair<base::TimePoint, base::TimePoint>>
      Troubles_;
  std::map<std::string, std::size_t> Hosts_;
};

} // namespace lychee::soak

#endif
