#include "LoadRun.h"

#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(address, "", "IP:PORT to load");
DEFINE_string(against, "", "IP:PORT to load in turn with it, for comparison");
DEFINE_string(connections, "1,16,128", "numbers of connections, one row each");
DEFINE_uint32(threads, 2, "threads of this client");
DEFINE_uint32(rounds, 5, "rounds a row; the one of median rate is told");
DEFINE_double(seconds, 2, "time a round");
DEFINE_string(path, "/", "request target");
DEFINE_string(key, "", "key for the Authorization header");
DEFINE_uint64(body_bytes, 0, "length of an upload; 0: GET without a body");
DEFINE_uint32(requests, 0, "requests a connection at most; 0: no limit");
DEFINE_int32(cpu_of, 0,
             "process of --address whose processor time and memory are told");

namespace {

using lychee::load::LoadPlan;
using lychee::load::LoadResult;

std::string requestText() {
  std::string Text = FLAGS_body_bytes > 0 ? "POST " : "GET ";
  Text += FLAGS_path + " HTTP/1.1\r\nHost: load\r\n";
  if (FLAGS_body_bytes > 0)
    Text += "Content-Length: " + std::to_string(FLAGS_body_bytes) + "\r\n";
  if (!FLAGS_key.empty())
    Text += "Authorization: Bearer " + FLAGS_key + "\r\n";
  return Text + "\r\n";
}

void print(const std::string &Address, std::uint32_t Connections,
           const std::vector<LoadResult> &Results) {
  const auto [Least, Most] = std::minmax_element(
      Results.begin(), Results.end(), [](const auto &Left, const auto &Right) {
        return Left.PerSecond_ < Right.PerSecond_;
      });
  const LoadResult Median = lychee::load::medianOf(Results);
  std::printf("address=%s connections=%u per_s=%.0f least_per_s=%.0f "
              "most_per_s=%.0f p50_us=%.1f p99_us=%.1f cpu_us=%.1f "
              "peak_kb=%llu failed=%llu\n",
              Address.c_str(), Connections, Median.PerSecond_,
              Least->PerSecond_, Most->PerSecond_, Median.P50Us_, Median.P99Us_,
              Median.CpuUs_,
              static_cast<unsigned long long>(Median.PeakMemoryKb_),
              static_cast<unsigned long long>(Median.Failed_));
  std::fflush(stdout);
}

void runRow(std::uint32_t Connections) {
  LoadPlan Plan;
  Plan.Address_ = FLAGS_address;
  Plan.Connections_ = Connections;
  Plan.Threads_ = FLAGS_threads;
  Plan.Time_ = lychee::base::fromSeconds(FLAGS_seconds);
  Plan.Request_ = requestText();
  Plan.BodyBytes_ = FLAGS_body_bytes;
  Plan.RequestLimit_ = FLAGS_requests;
  Plan.CpuOf_ = FLAGS_cpu_of;
  LoadPlan Other = Plan;
  Other.Address_ = FLAGS_against;
  Other.CpuOf_ = 0;
  std::vector<LoadResult> Loaded;
  std::vector<LoadResult> Compared;
  // In turn, so that a busy moment of the machine falls on both.
  for (std::uint32_t Round = 0; Round < FLAGS_rounds; ++Round) {
    if (!FLAGS_against.empty())
      Compared.push_back(lychee::load::runLoad(Other));
    Loaded.push_back(lychee::load::runLoad(Plan));
  }
  if (!Compared.empty())
    print(FLAGS_against, Connections, Compared);
  print(FLAGS_address, Connections, Loaded);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("loads an HTTP server in a closed loop");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (FLAGS_address.empty() || FLAGS_rounds == 0) {
    std::fprintf(stderr, "--address and --rounds are needed\n");
    return 2;
  }
  std::istringstream Rows(FLAGS_connections);
  std::string Row;
  while (std::getline(Rows, Row, ','))
    runRow(static_cast<std::uint32_t>(std::stoul(Row)));
  return 0;
}
