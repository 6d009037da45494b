#include "standins/target/TargetServer.h"

#include <cstdio>
#include <exception>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to serve on; port 0: any free");
DEFINE_string(name, "target", "name told in each answer");
DEFINE_uint32(slots, 3, "requests worked on at once");
DEFINE_uint32(queue, 1000, "requests that may wait for a slot");
DEFINE_double(work_ms, 0, "time a request takes, milliseconds");

namespace {

lychee::standins::target::TargetSettings readSettings() {
  lychee::standins::target::TargetSettings Made;
  const std::size_t Colon = FLAGS_listen.rfind(':');
  Made.Name_ = FLAGS_name;
  Made.Address_ = FLAGS_listen.substr(0, Colon);
  Made.Port_ =
      static_cast<std::uint16_t>(std::stoul(FLAGS_listen.substr(Colon + 1)));
  Made.Slots_ = FLAGS_slots;
  Made.QueueLimit_ = FLAGS_queue;
  Made.Work_ = lychee::base::fromSeconds(FLAGS_work_ms / 1000.0);
  return Made;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("a stand-in for a target, with faults on request");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    lychee::standins::target::TargetServer Server(readSettings());
    Server.start();
    std::printf("event=listening address=%s\n", Server.address().c_str());
    std::fflush(stdout);
    Server.join();
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "event=failed reason=\"%s\"\n", Failure.what());
    return 1;
  }
  return 0;
}
