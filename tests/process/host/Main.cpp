#include "base/Hash.h"
#include "base/KeyValueLine.h"
#include "base/SystemClock.h"
#include "fleet/FleetNode.h"
#include "fleet/PeerServer.h"
#include "store/GuardedStore.h"
#include "store/HttpStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(name, "h1", "host name");
DEFINE_string(zone, "z1", "availability zone");
DEFINE_string(address, "127.0.0.1", "IP address of the peer listener");
DEFINE_uint32(port, 0, "port of the peer listener");
DEFINE_uint32(store_port, 0, "port of the stand-in store on 127.0.0.1");
DEFINE_string(seeds, "", "peer listeners to ask first, comma-separated");
DEFINE_uint32(lease_ms, 15000, "length of a lease; other times follow it");

namespace base = lychee::base;
namespace fleet = lychee::fleet;
namespace store = lychee::store;
namespace transport = lychee::transport;
namespace asio = boost::asio;

namespace {

void say(const base::KeyValueLine &Line) {
  std::cout << Line.text() << std::endl;
}

fleet::LeaseTiming terms() {
  fleet::LeaseTiming Made;
  const double Part = FLAGS_lease_ms / 15000.0;
  const auto Scaled = [Part](base::Duration Span) {
    return base::fromSeconds(base::toSeconds(Span) * Part);
  };
  Made.Ttl_ = Scaled(Made.Ttl_);
  Made.HeartbeatInterval_ = Scaled(Made.HeartbeatInterval_);
  Made.RenewalInterval_ = Scaled(Made.RenewalInterval_);
  Made.RelayTimeout_ = Scaled(Made.RelayTimeout_);
  Made.MaxPause_ = Scaled(Made.MaxPause_);
  return Made;
}

std::vector<std::string> seeds() {
  std::vector<std::string> Found;
  std::istringstream Text(FLAGS_seeds);
  for (std::string Each; std::getline(Text, Each, ',');)
    Found.push_back(Each);
  return Found;
}

fleet::FleetListeners listeners() {
  fleet::FleetListeners Made;
  Made.SettingsApplied_ = [](const lychee::settings::SettingsTree &Tree) {
    say(base::KeyValueLine()
            .add("event", "in_force")
            .add("version", Tree.Version_)
            .add("wall_us",
                 base::SystemClock::wallNow().time_since_epoch().count() /
                     1000));
  };
  Made.DirectoryChanged_ = [](const fleet::Directory &Known) {
    say(base::KeyValueLine()
            .add("event", "directory")
            .add("epoch", Known.Epoch_)
            .add("hosts", Known.hostCount()));
  };
  return Made;
}

/// Acts again and again while its lease allows it, as a host spends its share
/// of a customer's rate: the clock is read right before each act.
asio::awaitable<void> actWhileAllowed(fleet::FleetNode &Node) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  std::string Before;
  while (true) {
    const auto State = Node.leaseGuard().check(
        base::SystemClock::monotonicNow(), Node.leaseGuard().epoch());
    const std::string Name(fleet::nameOf(State));
    if (Name != Before)
      say(base::KeyValueLine()
              .add("event", "lease")
              .add("state", Name)
              .add("tenure", Node.leaseGuard().tenure()));
    else if (State == fleet::LeaseState::Valid)
      say(base::KeyValueLine()
              .add("event", "act")
              .add("tenure", Node.leaseGuard().tenure()));
    Before = Name;
    Timer.expires_after(std::chrono::milliseconds(100));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace

/// A bare host of a fleet, without callers and targets: what it says on
/// standard output is what tests and measurements of the fleet look at.
int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  asio::io_context Context;
  transport::TrafficCounter Traffic;
  fleet::PeerAuthenticator Authenticator("0123456789abcdef0123456789abcdef");
  const std::uint64_t Seed = base::stableHash(FLAGS_name);
  fleet::PeerClient Client(Context.get_executor(), base::HostId(FLAGS_name),
                           Authenticator, Seed + ::getpid(), &Traffic);
  store::HttpStoreOptions StoreOptions;
  StoreOptions.Address_ = "127.0.0.1";
  StoreOptions.Port_ = static_cast<std::uint16_t>(FLAGS_store_port);
  StoreOptions.Host_ = FLAGS_name;
  StoreOptions.Timeout_ = std::chrono::milliseconds(5000);
  StoreOptions.Traffic_ = &Traffic;
  store::HttpStore Inner(Context.get_executor(), StoreOptions);
  store::GuardedStore Guarded(Inner, 20);
  fleet::RpcDispatcher Handlers;
  transport::HttpServerOptions Listen;
  Listen.Address_ = FLAGS_address;
  Listen.Port_ = static_cast<std::uint16_t>(FLAGS_port);
  Listen.Traffic_ = &Traffic;
  fleet::PeerServer Server(Context.get_executor(), Listen, Handlers,
                           Authenticator);
  fleet::FleetNodeOptions Options;
  Options.Zone_ = base::ZoneId(FLAGS_zone);
  Options.Self_.Host_ = base::HostId(FLAGS_name);
  Options.Self_.PeerAddress_ = FLAGS_address + ":" + std::to_string(FLAGS_port);
  Options.Self_.Incarnation_ = static_cast<std::uint64_t>(
      base::SystemClock::wallNow().time_since_epoch().count());
  Options.SeedPeers_ = seeds();
  Options.LeaseTiming_ = terms();
  Options.RandomSeed_ = Seed;
  fleet::FleetNode Node(Context, Guarded, Client, Handlers, std::move(Options),
                        listeners());
  base::Error Last;
  if (!Server.listen(Last)) {
    std::cerr << Last.describe() << std::endl;
    return 1;
  }
  Node.start();
  asio::co_spawn(Context, actWhileAllowed(Node), asio::detached);
  asio::signal_set Stops(Context, SIGTERM, SIGINT);
  Stops.async_wait([&](auto, auto) {
    asio::co_spawn(Context, Node.leave(),
                   [&Context](const std::exception_ptr &) { Context.stop(); });
  });
  asio::signal_set Asks(Context, SIGUSR1);
  std::function<void()> Tell = [&] {
    Asks.async_wait([&](auto, auto) {
      say(base::KeyValueLine()
              .add("event", "traffic")
              .add("in", Traffic.BytesIn_.load())
              .add("out", Traffic.BytesOut_.load())
              .add("messages", Traffic.Messages_.load())
              .add("relay", Node.isRelay() ? 1 : 0));
      Tell();
    });
  };
  Tell();
  Context.run();
  return 0;
}
