#ifndef LYCHEE_TESTS_SUPPORT_CROWD_H
#define LYCHEE_TESTS_SUPPORT_CROWD_H

#include <cstddef>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace lychee::tests {

/// Connections that send the same bytes at once, read nothing, and stay open
/// until the object ends.
class Crowd {
public:
  /// \param Address  IP:PORT.
  /// \param From  IP from which all of them connect.
  Crowd(const std::string &Address, const std::string &From, std::size_t Size);
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd();

  /// Sends on all connections until all bytes are written, or nothing more is
  /// taken for a second.
  void send(std::string_view Bytes);

private:
  std::vector<int> Handles_;
};

/// What a process of the system uses.
struct ProcessUse {
  /// Largest resident memory so far, in bytes.
  std::size_t PeakMemory_ = 0;
  std::size_t Descriptors_ = 0;
};
ProcessUse useOf(pid_t Process);

} // namespace lychee::tests

#endif
