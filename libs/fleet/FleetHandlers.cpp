#include "fleet/FleetHandlers.h"

#include "base/SystemClock.h"
#include "fleet/Codec.h"

#include <functional>

namespace lychee::fleet {

namespace {

/// JSON-RPC's code for parameters that a method cannot use.
constexpr int InvalidParameters = -32602;

/// An answer with chunks stops after the one that reaches this; the asker asks
/// again for the rest.
constexpr std::size_t ChunkAnswerBytes = 1 << 20;

using JsonHandler = std::function<Json::Value(const RpcCaller &Caller,
                                              const Json::Value &Asked)>;

void bindJson(RpcDispatcher &To, const std::string &Method,
              JsonHandler Answers) {
  To.bind(Method, [Answers = std::move(Answers)](const RpcCaller &Caller,
                                                 const std::string &Text) {
    const auto Asked = Codec::parse(Text);
    if (!Asked)
      return RpcOutcome{InvalidParameters, "parameters are no JSON object"};
    return RpcOutcome{0, Codec::write(Answers(Caller, *Asked))};
  });
}

Json::Value rootOf(FleetState &State) {
  Json::Value Made(Json::objectValue);
  State.withSettings([&](const SettingsReplica &Replica) {
    if (Replica.inForce() == 0)
      return;
    Made["version"] = Json::UInt64(Replica.inForce());
    Made["root"] = Replica.rootText();
  });
  return Made;
}

Json::Value chunksOf(FleetState &State, const Json::Value &Asked) {
  Json::Value Made(Json::objectValue);
  Made["chunks"] = Json::Value(Json::objectValue);
  if (!Asked["hashes"].isArray())
    return Made;
  State.withSettings([&](const SettingsReplica &Replica) {
    std::size_t Bytes = 0;
    for (const Json::Value &Hash : Asked["hashes"]) {
      const std::string *Text =
          Hash.isString() ? Replica.chunk(Hash.asString()) : nullptr;
      if (!Text || Bytes >= ChunkAnswerBytes)
        continue;
      Bytes += Text->size();
      Made["chunks"][Hash.asString()] = *Text;
    }
  });
  return Made;
}

using PeerAction = std::function<void(const std::string &)>;

Json::Value takeHint(FleetState &State, SettingsSpread &Spread,
                     const PeerAction &BeatSoon, const Json::Value &Asked) {
  Json::Value Nothing(Json::objectValue);
  if (!Asked["from"].isString())
    return Nothing;
  const std::string From = Asked["from"].asString();
  const auto IsPast = [&Asked](const char *Name, std::uint64_t Known) {
    return Asked[Name].isUInt64() && Asked[Name].asUInt64() > Known;
  };
  if (IsPast("settings", State.inForce()))
    Spread.fetchFrom(From);
  const bool SameZone =
      Asked["zone"].isString() && State.isOwnZone(Asked["zone"].asString());
  if (SameZone && IsPast("record", State.versions().Record_))
    BeatSoon(From);
  return Nothing;
}

} // namespace

void FleetHandlers::bind(RpcDispatcher &To, FleetState &State,
                         SettingsSpread &Spread, const PeerAction &BeatSoon) {
  const auto Hint = [&State, &Spread, BeatSoon](const RpcCaller &,
                                                const Json::Value &Asked) {
    return takeHint(State, Spread, BeatSoon, Asked);
  };
  bindJson(To, "fleet.hint", Hint);
  bindJson(To, "fleet.beat",
           [&State, Hint](const RpcCaller &Caller, const Json::Value &Asked) {
             Json::Value Made =
                 State.answerBeat(Asked, base::SystemClock::monotonicNow());
             Hint(Caller, Asked);
             return Made;
           });
  bindJson(To, "fleet.pledge",
           [&State](const RpcCaller &Caller, const Json::Value &Asked) {
             const Json::Value &Admitted = Asked["admitted"];
             Json::Value Made(Json::objectValue);
             Made["pledged"] =
                 Admitted.isUInt64() &&
                 State.pledge(base::HostId(Caller.Host_), Admitted.asUInt64(),
                              base::SystemClock::monotonicNow());
             return Made;
           });
  bindJson(To, "fleet.leave",
           [&State](const RpcCaller &Caller, const Json::Value &) {
             State.goodbye(base::HostId(Caller.Host_));
             return Json::Value(Json::objectValue);
           });
  bindJson(To, "fleet.views", [&State](const RpcCaller &, const Json::Value &) {
    return State.views(base::SystemClock::monotonicNow());
  });
  bindJson(To, "settings.root",
           [&State](const RpcCaller &, const Json::Value &) {
             return rootOf(State);
           });
  bindJson(To, "settings.chunks",
           [&State](const RpcCaller &, const Json::Value &Asked) {
             return chunksOf(State, Asked);
           });
}

} // namespace lychee::fleet
