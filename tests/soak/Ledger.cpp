#include "soak/Ledger.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace lychee::soak {

namespace {

bool promisesNotRun(int Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

void Ledger::add(Attempt Made) {
  const std::lock_guard Guard(Lock_);
  Hosts_[Made.Id_] = Made.Host_;
  Attempts_.push_back(std::move(Made));
}

void Ledger::withdraw(const std::string &Key, base::TimePoint At) {
  const std::lock_guard Guard(Lock_);
  Withdrawn_.emplace(Key, At);
}

void Ledger::recordHostStart(base::TimePoint At) {
  const std::lock_guard Guard(Lock_);
  HostStarts_.push_back(At);
}

void Ledger::recordTrouble(std::size_t Host, base::TimePoint Begin,
                           base::TimePoint End) {
  const std::lock_guard Guard(Lock_);
  Troubles_.emplace(Host, std::pair(Begin, End));
}

bool Ledger::hadTrouble(std::size_t Host, base::TimePoint Begin,
                        base::TimePoint End) const {
  const std::lock_guard Guard(Lock_);
  const auto [First, Last] = Troubles_.equal_range(Host);
  return std::any_of(First, Last, [&](const auto &Each) {
    return Each.second.second >= Begin && Each.second.first <= End;
  });
}

std::optional<std::size_t> Ledger::hostOf(const std::string &Id) const {
  const std::lock_guard Guard(Lock_);
  const auto Found = Hosts_.find(Id);
  if (Found == Hosts_.end())
    return std::nullopt;
  return Found->second;
}

std::vector<base::TimePoint> Ledger::hostStarts() const {
  const std::lock_guard Guard(Lock_);
  return HostStarts_;
}

std::vector<std::string> Ledger::broken(
    const std::function<std::vector<std::uint64_t>(const std::string &Id)>
        &RunsOf) const {
  const std::lock_guard Guard(Lock_);
  std::vector<std::string> Found;
  for (const Attempt &Each : Attempts_) {
    const std::vector<std::uint64_t> ByTarget = RunsOf(Each.Id_);
    const std::uint64_t Runs =
        std::accumulate(ByTarget.begin(), ByTarget.end(), std::uint64_t{0});
    const auto Targets =
        ByTarget.size() -
        static_cast<std::size_t>(
            std::count(ByTarget.begin(), ByTarget.end(), std::uint64_t{0}));
    const std::string What =
        " request=" + Each.Id_ + " status=" + std::to_string(Each.Status_) +
        " runs=" + std::to_string(Runs) + " targets=" + std::to_string(Targets);
    if (Targets > Each.MostTargets_)
      Found.push_back("ran-on-too-many-targets" + What);
    if (Each.IsBooking_ && Runs > 1)
      Found.push_back("ran-twice" + What);
    if (promisesNotRun(Each.Status_) && Runs > 0)
      Found.push_back("refused-but-ran" + What);
    if (isSuccess(Each.Status_) && Runs == 0)
      Found.push_back("success-without-a-run" + What);
    const auto Gone = Withdrawn_.find(Each.Key_);
    if (Runs > 0 && Gone != Withdrawn_.end() &&
        Each.SentAt_ > Gone->second + KeyBound)
      Found.push_back("withdrawn-key" + What);
  }
  return Found;
}

std::optional<std::string> Ledger::failedIn(const Cut &Played,
                                            const std::string &Key) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Sent = 0;
  std::size_t Failed = 0;
  for (const Attempt &Each : Attempts_) {
    const bool AtCutHost = std::find(Played.Hosts_.begin(), Played.Hosts_.end(),
                                     Each.Host_) != Played.Hosts_.end();
    if (!AtCutHost || Each.Key_ != Key || Each.MostTargets_ == 1 ||
        Each.SentAt_ < Played.Begin_ + CutBound || Each.SentAt_ > Played.End_)
      continue;
    ++Sent;
    Failed += isSuccess(Each.Status_) ? 0 : 1;
  }
  if (Sent > 0 && Failed <= 10 + Sent / 50)
    return std::nullopt;
  return "not-served-without-reach hosts=" +
         std::to_string(Played.Hosts_.size()) +
         " requests=" + std::to_string(Sent) +
         " failed=" + std::to_string(Failed);
}

std::string Ledger::summary() const {
  const std::lock_guard Guard(Lock_);
  std::size_t Served = 0;
  std::size_t Refused = 0;
  for (const Attempt &Each : Attempts_) {
    Served += isSuccess(Each.Status_) ? 1 : 0;
    Refused += promisesNotRun(Each.Status_) ? 1 : 0;
  }
  return "requests=" + std::to_string(Attempts_.size()) +
         " served=" + std::to_string(Served) +
         " refused=" + std::to_string(Refused) +
         " failed=" + std::to_string(Attempts_.size() - Served - Refused);
}

} // namespace lychee::soak
