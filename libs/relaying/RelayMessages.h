#ifndef LYCHEE_RELAYING_RELAYMESSAGES_H
#define LYCHEE_RELAYING_RELAYMESSAGES_H

#include "base/Error.h"
#include "live/ObjectUpdate.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::relaying {

/// Request for the changes since the revisions that the sender knows, by kind
/// of object.
struct RelayRequest {
  std::map<std::string, live::StoreRevision> Known_;
  /// The store does not respond to the sender.
  bool StoreUnavailable_ = false;
};

/// Response to a RelayRequest.
struct RelayResponse {
  /// The responding host reads the store itself, and its last calls succeeded.
  bool IsSynced_ = false;
  /// Time since a call about the intent succeeded, which bounds the age of the
  /// updates.
  std::optional<base::Duration> ContactAge_;
  /// Time since a call of the responding host to the store failed. Entries that
  /// are missing shortly after a failure may come back. \see
  /// live::TargetRegistry
  std::optional<base::Duration> TroubleAge_;
  std::vector<live::ObjectUpdate> Updates_;
};

std::string encodeRequest(const RelayRequest &Request);
std::string encodeResponse(RelayResponse Response);

/// Both return nothing and fill \p Last if \p Text is not such a message.
std::optional<RelayRequest> decodeRequest(std::string_view Text,
                                          base::Error &Last);
std::optional<RelayResponse> decodeResponse(std::string_view Text,
                                            base::Error &Last);

} // namespace lychee::relaying

#endif
