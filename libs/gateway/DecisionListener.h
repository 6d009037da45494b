#ifndef LYCHEE_GATEWAY_DECISIONLISTENER_H
#define LYCHEE_GATEWAY_DECISIONLISTENER_H

#include "base/Time.h"
#include "steering/Steering.h"

#include <cstdint>
#include <string_view>

namespace lychee::gateway {

/// How a request ended.
struct RequestEnd {
  /// What the caller was told; 0 where it heard nothing.
  int Status_ = 0;
  std::string_view Outcome_;
  /// Sends to targets that this host made for it.
  std::uint32_t Sends_ = 0;
};

/// Hears of each decision on a request, for the log and for explain. Called
/// from several threads, in order for one request. Neither a key nor a header
/// of the caller is handed over, but for method and path of the request.
class DecisionListener {
public:
  DecisionListener() = default;
  DecisionListener(const DecisionListener &) = delete;
  DecisionListener &operator=(const DecisionListener &) = delete;
  virtual ~DecisionListener() = default;

  /// A decision was made; \p Request lives as long as the call.
  virtual void decided(const steering::Request &Request,
                       const steering::Decision &Made, base::TimePoint Now) = 0;

  /// The request is sent once more to where \p Sent sends it, on a new
  /// connection, since the first one stayed silent.
  virtual void hedged(const steering::Request &Request,
                      const steering::Decision &Sent, base::TimePoint Now) = 0;

  /// A send that was decided on ended.
  virtual void sendEnded(const steering::Request &Request,
                         const steering::Decision &Sent,
                         const steering::SendReport &Report,
                         base::TimePoint Now) = 0;

  /// The caller has its final answer, or hung up.
  virtual void requestEnded(const steering::Request &Request,
                            const RequestEnd &End, base::TimePoint Now) = 0;
};

} // namespace lychee::gateway

#endif
