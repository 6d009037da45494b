#include "Trial.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(trial, "costs", "costs, admission or placement");
DEFINE_int32(seeds, 10, "seeds of a trial");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures single decisions: their cost in real time "
                          "and their effect in virtual time");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (FLAGS_trial == "costs")
    lychee::bench::runCosts();
  else if (FLAGS_trial == "admission")
    lychee::bench::runAdmissionTrial(FLAGS_seeds);
  else if (FLAGS_trial == "placement")
    lychee::bench::runPlacementTrial(FLAGS_seeds);
  else {
    std::cerr << "unknown trial: " << FLAGS_trial << "\n";
    return 2;
  }
  return 0;
}
