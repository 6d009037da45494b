#include "steering/Steering.h"

namespace lychee::steering {

std::string_view nameOf(Refusal Reason) noexcept {
  switch (Reason) {
  case Refusal::None:
    return "none";
  case Refusal::UnknownKey:
    return "unknown-key";
  case Refusal::KeyWithdrawn:
    return "key-withdrawn";
  case Refusal::KeysStale:
    return "keys-stale";
  case Refusal::UnknownService:
    return "unknown-service";
  case Refusal::RateLimited:
    return "over-rate";
  case Refusal::DeadlineTooShort:
    return "deadline-too-short";
  case Refusal::QueueFull:
    return "queue-full";
  case Refusal::NoHealthyTarget:
    return "no-healthy-target";
  case Refusal::NoHeadroom:
    return "no-headroom";
  case Refusal::OverShare:
    return "over-share";
  case Refusal::LessUrgent:
    return "less-urgent";
  case Refusal::TargetRatesUsedUp:
    return "target-rates-used-up";
  case Refusal::TargetsRest:
    return "targets-rest";
  case Refusal::BodyMemoryFull:
    return "body-memory-full";
  case Refusal::TargetsUnreached:
    return "targets-unreached";
  case Refusal::SettingsOld:
    return "settings-old";
  case Refusal::SettingsUnreadable:
    return "settings-unreadable";
  case Refusal::CrashSuspect:
    return "crash-suspect";
  case Refusal::ClaimHeldElsewhere:
    return "claim-held-elsewhere";
  case Refusal::ClaimStoreDown:
    return "claim-store-down";
  case Refusal::AlreadyRun:
    return "already-run";
  case Refusal::Stopping:
    return "stopping";
  case Refusal::TargetFailed:
    return "target-failed";
  case Refusal::DeadlineExceeded:
    return "deadline-passed";
  }
  return "unknown";
}

} // namespace lychee::steering
