#include "soak/Soak.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(seeds, 2, "how many seeds to play, one after the other");
DEFINE_double(seconds, 12, "how long troubles come and go, for each seed");
DEFINE_bool(rates, true,
            "two more targets: one states a rate, one rests and leaves");
DEFINE_string(logs, "", "folder for the logs of seeds that break a promise");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("plays troubles by seeds on real hosts");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  int Failed = 0;
  for (std::uint64_t Each = 0; Each < FLAGS_seeds; ++Each) {
    const std::uint64_t Seed = FLAGS_first + Each;
    const lychee::soak::SoakResult Result =
        lychee::soak::runSoak({Seed, FLAGS_seconds, FLAGS_rates});
    std::cout << "seed=" << Seed << ' ' << Result.Summary_
              << (Result.Broken_.empty() ? " kept" : " BROKEN") << std::endl;
    if (Result.Broken_.empty())
      continue;
    ++Failed;
    std::cout << "  troubles: " << Result.History_ << '\n';
    for (const std::string &Line : Result.Broken_)
      std::cout << "  " << Line << '\n';
    if (!FLAGS_logs.empty())
      std::ofstream(FLAGS_logs + "/seed-" + std::to_string(Seed) + ".log")
          << Result.Logs_;
  }
  return Failed == 0 ? 0 : 1;
}
