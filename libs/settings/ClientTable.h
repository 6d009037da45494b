#ifndef LYCHEE_SETTINGS_CLIENTTABLE_H
#define LYCHEE_SETTINGS_CLIENTTABLE_H

#include "settings/Intent.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace lychee::settings {

/// Finds the site of a caller's address among up to millions of client blocks.
/// Immutable; any thread may ask.
///
/// Addresses stand in pages of 65,536, one for each upper half of an address.
/// A page holds the starts of its ranges and their sites, 4 bytes a range, and
/// is shared with the table before where it did not change: while a change is
/// applied, both versions of the whole table are never in memory twice.
/// \see Intent::ClientBlocks_
class ClientTable {
public:
  ClientTable() = default;

  /// \param Blocks  sorted by network, then by length, each once: the more
  /// precise of two nested blocks wins.
  /// \param Before  pages equal to those of this table are shared with it.
  ClientTable(std::span<const ClientBlock> Blocks, const ClientTable &Before);

  /// \param Address  IPv4 address in host byte order.
  /// \returns the position of its site in Intent::SiteOrder_, or nothing.
  std::optional<std::uint16_t> find(std::uint32_t Address) const noexcept;

  /// \returns bytes that the pages and the index take, shared ones included.
  std::size_t bytes() const noexcept;

  /// \returns how many pages this table shares with \p Other.
  std::size_t sharedPages(const ClientTable &Other) const noexcept;

private:
  static constexpr std::uint16_t NoSite = 0xffff;
  static constexpr std::size_t PageCount = 65536;

  /// Ranges by start; each reaches up to the next one's start.
  struct Page {
    std::vector<std::uint16_t> Starts_;
    std::vector<std::uint16_t> Sites_;

    bool operator==(const Page &) const = default;
  };

  using Pages = std::vector<std::shared_ptr<const Page>>;

  class Builder;

  /// Empty, or PageCount long; null where a page has no site at all.
  Pages Pages_;
};

} // namespace lychee::settings

#endif
