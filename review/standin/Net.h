// Sockets and HTTP/1.1 messages for the stand-ins of the review: blocking, one
// thread a connection, loopback only.
#ifndef REVIEW_STANDIN_NET_H
#define REVIEW_STANDIN_NET_H

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline void sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

/// Milliseconds since the start of this program.
inline double nowMs() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

inline std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Address {
  std::string Ip_;
  int Port_ = 0;
  std::string text() const { return Ip_ + ":" + std::to_string(Port_); }
};

inline sockaddr_in rawAddress(const Address &At) {
  sockaddr_in Raw{};
  Raw.sin_family = AF_INET;
  Raw.sin_port = htons(static_cast<std::uint16_t>(At.Port_));
  inet_pton(AF_INET, At.Ip_.c_str(), &Raw.sin_addr);
  return Raw;
}

/// The head of a request or an answer.
struct Head {
  std::string First_;
  std::vector<std::pair<std::string, std::string>> Fields_;

  std::string get(std::string_view Name) const {
    for (const auto &[Key, Value] : Fields_)
      if (Key.size() == Name.size() &&
          strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
        return Value;
    return {};
  }
  /// Word of the first line, from 0.
  std::string word(int Index) const {
    std::size_t Begin = 0;
    for (; Index > 0; --Index) {
      const std::size_t Space = First_.find(' ', Begin);
      if (Space == std::string::npos)
        return {};
      Begin = Space + 1;
    }
    return First_.substr(Begin, First_.find(' ', Begin) - Begin);
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// One connection. Not thread-safe but for abort().
class Connection {
public:
  explicit Connection(int Handle) : Handle_(Handle) {
    const int On = 1;
    setsockopt(Handle_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() {
    if (Handle_ >= 0)
      ::close(Handle_);
  }
  int handle() const { return Handle_; }
  /// Makes pending and later calls fail.
  void abort() const { ::shutdown(Handle_, SHUT_RDWR); }
  /// Closes with a reset.
  void reset() {
    const linger Now{1, 0};
    setsockopt(Handle_, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
    ::close(std::exchange(Handle_, -1));
  }
  void setTimeout(int Milliseconds) const {
    const timeval Limit{Milliseconds / 1000, (Milliseconds % 1000) * 1000};
    setsockopt(Handle_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    setsockopt(Handle_, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  }
  bool write(std::string_view Text) const {
    while (!Text.empty()) {
      const ssize_t Count =
          ::send(Handle_, Text.data(), Text.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Text.remove_prefix(static_cast<std::size_t>(Count));
    }
    return true;
  }
  /// Reads at least one byte; false at the end, a time-out or an error.
  bool readSome(std::string &Into, std::size_t Most) {
    if (!Buffer_.empty()) {
      const std::size_t Count = std::min(Most, Buffer_.size());
      Into.append(Buffer_, 0, Count);
      Buffer_.erase(0, Count);
      return true;
    }
    std::string Piece(std::min<std::size_t>(Most, 64 << 10), '\0');
    const ssize_t Count = ::recv(Handle_, Piece.data(), Piece.size(), 0);
    if (Count <= 0)
      return false;
    Into.append(Piece, 0, static_cast<std::size_t>(Count));
    return true;
  }
  bool readHead(Head &Into) {
    std::string Text;
    while (Text.find("\r\n\r\n") == std::string::npos)
      if (Text.size() > (1 << 20) || !readSome(Text, 64 << 10))
        return false;
    const std::size_t End = Text.find("\r\n\r\n");
    Buffer_ = Text.substr(End + 4) + Buffer_;
    Text.resize(End);
    Into = Head();
    std::size_t Begin = 0;
    while (Begin <= Text.size()) {
      const std::size_t Stop = std::min(Text.find("\r\n", Begin), Text.size());
      const std::string Line = Text.substr(Begin, Stop - Begin);
      Begin = Stop + 2;
      if (Into.First_.empty()) {
        Into.First_ = Line;
        continue;
      }
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::size_t Value = Colon + 1;
      while (Value < Line.size() && Line[Value] == ' ')
        ++Value;
      Into.Fields_.emplace_back(Line.substr(0, Colon), Line.substr(Value));
    }
    return true;
  }
  bool readLine(std::string &Into) {
    Into.clear();
    while (!Into.ends_with("\r\n")) {
      if (Into.size() > 4096 || !readSome(Into, 1))
        return false;
    }
    Into.resize(Into.size() - 2);
    return true;
  }
  bool readExactly(std::size_t Count, std::string &Into) {
    while (Count > 0) {
      const std::size_t Before = Into.size();
      if (!readSome(Into, Count))
        return false;
      Count -= Into.size() - Before;
    }
    return true;
  }
  /// Reads the body that the head announces; without a length it has none.
  bool readBody(const Head &Of, std::string &Into) {
    Into.clear();
    if (Of.get("Transfer-Encoding") == "chunked") {
      std::string Line;
      while (true) {
        if (!readLine(Line))
          return false;
        const std::size_t Size = std::strtoul(Line.c_str(), nullptr, 16);
        if (Size == 0)
          return readLine(Line);
        if (!readExactly(Size, Into) || !readLine(Line) || !Line.empty())
          return false;
      }
    }
    const std::string Length = Of.get("Content-Length");
    return Length.empty() ||
           readExactly(std::strtoul(Length.c_str(), nullptr, 10), Into);
  }

private:
  int Handle_;
  std::string Buffer_;
};

/// \returns a connected handle, or -1.
inline int connectTo(const Address &Where, int TimeoutMs) {
  const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  setsockopt(Handle, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  const sockaddr_in Raw = rawAddress(Where);
  if (::connect(Handle, reinterpret_cast<const sockaddr *>(&Raw), sizeof Raw) ==
      0)
    return Handle;
  ::close(Handle);
  return -1;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  /// \param ReceiveBytes  the receive buffer of each connection; 0: as usual.
  Server(const Address &At, Handler Serve, int ReceiveBytes = 0)
      : Serve_(std::move(Serve)) {
    Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    if (ReceiveBytes > 0)
      setsockopt(Listener_, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
    const sockaddr_in Raw = rawAddress(At);
    if (::bind(Listener_, reinterpret_cast<const sockaddr *>(&Raw),
               sizeof Raw) != 0 ||
        ::listen(Listener_, 512) != 0) {
      std::fprintf(stderr, "cannot listen at %s: %s\n", At.text().c_str(),
                   std::strerror(errno));
      std::exit(2);
    }
    Thread_ = std::thread([this] { acceptAll(); });
  }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  /// Closes the listener and all connections.
  ~Server() {
    Stopping_ = true;
    ::shutdown(Listener_, SHUT_RDWR);
    Thread_.join();
    ::close(Listener_);
    while (true) {
      {
        const std::lock_guard Guard(Lock_);
        if (Open_.empty())
          return;
        for (const Connection *Each : Open_)
          Each->abort();
      }
      sleepMs(5);
    }
  }

private:
  void acceptAll() {
    while (!Stopping_) {
      const int Handle = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Handle < 0)
        continue;
      auto *Made = new Connection(Handle);
      {
        const std::lock_guard Guard(Lock_);
        Open_.insert(Made);
      }
      std::thread([this, Made] {
        Serve_(*Made);
        const std::lock_guard Guard(Lock_);
        Open_.erase(Made);
        delete Made;
      }).detach();
    }
  }

  const Handler Serve_;
  int Listener_ = -1;
  std::atomic<bool> Stopping_ = false;
  std::mutex Lock_;
  std::set<Connection *> Open_;
  std::thread Thread_;
};

/// Writes lines with their time to record.txt and to standard output.
class Record {
public:
  explicit Record(const std::string &Path)
      : File_(std::fopen(Path.c_str(), "w")) {
    if (File_ == nullptr) {
      std::fprintf(stderr, "cannot write %s\n", Path.c_str());
      std::exit(2);
    }
  }
  void line(const std::string &Text) {
    const std::lock_guard Guard(Lock_);
    std::fprintf(File_, "%9.1f %s\n", nowMs(), Text.c_str());
    std::fflush(File_);
  }
  void say(const std::string &Text) {
    line(Text);
    std::printf("%s\n", Text.c_str());
    std::fflush(stdout);
  }

private:
  std::FILE *File_;
  std::mutex Lock_;
};

} // namespace review

#endif
