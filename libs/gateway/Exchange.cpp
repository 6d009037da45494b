#include "gateway/Exchange.h"

#include "base/SystemClock.h"
#include "gateway/Forwarding.h"
#include "gateway/Lookup.h"
#include "gateway/Worker.h"

namespace lychee::gateway {

Exchange::Exchange(Worker &Home, CallerConnection &Caller,
                   RequestReader &Reader)
    : Home_(Home), Caller_(Caller), Reader_(Reader), Id_(Home.makeRequestId()),
      Answer_(Home, Caller, Reader, Read_, Id_) {
  Caller_.noteRequest(Id_.name(), base::SystemClock::monotonicNow());
  Home_.shared().InFlight_.fetch_add(1);
}

Exchange::~Exchange() {
  Caller_.noteRequest({}, base::SystemClock::monotonicNow());
  Home_.shared().InFlight_.fetch_sub(1);
}

Task<Ending> Exchange::run() {
  const auto Fault = parseCallerRequest(Reader_.message(),
                                        Home_.shared().Settings_.Names_, Read_);
  if (!Read_.RequestId_.empty()) {
    Id_ = base::RequestId(Read_.RequestId_);
    Caller_.noteRequest(Id_.name(), base::SystemClock::monotonicNow());
  }
  if (Fault) {
    ProblemDocument Problem;
    Problem.Status_ = 400;
    Problem.Reason_ = "malformed-request";
    Problem.Detail_ = Fault->Detail_;
    // Whatever follows on this connection cannot be trusted to be a request.
    Read_.KeepAlive_ = false;
    co_return co_await Answer_.refuse(std::move(Problem));
  }
  if (Read_.Path_ == LookupPath)
    co_return co_await answerLookup();
  if (Read_.Path_ == ReadyPath)
    co_return co_await answerReady();
  co_return co_await forward();
}

Task<Ending> Exchange::answerLookup() {
  const auto Service = serviceOfQuery(Read_.Query_);
  if (!Service) {
    ProblemDocument Problem;
    Problem.Status_ = 400;
    Problem.Reason_ = "service-missing";
    Problem.Detail_ = "The look-up needs ?service=NAME.";
    co_return co_await Answer_.refuse(std::move(Problem));
  }
  const auto Found = Home_.shared().Others_.Directory_.lookUp(
      base::ServiceId(*Service), Caller_.address(),
      base::SystemClock::monotonicNow());
  if (!Found)
    co_return co_await Answer_.refuseFor(steering::Refusal::UnknownService,
                                         steering::Ran::No);
  co_return co_await Answer_.sendJson(200, renderLookup(*Service, *Found));
}

Task<Ending> Exchange::answerReady() {
  if (Home_.shared().isServing())
    co_return co_await Answer_.sendJson(200, "{\"ready\":true}\n");
  co_return co_await Answer_.sendJson(503, "{\"ready\":false}\n");
}

/// A refusal before steering was asked is a decision too: told to nobody, an
/// operator could not explain why a caller's key stopped working.
Task<Ending> Exchange::refuseEarly(const Identity &Caller,
                                   steering::Refusal Reason) {
  steering::Request Refused;
  Refused.Id_ = Id_;
  Refused.Customer_ = Caller.Customer_;
  Refused.Key_ = Caller.Key_;
  Refused.Method_ = Read_.Method_;
  Refused.Path_ = Read_.Path_;
  steering::Decision Made;
  Made.Refusal_ = Reason;
  Made.RetryAfter_ = Caller.RetryAfter_;
  Made.SettingsVersion_ = Caller.SettingsVersion_;
  Home_.shared().Others_.Listener_.decided(Refused, Made,
                                           base::SystemClock::monotonicNow());
  co_return co_await Answer_.refuseFor(Reason, steering::Ran::No,
                                       Caller.RetryAfter_);
}

Task<Ending> Exchange::forward() {
  GatewayState &Shared = Home_.shared();
  Identity Caller;
  if (Read_.LeastVersion_ > Shared.Others_.Router_.settingsVersion())
    co_return co_await refuseEarly(Caller, steering::Refusal::SettingsOld);
  auto Found = Shared.Others_.Router_.route({Read_.ServiceName_,
                                             Read_.HostName_, Read_.Path_,
                                             Read_.Method_, Caller_.address()});
  // Whether it wants a key is not known either.
  if (Found && !Found->Readable_) {
    Caller.SettingsVersion_ = Found->SettingsVersion_;
    Caller.RetryAfter_ = Found->RetryAfter_;
    co_return co_await refuseEarly(Caller,
                                   steering::Refusal::SettingsUnreadable);
  }
  if (Found && Found->Public_)
    Caller.Refusal_ = steering::Refusal::None;
  else
    Caller = Shared.Others_.Authenticator_.check(
        Read_.PresentedKey_, base::SystemClock::monotonicNow());
  if (Caller.Refusal_ != steering::Refusal::None)
    co_return co_await refuseEarly(Caller, Caller.Refusal_);
  if (!Found)
    co_return co_await refuseEarly(Caller, steering::Refusal::UnknownService);
  Forwarding Forwarded(Home_, Caller_, Reader_, Read_, Answer_, Id_, Caller,
                       std::move(*Found));
  co_return co_await Forwarded.run();
}

} // namespace lychee::gateway
