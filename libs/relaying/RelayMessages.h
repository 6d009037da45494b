#ifndef LYCHEE_RELAYING_RELAYMESSAGES_H
#define LYCHEE_RELAYING_RELAYMESSAGES_H

#include "base/Error.h"
#include "live/ObjectUpdate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::relaying {

/// What a host asks another: what changed since the revision that it knows, for
/// each kind of object.
struct RelayRequest {
  std::map<std::string, std::uint64_t> Known_;
  /// The store does not answer the host that asks.
  bool StoreUnavailable_ = false;
};

/// What the other answers.
struct RelayResponse {
  /// It asks the store itself, and its last calls brought what there is.
  bool IsSynced_ = false;
  /// How long ago a call about the intent came: how old its news may be.
  std::optional<base::Duration> ContactAge_;
  /// How long ago a call of it to the store failed; entries that are missing
  /// right after that may come back. \see live::TargetRegistry
  std::optional<base::Duration> TroubleAge_;
  std::vector<live::ObjectUpdate> Updates_;
};

std::string encodeQuestion(const RelayRequest &Asked);
std::string encodeAnswer(const RelayResponse &Told);

/// \returns nothing, and \p Last filled, where \p Text is no such message.
std::optional<RelayRequest> decodeQuestion(std::string_view Text,
                                           base::Error &Last);
std::optional<RelayResponse> decodeAnswer(std::string_view Text,
                                          base::Error &Last);

} // namespace lychee::relaying

#endif
