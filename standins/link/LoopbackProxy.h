#ifndef LYCHEE_STANDINS_LINK_LOOPBACKPROXY_H
#define LYCHEE_STANDINS_LINK_LOOPBACKPROXY_H

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lychee::standins {

/// What is wrong with a link. All off by default.
struct LinkFaults {
  /// Each piece of bytes goes on this much later.
  base::Duration Delay_{};
  /// What the near end sends does not arrive; the far end's bytes do.
  bool CutForth_ = false;
  /// What the far end sends does not arrive; the near end's bytes do.
  bool CutBack_ = false;
  /// New connections are closed at once.
  bool Refuses_ = false;
  /// Packets of the near end are dropped, also those that open a connection,
  /// and what the far end sends does not arrive: both ends see silence.
  bool Drops_ = false;
};

/// Stands between two processes on the loopback and passes bytes on, with the
/// faults of a network. Bytes that a cut holds back go on when it heals, as
/// they do where packets are sent again. On a thread of its own.
class LoopbackProxy {
public:
  /// \param Listen,Far  IP:PORT; connections to the first go on to the second.
  LoopbackProxy(const std::string &Listen, const std::string &Far);
  LoopbackProxy(const LoopbackProxy &) = delete;
  LoopbackProxy &operator=(const LoopbackProxy &) = delete;
  ~LoopbackProxy();

  void setFaults(const LinkFaults &Set);
  /// Sets the faults for connections from one address only; they go before
  /// those for all. \param Near  IP.
  void setFaultsFrom(const std::string &Near, const LinkFaults &Set);
  /// Resets every open connection. \param Near  IP from which they came; empty:
  /// any.
  void resetAll(const std::string &Near = {});

private:
  using Tcp = boost::asio::ip::tcp;

  struct Link {
    explicit Link(boost::asio::io_context &Context)
        : Near_(Context), Far_(Context) {}
    Tcp::socket Near_;
    Tcp::socket Far_;
    /// IP from which it came.
    std::string From_;
  };

  boost::asio::awaitable<void> accept();
  void serve(const std::shared_ptr<Link> &Both);
  boost::asio::awaitable<void> pump(std::shared_ptr<Link> Both, bool Forth);
  /// Waits out delay and cut. \returns once bytes may go on.
  boost::asio::awaitable<void> hold(const Link &Both, bool Forth);
  LinkFaults faultsFrom(const std::string &Near) const;
  /// Drops packets of the near ends whose links do so, and of no others.
  void updateFilters();
  static void reset(Link &Both);

  const Tcp::endpoint Far_;
  mutable std::mutex Lock_;
  LinkFaults Faults_;
  std::map<std::string, LinkFaults> FaultsFrom_;
  boost::asio::io_context Context_{1};
  Tcp::acceptor Acceptor_;
  std::list<std::weak_ptr<Link>> Links_;
  std::thread Thread_;
};

} // namespace lychee::standins

#endif
