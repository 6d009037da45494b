#ifndef LYCHEE_STANDINS_PLATFORM_STANDINOBJECTS_H
#define LYCHEE_STANDINS_PLATFORM_STANDINOBJECTS_H

#include "base/Time.h"
#include "transport/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lychee::standins {

/// What goes wrong with the stand-in.
struct ObjectFaults {
  /// Each call's connection is closed without an answer, and does nothing.
  bool Down_ = false;
  /// Each call is answered 503, and does nothing.
  bool Busy_ = false;
  /// Watches hear nothing of what changes.
  bool Deaf_ = false;
  /// Lists of this kind are answered 400.
  std::optional<std::string> RejectedKind_ = std::nullopt;
};

/// The users' platform's store of objects by kind, in memory: lists, watches,
/// creates, replaces and deletes, with its faults. On a thread of its own.
class StandinObjects {
public:
  StandinObjects(const std::string &Address, std::uint16_t Port);
  StandinObjects(const StandinObjects &) = delete;
  StandinObjects &operator=(const StandinObjects &) = delete;
  ~StandinObjects();

  bool start(base::Error &Last);

  /// Writes as an operator or an endpoint does.
  void put(const std::string &Kind, const std::string &Name,
           const Json::Value &Content);
  void remove(const std::string &Kind, const std::string &Name);
  void setFaults(const ObjectFaults &Faults);
  /// \param Entries  of a page of a list; a list that has more goes on behind
  /// the name that the next call states.
  void setPageEntries(std::size_t Entries);
  /// Closes the connections of all watches that wait, without an answer.
  void cutWatches();
  /// Forgets what changed before: older watches are told so.
  void forgetHistory();

  /// Puts the state of \p Age ago back, as if from a copy: revisions are given
  /// out again, and the era rises by one.
  void restore(base::Duration Age);
  /// Operators and endpoints write again what a restore took back; what hosts
  /// wrote is gone.
  void writeAgain();
  /// \param Era  stated in all answers; nothing: none is stated.
  void setEra(std::optional<std::uint64_t> Era);

  std::size_t count(const std::string &Kind) const;
  /// \returns how many calls were answered or refused so far.
  std::size_t calls() const;

private:
  struct Object {
    Json::Value Content_;
    std::uint64_t Revision_ = 0;
  };
  struct Change {
    std::uint64_t Revision_ = 0;
    std::string Kind_;
    std::string Name_;
    bool Deleted_ = false;
    Json::Value Content_;
  };

  /// What an object was before a change.
  struct Undo {
    base::TimePoint At_;
    std::string Kind_;
    std::string Name_;
    std::optional<Object> Before_;
  };

  boost::asio::awaitable<transport::HttpAnswer>
  answer(transport::HttpRequest Asked);
  boost::asio::awaitable<transport::HttpAnswer>
  answerCall(transport::HttpRequest Asked);
  boost::asio::awaitable<transport::HttpAnswer>
  watch(std::string Kind, std::uint64_t Since, std::int64_t WaitMilliseconds);
  transport::HttpAnswer list(const std::string &Kind,
                             const std::string &After) const;
  transport::HttpAnswer write(const transport::HttpRequest &Asked,
                              const std::string &Kind, std::string Name);
  transport::HttpAnswer changesSince(const std::string &Kind,
                                     std::uint64_t Since, bool &Any) const;
  // All four are called with the lock held.
  void replace(const std::string &Kind, const std::string &Name,
               const Json::Value &Content);
  void erase(const std::string &Kind, const std::string &Name);
  void change(const std::string &Kind, const std::string &Name, bool Deleted,
              const Json::Value &Content);
  std::optional<Object> find(const std::string &Kind,
                             const std::string &Name) const;

  boost::asio::io_context Context_{1};
  mutable std::mutex Lock_;
  std::map<std::string, std::map<std::string, Object>> Kinds_;
  std::vector<Change> Changes_;
  std::vector<Undo> Undos_;
  /// What operators and endpoints wrote last, by kind and name; nothing where
  /// they deleted the object.
  std::map<std::pair<std::string, std::string>, std::optional<Json::Value>>
      Owned_;
  std::optional<std::uint64_t> Era_ = 1;
  std::size_t Calls_ = 0;
  std::size_t WatchCuts_ = 0;
  std::uint64_t Revision_ = 1;
  std::uint64_t Forgotten_ = 0;
  std::size_t PageEntries_ = 500;
  ObjectFaults Faults_;
  transport::HttpServer Server_;
  std::thread Thread_;
};

} // namespace lychee::standins

#endif
