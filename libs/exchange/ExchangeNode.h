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

/// Collaborators and callbacks of ExchangeNode.
struct ExchangeDependencies {
  steering::FleetSteering &Steering_;
  budget::RateBudgets &Rates_;
  /// Receives the decisions on requests that waited for the slots of a grant.
  std::function<void(std::vector<steering::Wakeup> &)> OnWakeups_;
  /// \returns when this host's lease in \p Epoch expires; a time in the past if
  /// it has none. Called again before each use.
  std::function<base::TimePoint(std::uint64_t Epoch)> LeaseExpiry_;
};

/// Exchanges shares between one host and its peers: sends a report of what it
/// can spare at most every ReportInterval, requests the slots and rates it
/// lacks, answers the requests of peers, and enters and settles membership
/// epochs.
///
/// Control traffic is bounded: a report goes to at most ReportFanOut peers, and
/// the next report to the peers that follow, so that the messages of a host do
/// not grow with the fleet. \see budget::RateBudgets, steering::FleetSteering
class ExchangeNode {
public:
  /// Binds the RPC methods of the exchange to \p Handlers.
  ExchangeNode(const boost::asio::any_io_executor &Executor,
               fleet::PeerClient &Peers, fleet::RpcDispatcher &Handlers,
               const base::HostId &SelfName, std::uint64_t Incarnation,
               ExchangeDependencies Dependencies);
  ExchangeNode(const ExchangeNode &) = delete;
  ExchangeNode &operator=(const ExchangeNode &) = delete;

  /// \returns an id for one start of a host. A restarted host holds none of the
  /// shares that it held before.
  static base::HostId incarnationId(const base::HostId &Name,
                                    std::uint64_t Incarnation);

  void start();
  void stop() noexcept { Stopped_ = true; }

  /// Takes a changed directory. May be called from any thread.
  void directoryChanged(const fleet::Directory &Changed, base::TimePoint Now);

  std::uint64_t epoch() const { return Epochs_.epoch(); }
  bool settled() const { return Epochs_.settled(); }

  static constexpr base::Duration ReportInterval =
      std::chrono::milliseconds(250);
  /// A report without significant changes is repeated at this interval for
  /// peers that missed it. One report each 250 ms, new or not, cost 78 kB/s per
  /// host with 12 idle hosts.
  static constexpr base::Duration RepeatInterval = std::chrono::seconds(4);
  static constexpr base::Duration RequestInterval =
      std::chrono::milliseconds(10);
  static constexpr base::Duration CallTimeout = std::chrono::milliseconds(500);
  static constexpr std::size_t ReportFanOut = 16;

private:
  using Task = boost::asio::awaitable<void>;

  Task requestLoop();
  Task reportLoop();
  Task sendReport(std::string Address, std::string Report);
  Task requestSlots(std::string Address, steering::SlotRequest Request);
  Task requestRate(std::string Address, budget::ShareRequest Request);

  void bind(fleet::RpcDispatcher &Handlers);
  fleet::RpcOutcome handleReport(const std::string &Text);
  fleet::RpcOutcome handleSlotRequest(const std::string &Text);
  fleet::RpcOutcome handleRateRequest(const std::string &Text);

  void updateEpoch(base::TimePoint Now);
  HostReport makeReport(base::TimePoint Now) const;
  std::vector<std::string> nextReportPeers();
  std::optional<std::string> addressOf(const base::HostId &Incarnation) const;
  void spawn(Task Spawned);

  const boost::asio::any_io_executor Executor_;
  fleet::PeerClient &Peers_;
  const base::HostId Self_;
  const ExchangeDependencies Dependencies_;
  EpochTracker Epochs_;
  SpareOfferTable Offers_;
  /// Used by the request loop only.
  base::Random Random_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<std::uint64_t> SettledEpoch_ = 0;

  mutable std::mutex Lock_;
  /// Incarnation id to IP:PORT, without this host.
  std::map<base::HostId, std::string> Addresses_;
  std::size_t NextPeer_ = 0;
};

} // namespace lychee::exchange

#endif
