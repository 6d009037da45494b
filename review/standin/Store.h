// Stand-in of the platform's metadata store, by PROTOCOL.md ("The platform's
// metadata store"): lists, watches, POST, PUT, DELETE; loses nothing.
#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

#include "Net.h"

#include <algorithm>
#include <condition_variable>
#include <json/json.h>
#include <map>
#include <memory>

namespace review {

class Store {
public:
  explicit Store(const Address &At)
      : Server_(At, [this](Connection &Peer) { serve(Peer); }) {}
  ~Store() {
    const std::lock_guard Guard(Lock_);
    Stopping_ = true;
    Changed_.notify_all();
  }

  /// Writes as an operator, an endpoint or another writer does. \param Spec  a
  /// JSON value as it goes on the wire.
  /// \returns when it was acknowledged, in milliseconds of nowMs().
  double put(const std::string &Kind, const std::string &Name,
             const std::string &Spec) {
    const std::lock_guard Guard(Lock_);
    replace(Kind, Name, Spec);
    return nowMs();
  }
  double remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Guard(Lock_);
    erase(Kind, Name);
    return nowMs();
  }

private:
  struct Object {
    std::string Spec_;
    std::uint64_t Revision_ = 0;
  };
  struct Event {
    std::uint64_t Revision_ = 0;
    std::string Kind_;
    std::string Name_;
    bool Deleted_ = false;
    std::string Spec_;
  };

  void replace(const std::string &Kind, const std::string &Name,
               const std::string &Spec) {
    Object &Held = Kinds_[Kind][Name];
    if (Held.Spec_ == Spec)
      return;
    Held = {Spec, ++Revision_};
    Events_.push_back({Revision_, Kind, Name, false, Spec});
    Changed_.notify_all();
  }
  void erase(const std::string &Kind, const std::string &Name) {
    const auto Found = Kinds_[Kind].find(Name);
    if (Found == Kinds_[Kind].end())
      return;
    Events_.push_back(
        {++Revision_, Kind, Name, true, std::move(Found->second.Spec_)});
    Kinds_[Kind].erase(Found);
    Changed_.notify_all();
  }
  static std::string quoted(const std::string &Text) {
    return Json::valueToQuotedString(Text.c_str());
  }
  static std::string objectText(const std::string &Name, const Object &Held) {
    return "{\"metadata\":{\"name\":" + quoted(Name) +
           ",\"revision\":" + std::to_string(Held.Revision_) +
           ",\"createdAt\":1,\"finalizers\":[],\"deletionRequested\":false},"
           "\"spec\":" +
           Held.Spec_ + ",\"status\":null}";
  }
  static std::string queryValue(const std::string &Query,
                                const std::string &Name) {
    std::size_t Begin = 0;
    while (Begin < Query.size()) {
      const std::size_t End = std::min(Query.find('&', Begin), Query.size());
      const std::string Pair = Query.substr(Begin, End - Begin);
      if (Pair.starts_with(Name + "="))
        return Pair.substr(Name.size() + 1);
      Begin = End + 1;
    }
    return {};
  }

  void serve(Connection &Peer) {
    Head Asked;
    std::string Body;
    while (Peer.readHead(Asked) && Peer.readBody(Asked, Body)) {
      std::string Answer;
      const int Status = answer(Asked, Body, Answer);
      const char *Phrase = Status == 200 ? "OK" : "Refused";
      if (!Peer.write("HTTP/1.1 " + std::to_string(Status) + " " + Phrase +
                      "\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(Answer.size()) + "\r\n\r\n" + Answer))
        return;
    }
  }

  int answer(const Head &Asked, const std::string &Body, std::string &Answer) {
    const std::string Method = Asked.word(0);
    std::string Path = Asked.word(1);
    std::string Query;
    if (const std::size_t Mark = Path.find('?'); Mark != std::string::npos) {
      Query = Path.substr(Mark + 1);
      Path.resize(Mark);
    }
    const std::string Root = "/objects/";
    if (!Path.starts_with(Root))
      return 404;
    Path.erase(0, Root.size());
    const std::size_t Slash = Path.find('/');
    const std::string Kind = Path.substr(0, Slash);
    std::string Name = Slash == std::string::npos ? "" : Path.substr(Slash + 1);
    std::unique_lock Guard(Lock_);
    if (Method == "GET" && !queryValue(Query, "watch").empty())
      return watch(Kind, std::stoull(queryValue(Query, "watch")),
                   std::atoi(queryValue(Query, "waitMs").c_str()), Guard,
                   Answer);
    if (Method == "GET" && Name.empty())
      return list(Kind, queryValue(Query, "after"), Answer);
    if (Method == "GET") {
      const auto Found = Kinds_[Kind].find(Name);
      if (Found == Kinds_[Kind].end())
        return 404;
      Answer = objectText(Name, Found->second);
      return 200;
    }
    return write(Method, Kind, Name, Body, Answer);
  }
  int write(const std::string &Method, const std::string &Kind,
            std::string Name, const std::string &Body, std::string &Answer) {
    Json::Value Asked;
    if (Method != "DELETE") {
      const std::unique_ptr<Json::CharReader> Reader(
          Json::CharReaderBuilder().newCharReader());
      if (!Reader->parse(Body.data(), Body.data() + Body.size(), &Asked,
                         nullptr))
        return 400;
    }
    if (Name.empty())
      Name = Asked["metadata"]["name"].asString();
    const auto Found = Kinds_[Kind].find(Name);
    const bool Exists = Found != Kinds_[Kind].end();
    if (Method == "POST" && Exists) {
      Answer = objectText(Name, Found->second);
      return 409;
    }
    if (Method != "POST" && !Exists)
      return 404;
    if (Method == "DELETE") {
      erase(Kind, Name);
      return 200;
    }
    Json::StreamWriterBuilder Compact;
    Compact["indentation"] = "";
    replace(Kind, Name, Json::writeString(Compact, Asked["spec"]));
    Answer = objectText(Name, Kinds_[Kind][Name]);
    return 200;
  }
  int list(const std::string &Kind, const std::string &After,
           std::string &Answer) {
    Answer = "{\"items\":[";
    bool First = true;
    for (const auto &[Name, Held] : Kinds_[Kind]) {
      if (Name <= After && !After.empty())
        continue;
      Answer += (First ? "" : ",") + objectText(Name, Held);
      First = false;
    }
    Answer += "],\"hasMore\":false,\"at\":" + std::to_string(Revision_) + "}";
    return 200;
  }
  int watch(const std::string &Kind, std::uint64_t Since, int WaitMs,
            std::unique_lock<std::mutex> &Guard, std::string &Answer) {
    const auto End =
        Clock::now() + std::chrono::milliseconds(std::clamp(WaitMs, 0, 30000));
    while (true) {
      std::string Found;
      for (const Event &Each : Events_)
        if (Each.Revision_ > Since && Each.Kind_ == Kind)
          Found += std::string(Found.empty() ? "" : ",") + "{\"object\":" +
                   objectText(Each.Name_, {Each.Spec_, Each.Revision_}) +
                   ",\"deleted\":" + (Each.Deleted_ ? "true" : "false") + "}";
      if (!Found.empty() || Stopping_ || Clock::now() >= End) {
        Answer = "{\"events\":[" + Found +
                 "],\"at\":" + std::to_string(Revision_) + "}";
        return 200;
      }
      Changed_.wait_until(Guard, End);
    }
  }

  std::mutex Lock_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::uint64_t Revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> Kinds_;
  std::vector<Event> Events_;
  Server Server_;
};

} // namespace review

#endif
