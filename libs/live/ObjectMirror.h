#ifndef LYCHEE_LIVE_OBJECTMIRROR_H
#define LYCHEE_LIVE_OBJECTMIRROR_H

#include "base/Time.h"
#include "live/ObjectSource.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lychee::live {

/// Which objects of one kind there are, as far as this host heard, and what
/// changed lately, so that it can be passed on to other hosts.
///
/// Knowledge comes from lists, from watches and from other hosts, which heard
/// the same changes in other portions. All of it is turned into changes in the
/// order in which they happened, each told once.
///
/// Not thread-safe. \see ObjectFollower
class ObjectMirror {
public:
  /// Hosts ask for changes several times a second, so each has asked within
  /// this; one that has not lists the kind.
  static constexpr base::Duration Remembered = std::chrono::seconds(10);

  /// Takes all objects of the kind. \returns what changed, ends included.
  std::vector<StoredObject> replaceAll(const ObjectBatch &All,
                                       base::TimePoint Now);

  /// Takes changes. \returns those that were not known yet, in order.
  std::vector<StoredObject> apply(const ObjectBatch &Changes,
                                  base::TimePoint Now);

  /// \returns the store's revision up to which everything is known; 0 before
  /// the first list.
  std::uint64_t at() const noexcept { return At_; }
  bool isEmpty() const noexcept { return At_ == 0; }

  /// \returns the revision of the last change that was heard.
  std::uint64_t newest() const noexcept { return Newest_; }

  /// \returns whether a change of this revision, which another host heard, is
  /// known here: heard, or seen in a list.
  bool covers(std::uint64_t Revision) const noexcept {
    return Revision <= std::max(Newest_, ListedAt_);
  }

  /// \returns what changed after \p Since, or nothing where that is forgotten.
  std::optional<ObjectBatch> since(std::uint64_t Since) const;
  /// \returns how long the contents of since() are as text; 0 where it returns
  /// nothing.
  std::size_t bytesSince(std::uint64_t Since) const noexcept;

private:
  struct Portion {
    /// Everything up to this revision is in this portion or an earlier one.
    std::uint64_t At_ = 0;
    base::TimePoint Heard_;
    std::vector<StoredObject> Objects_;
  };

  /// When an object ended; what was said of it before may come later.
  struct End {
    std::uint64_t At_ = 0;
    base::TimePoint Heard_;
  };

  bool isKnown(const StoredObject &Said) const;
  /// \returns whether not all that changed after \p Since is remembered.
  bool isForgotten(std::uint64_t Since) const noexcept {
    return At_ == 0 || Since < From_;
  }
  void forget(const std::string &Name, std::uint64_t Revision,
              base::TimePoint Now);
  void remember(std::vector<StoredObject> News, std::uint64_t At,
                base::TimePoint Now);

  std::uint64_t At_ = 0;
  std::uint64_t Newest_ = 0;
  std::uint64_t ListedAt_ = 0;
  /// Changes after this revision are remembered.
  std::uint64_t From_ = 0;
  std::map<std::string, std::uint64_t> Revisions_;
  std::map<std::string, End> Ended_;
  std::deque<Portion> Portions_;
};

} // namespace lychee::live

#endif
