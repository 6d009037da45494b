#include "store/StandinStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 lets the system choose");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("stands in for the platform's store, in memory; "
                          "protocol and faults: docs/PLATFORM-STORE.md");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  boost::asio::io_context Context(1);
  lychee::transport::HttpServerOptions Options;
  Options.Address_ = FLAGS_address;
  Options.Port_ = static_cast<std::uint16_t>(FLAGS_port);
  lychee::standins::StandinStore Store(Context.get_executor(), Options);
  lychee::base::Error Last;
  if (!Store.listen(Last)) {
    std::cerr << "event=listen_failed " << Last.describe() << '\n';
    return 1;
  }
  std::cerr << "event=listening address=" << FLAGS_address
            << " port=" << Store.port() << std::endl;
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&Context](auto, auto) { Context.stop(); });
  Context.run();
  return 0;
}
