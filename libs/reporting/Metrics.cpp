#include "reporting/Metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace lychee::reporting {

namespace {

using Labels = std::map<std::string, std::string>;

constexpr std::string_view Overflow = "other";

Labels toMap(std::span<const Label> Given) {
  Labels Map;
  for (const Label &Each : Given)
    Map.emplace(Each.Name_, Each.Value_);
  return Map;
}

} // namespace

/// The library's registry, and the label sets that each family has so far.
class Metrics::Registry {
public:
  Registry() = default;
  Registry(const Registry &) = delete;
  Registry &operator=(const Registry &) = delete;

  /// \returns \p Given, or its overflow where the family is full.
  Labels admit(std::string_view Family, std::span<const Label> Given) {
    Labels Map = toMap(Given);
    const std::lock_guard Guard(Lock_);
    std::set<Labels> &Known = Known_[std::string(Family)];
    if (Known.contains(Map))
      return Map;
    if (Known.size() < SeriesLimit) {
      Known.insert(Map);
      return Map;
    }
    for (auto &[Name, Value] : Map)
      Value = Overflow;
    return Map;
  }

  prometheus::Registry Library_;

private:
  std::mutex Lock_;
  std::map<std::string, std::set<Labels>> Known_;
};

void Counter::add(double Amount) const noexcept { Series_->Increment(Amount); }

double Counter::value() const noexcept { return Series_->Value(); }

void Gauge::set(double Value) const noexcept { Series_->Set(Value); }

void Gauge::add(double Amount) const noexcept { Series_->Increment(Amount); }

void Histogram::observe(double Value) const noexcept {
  Series_->Observe(Value);
}

std::span<const double> Metrics::latencyBounds() noexcept {
  static constexpr std::array<double, 18> Bounds{
      0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
      0.05,    0.1,    0.2,    0.5,    1,     2,     5,     20,   60};
  return Bounds;
}

Metrics::Metrics() : Registry_(std::make_unique<Registry>()) {}

Metrics::~Metrics() = default;

Counter Metrics::counter(std::string_view Name, std::string_view Help,
                         std::span<const Label> Labels) {
  auto &Family = prometheus::BuildCounter()
                     .Name(std::string(Name))
                     .Help(std::string(Help))
                     .Register(Registry_->Library_);
  return Counter(Family.Add(Registry_->admit(Name, Labels)));
}

Gauge Metrics::gauge(std::string_view Name, std::string_view Help,
                     std::span<const Label> Labels) {
  auto &Family = prometheus::BuildGauge()
                     .Name(std::string(Name))
                     .Help(std::string(Help))
                     .Register(Registry_->Library_);
  return Gauge(Family.Add(Registry_->admit(Name, Labels)));
}

Histogram Metrics::histogram(std::string_view Name, std::string_view Help,
                             std::span<const double> Bounds,
                             std::span<const Label> Labels) {
  auto &Family = prometheus::BuildHistogram()
                     .Name(std::string(Name))
                     .Help(std::string(Help))
                     .Register(Registry_->Library_);
  return Histogram(Family.Add(
      Registry_->admit(Name, Labels),
      prometheus::Histogram::BucketBoundaries(Bounds.begin(), Bounds.end())));
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry_->Library_.Collect());
}

} // namespace lychee::reporting
