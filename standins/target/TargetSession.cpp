#include "standins/target/TargetSession.h"

#include "base/Hash.h"
#include "base/SystemClock.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <json/json.h>

namespace lychee::standins::target {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BodyPieceBytes = 64UL * 1024;
constexpr std::size_t KeptBodyBytes = 4096;

std::string textOf(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

TargetSession::TargetSession(TargetServer &Server,
                             asio::ip::tcp::socket Accepted)
    : Server_(Server), Socket_(std::move(Accepted)) {
  Server_.Sessions_.push_back(this);
  ++Server_.Open_;
}

TargetSession::~TargetSession() {
  Server_.Sessions_.remove(this);
  --Server_.Open_;
}

void TargetSession::close() {
  boost::system::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket_.close(Ignored);
}

asio::awaitable<void> TargetSession::run() {
  while (true) {
    Parser Reader;
    Reader.body_limit(boost::none);
    const auto [Error, Count] =
        co_await http::async_read_header(Socket_, Buffer_, Reader, Await);
    if (Error)
      co_return;
    bool GoesOn = co_await readBody(Reader);
    if (GoesOn)
      GoesOn = co_await serve(Reader);
    if (!GoesOn || !Reader.get().keep_alive())
      co_return;
  }
}

asio::awaitable<bool> TargetSession::readBody(Parser &Reader) {
  BodyBytes_ = 0;
  BodyHash_ = 0;
  BodyStart_.clear();
  std::string Piece;
  while (!Reader.is_done()) {
    Piece.resize(BodyPieceBytes);
    Reader.get().body().data = Piece.data();
    Reader.get().body().size = Piece.size();
    const auto [Error, Count] =
        co_await http::async_read(Socket_, Buffer_, Reader, Await);
    if (Error && Error != http::error::need_buffer)
      co_return false;
    Piece.resize(Piece.size() - Reader.get().body().size);
    BodyBytes_ += Piece.size();
    BodyHash_ = base::stableHash(Piece, BodyHash_);
    if (BodyStart_.size() < KeptBodyBytes)
      BodyStart_ += Piece;
  }
  co_return true;
}

asio::awaitable<bool> TargetSession::serve(Parser &Reader) {
  const std::string Target = textOf(Reader.get().target());
  IsHead_ = Reader.get().method() == http::verb::head;
  const std::size_t Mark = Target.find('?');
  const std::string Path = Target.substr(0, Mark);
  const std::string Query =
      Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  const Faults Set = Server_.faults();
  if (Path == "/standin/faults") {
    const auto Asked = parseFaults(Query);
    if (Asked)
      Server_.setFaults(*Asked);
    co_return co_await answer(Asked ? 200 : 400, "{}\n", false);
  }
  if (Path == "/standin/counts")
    co_return co_await answer(200, Server_.Counts_.json(), false);
  if (Silent_)
    co_return co_await hang();
  if (Path == "/health")
    co_return co_await answer(Set.Down_ ? 500 : 200, "{}\n", false, loadLine());
  if (Path == "/load") {
    Json::Value Load;
    Load["running"] = Set.LoadLie_.value_or(Server_.Running_);
    Load["waiting"] = Set.LoadLie_ ? 0U : Server_.Waiting_.load();
    Load["slots"] = Server_.Settings_.Slots_;
    co_return co_await answer(
        200, Json::writeString(Json::StreamWriterBuilder(), Load), false);
  }
  co_return co_await work(Reader, Query);
}

bool TargetSession::crashes(Parser &Reader, const Faults &Set) const {
  return !Set.CrashOn_.empty() &&
         (textOf(Reader.get().target()).find(Set.CrashOn_) !=
              std::string::npos ||
          BodyStart_.find(Set.CrashOn_) != std::string::npos);
}

asio::awaitable<bool> TargetSession::work(Parser &Reader,
                                          std::string_view Query) {
  const Faults Set = Server_.faults();
  Server_.Counts_.recordArrival(textOf(Reader.get()["Lychee-Request-Id"]),
                                Set.Rest_, base::SystemClock::monotonicNow());
  if (Set.Down_)
    co_return false;
  bool Taken = false;
  if (!Set.Shed_ && Set.Rest_.empty())
    Taken = co_await Server_.takeSlot();
  if (!Taken)
    co_return co_await turnAway(Set.Rest_);
  Server_.Counts_.countRun(textOf(Reader.get()["Lychee-Request-Id"]),
                           textOf(Reader.get()["Idempotency-Key"]));
  if (crashes(Reader, Set)) {
    Server_.freeSlot();
    Server_.crash();
    co_return false;
  }
  const base::Duration Asked = std::chrono::milliseconds(
      queryNumber(Query, "work_ms",
                  static_cast<std::uint64_t>(
                      base::toMilliseconds(Server_.Settings_.Work_))));
  constexpr std::uint64_t Usual = 100;
  const std::uint64_t Percent =
      Server_.runPercent(base::SystemClock::monotonicNow());
  co_await pause(Asked * Percent / Usual + Set.Slow_);
  Server_.freeSlot();
  co_await pause(Set.Late_);
  if (Silent_)
    co_return co_await hang();
  std::string Body = describe(Reader);
  if (const auto Bytes = queryNumber(Query, "answer_bytes", 0); Bytes > 0)
    Body.assign(Bytes, 'x');
  const auto Status = static_cast<int>(queryNumber(Query, "status", 200));
  co_return co_await answer(Status, std::move(Body), true);
}

asio::awaitable<bool> TargetSession::turnAway(const std::string &Rest) {
  std::string Extra = Server_.Settings_.NotRunLine_ + "\r\nRetry-After: ";
  Extra += Rest.empty() ? "1" : Rest;
  Extra += "\r\n";
  co_return co_await answer(503, "{\"shed\":true}\n", true, std::move(Extra));
}

std::string TargetSession::describe(Parser &Reader) const {
  Json::Value Made;
  const auto &Head = Reader.get();
  Made["target"] = Server_.Settings_.Name_;
  Made["method"] = textOf(Head.method_string());
  Made["path"] = textOf(Head.target());
  Made["bodyBytes"] = static_cast<Json::UInt64>(BodyBytes_);
  Made["bodyHash"] = std::to_string(BodyHash_);
  for (const auto &Field : Head)
    Made["headers"][textOf(Field.name_string())] = textOf(Field.value());
  Json::StreamWriterBuilder Compact;
  Compact["indentation"] = "";
  return Json::writeString(Compact, Made) + "\n";
}

asio::awaitable<bool> TargetSession::answer(int Status, std::string Body,
                                            bool IsWork, std::string Extra) {
  const Faults Set = Server_.faults();
  const auto Phrase = http::obsolete_reason(static_cast<http::status>(Status));
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     textOf(Phrase) + "\r\nContent-Type: application/json\r\n" +
                     Extra + "Content-Length: " + std::to_string(Body.size()) +
                     "\r\n\r\n";
  if (IsWork)
    Text.insert(Text.find("Content-Length"), loadLine());
  if (IsWork && !Set.StatedRate_.empty())
    Text.insert(Text.find("Content-Length"), Server_.Settings_.RateHeader_ +
                                                 ": " + Set.StatedRate_ +
                                                 "\r\n");
  if (IsWork && Set.Leaving_)
    Text.insert(Text.find("Content-Length"),
                Server_.Settings_.LeavingHeader_ + ": 1\r\n");
  const bool Cut = IsWork && Set.Cut_;
  if (!IsHead_)
    Text += Cut ? Body.substr(0, Body.size() / 2) : Body;
  if (IsWork && Set.Duplicate_)
    Text += Text;
  const auto [Error, Count] =
      co_await asio::async_write(Socket_, asio::buffer(Text), Await);
  co_return !Error && !Cut;
}

std::string TargetSession::loadLine() const {
  const std::optional<std::string> &Header = Server_.Settings_.LoadHeader_;
  if (!Header)
    return {};
  return *Header + ": " +
         Server_.describeLoad(base::SystemClock::monotonicNow()) + "\r\n";
}

asio::awaitable<bool> TargetSession::hang() {
  std::array<char, 1024> Unheard{};
  while (true) {
    const auto [Error, Count] =
        co_await Socket_.async_read_some(asio::buffer(Unheard), Await);
    if (Error)
      co_return false;
  }
}

asio::awaitable<void> TargetSession::pause(base::Duration Span) {
  if (Span <= base::Duration::zero())
    co_return;
  asio::steady_timer Pause(Socket_.get_executor());
  Pause.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(Span));
  co_await Pause.async_wait(Await);
}

} // namespace lychee::standins::target
