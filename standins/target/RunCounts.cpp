#include "standins/target/RunCounts.h"

#include <json/json.h>

namespace lychee::standins::target {

namespace {

std::uint64_t runsOf(const std::map<std::string, std::uint64_t> &Runs,
                     const std::string &Name) {
  const auto Found = Runs.find(Name);
  return Found == Runs.end() ? 0 : Found->second;
}

Json::Value toJson(const std::map<std::string, std::uint64_t> &Runs) {
  Json::Value Made(Json::objectValue);
  for (const auto &[Name, Count] : Runs)
    Made[Name] = static_cast<Json::UInt64>(Count);
  return Made;
}

} // namespace

void RunCounts::countRun(const std::string &RequestId,
                         const std::string &IdempotencyKey) {
  const std::lock_guard Guard(Lock_);
  ++Total_;
  if (!RequestId.empty() && Requests_.size() < MaximumNames)
    ++Requests_[RequestId];
  if (!IdempotencyKey.empty() && Keys_.size() < MaximumNames)
    ++Keys_[IdempotencyKey];
}

void RunCounts::recordArrival(const std::string &RequestId,
                              const std::string &Rest, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  if (Arrivals_.size() < MaximumNames)
    Arrivals_.push_back({Now, RequestId, Rest});
}

std::vector<base::TimePoint> RunCounts::arrivals() const {
  const std::lock_guard Guard(Lock_);
  std::vector<base::TimePoint> Moments;
  Moments.reserve(Arrivals_.size());
  for (const Arrival &Each : Arrivals_)
    Moments.push_back(Each.At_);
  return Moments;
}

std::vector<RunCounts::Arrival> RunCounts::arrivedRequests() const {
  const std::lock_guard Guard(Lock_);
  return Arrivals_;
}

std::uint64_t RunCounts::total() const {
  const std::lock_guard Guard(Lock_);
  return Total_;
}

std::uint64_t RunCounts::runsOfRequest(const std::string &RequestId) const {
  const std::lock_guard Guard(Lock_);
  return runsOf(Requests_, RequestId);
}

std::uint64_t RunCounts::runsOfKey(const std::string &IdempotencyKey) const {
  const std::lock_guard Guard(Lock_);
  return runsOf(Keys_, IdempotencyKey);
}

std::string RunCounts::json() const {
  const std::lock_guard Guard(Lock_);
  Json::Value Made;
  Made["total"] = static_cast<Json::UInt64>(Total_);
  Made["requests"] = toJson(Requests_);
  Made["keys"] = toJson(Keys_);
  return Json::writeString(Json::StreamWriterBuilder(), Made) + "\n";
}

} // namespace lychee::standins::target
