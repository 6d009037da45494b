#include "fleet/PeerAuthenticator.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
using fleet::ProofVerdict;

TEST_GROUP(PeerAuthenticator) {
  fleet::PeerAuthenticator Authenticator_{"0123456789abcdef0123456789abcdef"};
  base::WallPoint Now_{std::chrono::hours(24 * 365 * 56)};

  fleet::PeerProof proof(const char *Nonce) {
    return Authenticator_.sign("body", base::HostId("h1"), Nonce, Now_);
  }

  ProofVerdict check(const fleet::PeerProof &Proof, const char *Body = "body") {
    return Authenticator_.check(Body, Proof, Now_);
  }
};

TEST(PeerAuthenticator, proofIsValidOnce) {
  CHECK(check(proof("n1")) == ProofVerdict::Valid);
  CHECK(check(proof("n1")) == ProofVerdict::Replayed);
  CHECK(check(proof("n2")) == ProofVerdict::Valid);
}

TEST(PeerAuthenticator, everyChangedFieldBreaksTheProof) {
  CHECK(check(proof("n"), "other") == ProofVerdict::WrongSignature);
  fleet::PeerProof Changed = proof("n");
  Changed.Host_ = "h2";
  CHECK(check(Changed) == ProofVerdict::WrongSignature);
  Changed = proof("n");
  Changed.Nonce_ = "m";
  CHECK(check(Changed) == ProofVerdict::WrongSignature);
  Changed = proof("n");
  ++Changed.SentAt_;
  CHECK(check(Changed) == ProofVerdict::WrongSignature);
  CHECK(check({}) == ProofVerdict::WrongSignature);
}

// A recorded call is replayed after its nonce was discarded. The time window
// must refuse it, whether its time is before or after the window.
TEST(PeerAuthenticator, replayAfterTheNonceWasDiscardedIsOutsideTheTimeWindow) {
  const fleet::PeerProof Recorded = proof("n");
  CHECK(check(Recorded) == ProofVerdict::Valid);
  for (int Step = 0; Step < 40; ++Step) {
    Now_ += std::chrono::seconds(1);
    const std::string Other = "other" + std::to_string(Step);
    CHECK(check(proof(Other.c_str())) == ProofVerdict::Valid);
    CHECK(check(Recorded) != ProofVerdict::Valid);
  }
  Now_ -= std::chrono::seconds(80);
  CHECK(check(Recorded) == ProofVerdict::OutsideTimeWindow);
}

TEST(PeerAuthenticator, storedNoncesAreBounded) {
  std::size_t Accepted = 0;
  while (check(proof(std::to_string(Accepted).c_str())) == ProofVerdict::Valid)
    ++Accepted;
  UNSIGNED_LONGS_EQUAL(fleet::PeerAuthenticator::MaxNonces, Accepted);
  CHECK(check(proof("more")) == ProofVerdict::NonceLimitReached);
  Now_ += fleet::PeerAuthenticator::TimeWindow + std::chrono::seconds(1);
  CHECK(check(proof("more")) == ProofVerdict::Valid);
}

TEST(PeerAuthenticator, answerIsBoundToItsCall) {
  const std::string Signature = Authenticator_.signAnswer("ok", "n1");
  CHECK(Authenticator_.checkAnswer("ok", "n1", Signature));
  CHECK_FALSE(Authenticator_.checkAnswer("ok", "n2", Signature));
  CHECK_FALSE(Authenticator_.checkAnswer("no", "n1", Signature));
}
