#include "gateway/TargetPoll.h"

#include "base/JsonText.h"
#include "base/SystemClock.h"
#include "gateway/TargetAddress.h"
#include "gateway/Worker.h"

#include <boost/asio/write.hpp>
#include <json/json.h>

namespace lychee::gateway {

namespace {

/// A health or load answer is a line of JSON.
constexpr MessageLimits PollLimits{8UL * 1024, 64UL * 1024};

void readLoad(const std::string &Body, TargetObservation &Seen) {
  std::string Why;
  const auto Parsed = base::parseJsonObject(Body, Why);
  if (!Parsed)
    return;
  const Json::Value &Load = *Parsed;
  for (const char *Name : {"running", "waiting", "slots"})
    if (!Load[Name].isUInt())
      return;
  Seen.HasLoad_ = true;
  Seen.Running_ = Load["running"].asUInt();
  Seen.Waiting_ = Load["waiting"].asUInt();
  Seen.Slots_ = Load["slots"].asUInt();
}

} // namespace

TargetPoll::TargetPoll(Worker &Home, const TargetEntry &Entry)
    : Home_(Home), Entry_(Entry),
      Pool_(Home.shared().Pools_.at(Entry.Address_)), Watch_([this] {
        if (Connection_)
          Connection_->close();
      }) {
  Home_.watchdog().watchFinely(Watch_);
}

void TargetPoll::bound() {
  Watch_.rearm();
  Watch_.expireAt(base::SystemClock::monotonicNow() +
                  Home_.shared().Settings_.PollTimeout_);
}

Task<TargetObservation> TargetPoll::poll() {
  TargetObservation Seen;
  Seen.Target_ = Entry_.Target_;
  Seen.Service_ = Entry_.Service_;
  Failure_ = "no whole answer in time";
  const bool Kept = Connection_ != nullptr;
  const base::TimePoint Begin = base::SystemClock::monotonicNow();
  bool Came = co_await ask(Seen);
  if (!Came && Kept) {
    // The kept connection failed: what lost track of it has most likely lost
    // the idle ones of the same age, too.
    Pool_->closeOlderThan(Begin);
    Came = co_await ask(Seen);
  }
  Watch_.neverExpire();
  if (!Came)
    Connection_.reset();
  Seen.Took_ = base::SystemClock::monotonicNow() - Begin;
  if (!Seen.Healthy_)
    Seen.Reason_ = Failure_;
  co_return Seen;
}

Task<bool> TargetPoll::ask(TargetObservation &Seen) {
  bound();
  bool Came = true;
  if (!Connection_)
    Came = co_await connect();
  unsigned Status = 0;
  std::string Body;
  if (Came)
    Came = co_await get("/health", Status, Body);
  if (!Came) {
    Connection_.reset();
    co_return false;
  }
  Seen.Healthy_ = Status == 200;
  if (!Seen.Healthy_)
    Failure_ = "health answered " + std::to_string(Status);
  Came = co_await get("/load", Status, Body);
  if (Came && Status == 200)
    readLoad(Body, Seen);
  if (!Came)
    Connection_.reset();
  co_return true;
}

Task<bool> TargetPoll::connect() {
  const auto Where = parseTargetAddress(Entry_.Address_);
  Connection_ = Pool_->make(Home_.executor(), Home_.index());
  if (!Where || !Connection_) {
    Failure_ = "no connection can be made";
    co_return false;
  }
  const ErrorCode Error =
      co_await Connection_->open(*Where, Home_.shared().Settings_.Source_);
  if (Error || Watch_.fired())
    Failure_ = Watch_.fired() ? "connect timed out" : Error.message();
  co_return !Error && !Watch_.fired();
}

Task<bool> TargetPoll::get(std::string_view Path, unsigned &Status,
                           std::string &Body) {
  std::string Text = "GET ";
  Text += Path;
  Text += " HTTP/1.1\r\nHost: " + Entry_.Address_ + "\r\n\r\n";
  const auto [Error, Count] = co_await boost::asio::async_write(
      Connection_->socket(), boost::asio::buffer(Text), Await);
  if (Error || Watch_.fired())
    co_return false;
  AnswerReader Reader(Connection_->socket(), Connection_->buffer(), Watch_,
                      PollLimits);
  ReadEnd End = co_await Reader.readHead();
  if (End != ReadEnd::Ok || Reader.endsWithConnection())
    co_return false;
  Status = Reader.message().result_int();
  Body.clear();
  std::array<char, 1024> Piece{};
  while (!Reader.isWhole()) {
    std::size_t Got = 0;
    End = co_await Reader.readBody(Piece, Got);
    if (End != ReadEnd::Ok)
      co_return false;
    Body.append(Piece.data(), Got);
  }
  co_return Reader.message().keep_alive();
}

} // namespace lychee::gateway
