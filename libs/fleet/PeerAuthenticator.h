#ifndef LYCHEE_FLEET_PEERAUTHENTICATOR_H
#define LYCHEE_FLEET_PEERAUTHENTICATOR_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace lychee::fleet {

/// What a host sends with a call to prove that it holds the fleet secret.
struct PeerProof {
  std::string Host_;
  /// Milliseconds since 1970, by the sender's wall clock.
  std::int64_t SentAt_ = 0;
  /// Never used twice by a host.
  std::string Nonce_;
  /// HMAC-SHA256, hexadecimal.
  std::string Signature_;
};

/// Result of checking the proof of a call.
enum class ProofVerdict {
  Valid,
  /// No proof, or one made without the secret.
  WrongSignature,
  /// Made too long ago, or too far in the future.
  OutsideTimeWindow,
  /// Used before.
  Replayed,
  /// More calls within the time window than nonces can be stored.
  NonceLimitReached,
};

/// \returns the verdict's name for logs and metrics.
std::string_view nameOf(ProofVerdict Verdict) noexcept;

/// Signs calls between hosts and checks their signatures. A proof covers body,
/// sender and time, and is valid once: without nonces, an eavesdropper could
/// replay a recorded grant of a budget share.
///
/// The signature is checked before a nonce is stored, so that unauthenticated
/// callers cannot fill the memory.
/// \see docs/design/peer-authentication.md
class PeerAuthenticator {
public:
  /// Largest accepted difference between the sender's and the receiver's wall
  /// clock. The platform keeps clocks within 500 ms, and the deadline of a call
  /// adds a few seconds.
  static constexpr base::Duration TimeWindow = std::chrono::seconds(15);

  /// Upper bound of stored nonces: 1,000 calls a second over both halves of the
  /// time window; at about 120 bytes each 3.6 MB.
  static constexpr std::size_t MaxNonces = 30'000;

  explicit PeerAuthenticator(std::string_view FleetSecret);
  PeerAuthenticator(const PeerAuthenticator &) = delete;
  PeerAuthenticator &operator=(const PeerAuthenticator &) = delete;

  /// \param Nonce  chosen by the caller, at least 16 random hexadecimal digits.
  PeerProof sign(std::string_view Body, const base::HostId &Self,
                 std::string_view Nonce, base::WallPoint Now) const;

  ProofVerdict check(std::string_view Body, const PeerProof &Proof,
                     base::WallPoint Now);

  /// Signs the answer to a call, so that it cannot be forged on the network.
  std::string signAnswer(std::string_view Body, std::string_view Nonce) const;

  bool checkAnswer(std::string_view Body, std::string_view Nonce,
                   std::string_view Signature) const;

private:
  std::string hmacHex(std::string_view Text) const;
  std::string signatureOf(std::string_view Body, const PeerProof &Proof) const;
  ProofVerdict recordNonce(const PeerProof &Proof,
                           std::int64_t NowMilliseconds);

  const std::string Secret_;
  std::mutex Lock_;
  std::set<std::pair<std::string, std::string>> Nonces_;
  /// The same nonces by the time at which their proofs were made, oldest first.
  std::multimap<std::int64_t, std::pair<std::string, std::string>>
      NoncesByTime_;
};

} // namespace lychee::fleet

#endif
