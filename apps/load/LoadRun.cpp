#include "LoadRun.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace lychee::load {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// What the connections of one thread found.
struct Tally {
  std::vector<std::int64_t> LatenciesNs_;
  std::uint64_t Failed_ = 0;
};

Tcp::endpoint endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))};
}

/// Piece in which a body is sent.
constexpr std::size_t PieceBytes = 64UL * 1024;

asio::awaitable<bool> sendBody(Tcp::socket &Socket, std::uint64_t Left) {
  static const std::string Piece(PieceBytes, 'x');
  while (Left > 0) {
    const std::uint64_t Now = std::min<std::uint64_t>(Left, PieceBytes);
    const auto [Error, Written] = co_await asio::async_write(
        Socket, asio::buffer(Piece.data(), Now), Await);
    if (Error)
      co_return false;
    Left -= Now;
  }
  co_return true;
}

asio::awaitable<void> drive(const LoadPlan &Plan, base::TimePoint End,
                            Tally &Found) {
  Tcp::socket Socket(co_await asio::this_coro::executor);
  const auto [ConnectError] =
      co_await Socket.async_connect(endpointOf(Plan.Address_), Await);
  if (ConnectError) {
    ++Found.Failed_;
    co_return;
  }
  Socket.set_option(Tcp::no_delay(true));
  boost::beast::flat_buffer Buffer;
  base::TimePoint Begin = base::SystemClock::monotonicNow();
  std::uint32_t Sent = 0;
  while (Begin < End &&
         (Plan.RequestLimit_ == 0 || Sent < Plan.RequestLimit_)) {
    ++Sent;
    const auto [WriteError, Written] =
        co_await asio::async_write(Socket, asio::buffer(Plan.Request_), Await);
    if (Plan.BodyBytes_ > 0)
      co_await sendBody(Socket, Plan.BodyBytes_);
    http::response<http::string_body> Answer;
    const auto [ReadError, Read] =
        co_await http::async_read(Socket, Buffer, Answer, Await);
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    if (WriteError || ReadError || Answer.result() != http::status::ok)
      ++Found.Failed_;
    if (WriteError || ReadError)
      co_return;
    Found.LatenciesNs_.push_back((Now - Begin).count());
    Begin = Now;
  }
}

/// Processor time of a process so far, user and system.
double cpuSecondsOf(int Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/stat");
  std::string Text;
  std::getline(File, Text);
  // The name, in parentheses, may hold anything; 11 fields stand between it
  // and utime.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  for (int Index = 0; Index < 11; ++Index)
    Fields >> Skipped;
  std::uint64_t User = 0;
  std::uint64_t System = 0;
  Fields >> User >> System;
  return static_cast<double>(User + System) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t peakMemoryKbOf(int Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  std::string Word;
  std::uint64_t Peak = 0;
  while (File >> Word)
    if (Word == "VmHWM:")
      File >> Peak;
  return Peak;
}

double quantileUs(const std::vector<std::int64_t> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return static_cast<double>(Sorted[Index]) / 1000.0;
}

void driveThread(const LoadPlan &Plan, std::uint32_t Connections,
                 base::TimePoint End, Tally &Found) {
  asio::io_context Context(1);
  for (std::uint32_t Index = 0; Index < Connections; ++Index)
    asio::co_spawn(Context, drive(Plan, End, Found), asio::detached);
  Context.run();
}

} // namespace

LoadResult runLoad(const LoadPlan &Plan) {
  const std::uint32_t Threads = std::min(Plan.Threads_, Plan.Connections_);
  std::vector<Tally> Tallies(Threads);
  const double CpuBefore = Plan.CpuOf_ > 0 ? cpuSecondsOf(Plan.CpuOf_) : 0;
  const base::TimePoint Begin = base::SystemClock::monotonicNow();
  std::vector<std::thread> Running;
  Running.reserve(Threads);
  for (std::uint32_t Index = 0; Index < Threads; ++Index) {
    const std::uint32_t Share = Plan.Connections_ / Threads +
                                (Index < Plan.Connections_ % Threads ? 1 : 0);
    Running.emplace_back(driveThread, std::cref(Plan), Share,
                         Begin + Plan.Time_, std::ref(Tallies[Index]));
  }
  for (std::thread &Each : Running)
    Each.join();
  const double Seconds =
      base::toSeconds(base::SystemClock::monotonicNow() - Begin);
  std::vector<std::int64_t> All;
  LoadResult Made;
  for (const Tally &Each : Tallies) {
    All.insert(All.end(), Each.LatenciesNs_.begin(), Each.LatenciesNs_.end());
    Made.Failed_ += Each.Failed_;
  }
  std::sort(All.begin(), All.end());
  Made.Answered_ = All.size();
  Made.PerSecond_ = static_cast<double>(All.size()) / Seconds;
  Made.P50Us_ = quantileUs(All, 0.50);
  Made.P99Us_ = quantileUs(All, 0.99);
  if (Plan.CpuOf_ > 0 && !All.empty())
    Made.CpuUs_ = (cpuSecondsOf(Plan.CpuOf_) - CpuBefore) * 1e6 /
                  static_cast<double>(All.size());
  if (Plan.CpuOf_ > 0)
    Made.PeakMemoryKb_ = peakMemoryKbOf(Plan.CpuOf_);
  return Made;
}

LoadResult medianOf(std::vector<LoadResult> Results) {
  std::sort(Results.begin(), Results.end(),
            [](const LoadResult &Left, const LoadResult &Right) {
              return Left.PerSecond_ < Right.PerSecond_;
            });
  return Results[Results.size() / 2];
}

} // namespace lychee::load
