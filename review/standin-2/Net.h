#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/// Blocking sockets with time limits, and HTTP/1.1 messages on them.
namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

inline double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}
inline TimePoint after(double Seconds) {
  return Clock::now() + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(Seconds));
}
inline void pauseFor(double Seconds) {
  if (Seconds > 0)
    usleep(static_cast<useconds_t>(Seconds * 1e6));
}

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Made.sin_addr);
  return Made;
}

/// \returns a listening socket, or -1.
inline int listenAt(const std::string &Ip, int Port) {
  const int Made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Made, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in At = addressOf(Ip, Port);
  if (bind(Made, reinterpret_cast<const sockaddr *>(&At), sizeof At) == 0 &&
      listen(Made, 512) == 0)
    return Made;
  close(Made);
  return -1;
}

inline bool waitFor(int Handle, short Events, TimePoint Limit) {
  while (true) {
    const double Left = secondsBetween(Clock::now(), Limit);
    if (Left <= 0)
      return false;
    pollfd Polled{Handle, Events, 0};
    const int Count = poll(&Polled, 1, static_cast<int>(Left * 1000) + 1);
    if (Count > 0)
      return true;
    if (Count < 0 && errno != EINTR)
      return false;
  }
}

/// \returns a connected socket, or -1.
inline int connectTo(const std::string &Ip, int Port, TimePoint Limit) {
  const int Made =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in At = addressOf(Ip, Port);
  const int On = 1;
  setsockopt(Made, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (connect(Made, reinterpret_cast<const sockaddr *>(&At), sizeof At) == 0)
    return Made;
  if (errno == EINPROGRESS && waitFor(Made, POLLOUT, Limit) &&
      getsockopt(Made, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 && Error == 0)
    return Made;
  close(Made);
  return -1;
}

inline bool sendAll(int Handle, const std::string &Text, TimePoint Limit) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count = send(Handle, Text.data() + Sent, Text.size() - Sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
      return false;
    if (!waitFor(Handle, POLLOUT, Limit))
      return false;
  }
  return true;
}

/// Closes with a reset, as the kernel does for a process that crashes with
/// requests unread.
inline void resetClose(int Handle) {
  const linger Now{1, 0};
  setsockopt(Handle, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
  close(Handle);
}

struct Message {
  /// The first line's words.
  std::string First_, Second_;
  /// Names in lower case.
  std::map<std::string, std::string> Fields_;
  std::string Body_;

  std::string field(const std::string &Name) const {
    const auto Found = Fields_.find(Name);
    return Found == Fields_.end() ? "" : Found->second;
  }
  int status() const { return std::atoi(Second_.c_str()); }
};

/// Reads messages off one connection.
class MessageStream {
public:
  explicit MessageStream(int Handle) : Handle_(Handle) {}

  enum class End { Whole, Closed, Reset, TimedOut };

  End read(Message &Into, TimePoint Limit) {
    std::size_t HeadEnd = 0;
    while ((HeadEnd = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (const End Ended = more(Limit); Ended != End::Whole)
        return Ended;
    Into = {};
    parseHead(Buffer_.substr(0, HeadEnd), Into);
    Buffer_.erase(0, HeadEnd + 4);
    const std::string Length = Into.field("content-length");
    if (!Length.empty())
      return take(std::stoul(Length), Into.Body_, Limit);
    if (Into.field("transfer-encoding") == "chunked")
      return readChunks(Into, Limit);
    return End::Whole;
  }

private:
  static void parseHead(const std::string &Head, Message &Into) {
    std::size_t At = Head.find("\r\n");
    const std::string Line = Head.substr(0, At);
    const std::size_t Blank = Line.find(' ');
    const std::size_t Next = Line.find(' ', Blank + 1);
    Into.First_ = Line.substr(0, Blank);
    Into.Second_ = Line.substr(Blank + 1, Next - Blank - 1);
    while (At != std::string::npos) {
      const std::size_t Begin = At + 2;
      At = Head.find("\r\n", Begin);
      const std::string Field = Head.substr(Begin, At - Begin);
      const std::size_t Colon = Field.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Field.substr(0, Colon);
      for (char &Each : Name)
        Each =
            static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
      const std::size_t Value = Field.find_first_not_of(' ', Colon + 1);
      Into.Fields_[Name] =
          Value == std::string::npos ? "" : Field.substr(Value);
    }
  }

  End more(TimePoint Limit) {
    if (!waitFor(Handle_, POLLIN, Limit))
      return End::TimedOut;
    char Bytes[16384];
    const ssize_t Count = recv(Handle_, Bytes, sizeof Bytes, 0);
    if (Count > 0) {
      Buffer_.append(Bytes, static_cast<std::size_t>(Count));
      return End::Whole;
    }
    return Count == 0 ? End::Closed : End::Reset;
  }

  End take(std::size_t Count, std::string &Into, TimePoint Limit) {
    while (Buffer_.size() < Count)
      if (const End Ended = more(Limit); Ended != End::Whole)
        return Ended;
    Into.append(Buffer_, 0, Count);
    Buffer_.erase(0, Count);
    return End::Whole;
  }

  End readChunks(Message &Into, TimePoint Limit) {
    while (true) {
      std::size_t LineEnd = 0;
      while ((LineEnd = Buffer_.find("\r\n")) == std::string::npos)
        if (const End Ended = more(Limit); Ended != End::Whole)
          return Ended;
      const std::size_t Size =
          std::stoul(Buffer_.substr(0, LineEnd), nullptr, 16);
      Buffer_.erase(0, LineEnd + 2);
      std::string Rest;
      if (const End Ended = take(Size, Into.Body_, Limit); Ended != End::Whole)
        return Ended;
      if (const End Ended = take(2, Rest, Limit); Ended != End::Whole)
        return Ended;
      if (Size == 0)
        return End::Whole;
    }
  }

  int Handle_;
  std::string Buffer_;
};

} // namespace review

#endif
