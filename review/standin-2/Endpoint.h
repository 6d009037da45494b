#ifndef REVIEW_ENDPOINT_H
#define REVIEW_ENDPOINT_H

#include "Net.h"

#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace review {

/// What an endpoint does with a request that it has read.
enum class Deed {
  /// Works on it, and answers 200.
  Run,
  /// Works on it, and crashes while it does.
  Crash,
};

/// An endpoint of PROTOCOL.md at one address: serves requests on kept
/// connections, answers 421 where another instance is expected, and states its
/// load. Crashes when it is told to, and starts again as a new instance.
class Endpoint {
public:
  using Decide = std::function<Deed(const Message &)>;
  using Note = std::function<void(const std::string &Event, const Message &,
                                  const Endpoint &)>;

  Endpoint(std::string Ip, int Port, std::string Zone, std::string Service,
           double WorkSeconds)
      : Ip_(std::move(Ip)), Zone_(std::move(Zone)),
        Service_(std::move(Service)), Port_(Port), WorkSeconds_(WorkSeconds) {}

  /// Starts as the instance \p Id.
  bool start(const std::string &Id, Decide Decides, Note Notes) {
    const int Made = listenAt(Ip_, Port_);
    if (Made < 0)
      return false;
    const std::lock_guard Guard(Lock_);
    Id_ = Id;
    Born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    Decides_ = std::move(Decides);
    Notes_ = std::move(Notes);
    Listener_ = Made;
    Running_ = 0;
    const std::uint64_t Boot = ++Boot_;
    std::thread([this, Made, Boot] { acceptAll(Made, Boot); }).detach();
    return true;
  }

  /// Ends all at once: the port is closed, and connections are reset.
  void crash() {
    const std::lock_guard Guard(Lock_);
    if (Listener_ < 0)
      return;
    ++Boot_;
    shutdown(Listener_, SHUT_RDWR);
    close(Listener_);
    Listener_ = -1;
    for (const int Each : Open_) {
      const linger Now{1, 0};
      setsockopt(Each, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
      // Its thread closes it; until then a reset must reach the peer.
      sockaddr Unspecified{};
      Unspecified.sa_family = AF_UNSPEC;
      connect(Each, &Unspecified, sizeof Unspecified);
    }
  }

  bool isUp() const {
    const std::lock_guard Guard(Lock_);
    return Listener_ >= 0;
  }
  std::string id() const {
    const std::lock_guard Guard(Lock_);
    return Id_;
  }
  int running() const { return Running_; }

  std::string entry(std::uint64_t Sequence, int ColdMs) const {
    const std::lock_guard Guard(Lock_);
    return "{\"service\":\"" + Service_ + "\",\"address\":\"" + Ip_ + ":" +
           std::to_string(Port_) + "\",\"zone\":\"" + Zone_ +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(Slots) +
           ",\"state\":\"ready\",\"coldRemainingMs\":" +
           std::to_string(ColdMs) +
           ",\"sequence\":" + std::to_string(Sequence) +
           ",\"born\":" + std::to_string(Born_) + "}";
  }

private:
  static constexpr int Slots = 4;

  void acceptAll(int Listener, std::uint64_t Boot) {
    while (Boot == Boot_) {
      const int Accepted = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      const std::lock_guard Guard(Lock_);
      if (Boot != Boot_) {
        resetClose(Accepted);
        return;
      }
      Open_.insert(Accepted);
      std::thread([this, Accepted, Boot] { serve(Accepted, Boot); }).detach();
    }
  }

  void serve(int Handle, std::uint64_t Boot) {
    MessageStream Stream(Handle);
    sockaddr_in Peer{};
    socklen_t Size = sizeof Peer;
    getpeername(Handle, reinterpret_cast<sockaddr *>(&Peer), &Size);
    char Text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &Peer.sin_addr, Text, sizeof Text);
    Message Asked;
    while (Boot == Boot_ &&
           Stream.read(Asked, after(10)) == MessageStream::End::Whole) {
      // The machine that it comes from; no header has a blank in its name.
      Asked.Fields_["from machine"] = Text;
      const std::string Expected = Asked.field("x-lycheespoke-expect-instance");
      if (!Expected.empty() && Expected != id()) {
        if (!answer(Handle, Asked, 421, false))
          break;
        continue;
      }
      ++Running_;
      Notes_("reaches", Asked, *this);
      const Deed Done = Decides_(Asked);
      pauseFor(Done == Deed::Crash ? CrashSeconds : WorkSeconds_);
      if (Boot != Boot_)
        break;
      if (Done == Deed::Crash) {
        Notes_("crashes", Asked, *this);
        crash();
        break;
      }
      --Running_;
      Notes_("has-run", Asked, *this);
      if (!answer(Handle, Asked, 200, true))
        break;
    }
    const std::lock_guard Guard(Lock_);
    Open_.erase(Handle);
    close(Handle);
  }

  bool answer(int Handle, const Message &Asked, int Status, bool Seals) const {
    const std::string Request = Asked.field("x-lycheespoke-request-id");
    const std::string Body = Seals ? "done " + Request : "";
    return sendAll(Handle,
                   "HTTP/1.1 " + std::to_string(Status) +
                       " X\r\nX-Lycheespoke-Request-Id: " + Request + "\r\n" +
                       (Seals ? "X-Lycheespoke-Response-Seal: " + id() + "." +
                                    Request + "\r\n"
                              : "") +
                       "X-Lycheespoke-Server-Load: " +
                       std::to_string(std::max(0, Running_.load())) + ",0," +
                       std::to_string(Slots) + "\r\nContent-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body,
                   after(5));
  }

  static constexpr double CrashSeconds = 0.05;

  const std::string Ip_, Zone_, Service_;
  const int Port_;
  const double WorkSeconds_;
  mutable std::mutex Lock_;
  std::string Id_;
  std::int64_t Born_ = 0;
  Decide Decides_;
  Note Notes_;
  int Listener_ = -1;
  std::set<int> Open_;
  std::atomic<int> Running_ = 0;
  std::atomic<std::uint64_t> Boot_ = 0;
};

} // namespace review

#endif
