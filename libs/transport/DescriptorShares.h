#ifndef LYCHEE_TRANSPORT_DESCRIPTORSHARES_H
#define LYCHEE_TRANSPORT_DESCRIPTORSHARES_H

#include <cstddef>
#include <cstdint>

namespace lychee::transport {

/// How a process divides its descriptors, so that callers' connections leave
/// room for targets, the store and other hosts, and one listener for the next.
struct DescriptorShares {
  /// Connections of callers at once.
  std::uint32_t Callers_ = 0;
  /// Connections at once to each of the process's own HTTP servers, four at
  /// most.
  std::size_t Server_ = 0;
};

/// \returns half for callers and a sixteenth for each server.
/// \param Limit  descriptors that the process may have.
DescriptorShares divideDescriptors(std::uint64_t Limit) noexcept;

/// \returns the descriptors that the system gives this process.
std::uint64_t descriptorLimit() noexcept;

} // namespace lychee::transport

#endif
