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

/// What is wrong at the two hosts that ask when it begins.
enum class Fault {
  /// Their open watches hear and tell nothing more; new connections work.
  SilentWatch,
  /// None of their calls is answered any more, and they say so.
  CutOff,
  /// The same, and what they say does not get through; their answers do.
  CutOffUnnoticed,
  /// They are frozen: they neither ask nor answer nor say anything.
  Frozen,
};

/// The hosts of one region in virtual time: heartbeats, questions, and calls to
/// a store that answers at once whoever reaches it.
class Region {
public:
  static constexpr base::Duration Step = 20ms;
  static constexpr base::Duration RolePace = 200ms;
  static constexpr base::Duration LookPace = RelayExchange::Pace;
  static constexpr base::Duration HeartbeatPace = 500ms;
  static constexpr base::Duration CallTime = 20ms;
  static constexpr base::Duration CallTimeout = 1s;

  Region(std::size_t Count, base::Duration Bound)
      : Pace_(lychee::relaying::freshnessTimeoutsFor(Bound)) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      members::HostView View;
      View.Descriptor_.Host_ = base::HostId("host-" + std::to_string(Number));
      View.Descriptor_.Region_ = base::RegionId("near");
      View.Descriptor_.Address_ = std::to_string(Number);
      View.Alive_ = true;
      View.Ready_ = true;
      Views_.push_back(View);
      Hosts_.emplace_back(RelayRole(View.Descriptor_, Pace_), Now_);
    }
  }

  void play(base::Duration Span) {
    for (const base::TimePoint End = Now_ + Span; Now_ < End; Now_ += Step)
      for (std::size_t Number = 0; Number < Hosts_.size(); ++Number)
        act(Number);
  }

  /// Breaks so many of the hosts that ask.
  void breakAskers(Fault What, std::size_t Count) {
    for (Host &Each : Hosts_)
      if (Count > 0 && Each.Role_.isReader()) {
        Each.Fault_ = What;
        --Count;
      }
  }

  /// \returns the oldest news that a host without a fault went by.
  base::Duration oldestNews() const { return Oldest_; }
  /// \returns the most hosts that asked the store at one moment.
  std::size_t mostAsking() const { return MostAsking_; }
  /// \returns how many hosts the one that is asked by most has to answer.
  std::size_t mostAnswered() const {
    std::map<std::string, std::size_t> Asked;
    std::size_t Most = 0;
    for (const Host &Each : Hosts_)
      for (const std::string &Address : Each.Role_.askers())
        Most = std::max(Most, ++Asked[Address]);
    return Most;
  }
  void forget() {
    Oldest_ = {};
    MostAsking_ = 0;
  }

private:
  struct Host {
    Host(RelayRole Role, base::TimePoint Now)
        : Role_(std::move(Role)), OwnContact_(Now), Contact_(Now) {}

    RelayRole Role_;
    /// The store last answered this host, or one that told it.
    base::TimePoint OwnContact_;
    base::TimePoint Contact_;
    std::optional<Fault> Fault_;
    /// When the call under way ends, and whether it brings anything.
    std::optional<base::TimePoint> CallEnds_;
    bool CallComes_ = true;
    bool Watches_ = false;
  };

  bool isDue(std::size_t Number, base::Duration Pace) const {
    // Hosts do not act in step.
    const base::Duration Shift = Step * static_cast<int>(Number * 7);
    return (Now_.time_since_epoch() + Shift) % Pace < Step;
  }

  void act(std::size_t Number) {
    Host &Self = Hosts_[Number];
    if (Self.Fault_ == Fault::Frozen)
      return;
    if (isDue(Number, RolePace))
      update(Number);
    if (isDue(Number, LookPace))
      question(Self);
    call(Self);
    // Trouble of a host that others rely on is told at once.
    const bool IsTold = isDue(Number, HeartbeatPace) ||
                        (isDue(Number, RolePace) && Self.Role_.isReader() &&
                         Self.Role_.isInTrouble(Now_));
    if (IsTold && Self.Fault_ != Fault::CutOffUnnoticed)
      Views_[Number].StoreTrouble_ = Self.Role_.isInTrouble(Now_);
    if (!Self.Fault_)
      Oldest_ = std::max(Oldest_, Now_ - Self.Contact_);
  }

  void update(std::size_t Number) {
    std::swap(Views_[Number], Views_.back());
    Hosts_[Number].Role_.update(std::span(Views_).first(Views_.size() - 1),
                                false, Now_);
    std::swap(Views_[Number], Views_.back());
    const auto Asking =
        std::count_if(Hosts_.begin(), Hosts_.end(), [this](const Host &Each) {
          return !Each.Fault_ && Each.Role_.mustReadStore(Now_);
        });
    if (Now_ > Start_ + Settling)
      MostAsking_ = std::max(MostAsking_, static_cast<std::size_t>(Asking));
  }

  void question(Host &Self) {
    for (const std::string &Address : Self.Role_.askers()) {
      if (!Self.Role_.takeTurn(Address, Now_))
        continue;
      const Host &Asked = Hosts_[std::stoul(Address)];
      if (Asked.Fault_ == Fault::Frozen)
        continue;
      const bool Sound = Asked.Role_.mustReadStore(Now_);
      Self.Role_.noteAnswer(
          Address, Sound ? std::optional(Asked.OwnContact_) : std::nullopt,
          Now_);
      if (Sound)
        Self.Contact_ = std::max(Self.Contact_, Asked.OwnContact_);
    }
  }

  bool isReached(const Host &Self) const {
    return !Self.Fault_ || Self.Fault_ == Fault::SilentWatch;
  }

  void call(Host &Self) {
    if (!Self.CallEnds_) {
      Self.Watches_ = Self.Watches_ && Self.Role_.mustReadStore(Now_);
      if (Self.Role_.mustReadStore(Now_))
        begin(Self);
      return;
    }
    // The connection that is open when the fault begins hears nothing more.
    if (Self.Fault_ && Self.CallComes_ && Self.Watches_) {
      Self.CallComes_ = false;
      *Self.CallEnds_ += Pace_.WatchGrace_;
    }
    if (Now_ < *Self.CallEnds_)
      return;
    Self.CallEnds_.reset();
    Self.Watches_ = Self.CallComes_ && Self.Role_.mustReadStore(Now_);
    if (!Self.CallComes_) {
      Self.Role_.noteTrouble(Now_);
      return;
    }
    Self.Role_.noteSuccess();
    Self.OwnContact_ = Self.Contact_ = Now_;
  }

  /// A list, then watches.
  void begin(Host &Self) {
    Self.CallComes_ = isReached(Self);
    if (Self.Watches_)
      Self.CallEnds_ = Now_ + Pace_.Watch_;
    else
      Self.CallEnds_ = Now_ + (Self.CallComes_ ? CallTime : CallTimeout);
  }

  static constexpr base::Duration Settling = 3s;

  const lychee::relaying::FreshnessTimeouts Pace_;
  const base::TimePoint Start_ = base::TimePoint(100s);
  base::TimePoint Now_ = Start_;
  std::vector<members::HostView> Views_;
  std::vector<Host> Hosts_;
  base::Duration Oldest_{};
  std::size_t MostAsking_ = 0;
};

/// The strictest bound is played at every size.
std::vector<std::size_t> countsFor(base::Duration Bound) {
  if (Bound == 2s)
    return {6, 12, 95, 300};
  return {12, 95};
}

} // namespace

TEST_GROUP(RelayRegion){};

// A customer's key is withdrawn, and a caller at some host of the region goes
// on using it. The hosts that ask the store hear nothing of it: their watches
// have fallen silent, or they are cut off or frozen, whether the others know it
// or not. Whoever is well must have the change within its bound, and two hosts
// that fail are no reason for the whole region to ask the store.
TEST(RelayRegion, changesAreInForceInTimeWhateverTheHostsThatAskMeetWith) {
  for (const base::Duration Bound : {2s, 4s, 6s})
    for (const std::size_t Count : countsFor(Bound))
      for (const Fault Each : {Fault::SilentWatch, Fault::CutOff,
                               Fault::CutOffUnnoticed, Fault::Frozen}) {
        Region Hosts(Count, Bound);
        Hosts.play(6s);
        Hosts.forget();
        Hosts.breakAskers(Each, Count);
        Hosts.play(6s);
        CHECK(Hosts.oldestNews() < Bound);
      }
}

// Two of them meet with the same, and the store is not asked by all others.
TEST(RelayRegion, twoHostsThatFailAreReplacedByTheNextTwo) {
  for (const base::Duration Bound : {2s, 4s, 6s})
    for (const std::size_t Count : countsFor(Bound))
      for (const Fault Each :
           {Fault::SilentWatch, Fault::CutOff, Fault::CutOffUnnoticed}) {
        Region Hosts(Count, Bound);
        Hosts.play(6s);
        Hosts.forget();
        Hosts.breakAskers(Each, 2);
        Hosts.play(6s);
        CHECK(Hosts.mostAsking() <= 2 * RelayRole::askersFor(Count));
      }
}

// Nothing is wrong: a few ask, and all others go by what those tell. None of
// them has so many to answer that it has time for nothing else.
TEST(RelayRegion, inCalmFewAskAndEachAnswersFew) {
  for (const base::Duration Bound : {2s, 4s, 6s})
    for (const std::size_t Count : countsFor(Bound)) {
      Region Hosts(Count, Bound);
      Hosts.play(6s);
      Hosts.forget();
      Hosts.play(10s);
      LONGS_EQUAL(RelayRole::askersFor(Count), Hosts.mostAsking());
      CHECK(Hosts.oldestNews() < Bound);
      CHECK(Hosts.mostAnswered() <= 4 * RelayRole::HostsPerAsker);
    }
}
