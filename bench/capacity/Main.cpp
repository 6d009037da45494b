#include "base/SystemClock.h"
#include "budget/RateBudgets.h"
#include "retrying/ClaimTable.h"
#include "settings/ClientTable.h"
#include "steering/FleetSteering.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

DEFINE_uint32(runs, 5, "runs of each; the median is told, with least and most");

/// Measures the slopes that docs/CAPACITY.md is worked out from: what one
/// client block, customer, target and claim costs in memory and time. One CSV
/// line each: what, size, median, least, most, unit.
namespace {

namespace base = lychee::base;
namespace budget = lychee::budget;
namespace settings = lychee::settings;
namespace steering = lychee::steering;
namespace retrying = lychee::retrying;
using base::SystemClock;

constexpr std::uint16_t SiteCount = 1100;

void tell(const char *What, std::size_t Size, std::vector<double> Values,
          const char *Unit) {
  std::sort(Values.begin(), Values.end());
  std::printf("%s,%zu,%.4g,%.4g,%.4g,%s\n", What, Size,
              Values[Values.size() / 2], Values.front(), Values.back(), Unit);
  std::fflush(stdout);
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double secondsOf(const std::function<void()> &Work) {
  const base::TimePoint Start = SystemClock::monotonicNow();
  Work();
  return base::toSeconds(SystemClock::monotonicNow() - Start);
}

/// Blocks as a registry gives them: /20 to /24, most next to another, one in
/// twenty with a gap after it.
std::vector<settings::ClientBlock> drawBlocks(std::size_t Count) {
  base::Random Random(17);
  std::vector<settings::ClientBlock> Blocks;
  Blocks.reserve(Count);
  std::uint64_t Next = 0x01000000;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    settings::ClientBlock Block;
    // 1.8 million blocks have to fit below 2^32: on average 2,000 addresses.
    Block.PrefixLength_ =
        static_cast<std::uint8_t>(20 + base::drawBelow(Random, 5));
    const std::uint64_t Size = std::uint64_t(1) << (32 - Block.PrefixLength_);
    Next = (Next + Size - 1) / Size * Size;
    if (Next + Size >= std::uint64_t(1) << 32)
      break;
    Block.Network_ = static_cast<std::uint32_t>(Next);
    Block.SiteIndex_ =
        static_cast<std::uint16_t>(base::drawBelow(Random, SiteCount));
    Blocks.push_back(Block);
    Next += Size;
    if (base::drawBelow(Random, 20) == 0)
      Next += Size;
  }
  return Blocks;
}

void measureClientTable(std::size_t Count) {
  std::vector<settings::ClientBlock> Blocks = drawBlocks(Count);
  std::vector<double> Bytes;
  std::vector<double> BuildSeconds;
  std::vector<double> ChangeSeconds;
  std::vector<double> ChangeBytes;
  std::vector<double> LookupNanoseconds;
  for (std::uint32_t Run = 0; Run < FLAGS_runs; ++Run) {
    settings::ClientTable Table;
    const double Before = heapBytes();
    BuildSeconds.push_back(secondsOf([&] {
      Table = settings::ClientTable(Blocks, settings::ClientTable());
    }));
    const double Steady = heapBytes();
    Bytes.push_back((Steady - Before) / static_cast<double>(Blocks.size()));
    // A change of one block in a thousand, both versions in use at once.
    for (std::size_t Index = Run; Index < Blocks.size(); Index += 1000)
      Blocks[Index].SiteIndex_ = static_cast<std::uint16_t>(
          (Blocks[Index].SiteIndex_ + 1) % SiteCount);
    settings::ClientTable Changed;
    ChangeSeconds.push_back(
        secondsOf([&] { Changed = settings::ClientTable(Blocks, Table); }));
    ChangeBytes.push_back((heapBytes() - Steady) / 1e6);
    base::Random Random(Run);
    std::uint64_t Sum = 0;
    constexpr int Lookups = 2'000'000;
    const double Spent = secondsOf([&] {
      for (int Draw = 0; Draw < Lookups; ++Draw)
        Sum += Changed.find(static_cast<std::uint32_t>(Random())).value_or(0);
    });
    if (Sum == 0)
      std::fprintf(stderr, "no look-up found a site\n");
    LookupNanoseconds.push_back(Spent / Lookups * 1e9);
  }
  tell("client_table_bytes_per_block", Blocks.size(), Bytes, "byte");
  tell("client_table_build", Blocks.size(), BuildSeconds, "s");
  tell("client_table_change", Blocks.size(), ChangeSeconds, "s");
  tell("client_table_change_extra", Blocks.size(), ChangeBytes, "MB");
  tell("client_lookup", Blocks.size(), LookupNanoseconds, "ns");
}

void measureCustomers(std::size_t Count) {
  std::vector<double> Bytes;
  std::vector<double> Nanoseconds;
  for (std::uint32_t Run = 0; Run < FLAGS_runs; ++Run) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    const double Before = heapBytes();
    auto Book = std::make_unique<budget::RateBudgets>(base::HostId("host"));
    Book->enterEpoch({1, 10, Now + std::chrono::hours(1)}, Now);
    Book->settle(1, Now);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Book->setTotal("rate/customer-" + std::to_string(Index),
                     budget::RateTotal::fromRequests(100, 100), Now);
    Bytes.push_back((heapBytes() - Before) / static_cast<double>(Count));
    base::Random Random(Run);
    constexpr int Spends = 300'000;
    std::vector<std::string> Names;
    Names.reserve(1000);
    for (int Draw = 0; Draw < 1000; ++Draw)
      Names.push_back("rate/customer-" +
                      std::to_string(base::drawBelow(
                          Random, static_cast<std::uint32_t>(Count))));
    const double Spent = secondsOf([&] {
      for (int Draw = 0; Draw < Spends; ++Draw)
        Book->spend(Names[static_cast<std::size_t>(Draw) % Names.size()],
                    Now + base::Duration(Draw));
    });
    Nanoseconds.push_back(Spent / Spends * 1e9);
  }
  tell("customer_budget_bytes", Count, Bytes, "byte");
  tell("customer_spend", Count, Nanoseconds, "ns");
}

std::shared_ptr<settings::Intent> makeIntent(std::size_t Targets) {
  auto Intent = std::make_shared<settings::Intent>();
  Intent->Version_ = 1;
  settings::Region Region;
  Region.Id_ = base::RegionId("near");
  Region.Zones_ = {base::ZoneId("near-1")};
  Intent->Regions_[Region.Id_] = Region;
  settings::Customer Customer;
  Customer.Id_ = base::CustomerId("parish");
  Customer.RatePerSecond_ = 1e6;
  Customer.Burst_ = 1e6;
  Intent->Customers_[Customer.Id_] = Customer;
  settings::Service Service;
  Service.Id_ = base::ServiceId("rota");
  for (std::size_t Index = 0; Index < Targets; ++Index) {
    settings::Target Target;
    Target.Id_ = base::TargetId("rota-" + std::to_string(Index));
    Target.Zone_ = Region.Zones_.front();
    Target.Address_ = "10.0.0.1:80";
    Target.Slots_ = 4;
    Service.Targets_.push_back(Target);
  }
  Intent->Services_[Service.Id_] = Service;
  return Intent;
}

void measureTargets(std::size_t Count) {
  std::vector<double> Bytes;
  std::vector<double> ApplySeconds;
  for (std::uint32_t Run = 0; Run < FLAGS_runs; ++Run) {
    const auto Intent = makeIntent(Count);
    const double Before = heapBytes();
    steering::SteeringSettings Made;
    Made.Host_ = base::HostId("host#1");
    Made.Region_ = base::RegionId("near");
    steering::FleetSteering Steering(Made);
    ApplySeconds.push_back(secondsOf(
        [&] { Steering.applyIntent(Intent, SystemClock::monotonicNow()); }));
    Bytes.push_back((heapBytes() - Before) / static_cast<double>(Count));
  }
  tell("target_steering_bytes", Count, Bytes, "byte");
  tell("target_apply", Count, ApplySeconds, "s");
}

void measureClaims(std::size_t Count) {
  std::vector<double> Bytes;
  for (std::uint32_t Run = 0; Run < FLAGS_runs; ++Run) {
    const double Before = heapBytes();
    retrying::ClaimTable Table(1);
    Table.load({}, 1);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Table.claim(retrying::ClaimKey::of(base::CustomerId("parish"),
                                         std::to_string(Index)),
                  Index, SystemClock::wallNow());
    Bytes.push_back((heapBytes() - Before) / static_cast<double>(Count));
  }
  tell("claim_bytes", Count, Bytes, "byte");
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures what one block, customer, target and claim "
                          "cost; CSV: what,size,median,least,most,unit");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::printf("what,size,median,least,most,unit\n");
  for (const std::size_t Count : {200'000UL, 600'000UL, 1'800'000UL})
    measureClientTable(Count);
  for (const std::size_t Count : {100UL, 1'000UL, 10'000UL})
    measureCustomers(Count);
  for (const std::size_t Count : {42UL, 300UL, 1'100UL})
    measureTargets(Count);
  for (const std::size_t Count : {1'000UL, 8'000UL})
    measureClaims(Count);
  return 0;
}
