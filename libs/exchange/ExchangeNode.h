#ifndef LYCHEE_EXCHANGE_EXCHANGENODE_H
#define LYCHEE_EXCHANGE_EXCHANGENODE_H

#include "base/Random.h"
#include "budget/RateBudgets.h"
#include "exchange/EpochTracker.h"
#include "exchange/HostReport.h"
#include "exchange/SpareOfferTable.h"
#include "fleet/Directory.h"
#include "fleet/PeerClient.h"
#include "fleet/rpc/RpcDispatcher.h"
#include "steering/FleetSteering.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lychee::exchange {

/// What the exchange moves, and whom it tells.
struct ExchangeDependencies {
  steering::FleetSteering &Steering_;
  budget::RateBudgets &Rates_;
  /// Takes decisions on requests that waited for the slots of a gift.
  std::function<void(std::vector<steering::Wakeup> &)> OnWakeups_;
  /// \returns until when this host's lease in \p Epoch stands; a time in the
  /// past where it has none. Asked again before each use.
  std::function<base::TimePoint(std::uint64_t Epoch)> LeaseExpiry_;
};

/// One host's exchange with its peers: tells them every ReportInterval what it
/// can spare, asks for what it lacks, answers their asks, and enters and
/// settles membership epochs.
///
/// Costs of control are bounded: a report goes to at most FanOut peers at a
/// time, the next one to the next, so that a host's messages do not grow with
/// the fleet. \see budget::RateBudgets, steering::FleetSteering
class ExchangeNode {
public:
  /// Binds the exchange's methods to \p Handlers.
  ExchangeNode(const boost::asio::any_io_executor &Executor,
               fleet::PeerClient &Peers, fleet::RpcDispatcher &Handlers,
               const base::HostId &SelfName, std::uint64_t Incarnation,
               ExchangeDependencies Parts);
  ExchangeNode(const ExchangeNode &) = delete;
  ExchangeNode &operator=(const ExchangeNode &) = delete;

  /// Names one start of one host: a restarted host holds nothing of what it
  /// held before.
  static base::HostId incarnationId(const base::HostId &Name,
                                    std::uint64_t Incarnation);

  void start();
  void stop() noexcept { Stopped_ = true; }

  /// The fleet's members changed. From any thread.
  void directoryChanged(const fleet::Directory &Changed, base::TimePoint Now);

  std::uint64_t epoch() const { return Epochs_.epoch(); }
  bool settled() const { return Epochs_.settled(); }

  static constexpr base::Duration ReportInterval =
      std::chrono::milliseconds(250);
  /// A report that says nothing new is repeated this often, for peers that
  /// missed it. Measured with 12 quiet hosts: 78 kB/s a host at one report each
  /// 250 ms, new or not.
  static constexpr base::Duration RepeatInterval = std::chrono::seconds(4);
  static constexpr base::Duration AskInterval = std::chrono::milliseconds(10);
  static constexpr base::Duration CallTimeout = std::chrono::milliseconds(500);
  static constexpr std::size_t FanOut = 16;

private:
  using Task = boost::asio::awaitable<void>;

  Task askLoop();
  Task reportLoop();
  Task tell(std::string Address, std::string Report);
  Task askSlots(std::string Address, steering::SlotRequest Asked);
  Task askRate(std::string Address, budget::ShareRequest Asked);

  void bind(fleet::RpcDispatcher &Handlers);
  fleet::RpcOutcome hearReport(const std::string &Text);
  fleet::RpcOutcome hearSlotAsk(const std::string &Text);
  fleet::RpcOutcome hearAsk(const std::string &Text);

  void followEpoch(base::TimePoint Now);
  HostReport report(base::TimePoint Now) const;
  std::vector<std::string> nextPeers();
  std::optional<std::string> addressOf(const base::HostId &Process) const;
  void spawn(Task Started);

  const boost::asio::any_io_executor Executor_;
  fleet::PeerClient &Peers_;
  const base::HostId Self_;
  const ExchangeDependencies Parts_;
  EpochTracker Epochs_;
  SpareOfferTable Offers_;
  /// Of the ask loop alone.
  base::Random Random_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<std::uint64_t> Settled_ = 0;

  mutable std::mutex Lock_;
  /// Process id to IP:PORT, without this host.
  std::map<base::HostId, std::string> Addresses_;
  std::size_t NextPeer_ = 0;
};

} // namespace lychee::exchange

#endif
