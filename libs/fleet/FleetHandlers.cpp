#include "fleet/FleetHandlers.h"

#include "base/SystemClock.h"
#include "fleet/Codec.h"

#include <functional>

namespace lychee::fleet {

namespace {

/// JSON-RPC error code "Invalid params".
constexpr int InvalidParameters = -32602;

/// An answer takes no further chunk once its chunks reach this size, in bytes.
/// The caller requests the rest in another call.
constexpr std::size_t ChunkAnswerBytes = 1 << 20;

using JsonHandler = std::function<Json::Value(const RpcCaller &Caller,
                                              const Json::Value &Request)>;

void bindJson(RpcDispatcher &To, const std::string &Method,
              JsonHandler Handle) {
  To.bind(Method, [Handle = std::move(Handle)](const RpcCaller &Caller,
                                               const std::string &Text) {
    const auto Request = Codec::parse(Text);
    if (!Request)
      return RpcOutcome{InvalidParameters, "parameters are no JSON object"};
    return RpcOutcome{0, Codec::write(Handle(Caller, *Request))};
  });
}

Json::Value rootAnswer(FleetState &State) {
  Json::Value Result(Json::objectValue);
  State.withSettings([&](const SettingsReplica &Replica) {
    if (Replica.appliedVersion() == 0)
      return;
    Result["version"] = Json::UInt64(Replica.appliedVersion());
    Result["root"] = Replica.rootText();
  });
  return Result;
}

Json::Value chunkAnswer(FleetState &State, const Json::Value &Request) {
  Json::Value Result(Json::objectValue);
  Result["chunks"] = Json::Value(Json::objectValue);
  if (!Request["hashes"].isArray())
    return Result;
  State.withSettings([&](const SettingsReplica &Replica) {
    std::size_t Bytes = 0;
    for (const Json::Value &Hash : Request["hashes"]) {
      const std::string *Text =
          Hash.isString() ? Replica.chunk(Hash.asString()) : nullptr;
      if (!Text || Bytes >= ChunkAnswerBytes)
        continue;
      Bytes += Text->size();
      Result["chunks"][Hash.asString()] = *Text;
    }
  });
  return Result;
}

using PeerAction = std::function<void(const std::string &)>;

Json::Value handleHint(FleetState &State, SettingsPropagator &Propagator,
                       const PeerAction &FetchRecord,
                       const Json::Value &Request) {
  Json::Value Empty(Json::objectValue);
  if (!Request["from"].isString())
    return Empty;
  const std::string From = Request["from"].asString();
  const auto IsNewer = [&Request](const char *Name, std::uint64_t Known) {
    return Request[Name].isUInt64() && Request[Name].asUInt64() > Known;
  };
  if (IsNewer("settings", State.appliedSettingsVersion()))
    Propagator.fetchFrom(From);
  const bool SameZone =
      Request["zone"].isString() && State.isOwnZone(Request["zone"].asString());
  if (SameZone && IsNewer("record", State.versions().Record_))
    FetchRecord(From);
  return Empty;
}

} // namespace

void FleetHandlers::bind(RpcDispatcher &To, FleetState &State,
                         SettingsPropagator &Propagator,
                         const PeerAction &FetchRecord) {
  const auto Hint = [&State, &Propagator, FetchRecord](
                        const RpcCaller &, const Json::Value &Request) {
    return handleHint(State, Propagator, FetchRecord, Request);
  };
  bindJson(To, "fleet.hint", Hint);
  bindJson(To, "fleet.beat",
           [&State, Hint](const RpcCaller &Caller, const Json::Value &Request) {
             Json::Value Result = State.answerHeartbeat(
                 Request, base::SystemClock::monotonicNow());
             Hint(Caller, Request);
             return Result;
           });
  bindJson(To, "fleet.pledge",
           [&State](const RpcCaller &Caller, const Json::Value &Request) {
             const Json::Value &Admitted = Request["admitted"];
             Json::Value Result(Json::objectValue);
             Result["pledged"] =
                 Admitted.isUInt64() &&
                 State.grantPledge(base::HostId(Caller.Host_),
                                   Admitted.asUInt64(),
                                   base::SystemClock::monotonicNow());
             return Result;
           });
  bindJson(To, "fleet.leave",
           [&State](const RpcCaller &Caller, const Json::Value &) {
             State.handleLeave(base::HostId(Caller.Host_));
             return Json::Value(Json::objectValue);
           });
  bindJson(To, "fleet.views", [&State](const RpcCaller &, const Json::Value &) {
    return State.freshnessViews(base::SystemClock::monotonicNow());
  });
  bindJson(To, "settings.root",
           [&State](const RpcCaller &, const Json::Value &) {
             return rootAnswer(State);
           });
  bindJson(To, "settings.chunks",
           [&State](const RpcCaller &, const Json::Value &Request) {
             return chunkAnswer(State, Request);
           });
}

} // namespace lychee::fleet
