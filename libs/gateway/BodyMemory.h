#ifndef LYCHEE_GATEWAY_BODYMEMORY_H
#define LYCHEE_GATEWAY_BODYMEMORY_H

#include <atomic>
#include <cstddef>

namespace lychee::gateway {

/// Memory of a host for the bodies of requests that are held or pass through.
/// Answers the load of callers that send many bodies at once, or that begin
/// bodies and do not go on: a body takes memory as its bytes come, one that
/// finds none is refused. Thread-safe. \see BodyShare, BodyPace
class BodyMemory {
public:
  explicit BodyMemory(std::size_t Limit) noexcept : Limit_(Limit) {}
  BodyMemory(const BodyMemory &) = delete;
  BodyMemory &operator=(const BodyMemory &) = delete;

  bool tryTake(std::size_t Bytes) noexcept;
  void giveBack(std::size_t Bytes) noexcept { Taken_.fetch_sub(Bytes); }

  std::size_t taken() const noexcept { return Taken_.load(); }
  bool isScarce() const noexcept { return taken() > Limit_ / 2; }

private:
  const std::size_t Limit_;
  std::atomic<std::size_t> Taken_ = 0;
};

/// The part of a host's BodyMemory that one request has.
class BodyShare {
public:
  explicit BodyShare(BodyMemory &From) noexcept : From_(From) {}
  BodyShare(const BodyShare &) = delete;
  BodyShare &operator=(const BodyShare &) = delete;
  ~BodyShare() { From_.giveBack(Bytes_); }

  /// \returns false, and the share stays as it is, where memory is lacking.
  bool tryResize(std::size_t Bytes) noexcept;

private:
  BodyMemory &From_;
  std::size_t Bytes_ = 0;
};

} // namespace lychee::gateway

#endif
