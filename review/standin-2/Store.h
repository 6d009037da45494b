#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "Net.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

/// The platform's store of PROTOCOL.md: lists in pages, watches, POST, PUT and
/// DELETE. It is sound at all times.
class Store {
public:
  /// \param AnswerSeconds  from a call to its answer, the way included.
  /// \param ConnectSeconds  what a new connection's first answer takes beyond.
  Store(std::string Ip, int Port, double AnswerSeconds = 0.004,
        double ConnectSeconds = 0)
      : Ip_(std::move(Ip)), Port_(Port), AnswerSeconds_(AnswerSeconds),
        ConnectSeconds_(ConnectSeconds) {}

  bool start() {
    Listener_ = listenAt(Ip_, Port_);
    if (Listener_ < 0)
      return false;
    std::thread([this] {
      while (true) {
        const int Accepted = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted >= 0)
          std::thread([this, Accepted] { serve(Accepted); }).detach();
      }
    }).detach();
    return true;
  }

  void put(const std::string &Kind, const std::string &Name,
           const std::string &Spec) {
    const std::lock_guard Guard(Lock_);
    putLocked(Kind, Name, Spec);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Guard(Lock_);
    removeLocked(Kind, Name);
  }

  /// "A watch that is waiting may be cut off."
  void cutWaiting() {
    const std::lock_guard Guard(Lock_);
    ++Cuts_;
    Changed_.notify_all();
  }

private:
  struct Object {
    std::uint64_t Revision_ = 0;
    std::string Spec_;
  };
  struct Change {
    std::uint64_t Revision_ = 0;
    std::string Kind_, Name_, Spec_;
    bool Deleted_ = false;
  };
  static constexpr std::size_t PageEntries = 50;

  void putLocked(const std::string &Kind, const std::string &Name,
                 const std::string &Spec) {
    Object &Stored = Kinds_[Kind][Name];
    if (Stored.Spec_ == Spec)
      return;
    Stored = {++Revision_, Spec};
    Changes_.push_back({Revision_, Kind, Name, Spec, false});
    Changed_.notify_all();
  }
  bool removeLocked(const std::string &Kind, const std::string &Name) {
    const auto Found = Kinds_[Kind].find(Name);
    if (Found == Kinds_[Kind].end())
      return false;
    Changes_.push_back({++Revision_, Kind, Name, Found->second.Spec_, true});
    Kinds_[Kind].erase(Found);
    Changed_.notify_all();
    return true;
  }

  static std::string objectText(const std::string &Name, std::uint64_t Revision,
                                const std::string &Spec) {
    return "{\"metadata\":{\"name\":\"" + Name +
           "\",\"revision\":" + std::to_string(Revision) +
           ",\"createdAt\":9,\"finalizers\":[],\"deletionRequested\":false},"
           "\"spec\":" +
           Spec + ",\"status\":null}";
  }
  static std::string parameter(const std::string &Query,
                               const std::string &Name) {
    std::size_t At = Query.find(Name + "=");
    if (At == std::string::npos)
      return "";
    At += Name.size() + 1;
    return Query.substr(At, Query.find('&', At) - At);
  }
  /// What stands between the braces of "spec"; these writers send no braces in
  /// texts.
  static std::string specOf(const std::string &Body) {
    const std::size_t Begin = Body.find("\"spec\":") + 7;
    int Depth = 0;
    for (std::size_t At = Begin; At < Body.size(); ++At) {
      Depth += Body[At] == '{' ? 1 : Body[At] == '}' ? -1 : 0;
      if (Depth == 0)
        return Body.substr(Begin, At - Begin + 1);
    }
    return "{}";
  }
  static std::string nameOf(const std::string &Body) {
    const std::size_t Begin = Body.find("\"name\":\"") + 8;
    return Body.substr(Begin, Body.find('"', Begin) - Begin);
  }

  void serve(int Handle) {
    MessageStream Stream(Handle);
    Message Asked;
    bool IsFirst = true;
    while (Stream.read(Asked, after(3600)) == MessageStream::End::Whole) {
      int Status = 200;
      pauseFor(AnswerSeconds_ / 2 + (IsFirst ? ConnectSeconds_ : 0));
      IsFirst = false;
      const std::string Body = answer(Asked, Status);
      if (Status == 0)
        break;
      pauseFor(AnswerSeconds_ / 2);
      if (!sendAll(Handle,
                   "HTTP/1.1 " + std::to_string(Status) +
                       " X\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body,
                   after(10)))
        break;
    }
    close(Handle);
  }

  std::string answer(const Message &Asked, int &Status) {
    const std::size_t Mark = Asked.Second_.find('?');
    const std::string Path =
        Asked.Second_.substr(9, Mark == std::string::npos ? Mark : Mark - 9);
    const std::string Query =
        Mark == std::string::npos ? "" : Asked.Second_.substr(Mark + 1);
    const std::size_t Slash = Path.find('/');
    const std::string Kind = Path.substr(0, Slash);
    const std::string Name =
        Slash == std::string::npos ? "" : Path.substr(Slash + 1);
    std::unique_lock Guard(Lock_);
    if (Asked.First_ == "GET" && !parameter(Query, "watch").empty())
      return watch(Kind, std::stoull(parameter(Query, "watch")),
                   after(std::stod("0" + parameter(Query, "waitMs")) / 1000),
                   Guard, Status);
    if (Asked.First_ == "GET" && Name.empty())
      return list(Kind, parameter(Query, "after"));
    const bool Exists =
        Kinds_[Kind].count(Name.empty() ? nameOf(Asked.Body_) : Name) > 0;
    if (Asked.First_ == "DELETE") {
      Status = removeLocked(Kind, Name) ? 200 : 404;
      return "{}";
    }
    const std::string Written = Name.empty() ? nameOf(Asked.Body_) : Name;
    if ((Asked.First_ == "POST") == Exists) {
      Status = Exists ? 409 : 404;
      return "{}";
    }
    putLocked(Kind, Written, specOf(Asked.Body_));
    Status = Exists ? 200 : 201;
    return objectText(Written, Revision_, Kinds_[Kind][Written].Spec_);
  }

  std::string list(const std::string &Kind, const std::string &After) {
    std::string Items;
    std::size_t Count = 0;
    bool More = false;
    const auto &Objects = Kinds_[Kind];
    for (auto Each = Objects.upper_bound(After); Each != Objects.end();
         ++Each) {
      if (Count++ == PageEntries) {
        More = true;
        break;
      }
      Items +=
          (Items.empty() ? "" : ",") +
          objectText(Each->first, Each->second.Revision_, Each->second.Spec_);
    }
    return "{\"items\":[" + Items +
           "],\"hasMore\":" + (More ? "true" : "false") +
           ",\"at\":" + std::to_string(Revision_) + "}";
  }

  std::string watch(const std::string &Kind, std::uint64_t Since, TimePoint End,
                    std::unique_lock<std::mutex> &Guard, int &Status) {
    const std::uint64_t Cuts = Cuts_;
    while (true) {
      std::string Events;
      for (const Change &Each : Changes_)
        if (Each.Revision_ > Since && Each.Kind_ == Kind)
          Events += std::string(Events.empty() ? "" : ",") +
                    "{\"deleted\":" + (Each.Deleted_ ? "true" : "false") +
                    ",\"object\":" +
                    objectText(Each.Name_, Each.Revision_, Each.Spec_) + "}";
      if (!Events.empty() || Clock::now() >= End)
        return "{\"events\":[" + Events +
               "],\"at\":" + std::to_string(Revision_) + "}";
      Changed_.wait_until(Guard, End);
      if (Cuts != Cuts_) {
        Status = 0;
        return "";
      }
    }
  }

  const std::string Ip_;
  const int Port_;
  const double AnswerSeconds_, ConnectSeconds_;
  int Listener_ = -1;
  std::mutex Lock_;
  std::condition_variable Changed_;
  std::map<std::string, std::map<std::string, Object>> Kinds_;
  std::vector<Change> Changes_;
  std::uint64_t Revision_ = 100;
  std::uint64_t Cuts_ = 0;
};

} // namespace review

#endif
