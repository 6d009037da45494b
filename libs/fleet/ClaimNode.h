#ifndef LYCHEE_FLEET_CLAIMNODE_H
#define LYCHEE_FLEET_CLAIMNODE_H

#include "fleet/ClaimPartition.h"
#include "fleet/Directory.h"
#include "fleet/LeaseGuard.h"
#include "fleet/PeerClient.h"
#include "fleet/rpc/RpcDispatcher.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lychee::fleet {

/// At-most-once claims over all hosts: each key belongs to a partition, each
/// partition to one host of the membership epoch, which writes its claims in
/// groups into one object of the store. A host asks the owner, in one call for
/// all claims that wait for it. No claim recorded means that nothing may run.
///
/// A host that takes a partition over reads it first, and the object's version
/// refuses whoever owned it before, paused or not: two owners for a while cost
/// refusals, never a second run. Destroy after the context's threads ended.
/// \see retrying::ClaimTable, docs/design/claims-between-hosts.md
class ClaimNode {
public:
  /// Partitions of all keys: with 8,000 claims kept an hour each, 64 hold 142
  /// claims a second.
  static constexpr std::uint32_t PartitionCount = 64;

  /// \param Owner  names this start of this host, never 0 and never reused.
  /// \param Known  tells the directory; called from I/O threads.
  ClaimNode(boost::asio::io_context &Context, store::Store &Used,
            PeerClient &Peers, RpcDispatcher &Handlers, LeaseGuard &Guard,
            base::HostId Self, std::uint64_t Owner,
            std::function<Directory()> Known);
  ClaimNode(const ClaimNode &) = delete;
  ClaimNode &operator=(const ClaimNode &) = delete;

  /// Asks for the right to run. \p Done is called once from an I/O thread.
  void claim(const retrying::ClaimKey &Key, std::uint64_t Fingerprint,
             ClaimPartition::Answered Done);

  /// Tells how granted work ended.
  void finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
              retrying::Ran Ended, std::uint16_t Status);

  /// Writes of claims to the store so far.
  std::uint64_t writes() const noexcept { return Writes_; }

private:
  struct Asked {
    retrying::ClaimKey Key_;
    std::uint64_t Fingerprint_ = 0;
    ClaimPartition::Answered Done_;
  };
  /// What waits for one owner; one call to it at a time.
  struct Outbox {
    std::vector<Asked> Waiting_;
    bool Calling_ = false;
  };

  void route(Asked Claimed);
  void claimHere(const Asked &Claimed, std::uint64_t Epoch);
  ClaimPartition &partition(std::uint32_t Number);
  const Member *ownerIn(const Directory &Known, std::uint32_t Number) const;
  boost::asio::awaitable<void> callOwner(std::string Peer);
  boost::asio::awaitable<void> tellOwner(std::string Peer, std::string Text);
  RpcOutcome answerClaims(const std::string &Text);
  RpcOutcome answerFinish(const std::string &Text);
  void giveUpLost();

  const boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  store::Store &Store_;
  PeerClient &Peers_;
  LeaseGuard &Guard_;
  const base::HostId Self_;
  const std::uint64_t Owner_;
  const std::function<Directory()> Known_;
  std::map<std::uint32_t, std::unique_ptr<ClaimPartition>> Partitions_;
  std::map<std::string, Outbox> Outboxes_;
  std::uint64_t EpochSeen_ = 0;
  std::atomic<int> Blocked_ = 0;
  std::atomic<std::uint64_t> Writes_ = 0;
};

} // namespace lychee::fleet

#endif
