#include "fleet/SettingsReplica.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace lychee::fleet {

bool SettingsReplica::offerRoot(std::uint64_t StoreVersion,
                                std::string_view Text, base::Error &Last) {
  if (StoreVersion <= newest())
    return true;
  std::optional<settings::SettingsRoot> Parsed =
      settings::decodeRoot(Text, Last);
  if (!Parsed)
    return false;
  Coming_ = Root{StoreVersion, std::string(Text), std::move(*Parsed)};
  enforceIfWhole();
  return true;
}

std::uint64_t SettingsReplica::newest() const noexcept {
  return Coming_ ? Coming_->StoreVersion_ : InForce_.StoreVersion_;
}

std::vector<std::string> SettingsReplica::missing() const {
  std::set<std::string> Wanted;
  if (Coming_)
    for (const auto &[Path, Hash] : Coming_->Parsed_.Documents_)
      if (!Chunks_.contains(Hash))
        Wanted.insert(Hash);
  return {Wanted.begin(), Wanted.end()};
}

bool SettingsReplica::offerChunk(const std::string &Hash, std::string Text) {
  if (base::sha256Hex(Text) != Hash)
    return false;
  const std::vector<std::string> Wanted = missing();
  if (std::find(Wanted.begin(), Wanted.end(), Hash) == Wanted.end())
    return true;
  Chunks_.insert_or_assign(Hash, std::move(Text));
  enforceIfWhole();
  return true;
}

void SettingsReplica::enforceIfWhole() {
  if (!Coming_ || !missing().empty())
    return;
  InForce_ = std::move(*Coming_);
  Coming_.reset();
  Tree_ = {};
  Tree_.Version_ = InForce_.Parsed_.Version_;
  std::map<std::string, std::string> Used;
  for (const auto &[Path, Hash] : InForce_.Parsed_.Documents_) {
    Tree_.Documents_[Path] = Chunks_.at(Hash);
    Used[Hash] = Chunks_.at(Hash);
  }
  Chunks_ = std::move(Used);
  if (ConfirmedVersion_ == InForce_.StoreVersion_)
    FreshAt_ = std::max(FreshAt_.value_or(ConfirmedAt_), ConfirmedAt_);
}

void SettingsReplica::confirmNewest(std::uint64_t StoreVersion,
                                    base::TimePoint At) {
  // From a side that is behind: it proves nothing about what it cannot see.
  if (StoreVersion < newest())
    return;
  if (StoreVersion == InForce_.StoreVersion_) {
    FreshAt_ = std::max(FreshAt_.value_or(At), At);
    return;
  }
  ConfirmedVersion_ = StoreVersion;
  ConfirmedAt_ = At;
}

std::optional<base::Duration> SettingsReplica::age(base::TimePoint Now) const {
  if (!FreshAt_)
    return std::nullopt;
  return Now - *FreshAt_;
}

const std::string *
SettingsReplica::chunk(const std::string &Hash) const noexcept {
  const auto Found = Chunks_.find(Hash);
  return Found == Chunks_.end() ? nullptr : &Found->second;
}

} // namespace lychee::fleet
