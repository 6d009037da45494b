#ifndef LYCHEE_REPORTING_DECISIONLOG_H
#define LYCHEE_REPORTING_DECISIONLOG_H

#include "base/Id.h"
#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::reporting {

/// A candidate that was weighed and not taken, and why.
struct PassedOverCandidate {
  std::string_view Candidate_;
  std::string_view Reason_;
};

/// One routing or placement decision on a request, as the log tells it. Has no
/// place for a caller's key, only for the key's id.
struct DecisionRecord {
  /// "send", "wait", "refuse", "retry", "answered" ...
  std::string_view Event_;
  base::RequestId Request_;
  base::CustomerId Customer_;
  base::KeyId Key_;
  base::ServiceId Service_;
  /// What operators call the rule that took the request; empty: it has none.
  std::string_view Rule_;
  /// Hash of the object that the request is about; 0: of none.
  std::uint64_t Object_ = 0;
  base::RegionId Region_;
  base::TargetId Target_;
  /// The host that it is forwarded to; empty: it goes to a target.
  base::HostId Host_;
  /// The host that forwarded it to this one; empty: it came from its caller.
  base::HostId ForwardedBy_;
  /// Why this event, this region and this target.
  std::string_view Reason_;
  std::span<const PassedOverCandidate> PassedOver_;
  std::uint64_t SettingsVersion_ = 0;
  /// What the target was chosen by, where that is told: its place in the
  /// object's order, the time it should take, the requests believed to be
  /// there, and how old that belief is.
  struct Inputs {
    std::uint32_t Place_ = 0;
    std::int64_t ExpectedMs_ = 0;
    double Load_ = 0;
    std::int64_t LoadAgeMs_ = 0;
    /// Expected run time at the target, in percent of the usual one, and the
    /// age of its statement; 0: the target states none.
    std::uint32_t SpeedPercent_ = 0;
    std::int64_t SpeedAgeMs_ = 0;
  };
  std::optional<Inputs> Inputs_;
  /// Targets that may serve the request, and what this host takes them for,
  /// where it is refused for lack of one.
  struct TargetCounts {
    std::uint32_t InUse_ = 0;
    std::uint32_t Ejected_ = 0;
    std::uint32_t OnProbation_ = 0;
  };
  std::optional<TargetCounts> Targets_;
  /// What a request was refused by because its service is full: the fraction of
  /// its customer's demand that is served, that demand per second, the fraction
  /// of all demand that is served, and the part of the customer's demand that
  /// is served before it.
  struct ShareInputs {
    double Fraction_ = 1;
    double AskedPerSecond_ = 0;
    double ServedShare_ = 1;
    double Ahead_ = 0;
  };
  std::optional<ShareInputs> Share_;
  /// Sends to targets that the request has had, as far as this host knows.
  std::optional<std::uint32_t> Sends_;
  /// Of a send: how many it may have after it.
  std::optional<std::uint32_t> SendsLeft_;
  /// Of the end of a send to another host: the sends that that host made, as
  /// far as it states them.
  std::optional<std::uint32_t> HostSends_;
  /// Of the end of a send: part of the request's body is no longer held, so
  /// that the request is not sent again.
  bool BodyGone_ = false;
  /// Of the end of a send: no byte came for too long, and it was given up.
  bool TimedOut_ = false;
  /// How long a send or request took; negative where it is not told.
  std::int64_t TookMs_ = -1;
  /// The answer's status, where the decision ends the request; else 0.
  int Status_ = 0;
  /// The rate per second that the target stated in its answer, "unreadable"
  /// where it is no number; else empty.
  std::string StatedRate_;
  /// The rest in milliseconds that the target asked for in its answer,
  /// "unreadable" where it is neither a number nor a date; else empty.
  std::string StatedRest_;
  /// The target said in its answer that it leaves.
  bool StatedLeaving_ = false;
  /// Of a refusal where retries are paced: the wait that the caller is told, 0
  /// where its turn does not come in time, and the positions reserved before,
  /// -1 where this host does not know them.
  struct Return {
    std::int64_t RetryAfterMs_ = 0;
    std::int64_t Ahead_ = -1;
    bool IsRetry_ = false;
  };
  std::optional<Return> Return_;
  /// "no" or "maybe" where the request is refused; else empty.
  std::string_view Ran_;
};

/// Writes one key=value line for each decision and remembers the recent ones
/// for `lychee explain`. The memory has a bound in bytes, so that a flood of
/// requests costs old explanations and never the process.
///
/// Sharded by request, each shard under its own lock; the sink is called
/// outside of every lock.
class DecisionLog {
public:
  using LineSink = std::function<void(const std::string &Line)>;

  /// At some 250 bytes a line and three lines a request this keeps the last
  /// 20,000 requests, ten seconds of a small host's busiest hour.
  static constexpr std::size_t DefaultBoundBytes = std::size_t{16} << 20;

  /// \param Sink  takes each line for the log; may be empty.
  explicit DecisionLog(LineSink Sink,
                       std::size_t BoundBytes = DefaultBoundBytes);
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;

  void record(const DecisionRecord &Taken, base::WallPoint Now);

  /// \returns the remembered lines of a request, oldest first.
  std::vector<std::string> explain(const base::RequestId &Request) const;

  /// \returns the bytes that the remembered lines take, their overhead counted.
  std::size_t rememberedBytes() const;

private:
  struct Entry {
    std::uint64_t RequestHash_ = 0;
    std::string Line_;
  };

  struct Shard {
    mutable std::mutex Lock_;
    std::deque<Entry> Entries_;
    std::size_t Bytes_ = 0;
  };

  /// Two hosts' worth of cores: threads seldom meet at a shard.
  static constexpr std::size_t ShardCount = 32;

  static std::size_t costOf(const Entry &Remembered) noexcept;
  void remember(const base::RequestId &Request, std::string Line);

  const LineSink Sink_;
  const std::size_t ShardBoundBytes_;
  std::array<Shard, ShardCount> Shards_;
};

} // namespace lychee::reporting

#endif
