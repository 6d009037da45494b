#include "relaying/RelayExchange.h"
#include "relaying/RelayRole.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using lychee::relaying::RelayExchange;
using lychee::relaying::RelayRole;
using namespace std::chrono_literals;

namespace {

/// A fault that hits readers of the region.
enum class Fault {
  /// Open watches receive nothing more; new connections work.
  SilentWatch,
  /// All calls to the store fail, and the readers report that.
  CutOff,
  /// As CutOff, but the reports do not reach the other hosts; responses do.
  CutOffUnnoticed,
  /// The readers neither call, respond nor send heartbeats.
  Frozen,
};

/// Simulates the hosts of one region in virtual time: heartbeats, polls, and
/// calls to a store that responds immediately to every host that reaches it.
class Region {
public:
  static constexpr base::Duration Step = 20ms;
  static constexpr base::Duration RoleInterval = 200ms;
  static constexpr base::Duration PollInterval = RelayExchange::Interval;
  static constexpr base::Duration HeartbeatInterval = 500ms;
  static constexpr base::Duration CallTime = 20ms;
  static constexpr base::Duration CallTimeout = 1s;

  Region(std::size_t Count, base::Duration Bound)
      : Timeouts_(lychee::relaying::freshnessTimeoutsFor(Bound)) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      members::HostView View;
      View.Descriptor_.Host_ = base::HostId("host-" + std::to_string(Number));
      View.Descriptor_.Region_ = base::RegionId("near");
      View.Descriptor_.Address_ = std::to_string(Number);
      View.Alive_ = true;
      View.Ready_ = true;
      Views_.push_back(View);
      Hosts_.emplace_back(RelayRole(View.Descriptor_, Timeouts_), Now_);
    }
  }

  void play(base::Duration Duration) {
    for (const base::TimePoint End = Now_ + Duration; Now_ < End; Now_ += Step)
      for (std::size_t Number = 0; Number < Hosts_.size(); ++Number)
        act(Number);
  }

  /// Applies a fault to \p Count of the readers.
  void breakReaders(Fault Kind, std::size_t Count) {
    for (Host &Entry : Hosts_)
      if (Count > 0 && Entry.Role_.isReader()) {
        Entry.Fault_ = Kind;
        --Count;
      }
  }

  /// \returns the greatest age of updates on a host without a fault.
  base::Duration maxUpdateAge() const { return MaxUpdateAge_; }
  /// \returns the greatest number of hosts that read the store at one time.
  std::size_t maxReading() const { return MaxReading_; }
  /// \returns the number of hosts that poll the most polled reader.
  std::size_t maxPollsPerReader() const {
    std::map<std::string, std::size_t> Polled;
    std::size_t Max = 0;
    for (const Host &Entry : Hosts_)
      for (const std::string &Address : Entry.Role_.readers())
        Max = std::max(Max, ++Polled[Address]);
    return Max;
  }
  void resetMaxima() {
    MaxUpdateAge_ = {};
    MaxReading_ = 0;
  }

private:
  struct Host {
    Host(RelayRole Role, base::TimePoint Now)
        : Role_(std::move(Role)), OwnStoreContact_(Now), StoreContact_(Now) {}

    RelayRole Role_;
    /// Time at which the store last responded to this host; StoreContact_ also
    /// counts responses to hosts that sent updates to this one.
    base::TimePoint OwnStoreContact_;
    base::TimePoint StoreContact_;
    std::optional<Fault> Fault_;
    /// When the current call ends, and whether it succeeds.
    std::optional<base::TimePoint> CallEndsAt_;
    bool CallSucceeds_ = true;
    bool IsWatch_ = false;
  };

  bool isDue(std::size_t Number, base::Duration Interval) const {
    // Hosts do not act in step.
    const base::Duration Shift = Step * static_cast<int>(Number * 7);
    return (Now_.time_since_epoch() + Shift) % Interval < Step;
  }

  void act(std::size_t Number) {
    Host &Self = Hosts_[Number];
    if (Self.Fault_ == Fault::Frozen)
      return;
    if (isDue(Number, RoleInterval))
      update(Number);
    if (isDue(Number, PollInterval))
      pollReaders(Self);
    call(Self);
    // A store failure of a reader is reported immediately.
    const bool IsReported =
        isDue(Number, HeartbeatInterval) ||
        (isDue(Number, RoleInterval) && Self.Role_.isReader() &&
         Self.Role_.isInTrouble(Now_));
    if (IsReported && Self.Fault_ != Fault::CutOffUnnoticed)
      Views_[Number].StoreTrouble_ = Self.Role_.isInTrouble(Now_);
    if (!Self.Fault_)
      MaxUpdateAge_ = std::max(MaxUpdateAge_, Now_ - Self.StoreContact_);
  }

  void update(std::size_t Number) {
    std::swap(Views_[Number], Views_.back());
    Hosts_[Number].Role_.update(std::span(Views_).first(Views_.size() - 1),
                                false, Now_);
    std::swap(Views_[Number], Views_.back());
    const auto Reading =
        std::count_if(Hosts_.begin(), Hosts_.end(), [this](const Host &Entry) {
          return !Entry.Fault_ && Entry.Role_.mustReadStore(Now_);
        });
    if (Now_ > Start_ + SettlingTime)
      MaxReading_ = std::max(MaxReading_, static_cast<std::size_t>(Reading));
  }

  void pollReaders(Host &Self) {
    for (const std::string &Address : Self.Role_.readers()) {
      if (!Self.Role_.tryPoll(Address, Now_))
        continue;
      const Host &Polled = Hosts_[std::stoul(Address)];
      if (Polled.Fault_ == Fault::Frozen)
        continue;
      const bool IsSynced = Polled.Role_.mustReadStore(Now_);
      Self.Role_.noteResponse(Address,
                              IsSynced ? std::optional(Polled.OwnStoreContact_)
                                       : std::nullopt,
                              Now_);
      if (IsSynced)
        Self.StoreContact_ =
            std::max(Self.StoreContact_, Polled.OwnStoreContact_);
    }
  }

  bool canReachStore(const Host &Self) const {
    return !Self.Fault_ || Self.Fault_ == Fault::SilentWatch;
  }

  void call(Host &Self) {
    if (!Self.CallEndsAt_) {
      Self.IsWatch_ = Self.IsWatch_ && Self.Role_.mustReadStore(Now_);
      if (Self.Role_.mustReadStore(Now_))
        startCall(Self);
      return;
    }
    // The connection that is open when the fault begins receives nothing more.
    if (Self.Fault_ && Self.CallSucceeds_ && Self.IsWatch_) {
      Self.CallSucceeds_ = false;
      *Self.CallEndsAt_ += Timeouts_.WatchGrace_;
    }
    if (Now_ < *Self.CallEndsAt_)
      return;
    Self.CallEndsAt_.reset();
    Self.IsWatch_ = Self.CallSucceeds_ && Self.Role_.mustReadStore(Now_);
    if (!Self.CallSucceeds_) {
      Self.Role_.noteTrouble(Now_);
      return;
    }
    Self.Role_.noteSuccess();
    Self.OwnStoreContact_ = Self.StoreContact_ = Now_;
  }

  /// Starts a list, or a watch after a successful call.
  void startCall(Host &Self) {
    Self.CallSucceeds_ = canReachStore(Self);
    if (Self.IsWatch_)
      Self.CallEndsAt_ = Now_ + Timeouts_.Watch_;
    else
      Self.CallEndsAt_ = Now_ + (Self.CallSucceeds_ ? CallTime : CallTimeout);
  }

  static constexpr base::Duration SettlingTime = 3s;

  const lychee::relaying::FreshnessTimeouts Timeouts_;
  const base::TimePoint Start_ = base::TimePoint(100s);
  base::TimePoint Now_ = Start_;
  std::vector<members::HostView> Views_;
  std::vector<Host> Hosts_;
  base::Duration MaxUpdateAge_{};
  std::size_t MaxReading_ = 0;
};

/// The strictest bound is simulated with every number of hosts.
std::vector<std::size_t> countsFor(base::Duration Bound) {
  if (Bound == 2s)
    return {6, 12, 95, 300};
  return {12, 95};
}

} // namespace

TEST_GROUP(RelayRegion){};

// A customer's key is withdrawn while a caller at some host of the region goes
// on using it. The readers do not learn of it because their watches have fallen
// silent or they are cut off or frozen, and the other hosts may or may not know
// that. Every host without a fault must get the change within its bound.
TEST(RelayRegion, changesAreInForceInTimeWhateverFaultReadersHave) {
  for (const base::Duration Bound : {2s, 4s, 6s})
    for (const std::size_t Count : countsFor(Bound))
      for (const Fault Kind : {Fault::SilentWatch, Fault::CutOff,
                               Fault::CutOffUnnoticed, Fault::Frozen}) {
        Region Hosts(Count, Bound);
        Hosts.play(6s);
        Hosts.resetMaxima();
        Hosts.breakReaders(Kind, Count);
        Hosts.play(6s);
        CHECK(Hosts.maxUpdateAge() < Bound);
      }
}

// Two readers fail. The other hosts must not all start to read the store.
TEST(RelayRegion, twoFailedReadersAreReplacedByTheNextTwo) {
  for (const base::Duration Bound : {2s, 4s, 6s})
    for (const std::size_t Count : countsFor(Bound))
      for (const Fault Kind :
           {Fault::SilentWatch, Fault::CutOff, Fault::CutOffUnnoticed}) {
        Region Hosts(Count, Bound);
        Hosts.play(6s);
        Hosts.resetMaxima();
        Hosts.breakReaders(Kind, 2);
        Hosts.play(6s);
        CHECK(Hosts.maxReading() <= 2 * RelayRole::readersFor(Count));
      }
}

// Without faults a few hosts read the store and all others rely on their
// updates. No reader has so many polls to answer that it has time for nothing
// else.
TEST(RelayRegion, withoutFaultsFewHostsReadAndEachAnswersFew) {
  for (const base::Duration Bound : {2s, 4s, 6s})
    for (const std::size_t Count : countsFor(Bound)) {
      Region Hosts(Count, Bound);
      Hosts.play(6s);
      Hosts.resetMaxima();
      Hosts.play(10s);
      LONGS_EQUAL(RelayRole::readersFor(Count), Hosts.maxReading());
      CHECK(Hosts.maxUpdateAge() < Bound);
      CHECK(Hosts.maxPollsPerReader() <= 4 * RelayRole::HostsPerReader);
    }
}
