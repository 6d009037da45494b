#include "support/CallerLoad.h"

#include <chrono>
#include <json/json.h>
#include <memory>
#include <string>

namespace lychee::tests {

namespace {

using Clock = std::chrono::steady_clock;

/// A person's client waits a moment between two requests; without it six
/// callers would take all of a small machine.
constexpr std::chrono::milliseconds Pause(2);

} // namespace

/// One caller: its cached look-up and its open connection.
class CallerLoad::Caller {
public:
  Caller(CallerLoad &Load, std::vector<std::string> Bootstrap,
         CallerRequest Request)
      : Load_(Load), Known_(std::move(Bootstrap)),
        Request_(std::move(Request)) {}

  void sendOne() {
    if (Clock::now() >= KnownUntil_)
      lookUp();
    if (!Connection_ || !Connection_->connected())
      connect();
    if (!Connection_)
      return;
    count(Connection_->send(Request_));
  }

private:
  void lookUp() {
    for (const std::string &Host : Known_) {
      const CallerAnswer Answer =
          get(Host, "/.well-known/lychee/hosts?service=rota");
      Json::Value Parsed;
      const std::unique_ptr<Json::CharReader> Reader(
          Json::CharReaderBuilder().newCharReader());
      const char *Begin = Answer.Body_.data();
      if (Answer.Status_ != 200 ||
          !Reader->parse(Begin, Begin + Answer.Body_.size(), &Parsed, nullptr))
        continue;
      std::vector<std::string> Hosts;
      for (const Json::Value &Each : Parsed["hosts"])
        Hosts.push_back(Each["address"].asString());
      if (Hosts.empty())
        continue;
      KnownUntil_ =
          Clock::now() + std::chrono::seconds(Parsed["ttlSeconds"].asInt());
      if (Hosts.front() != Known_.front())
        Connection_.reset();
      Known_ = Hosts;
      return;
    }
  }

  void connect() {
    Connection_.reset();
    for (const std::string &Host : Known_) {
      auto Made = std::make_unique<CallerConnection>(Host);
      if (!Made->connected())
        continue;
      Connection_ = std::move(Made);
      return;
    }
  }

  void count(const CallerAnswer &Answer) {
    if (Answer.Status_ == 200)
      ++Load_.Served_;
    else if (Answer.Status_ >= 400 && Answer.header("Lychee-Ran") == "no")
      ++Load_.Refused_;
    else
      ++Load_.Cut_;
  }

  CallerLoad &Load_;
  std::vector<std::string> Known_;
  const CallerRequest Request_;
  Clock::time_point KnownUntil_;
  std::unique_ptr<CallerConnection> Connection_;
};

CallerLoad::CallerLoad(const TestFleet &Fleet, std::size_t HostCount,
                       std::size_t CallerCount) {
  std::vector<std::string> Bootstrap;
  Bootstrap.reserve(HostCount);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    Bootstrap.push_back(Fleet.callers(Host));
  for (std::size_t Index = 0; Index < CallerCount; ++Index)
    Threads_.emplace_back([this, Bootstrap, Request = Fleet.request()] {
      Caller Sends(*this, Bootstrap, Request);
      while (!Stopped_) {
        Sends.sendOne();
        std::this_thread::sleep_for(Pause);
      }
    });
}

void CallerLoad::stop() {
  Stopped_ = true;
  for (std::thread &Each : Threads_)
    if (Each.joinable())
      Each.join();
}

} // namespace lychee::tests
