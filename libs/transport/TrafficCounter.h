#ifndef LYCHEE_TRANSPORT_TRAFFICCOUNTER_H
#define LYCHEE_TRANSPORT_TRAFFICCOUNTER_H

#include <atomic>
#include <cstdint>

namespace lychee::transport {

/// Bytes of HTTP, heads and bodies, that a process sent and received through
/// the clients and listeners that were given this counter. Outlives them.
struct TrafficCounter {
  std::atomic<std::uint64_t> BytesIn_ = 0;
  std::atomic<std::uint64_t> BytesOut_ = 0;
  std::atomic<std::uint64_t> Messages_ = 0;

  void sent(std::size_t Bytes) noexcept {
    BytesOut_ += Bytes;
    ++Messages_;
  }
  void received(std::size_t Bytes) noexcept { BytesIn_ += Bytes; }
};

} // namespace lychee::transport

#endif
