#ifndef LYCHEE_GATEWAY_DECISIONLISTENER_H
#define LYCHEE_GATEWAY_DECISIONLISTENER_H

#include "base/Time.h"
#include "steering/Steering.h"

#include <string_view>

namespace lychee::gateway {

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

  /// A send that was decided on ended.
  virtual void sendEnded(const steering::Request &Request,
                         const steering::Decision &Sent,
                         const steering::SendReport &Report,
                         base::TimePoint Now) = 0;

  /// The caller has its final answer, or hung up.
  /// \param Status  what the caller was told; 0 where it heard nothing.
  virtual void requestEnded(const steering::Request &Request, int Status,
                            std::string_view Outcome, base::TimePoint Now) = 0;
};

} // namespace lychee::gateway

#endif
