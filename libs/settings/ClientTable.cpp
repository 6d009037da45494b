#include "settings/ClientTable.h"

#include <algorithm>
#include <cassert>

namespace lychee::settings {

namespace {

constexpr unsigned PageBits = 16;
constexpr std::uint32_t LastOfPage = 0xffff;

std::uint32_t lastAddressOf(const ClientBlock &Block) noexcept {
  if (Block.PrefixLength_ == 0)
    return ~std::uint32_t(0);
  return Block.Network_ |
         static_cast<std::uint32_t>(
             (std::uint64_t(1) << (32 - Block.PrefixLength_)) - 1);
}

} // namespace

/// Turns nested blocks into ranges, page by page, in one pass over the sorted
/// blocks. Blocks that enclose the present address stand on a stack of at most
/// 33, one for each length.
class ClientTable::Builder {
public:
  Builder(const ClientTable &Before, Pages &Made)
      : Before_(Before), Made_(Made) {}

  void add(const ClientBlock &Block) {
    closeBefore(Block.Network_);
    begin(Block.Network_, Block.SiteIndex_);
    Open_.push_back(Block);
  }

  void finish() {
    closeBefore(std::uint64_t(1) << 32);
    while (Page_ < PageCount)
      storePage();
  }

private:
  /// Ends the enclosing blocks that end before \p Address; after each, the
  /// block around it goes on.
  void closeBefore(std::uint64_t Address) {
    while (!Open_.empty() && lastAddressOf(Open_.back()) < Address) {
      const std::uint64_t Next = std::uint64_t(lastAddressOf(Open_.back())) + 1;
      Open_.pop_back();
      const std::uint16_t Around =
          Open_.empty() ? NoSite : Open_.back().SiteIndex_;
      if (Next >> 32 == 0)
        begin(static_cast<std::uint32_t>(Next), Around);
    }
  }

  /// From \p Address on, \p Site is in force.
  void begin(std::uint32_t Address, std::uint16_t Site) {
    const std::uint32_t PageIndex = Address >> PageBits;
    while (Page_ < PageIndex)
      storePage();
    const auto Start = static_cast<std::uint16_t>(Address & LastOfPage);
    if (!Building_.Starts_.empty() && Building_.Starts_.back() == Start) {
      Building_.Starts_.pop_back();
      Building_.Sites_.pop_back();
    }
    const std::uint16_t Last =
        Building_.Sites_.empty() ? Entry_ : Building_.Sites_.back();
    if (Last != Site || (Building_.Starts_.empty() && Start == 0)) {
      Building_.Starts_.push_back(Start);
      Building_.Sites_.push_back(Site);
    }
    Current_ = Site;
  }

  /// Ends the page under construction and goes on to the next one. A page
  /// that begins inside a range begins with that range's site.
  void storePage() {
    if (Building_.Starts_.empty() || Building_.Starts_.front() != 0) {
      Building_.Starts_.insert(Building_.Starts_.begin(), 0);
      Building_.Sites_.insert(Building_.Sites_.begin(), Entry_);
    }
    const bool Empty =
        Building_.Sites_.size() == 1 && Building_.Sites_.front() == NoSite;
    if (!Empty)
      Made_[Page_] = shareOrKeep();
    Building_.Starts_.clear();
    Building_.Sites_.clear();
    Entry_ = Current_;
    ++Page_;
  }

  std::shared_ptr<const Page> shareOrKeep() {
    if (!Before_.Pages_.empty()) {
      const std::shared_ptr<const Page> &Old = Before_.Pages_[Page_];
      if (Old != nullptr && *Old == Building_)
        return Old;
    }
    // A copy, so that the page takes no more room than its ranges.
    return std::make_shared<const Page>(Building_);
  }

  const ClientTable &Before_;
  Pages &Made_;
  std::vector<ClientBlock> Open_;
  Page Building_;
  std::uint32_t Page_ = 0;
  /// The site in force where the page under construction begins.
  std::uint16_t Entry_ = NoSite;
  std::uint16_t Current_ = NoSite;
};

ClientTable::ClientTable(std::span<const ClientBlock> Blocks,
                         const ClientTable &Before) {
  assert(std::is_sorted(Blocks.begin(), Blocks.end()) &&
         "the builder passes over the blocks once, in the order of addresses");
  if (Blocks.empty())
    return;
  Pages_.resize(PageCount);
  Builder Building(Before, Pages_);
  for (const ClientBlock &Block : Blocks)
    Building.add(Block);
  Building.finish();
}

std::optional<std::uint16_t>
ClientTable::find(std::uint32_t Address) const noexcept {
  if (Pages_.empty())
    return std::nullopt;
  const Page *Home = Pages_[Address >> PageBits].get();
  if (Home == nullptr)
    return std::nullopt;
  const auto Offset = static_cast<std::uint16_t>(Address & LastOfPage);
  const auto After =
      std::upper_bound(Home->Starts_.begin(), Home->Starts_.end(), Offset);
  const std::uint16_t Site =
      Home->Sites_[static_cast<std::size_t>(After - Home->Starts_.begin()) - 1];
  if (Site == NoSite)
    return std::nullopt;
  return Site;
}

std::size_t ClientTable::bytes() const noexcept {
  std::size_t Sum = Pages_.capacity() * sizeof(Pages_[0]);
  // The two counters of a shared pointer stand in front of its page.
  constexpr std::size_t ControlBytes = 16;
  for (const auto &Each : Pages_)
    if (Each != nullptr)
      Sum += sizeof(Page) + ControlBytes +
             sizeof(std::uint16_t) *
                 (Each->Starts_.capacity() + Each->Sites_.capacity());
  return Sum;
}

std::size_t ClientTable::sharedPages(const ClientTable &Other) const noexcept {
  if (Pages_.empty() || Other.Pages_.empty())
    return 0;
  std::size_t Shared = 0;
  for (std::size_t Index = 0; Index < PageCount; ++Index)
    Shared += Pages_[Index] != nullptr && Pages_[Index] == Other.Pages_[Index];
  return Shared;
}

} // namespace lychee::settings
