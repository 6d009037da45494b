#ifndef LYCHEE_FLEET_CLAIMPARTITION_H
#define LYCHEE_FLEET_CLAIMPARTITION_H

#include "base/Random.h"
#include "retrying/ClaimTable.h"
#include "store/Store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lychee::fleet {

/// One partition's claims at its owner: its table, and the store's object that
/// holds them. Claims that come while a write is under way share the next one,
/// so that writes follow the store's round-trip time and not the claims' rate.
///
/// Every member runs on the executor given, a strand. \see ClaimNode
class ClaimPartition {
public:
  /// Called once.
  using Answered = std::function<void(const retrying::ClaimVerdict &)>;

  /// \param Owner  names this start of this host.
  ClaimPartition(boost::asio::any_io_executor Strand, store::Store &Used,
                 std::uint32_t Number, std::uint64_t Owner);
  ClaimPartition(const ClaimPartition &) = delete;
  ClaimPartition &operator=(const ClaimPartition &) = delete;

  /// \param Epoch  this host owns the partition in this membership epoch.
  void claim(const retrying::ClaimKey &Key, std::uint64_t Fingerprint,
             std::uint64_t Epoch, Answered Done);

  void finish(const retrying::ClaimKey &Key, std::uint64_t Grant,
              retrying::Ran Ended, std::uint16_t Status);

  /// Another host owns it now.
  void giveUp();

  std::uint64_t writes() const noexcept { return Writes_; }

private:
  struct Waiting {
    retrying::ClaimKey Key_;
    std::uint64_t Fingerprint_ = 0;
    Answered Done_;
  };

  boost::asio::awaitable<void> load(std::uint64_t Epoch);
  boost::asio::awaitable<void> writeGroups();
  boost::asio::awaitable<void> writeOne(retrying::ClaimObject Planned);
  boost::asio::awaitable<void> writeOutcomes();
  boost::asio::awaitable<void> resolve();
  boost::asio::awaitable<std::optional<retrying::ClaimObject>> read();
  void ask(const Waiting &Asked);
  void tell(const std::vector<retrying::ClaimVerdict> &Told);
  void startWriting();

  const boost::asio::any_io_executor Strand_;
  store::Store &Store_;
  const std::string Path_;
  base::Random Random_;
  retrying::ClaimTable Table_;
  /// Rises when the partition is given up: a write begun before belongs to no
  /// table any more.
  std::uint64_t Tenure_ = 0;
  bool OutcomesDue_ = false;
  bool Loading_ = false;
  bool Running_ = false;
  std::uint64_t Writes_ = 0;
  std::vector<Waiting> BeforeLoad_;
  std::unordered_map<retrying::ClaimKey, Answered> Pending_;
};

} // namespace lychee::fleet

#endif
