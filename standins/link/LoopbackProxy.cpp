#include "link/LoopbackProxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <linux/filter.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace lychee::standins {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// How often a held piece looks whether the cut has healed.
constexpr std::chrono::milliseconds HealPace(20);
constexpr std::size_t PieceBytes = 16UL * 1024;

asio::ip::tcp::endpoint endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))};
}

/// Where a classic packet filter finds the source address of an IPv4 packet.
constexpr std::uint32_t SourceOffset =
    static_cast<std::uint32_t>(SKF_NET_OFF) + 12;

/// Drops the packets that come to a socket from \p Dropped, or from any other
/// address where \p DropsOthers.
void filterPackets(int Handle, std::span<const std::uint32_t> Dropped,
                   bool DropsOthers) {
  const int Unused = 0;
  setsockopt(Handle, SOL_SOCKET, SO_DETACH_FILTER, &Unused, sizeof Unused);
  if (Dropped.empty() && !DropsOthers)
    return;
  constexpr std::uint32_t KeepAll = 0xffffffff;
  std::vector<sock_filter> Program = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SourceOffset)};
  for (const std::uint32_t Address : Dropped) {
    Program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Address, 0, 1));
    Program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  }
  Program.push_back(BPF_STMT(BPF_RET | BPF_K, DropsOthers ? 0 : KeepAll));
  const sock_fprog Filter{static_cast<unsigned short>(Program.size()),
                          Program.data()};
  setsockopt(Handle, SOL_SOCKET, SO_ATTACH_FILTER, &Filter, sizeof Filter);
}

} // namespace

LoopbackProxy::LoopbackProxy(const std::string &Listen, const std::string &Far)
    : Far_(endpointOf(Far)), Acceptor_(Context_, endpointOf(Listen)) {
  asio::co_spawn(Context_, accept(), asio::detached);
  Thread_ = std::thread([this] { Context_.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  Context_.stop();
  Thread_.join();
}

void LoopbackProxy::setFaults(const LinkFaults &Set) {
  {
    const std::lock_guard Guard(Lock_);
    Faults_ = Set;
  }
  asio::post(Context_, [this] { updateFilters(); });
}

void LoopbackProxy::setFaultsFrom(const std::string &Near,
                                  const LinkFaults &Set) {
  {
    const std::lock_guard Guard(Lock_);
    FaultsFrom_[Near] = Set;
  }
  asio::post(Context_, [this] { updateFilters(); });
}

LinkFaults LoopbackProxy::faultsFrom(const std::string &Near) const {
  const std::lock_guard Guard(Lock_);
  const auto Found = FaultsFrom_.find(Near);
  return Found == FaultsFrom_.end() ? Faults_ : Found->second;
}

/// Connections inherit the filter of the listener that accepted them, so that
/// every open one is set anew.
void LoopbackProxy::updateFilters() {
  std::vector<std::uint32_t> Dropped;
  bool DropsOthers = false;
  {
    const std::lock_guard Guard(Lock_);
    DropsOthers = Faults_.Drops_;
    for (const auto &[Near, Set] : FaultsFrom_)
      if (Set.Drops_)
        Dropped.push_back(asio::ip::make_address_v4(Near).to_uint());
  }
  filterPackets(Acceptor_.native_handle(), Dropped, DropsOthers);
  for (const std::weak_ptr<Link> &Each : Links_)
    if (const auto Both = Each.lock(); Both && Both->Near_.is_open())
      filterPackets(Both->Near_.native_handle(), Dropped, DropsOthers);
}

void LoopbackProxy::reset(Link &Both) {
  boost::system::error_code Ignored;
  for (Tcp::socket *Each : {&Both.Near_, &Both.Far_}) {
    Each->set_option(asio::socket_base::linger(true, 0), Ignored);
    Each->close(Ignored);
  }
}

void LoopbackProxy::resetAll(const std::string &Near) {
  asio::post(Context_, [this, Near] {
    std::erase_if(Links_, [&Near](const std::weak_ptr<Link> &Each) {
      const auto Both = Each.lock();
      if (!Both || (!Near.empty() && Both->From_ != Near))
        return !Both;
      reset(*Both);
      return true;
    });
  });
}

asio::awaitable<void> LoopbackProxy::accept() {
  while (true) {
    auto Both = std::make_shared<Link>(Context_);
    const auto [Failure] =
        co_await Acceptor_.async_accept(Both->Near_, AsTuple);
    if (Failure)
      co_return;
    boost::system::error_code Ignored;
    Both->From_ = Both->Near_.remote_endpoint(Ignored).address().to_string();
    if (faultsFrom(Both->From_).Refuses_)
      continue;
    std::erase_if(Links_, [](const auto &Each) { return Each.expired(); });
    Links_.push_back(Both);
    serve(Both);
  }
}

void LoopbackProxy::serve(const std::shared_ptr<Link> &Both) {
  Both->Far_.async_connect(
      Far_, [this, Both](const boost::system::error_code &Failure) {
        if (Failure) {
          reset(*Both);
          return;
        }
        asio::co_spawn(Context_, pump(Both, true), asio::detached);
        asio::co_spawn(Context_, pump(Both, false), asio::detached);
      });
}

asio::awaitable<void> LoopbackProxy::hold(const Link &Both, bool Forth) {
  asio::steady_timer Timer(Context_);
  LinkFaults Set = faultsFrom(Both.From_);
  if (Set.Delay_ > base::Duration::zero()) {
    Timer.expires_after(
        std::chrono::duration_cast<std::chrono::milliseconds>(Set.Delay_));
    co_await Timer.async_wait(AsTuple);
  }
  // What came before packets were dropped has arrived.
  while (Forth ? Set.CutForth_ : Set.CutBack_ || Set.Drops_) {
    Timer.expires_after(HealPace);
    co_await Timer.async_wait(AsTuple);
    Set = faultsFrom(Both.From_);
  }
}

asio::awaitable<void> LoopbackProxy::pump(std::shared_ptr<Link> Both,
                                          bool Forth) {
  Tcp::socket &From = Forth ? Both->Near_ : Both->Far_;
  Tcp::socket &To = Forth ? Both->Far_ : Both->Near_;
  std::array<char, PieceBytes> Piece{};
  while (true) {
    const auto [ReadFailure, Count] =
        co_await From.async_read_some(asio::buffer(Piece), AsTuple);
    co_await hold(*Both, Forth);
    boost::system::error_code Ignored;
    if (ReadFailure == asio::error::eof) {
      To.shutdown(Tcp::socket::shutdown_send, Ignored);
      co_return;
    }
    if (ReadFailure) {
      reset(*Both);
      co_return;
    }
    const auto [WriteFailure, Written] =
        co_await asio::async_write(To, asio::buffer(Piece, Count), AsTuple);
    if (WriteFailure) {
      reset(*Both);
      co_return;
    }
  }
}

} // namespace lychee::standins
