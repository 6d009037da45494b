#include "shares/SharesPlay.h"

#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint32(seeds, 10, "seeds to play");

namespace {

namespace bench = lychee::bench;

struct Row {
  std::vector<double> Refused_;
  std::vector<double> Wrongful_;
  std::vector<double> Over_;
  std::vector<double> Median_;
  std::vector<double> High_;
  std::vector<double> Messages_;
};

double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Place = static_cast<std::size_t>(
      Part * static_cast<double>(Values.size() - 1) + 0.5);
  return Values[Place];
}

void print(const char *Name, const std::vector<double> &Values) {
  std::printf(" | %s %.3f (%.3f to %.3f)", Name, quantile(Values, 0.5),
              quantile(Values, 0), quantile(Values, 1));
}

Row playAll(bench::Division How) {
  Row Rows;
  for (std::uint64_t Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
    const bench::SharesResult Result = bench::SharesPlay(How, Seed).play();
    const double Asked = static_cast<double>(Result.Asked_);
    Rows.Refused_.push_back(100 * static_cast<double>(Result.Refused_) / Asked);
    Rows.Wrongful_.push_back(100 * static_cast<double>(Result.Wrongful_) /
                             Asked);
    Rows.Over_.push_back(static_cast<double>(Result.Over_));
    Rows.Median_.push_back(quantile(Result.Waits_, 0.5));
    Rows.High_.push_back(quantile(Result.Waits_, 0.99));
    Rows.Messages_.push_back(static_cast<double>(Result.Messages_) / 120);
  }
  return Rows;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("a customer's rate over ten hosts: shares that move, "
                          "static equal shares, a single owner");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  const std::pair<const char *, bench::Division> Ways[] = {
      {"shares", bench::Division::Shares},
      {"static equal", bench::Division::StaticEqual},
      {"single owner", bench::Division::SingleOwner}};
  for (const auto &[Name, How] : Ways) {
    const Row Found = playAll(How);
    std::printf("%-12s", Name);
    print("refused %", Found.Refused_);
    print("wrongful %", Found.Wrongful_);
    print("over rate", Found.Over_);
    print("wait p50 ms", Found.Median_);
    print("wait p99 ms", Found.High_);
    print("messages/s", Found.Messages_);
    std::printf("\n");
  }
  return 0;
}
