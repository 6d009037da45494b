#ifndef LYCHEE_LIVE_OBJECTSOURCE_H
#define LYCHEE_LIVE_OBJECTSOURCE_H

#include "base/Error.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::live {

/// A named object of one kind, as the store holds it.
struct StoredObject {
  std::string Name_;
  std::uint64_t Revision_ = 0;
  Json::Value Content_;
  /// The object is gone.
  bool Deleted_ = false;
  /// Length of Content_ as text.
  std::size_t Bytes_ = 0;
};

/// \returns how long a value is in the text that it was parsed from; 0 for one
/// that was made otherwise.
inline std::size_t parsedBytes(const Json::Value &Parsed) noexcept {
  return static_cast<std::size_t>(Parsed.getOffsetLimit() -
                                  Parsed.getOffsetStart());
}

/// Objects of a kind, or what changed of them, as of a revision of the store.
struct ObjectBatch {
  std::vector<StoredObject> Objects_;
  std::uint64_t Revision_ = 0;
};

/// Why a call brought nothing, as far as its caller acts on it.
enum class SourceFault {
  /// No answer, or one that tells of trouble.
  Trouble,
  /// The store no longer knows what changed since the revision asked for.
  HistoryGone,
};

/// How long a watch may take.
struct WatchSpan {
  /// The store answers after this, also where nothing changed.
  base::Duration Wait_{};
  /// An answer that is later than Wait_ by more than this does not come. Zero:
  /// as long as any other call may take.
  base::Duration Grace_{};
};

/// A store's objects by kind: listed whole, then watched for changes. The one
/// implementation that speaks the store's protocol stands outside this library.
/// \see ObjectFollower
class ObjectSource {
public:
  ObjectSource() = default;
  ObjectSource(const ObjectSource &) = delete;
  ObjectSource &operator=(const ObjectSource &) = delete;
  virtual ~ObjectSource() = default;

  /// \returns all objects of the kind, or nothing and \p Last filled.
  virtual boost::asio::awaitable<std::optional<ObjectBatch>>
  list(std::string_view Kind, base::Error &Last) = 0;

  /// Waits for a change after \p Since.
  /// \returns the changes, none where the time passed without one; or nothing,
  /// \p Fault and \p Last filled.
  virtual boost::asio::awaitable<std::optional<ObjectBatch>>
  watch(std::string_view Kind, std::uint64_t Since, WatchSpan Span,
        SourceFault &Fault, base::Error &Last) = 0;

  /// Ends all calls begun before \p Moment; each tells trouble.
  virtual void cancelStartedBefore(base::TimePoint Moment) = 0;

  /// Writes the object whatever stood there, or makes it.
  /// \returns whether the store acknowledged it.
  virtual boost::asio::awaitable<bool> write(std::string_view Kind,
                                             std::string_view Name,
                                             Json::Value Content,
                                             base::Error &Last) = 0;

  /// Removes the object. \returns whether the store acknowledged it.
  virtual boost::asio::awaitable<bool>
  remove(std::string_view Kind, std::string_view Name, base::Error &Last) = 0;
};

} // namespace lychee::live

#endif
