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

/// What is said of a call's proof.
enum class ProofVerdict {
  Proven,
  /// No proof, or one made without the secret.
  WrongSignature,
  /// Made too long ago, or in the future.
  OutOfTime,
  /// Seen before.
  Replayed,
  /// More calls within the window than are remembered.
  Flooded,
};

/// \returns the verdict's name for logs and metrics.
std::string_view nameOf(ProofVerdict Verdict) noexcept;

/// Signs calls between hosts and checks them. A proof covers body, sender and
/// time, and holds once: without the nonces, whoever can listen could send a
/// recorded grant of a budget share again. \see
/// docs/design/peer-authentication.md
///
/// Checks the signature before it remembers a nonce, so that strangers cannot
/// fill its memory.
class PeerAuthenticator {
public:
  /// Hosts' wall clocks may differ by this; the platform keeps them within
  /// 500 ms, and a call's own deadline adds a few seconds.
  static constexpr base::Duration TimeWindow = std::chrono::seconds(15);

  /// Nonces remembered at most: 1,000 calls a second over both halves of the
  /// window, at about 120 bytes each 3.6 MB.
  static constexpr std::size_t NonceLimit = 30'000;

  explicit PeerAuthenticator(std::string_view FleetSecret);
  PeerAuthenticator(const PeerAuthenticator &) = delete;
  PeerAuthenticator &operator=(const PeerAuthenticator &) = delete;

  /// \param Nonce  drawn by the caller, at least 16 random hexadecimal digits.
  PeerProof sign(std::string_view Body, const base::HostId &Self,
                 std::string_view Nonce, base::WallPoint Now) const;

  ProofVerdict check(std::string_view Body, const PeerProof &Proof,
                     base::WallPoint Now);

  /// Signs the answer to a call, so that nobody between the hosts can forge it.
  std::string signAnswer(std::string_view Body, std::string_view Nonce) const;

  bool checkAnswer(std::string_view Body, std::string_view Nonce,
                   std::string_view Signature) const;

private:
  std::string hmacHex(std::string_view Text) const;
  std::string signatureOf(std::string_view Body, const PeerProof &Proof) const;
  ProofVerdict remember(const PeerProof &Proof, std::int64_t NowMilliseconds);

  const std::string Secret_;
  std::mutex Lock_;
  std::set<std::pair<std::string, std::string>> Seen_;
  /// The same nonces by the time they were made, oldest first.
  std::multimap<std::int64_t, std::pair<std::string, std::string>> SeenByTime_;
};

} // namespace lychee::fleet

#endif
