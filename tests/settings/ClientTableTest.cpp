#include "settings/ClientTable.h"

#include "base/Random.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::settings::ClientBlock;
using lychee::settings::ClientTable;

namespace {

ClientBlock block(std::uint32_t Network, std::uint8_t Length,
                  std::uint16_t Site) {
  ClientBlock Made;
  Made.Network_ = Network;
  Made.PrefixLength_ = Length;
  Made.SiteIndex_ = Site;
  return Made;
}

/// The plain way: the longest of all blocks that hold the address.
int findPlainly(const std::vector<ClientBlock> &Blocks, std::uint32_t Address) {
  int Site = -1;
  int Longest = -1;
  for (const ClientBlock &Each : Blocks) {
    const std::uint64_t Size = std::uint64_t(1) << (32 - Each.PrefixLength_);
    if (Address - std::uint64_t(Each.Network_) < Size &&
        Address >= Each.Network_ && Each.PrefixLength_ > Longest) {
      Site = Each.SiteIndex_;
      Longest = Each.PrefixLength_;
    }
  }
  return Site;
}

std::vector<ClientBlock> drawBlocks(base::Random &Random) {
  std::vector<ClientBlock> Blocks;
  const std::uint32_t Count = base::drawBelow(Random, 40);
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    const std::uint8_t Length =
        static_cast<std::uint8_t>(base::drawBelow(Random, 33));
    // Few different upper bits, so that blocks nest and touch often.
    std::uint32_t Network = 0x0a000000U + (base::drawBelow(Random, 4) << 16) +
                            (base::drawBelow(Random, 8) << 5);
    if (base::drawBelow(Random, 8) == 0)
      Network = 0xffffff00U;
    Network &= Length == 0 ? 0 : ~std::uint32_t(0) << (32 - Length);
    Blocks.push_back(block(Network, Length, 0));
  }
  std::sort(Blocks.begin(), Blocks.end());
  Blocks.erase(std::unique(Blocks.begin(), Blocks.end()), Blocks.end());
  for (ClientBlock &Each : Blocks)
    Each.SiteIndex_ = static_cast<std::uint16_t>(base::drawBelow(Random, 5));
  return Blocks;
}

} // namespace

TEST_GROUP(ClientTable){};

TEST(ClientTable, anEmptyTableFindsNothing) {
  CHECK_FALSE(ClientTable().find(0x0a000001).has_value());
}

TEST(ClientTable, theMorePreciseOfTwoNestedBlocksWins) {
  const std::vector<ClientBlock> Blocks = {block(0x0a000000, 8, 1),
                                           block(0x0a010000, 16, 2),
                                           block(0x0a010200, 24, 3)};
  const ClientTable Table(Blocks, ClientTable());
  LONGS_EQUAL(1, Table.find(0x0a000001).value_or(99));
  LONGS_EQUAL(2, Table.find(0x0a010101).value_or(99));
  LONGS_EQUAL(3, Table.find(0x0a010201).value_or(99));
  LONGS_EQUAL(2, Table.find(0x0a010301).value_or(99));
  LONGS_EQUAL(1, Table.find(0x0aff0000).value_or(99));
  CHECK_FALSE(Table.find(0x0b000000).has_value());
}

TEST(ClientTable, findsWhatThePlainSearchFinds) {
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    base::Random Random(Seed);
    const std::vector<ClientBlock> Blocks = drawBlocks(Random);
    const ClientTable Table(Blocks, ClientTable());
    for (int Draw = 0; Draw < 200; ++Draw) {
      std::uint32_t Address = 0x0a000000U + (base::drawBelow(Random, 5) << 16) +
                              base::drawBelow(Random, 300);
      if (Draw % 10 == 0)
        Address = static_cast<std::uint32_t>(Random());
      if (Draw % 50 == 0)
        Address = ~std::uint32_t(0);
      const auto Found = Table.find(Address);
      LONGS_EQUAL(findPlainly(Blocks, Address), Found ? *Found : -1);
    }
  }
}

// One block of a large table changes. Every page but the one it stands in is
// the page of the table before, so both versions together take little more than
// one.
TEST(ClientTable, aChangeSharesThePagesThatItLeavesAlone) {
  std::vector<ClientBlock> Blocks;
  Blocks.reserve(2560);
  for (std::uint32_t Index = 0; Index < 2560; ++Index)
    Blocks.push_back(block(0x0a000000U + (Index << 8), 24,
                           static_cast<std::uint16_t>(Index % 7)));
  const ClientTable Before(Blocks, ClientTable());
  Blocks[300].SiteIndex_ = 9;
  const ClientTable After(Blocks, Before);
  LONGS_EQUAL(9, After.sharedPages(Before));
  LONGS_EQUAL(9, After.find(0x0a012c05).value_or(0));
}
