// Stand-in of an endpoint, by PROTOCOL.md ("Endpoints", "Service discovery").
#ifndef REVIEW_STANDIN_ENDPOINT_H
#define REVIEW_STANDIN_ENDPOINT_H

#include "Net.h"
#include "Store.h"

#include <optional>

namespace review {

/// Hash of bytes, for comparing bodies (FNV-1a).
inline std::uint64_t hashOf(std::string_view Text) {
  std::uint64_t Hash = 1469598103934665603ULL;
  for (const char Each : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Each)) * 1099511628211ULL;
  return Hash;
}

struct EndpointPlan {
  std::string Id_;
  Address At_;
  std::string Service_ = "vault";
  std::string Zone_ = "fuk-a";
  int Slots_ = 3;
  int WorkMs_ = 30;
  /// Receive buffer of each connection; 0: as usual.
  int ReceiveBytes_ = 0;
};

class Endpoint {
public:
  /// Takes over a request whose head was read and whose expected instance is
  /// this one. \returns nothing where the usual way goes on; else whether the
  /// connection goes on.
  using Special =
      std::function<std::optional<bool>(Connection &, const Head &)>;
  /// Hears of each request that runs, with its whole body.
  using OnRun = std::function<void(const Head &, const std::string &Body)>;

  Endpoint(EndpointPlan Plan, Store &Platform, OnRun Runs, Special Takes = {})
      : Plan_(std::move(Plan)), Platform_(Platform), Born_(unixMs()),
        Runs_(std::move(Runs)), Takes_(std::move(Takes)),
        Server_(std::make_unique<Server>(
            Plan_.At_, [this](Connection &Peer) { serve(Peer); },
            Plan_.ReceiveBytes_)) {
    say("ready");
  }

  /// Writes its entry. \returns when the store acknowledged it.
  double say(const std::string &State) {
    ++Sequence_;
    Leaving_ = State == "draining";
    return Platform_.put(
        "servers", Plan_.Id_,
        "{\"service\":\"" + Plan_.Service_ + "\",\"address\":\"" +
            Plan_.At_.text() + "\",\"zone\":\"" + Plan_.Zone_ +
            "\",\"version\":\"v1\",\"slots\":" + std::to_string(Plan_.Slots_) +
            ",\"state\":\"" + State + "\",\"coldRemainingMs\":0,\"sequence\":" +
            std::to_string(Sequence_) + ",\"born\":" + std::to_string(Born_) +
            "}");
  }
  /// Ends: closes all connections and takes none.
  void end() { Server_.reset(); }
  const EndpointPlan &plan() const { return Plan_; }

  std::string answerText(const Head &Asked, int Status,
                         const std::string &Extra,
                         const std::string &Body) const {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Status\r\nX-Lycheespoke-Request-Id: " +
           Asked.get("X-Lycheespoke-Request-Id") + "\r\n" + Extra +
           "X-Lycheespoke-Server-Load: " + std::to_string(Running_.load()) +
           ",0," + std::to_string(Plan_.Slots_) +
           (Leaving_ ? "\r\nConnection: close" : "\r\nKeep-Alive: timeout=10") +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }
  std::string sealLine(const Head &Asked) const {
    return "X-Lycheespoke-Response-Seal: " + Plan_.Id_ + "." +
           Asked.get("X-Lycheespoke-Request-Id") + "\r\n";
  }

private:
  void serve(Connection &Peer) {
    Head Asked;
    while (Peer.readHead(Asked)) {
      if (!serveOne(Peer, Asked))
        return;
    }
  }
  bool serveOne(Connection &Peer, const Head &Asked) {
    const std::string Expected = Asked.get("X-Lycheespoke-Expect-Instance");
    if (!Expected.empty() && Expected != Plan_.Id_) {
      std::string Unwanted;
      return Peer.readBody(Asked, Unwanted) &&
             Peer.write(answerText(
                 Asked, 421, "X-Lycheespoke-Instance-Id: " + Plan_.Id_ + "\r\n",
                 ""));
    }
    if (Asked.word(1) == "/healthz")
      return Peer.write(
          answerText(Asked, Leaving_ ? 503 : 200,
                     "X-Lycheespoke-Instance-Id: " + Plan_.Id_ + "\r\n", ""));
    if (Takes_)
      if (const std::optional<bool> GoesOn = Takes_(Peer, Asked))
        return *GoesOn;
    std::string Body;
    if (!Peer.readBody(Asked, Body))
      return false;
    ++Running_;
    if (Runs_)
      Runs_(Asked, Body);
    sleepMs(Plan_.WorkMs_);
    --Running_;
    return Peer.write(answerText(Asked, 200, sealLine(Asked),
                                 "done by " + Plan_.Id_ + "\n")) &&
           !Leaving_;
  }

  const EndpointPlan Plan_;
  Store &Platform_;
  const std::int64_t Born_;
  const OnRun Runs_;
  const Special Takes_;
  std::atomic<bool> Leaving_ = false;
  int Sequence_ = 0;
  std::atomic<int> Running_ = 0;
  std::unique_ptr<Server> Server_;
};

/// The configuration of a small deployment: one service, one tenant.
struct ConfigPlan {
  int Version_ = 1;
  std::string Service_ = "vault";
  int TimeoutMs_ = 10000;
  int MaxAttempts_ = 2;
  /// Whether the only tenant is there.
  bool HasTenant_ = true;
};

/// Routes: /safe/ idempotent, /once/ non_idempotent, /load/ upload.
inline std::string configText(const ConfigPlan &Plan) {
  std::string Rows;
  const char *Kinds[][2] = {
      {"safe", "idempotent"}, {"once", "non_idempotent"}, {"load", "upload"}};
  for (const auto &[Path, Kind] : Kinds)
    Rows += std::string(Rows.empty() ? "" : ",") + "[\"r-" + Path +
            "\",\"ficu95.example\",\"/" + Path + "/\",\"" + Kind + "\"," +
            std::to_string(Plan.TimeoutMs_) + ",2000,1," +
            std::to_string(Plan.MaxAttempts_) + ",false,false,[],\"" +
            Plan.Service_ + "\"]";
  return "{\"version\":\"r" + std::to_string(Plan.Version_) +
         "\",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\","
         "\"kind\",\"timeoutMs\",\"targetLatencyMs\",\"priority\","
         "\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\",\"service\"],"
         "\"rows\":[" +
         Rows +
         "]},\"services\":{\"columns\":[\"name\",\"healthPath\","
         "\"maxConnections\",\"protocol\",\"tls\",\"coldStartS\","
         "\"coldPerS\"],\"rows\":[[\"" +
         Plan.Service_ +
         "\",\"/healthz\",390,\"h1\",false,3.0,5.0]]},\"limits\":{"
         "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":{"
         "\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\","
         "\"burst\",\"homeRegions\"],\"rows\":[" +
         (Plan.HasTenant_ ? "[\"huka270\",[\"xd9dnn2ctnfzs989anu6\"],1,0,0,[]]"
                          : "") +
         "]}}";
}

} // namespace review

#endif
