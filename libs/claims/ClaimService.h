#ifndef LYCHEE_CLAIMS_CLAIMSERVICE_H
#define LYCHEE_CLAIMS_CLAIMSERVICE_H

#include "claims/ClaimPartition.h"
#include "fleet/PeerClient.h"
#include "fleet/rpc/RpcDispatcher.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lychee::claims {

/// A member of the fleet that may own partitions.
struct ClaimMember {
  base::HostId Process_;
  /// IP:PORT of its peer listener.
  std::string Address_;
};

/// Makes the claims for the requests of one host, whichever host owns their
/// partitions, and serves the claims of peers for the partitions of this host.
/// An owner answers a peer's claim at once with "pending" and calls the peer
/// back when the claim is written, so that a slow store does not block the
/// threads of the peer listener.
///
/// Thread-safe: its state is only used on one strand, and other threads post to
/// it. \see ClaimPartition, docs/design/claims.md
class ClaimService {
public:
  using ResultHandler =
      std::function<void(const retrying::ClaimResult &Result)>;

  /// Partitions of the whole fleet. More partitions divide the load among more
  /// owners, but cause more writes to the store: each may make 20 per second.
  static constexpr std::uint32_t PartitionCount = 8;
  /// A claim without a result after this time is refused, and cancelled at its
  /// owner. Long enough for a write whose response is lost, and for reading it
  /// back.
  static constexpr base::Duration ClaimTimeout = std::chrono::seconds(4);

  ClaimService(boost::asio::io_context &Context, store::Store &Store,
               fleet::PeerClient &Peers, fleet::RpcDispatcher &Handlers,
               base::HostId Self, std::uint64_t Incarnation);
  ClaimService(const ClaimService &) = delete;
  ClaimService &operator=(const ClaimService &) = delete;

  void start();
  void stop();

  /// Assigns the partitions to the members by rendezvous hashing. May be called
  /// from any thread.
  void updateMembers(std::uint64_t Epoch, std::vector<ClaimMember> Members);

  /// Claims the right to run a request. \p Done is called once, on the strand.
  void claim(const retrying::ClaimKey &Key, std::uint64_t Fingerprint,
             ResultHandler Done);

  /// Reports how a granted request ended.
  void finish(const retrying::ClaimKey &Key, retrying::Ran Result,
              std::uint16_t Status);

  /// \returns the number of writes to the store so far, for metrics.
  std::uint64_t writes() const noexcept;

private:
  using Task = boost::asio::awaitable<void>;

  struct PendingClaim {
    ResultHandler Done_;
    base::TimePoint Until_;
    std::uint64_t Grant_ = 0;
    base::HostId Owner_;
  };

  struct Grant {
    std::uint64_t Number_ = 0;
    base::HostId Owner_;
  };

  struct RunReport {
    retrying::ClaimKey Key_;
    std::uint64_t Grant_ = 0;
    retrying::Ran Result_ = retrying::Ran::Maybe;
    std::uint16_t Status_ = 0;
  };

  void bind(fleet::RpcDispatcher &Handlers);
  /// Runs \p Work on the strand and waits for its result. \p Work must not do
  /// I/O.
  std::string runOnStrand(std::function<std::string()> Work);
  std::string handleClaim(const std::string &Text);
  std::string handleResult(const std::string &Text);
  std::string handleFinish(const std::string &Text);

  void claimOnStrand(const retrying::ClaimKey &Key, std::uint64_t Fingerprint,
                     ResultHandler Done);
  Task claimRemotely(retrying::ClaimKey Key, std::uint64_t Fingerprint,
                     base::HostId Owner);
  void deliver(const base::HostId &Requester,
               const retrying::ClaimResult &Result);
  Task deliverRemotely(std::string Address, std::string Text);
  void resolvePending(const retrying::ClaimResult &Result,
                      const base::HostId &Owner);
  void finishAt(const base::HostId &Owner, const RunReport &Report);
  Task finishRemotely(std::string Address, std::string Text);
  Task expirePending();

  ClaimPartition &partitionFor(const retrying::ClaimKey &Key);
  const ClaimMember *ownerFor(const retrying::ClaimKey &Key) const;
  std::string addressOf(const base::HostId &Process) const;

  const base::HostId Self_;
  fleet::PeerClient &Peers_;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  std::array<std::unique_ptr<ClaimPartition>, PartitionCount> Partitions_;
  std::vector<ClaimMember> Members_;
  std::vector<base::HostId> Processes_;
  std::uint64_t Epoch_ = 0;
  std::unordered_map<retrying::ClaimKey, PendingClaim> Pending_;
  std::unordered_map<retrying::ClaimKey, Grant> Grants_;
  std::atomic<bool> Stopped_ = false;
};

} // namespace lychee::claims

#endif
