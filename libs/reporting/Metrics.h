#ifndef LYCHEE_REPORTING_METRICS_H
#define LYCHEE_REPORTING_METRICS_H

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace lychee::reporting {

/// One label of a series. Values come from settings and code, never from a
/// caller's header: each new value is a series that stays.
struct Label {
  std::string_view Name_;
  std::string_view Value_;
};

/// Only rises. Cheap to copy, safe from any thread, good while its Metrics is.
class Counter {
public:
  explicit Counter(prometheus::Counter &Series) noexcept : Series_(&Series) {}
  void add(double Amount = 1) const noexcept;
  double value() const noexcept;

private:
  prometheus::Counter *Series_;
};

/// Rises and falls. \see Counter
class Gauge {
public:
  explicit Gauge(prometheus::Gauge &Series) noexcept : Series_(&Series) {}
  void set(double Value) const noexcept;
  void add(double Amount) const noexcept;

private:
  prometheus::Gauge *Series_;
};

/// Counts observations by size. \see Counter
class Histogram {
public:
  explicit Histogram(prometheus::Histogram &Series) noexcept
      : Series_(&Series) {}
  void observe(double Value) const noexcept;

private:
  prometheus::Histogram *Series_;
};

/// The process's metrics: prometheus-cpp's registry, kept to what we use. Look
/// a series up once and keep its handle; looking up takes a lock.
class Metrics {
public:
  /// A family with more series sums the rest up as one, whose label values are
  /// "other": a forgotten label must not take the process's memory. Holds
  /// 1,100 sites or some hundred customers with a few reasons each.
  static constexpr std::size_t SeriesLimit = 2000;

  /// Bounds for latencies in seconds: 50 us, our aim for the time added to a
  /// request, up to 60 s, beyond any deadline that is usual.
  static std::span<const double> latencyBounds() noexcept;

  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  Counter counter(std::string_view Name, std::string_view Help,
                  std::span<const Label> Labels = {});
  Gauge gauge(std::string_view Name, std::string_view Help,
              std::span<const Label> Labels = {});
  /// \param Bounds  rising; the same for each series of a name.
  Histogram histogram(std::string_view Name, std::string_view Help,
                      std::span<const double> Bounds = latencyBounds(),
                      std::span<const Label> Labels = {});

  /// \returns everything in Prometheus' text format, for GET /metrics.
  std::string text() const;

private:
  class Registry;
  std::unique_ptr<Registry> Registry_;
};

} // namespace lychee::reporting

#endif
