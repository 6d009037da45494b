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

/// A process of the fleet that may own partitions.
struct ClaimMember {
  base::HostId Process_;
  /// IP:PORT of its peer listener.
  std::string Address_;
};

/// Claims for all requests of one host, whichever host owns their partition.
/// Thread-safe: its state stands on one strand, and callers' threads only post
/// to it. An owner answers a peer's claim at once with "pending" and calls the
/// peer back when the group is written, so that a slow store holds up no thread
/// of a peer listener. \see ClaimPartition, docs/design/claims.md
class ClaimService {
public:
  using Answered = std::function<void(const retrying::ClaimResult &Verdict)>;

  /// Partitions of the whole fleet. More owners share the work, more writes
  /// reach the store: each may make 20 a second.
  static constexpr std::uint32_t PartitionCount = 8;
  /// A claim that is not answered by then is refused, and given up at its
  /// owner: long enough for a write, its lost answer and its reading back.
  static constexpr base::Duration Patience = std::chrono::seconds(4);

  ClaimService(boost::asio::io_context &Context, store::Store &Kept,
               fleet::PeerClient &Peers, fleet::RpcDispatcher &Handlers,
               base::HostId Self, std::uint64_t Incarnation);
  ClaimService(const ClaimService &) = delete;
  ClaimService &operator=(const ClaimService &) = delete;

  void start();
  void stop();

  /// Partitions go to the members by rendezvous hashing. From any thread.
  void updateMembers(std::uint64_t Epoch, std::vector<ClaimMember> Members);

  /// Asks to run a request. \p Done is called once, from the strand.
  void claim(const retrying::ClaimKey &Key, std::uint64_t Fingerprint,
             Answered Done);

  /// Tells how a granted request ended.
  void finish(const retrying::ClaimKey &Key, retrying::Ran Ended,
              std::uint16_t Status);

  /// Writes to the store so far, for metrics.
  std::uint64_t writes() const noexcept;

private:
  using Task = boost::asio::awaitable<void>;

  struct Waiter {
    Answered Done_;
    base::TimePoint Until_;
    std::uint64_t Grant_ = 0;
    base::HostId Owner_;
  };

  struct Grant {
    std::uint64_t Number_ = 0;
    base::HostId Owner_;
  };

  struct Word {
    retrying::ClaimKey Key_;
    std::uint64_t Grant_ = 0;
    retrying::Ran Ended_ = retrying::Ran::Maybe;
    std::uint16_t Status_ = 0;
  };

  void bind(fleet::RpcDispatcher &Handlers);
  /// Runs \p Made on the strand and waits: only for what does no I/O.
  std::string onStrand(std::function<std::string()> Made);
  std::string hearClaim(const std::string &Text);
  std::string hearVerdict(const std::string &Text);
  std::string hearFinish(const std::string &Text);

  void claimOnStrand(const retrying::ClaimKey &Key, std::uint64_t Fingerprint,
                     Answered Done);
  Task claimRemotely(retrying::ClaimKey Key, std::uint64_t Fingerprint,
                     base::HostId Owner);
  void tell(const base::HostId &Asker, const retrying::ClaimResult &Verdict);
  Task tellRemotely(std::string Address, std::string Verdict);
  void settleWaiter(const retrying::ClaimResult &Verdict,
                    const base::HostId &Owner);
  void finishAt(const base::HostId &Owner, const Word &Ended);
  Task finishRemotely(std::string Address, std::string Text);
  Task sweep();

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
  std::unordered_map<retrying::ClaimKey, Waiter> Waiters_;
  std::unordered_map<retrying::ClaimKey, Grant> Grants_;
  std::atomic<bool> Stopped_ = false;
};

} // namespace lychee::claims

#endif
