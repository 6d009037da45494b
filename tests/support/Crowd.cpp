#include "support/Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lychee::tests {

namespace {

constexpr int PatienceMilliseconds = 1000;

sockaddr_in endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Made.sin_addr);
  return Made;
}

int connectTo(const sockaddr_in &Where, const sockaddr_in &From) {
  const int Handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const bool Bound =
      bind(Handle, reinterpret_cast<const sockaddr *>(&From), sizeof From) == 0;
  const bool Connects =
      Bound && (connect(Handle, reinterpret_cast<const sockaddr *>(&Where),
                        sizeof Where) == 0 ||
                errno == EINPROGRESS);
  if (!Connects)
    throw std::runtime_error("a client of the crowd cannot connect");
  return Handle;
}

} // namespace

Crowd::Crowd(const std::string &Address, const std::string &From,
             std::size_t Size) {
  const sockaddr_in Where = endpointOf(Address);
  const sockaddr_in Source = endpointOf(From + ":0");
  for (std::size_t Each = 0; Each < Size; ++Each)
    Handles_.push_back(connectTo(Where, Source));
}

Crowd::~Crowd() {
  for (const int Handle : Handles_)
    close(Handle);
}

void Crowd::send(std::string_view Bytes) {
  std::vector<std::string_view> Rests(Handles_.size(), Bytes);
  while (true) {
    std::vector<pollfd> Polls;
    std::vector<std::size_t> Indexes;
    for (std::size_t Index = 0; Index < Rests.size(); ++Index)
      if (!Rests[Index].empty()) {
        Polls.push_back({Handles_[Index], POLLOUT, 0});
        Indexes.push_back(Index);
      }
    if (Polls.empty() ||
        poll(Polls.data(), Polls.size(), PatienceMilliseconds) <= 0)
      return;
    for (std::size_t Each = 0; Each < Polls.size(); ++Each) {
      if (Polls[Each].revents == 0)
        continue;
      std::string_view &Rest = Rests[Indexes[Each]];
      const ssize_t Count =
          ::send(Polls[Each].fd, Rest.data(),
                 std::min(Rest.size(), std::size_t{64} << 10), MSG_NOSIGNAL);
      const bool IsOver = Count < 0 && errno != EAGAIN && errno != EINPROGRESS;
      Rest.remove_prefix(
          IsOver ? Rest.size()
                 : static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    }
  }
}

ProcessUse useOf(pid_t Process) {
  ProcessUse Read;
  const std::filesystem::path Folder = "/proc/" + std::to_string(Process);
  std::ifstream Status(Folder / "status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      Read.PeakMemory_ = std::stoull(Line.substr(6)) << 10;
  Read.Descriptors_ = static_cast<std::size_t>(
      std::distance(std::filesystem::directory_iterator(Folder / "fd"),
                    std::filesystem::directory_iterator()));
  return Read;
}

} // namespace lychee::tests
