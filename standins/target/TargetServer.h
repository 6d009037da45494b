#ifndef LYCHEE_STANDINS_TARGET_TARGETSERVER_H
#define LYCHEE_STANDINS_TARGET_TARGETSERVER_H

#include "standins/target/Faults.h"
#include "standins/target/RunCounts.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace lychee::standins::target {

/// What a stand-in target is like.
struct TargetSettings {
  std::string Name_ = "target";
  std::string Address_ = "127.0.0.1";
  /// 0: any free one.
  std::uint16_t Port_ = 0;
  std::uint32_t Slots_ = 3;
  /// Requests that may wait for a slot; more are shed.
  std::uint32_t QueueLimit_ = 1000;
  base::Duration Work_{};
  /// Header in which it states a rate. \see Faults::StatedRate_
  std::string RateHeader_ = "Lychee-Target-Rate";
  /// Header in which it says that it leaves. \see Faults::Leaving_
  std::string LeavingHeader_ = "Lychee-Target-Leaving";
  /// Header with running, waiting, slots and, in percent of the usual, the time
  /// that work takes now; nothing: none is sent. Health answers carry it, too.
  std::optional<std::string> LoadHeader_ = std::nullopt;
  /// Work takes SlowPercent of its usual time in about one of SlowOneIn spans
  /// of SlowSpan, drawn by the target's name.
  static constexpr base::Duration SlowSpan = std::chrono::milliseconds(600);
  static constexpr std::uint64_t SlowOneIn = 7;
  static constexpr std::uint64_t SlowPercent = 250;
  bool HasSlowSpans_ = false;
  /// Line of the header that says that a request was not run.
  std::string NotRunLine_ = "Lychee-Ran: no";
};

class TargetSession;

/// A small HTTP target with the faults of a real one on a control path. One
/// thread. Paths: /health, /load, /standin/faults (sets faults by its query),
/// /standin/counts; any other is work.
class TargetServer {
public:
  explicit TargetServer(const TargetSettings &Settings);
  TargetServer(const TargetServer &) = delete;
  TargetServer &operator=(const TargetServer &) = delete;
  ~TargetServer();

  /// Binds and serves on a thread of its own. Throws where the address cannot
  /// be had: a stand-in has no use without it.
  void start();
  void stop();
  void join();

  std::string address() const;
  const TargetSettings &settings() const noexcept { return Settings_; }
  RunCounts &counts() noexcept { return Counts_; }

  void setFaults(const Faults &Set);
  Faults faults() const;
  std::uint32_t running() const noexcept { return Running_; }
  std::uint32_t waiting() const noexcept { return Waiting_; }
  /// \returns the time that work takes now, in percent of its usual time.
  std::uint64_t runPercent(base::TimePoint Now) const;
  /// \returns the value of TargetSettings::LoadHeader_.
  std::string describeLoad(base::TimePoint Now) const;
  std::uint32_t connectionsMade() const noexcept { return Made_; }
  std::uint32_t connectionsOpen() const noexcept { return Open_; }

private:
  friend class TargetSession;

  boost::asio::awaitable<void> accept();
  /// Waits for a free slot. \returns false where the queue is full.
  boost::asio::awaitable<bool> takeSlot();
  void freeSlot();
  void crash();
  void listen(std::uint16_t Port);

  const TargetSettings Settings_;
  RunCounts Counts_;
  mutable std::mutex Lock_;
  Faults Faults_;
  std::uint16_t Port_ = 0;
  std::list<TargetSession *> Sessions_;
  std::list<boost::asio::steady_timer *> Queue_;
  std::atomic<std::uint32_t> Running_ = 0;
  std::atomic<std::uint32_t> Waiting_ = 0;
  std::atomic<std::uint32_t> Made_ = 0;
  std::atomic<std::uint32_t> Open_ = 0;
  // After what the sessions in its coroutines refer to.
  boost::asio::io_context Context_{1};
  boost::asio::ip::tcp::acceptor Acceptor_{Context_};
  boost::asio::steady_timer Reopen_{Context_};
  std::thread Thread_;
};

} // namespace lychee::standins::target

#endif
