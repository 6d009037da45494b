#include "fleet/PeerAuthenticator.h"

#include "base/Hash.h"

#include <array>
#include <cstdlib>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace lychee::fleet {

namespace {

constexpr std::int64_t WindowMilliseconds =
    base::toMilliseconds(PeerAuthenticator::TimeWindow);

std::int64_t millisecondsOf(base::WallPoint Point) {
  return base::toMilliseconds(Point.time_since_epoch());
}

} // namespace

std::string_view nameOf(ProofVerdict Verdict) noexcept {
  switch (Verdict) {
  case ProofVerdict::Valid:
    return "proven";
  case ProofVerdict::WrongSignature:
    return "wrong_signature";
  case ProofVerdict::OutsideTimeWindow:
    return "out_of_time";
  case ProofVerdict::Replayed:
    return "replayed";
  case ProofVerdict::NonceLimitReached:
    return "flooded";
  }
  return "unknown";
}

PeerAuthenticator::PeerAuthenticator(std::string_view FleetSecret)
    : Secret_(FleetSecret) {}

std::string PeerAuthenticator::hmacHex(std::string_view Text) const {
  static constexpr char HexDigits[] = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Secret_.data(), static_cast<int>(Secret_.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Length);
  std::string Hex;
  Hex.reserve(2 * std::size_t{Length});
  for (unsigned Index = 0; Index < Length; ++Index) {
    Hex += HexDigits[Digest[Index] >> 4];
    Hex += HexDigits[Digest[Index] & 0xf];
  }
  return Hex;
}

std::string PeerAuthenticator::signatureOf(std::string_view Body,
                                           const PeerProof &Proof) const {
  // All fields but the last contain no line break, so two different proofs
  // never give the same text.
  std::string Text = "call\n" + Proof.Host_ + '\n' +
                     std::to_string(Proof.SentAt_) + '\n' + Proof.Nonce_ + '\n';
  Text += Body;
  return hmacHex(Text);
}

PeerProof PeerAuthenticator::sign(std::string_view Body,
                                  const base::HostId &Self,
                                  std::string_view Nonce,
                                  base::WallPoint Now) const {
  PeerProof Proof{Self.name(), millisecondsOf(Now), std::string(Nonce), ""};
  Proof.Signature_ = signatureOf(Body, Proof);
  return Proof;
}

ProofVerdict PeerAuthenticator::check(std::string_view Body,
                                      const PeerProof &Proof,
                                      base::WallPoint Now) {
  if (Proof.Host_.empty() ||
      !base::equalInConstantTime(signatureOf(Body, Proof), Proof.Signature_))
    return ProofVerdict::WrongSignature;
  const std::int64_t NowMilliseconds = millisecondsOf(Now);
  if (std::abs(NowMilliseconds - Proof.SentAt_) > WindowMilliseconds)
    return ProofVerdict::OutsideTimeWindow;
  return recordNonce(Proof, NowMilliseconds);
}

ProofVerdict PeerAuthenticator::recordNonce(const PeerProof &Proof,
                                            std::int64_t NowMilliseconds) {
  const std::lock_guard Guard(Lock_);
  // A proof older than the window is refused by its time, so its nonce may be
  // discarded.
  while (!NoncesByTime_.empty() &&
         NoncesByTime_.begin()->first < NowMilliseconds - WindowMilliseconds) {
    Nonces_.erase(NoncesByTime_.begin()->second);
    NoncesByTime_.erase(NoncesByTime_.begin());
  }
  if (Nonces_.size() >= MaxNonces)
    return ProofVerdict::NonceLimitReached;
  auto Key = std::make_pair(Proof.Host_, Proof.Nonce_);
  if (!Nonces_.insert(Key).second)
    return ProofVerdict::Replayed;
  NoncesByTime_.emplace(Proof.SentAt_, std::move(Key));
  return ProofVerdict::Valid;
}

std::string PeerAuthenticator::signAnswer(std::string_view Body,
                                          std::string_view Nonce) const {
  std::string Text = "answer\n" + std::string(Nonce) + '\n';
  Text += Body;
  return hmacHex(Text);
}

bool PeerAuthenticator::checkAnswer(std::string_view Body,
                                    std::string_view Nonce,
                                    std::string_view Signature) const {
  return base::equalInConstantTime(signAnswer(Body, Nonce), Signature);
}

} // namespace lychee::fleet
