#include "soak/RestingTarget.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <array>

namespace lychee::soak {

using base::SystemClock;
using standins::target::Faults;
using namespace std::chrono_literals;

namespace {

/// Rests in seconds, as the target writes them.
constexpr std::array Rests = {"0.7", "1", "1.75", "3"};
/// A rest counts from this long after it was asked for, and up to so many
/// requests of the host may arrive in it.
constexpr base::Duration HearingTime = 500ms;
constexpr std::ptrdiff_t AllowedInARest = 2;
/// Time after which a host that was told of a leaving, by the target or by
/// another host, sends nothing more.
constexpr base::Duration DrainBound = 2500ms;
constexpr double LeavingSeconds = 4;
/// One phase in so many is a leaving.
constexpr std::uint64_t LeavingShare = 3;

std::string describe(const char *What, std::size_t Host, std::ptrdiff_t Count) {
  return std::string(What) + " host=" + std::to_string(Host) +
         " requests=" + std::to_string(Count);
}

} // namespace

RestingTarget::RestingTarget(tests::LiveFleet &Fleet, std::size_t Index,
                             std::uint64_t Seed)
    : Fleet_(Fleet), Index_(Index), Random_(Seed) {
  Thread_ = std::thread([this] { run(); });
}

RestingTarget::~RestingTarget() {
  Stopping_ = true;
  Thread_.join();
}

void RestingTarget::pauseFor(double MinSeconds, double MaxSeconds) {
  const base::TimePoint Next =
      SystemClock::monotonicNow() +
      base::fromSeconds(MinSeconds +
                        base::drawUnit(Random_) * (MaxSeconds - MinSeconds));
  while (!Stopping_ && SystemClock::monotonicNow() < Next)
    std::this_thread::sleep_for(10ms);
}

void RestingTarget::run() {
  while (!Stopping_) {
    pauseFor(0.3, 1.5);
    if (Random_() % LeavingShare == 0)
      leave();
    else
      rest();
  }
}

void RestingTarget::rest() {
  Faults Set;
  Set.Rest_ = Rests[Random_() % Rests.size()];
  Fleet_.target(Index_).setFaults(Set);
  pauseFor(0.1, 1.5);
  Fleet_.target(Index_).setFaults({});
}

void RestingTarget::leave() {
  Faults Set;
  Set.Leaving_ = true;
  Leavings_.push_back({SystemClock::monotonicNow()});
  Fleet_.target(Index_).setFaults(Set);
  pauseFor(LeavingSeconds, LeavingSeconds);
  if (Stopping_)
    return;
  Leavings_.back().Until_ = SystemClock::monotonicNow();
  Fleet_.target(Index_).setFaults({});
  Fleet_.writeEntry(Index_, "ready", 0, ++Start_);
}

std::vector<RestingTarget::Arrival>
RestingTarget::arrivals(const Ledger &Book) const {
  std::vector<Arrival> Result;
  for (const auto &Each : Fleet_.target(Index_).counts().arrivedRequests()) {
    const auto Host = Book.hostOf(Each.RequestId_);
    if (Host)
      Result.push_back({Each.At_, *Host,
                        Each.Rest_.empty()
                            ? base::Duration()
                            : base::fromSeconds(std::stod(Each.Rest_))});
  }
  return Result;
}

void RestingTarget::checkRests(const std::vector<Arrival> &All,
                               const Ledger &Book,
                               std::vector<std::string> &Found) {
  for (const Arrival &Asked : All) {
    const base::TimePoint End = Asked.At_ + Asked.Rest_;
    if (Asked.Rest_ <= HearingTime ||
        Book.hadTrouble(Asked.Host_, Asked.At_, End))
      continue;
    const auto Count =
        std::count_if(All.begin(), All.end(), [&](const Arrival &Each) {
          return Each.Host_ == Asked.Host_ &&
                 Each.At_ > Asked.At_ + HearingTime && Each.At_ < End;
        });
    if (Count > AllowedInARest)
      Found.push_back(describe("rest-not-kept", Asked.Host_, Count));
  }
}

void RestingTarget::checkLeavings(const std::vector<Arrival> &All,
                                  const Ledger &Book,
                                  std::vector<std::string> &Found) const {
  for (const Leaving &Said : Leavings_) {
    const auto First =
        std::find_if(All.begin(), All.end(), [&Said](const Arrival &Each) {
          return Each.At_ > Said.Since_ && Each.At_ < Said.Until_;
        });
    if (First == All.end())
      continue;
    for (auto Late = First; Late != All.end() && Late->At_ < Said.Until_;
         ++Late)
      if (Late->At_ - First->At_ > DrainBound &&
          !Book.hadTrouble(Late->Host_, First->At_, Late->At_))
        Found.push_back(describe("sent-to-leaving", Late->Host_, 1));
  }
}

std::vector<std::string> RestingTarget::broken(const Ledger &Book) const {
  std::vector<std::string> Found;
  const std::vector<Arrival> All = arrivals(Book);
  if (All.empty())
    Found.emplace_back("resting-target-got-nothing");
  checkRests(All, Book, Found);
  checkLeavings(All, Book, Found);
  return Found;
}

} // namespace lychee::soak
