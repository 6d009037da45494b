#include "fleet/SettingsReplica.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace lychee::fleet {

bool SettingsReplica::addRoot(std::uint64_t StoreVersion, std::string_view Text,
                              base::Error &Last) {
  if (StoreVersion <= newestVersion())
    return true;
  std::optional<settings::SettingsRoot> Parsed =
      settings::decodeRoot(Text, Last);
  if (!Parsed)
    return false;
  Pending_ = Root{StoreVersion, std::string(Text), std::move(*Parsed)};
  applyIfComplete();
  return true;
}

std::uint64_t SettingsReplica::newestVersion() const noexcept {
  return Pending_ ? Pending_->StoreVersion_ : Applied_.StoreVersion_;
}

std::vector<std::string> SettingsReplica::missingChunks() const {
  std::set<std::string> Wanted;
  if (Pending_)
    for (const auto &[Path, Hash] : Pending_->Parsed_.Documents_)
      if (!Chunks_.contains(Hash))
        Wanted.insert(Hash);
  return {Wanted.begin(), Wanted.end()};
}

bool SettingsReplica::addChunk(const std::string &Hash, std::string Text) {
  if (base::sha256Hex(Text) != Hash)
    return false;
  const std::vector<std::string> Wanted = missingChunks();
  if (std::find(Wanted.begin(), Wanted.end(), Hash) == Wanted.end())
    return true;
  Chunks_.insert_or_assign(Hash, std::move(Text));
  applyIfComplete();
  return true;
}

void SettingsReplica::applyIfComplete() {
  if (!Pending_ || !missingChunks().empty())
    return;
  Applied_ = std::move(*Pending_);
  Pending_.reset();
  Tree_ = {};
  Tree_.Version_ = Applied_.Parsed_.Version_;
  std::map<std::string, std::string> Used;
  for (const auto &[Path, Hash] : Applied_.Parsed_.Documents_) {
    Tree_.Documents_[Path] = Chunks_.at(Hash);
    Used[Hash] = Chunks_.at(Hash);
  }
  Chunks_ = std::move(Used);
  if (ConfirmedVersion_ == Applied_.StoreVersion_)
    FreshAt_ = std::max(FreshAt_.value_or(ConfirmedAt_), ConfirmedAt_);
}

void SettingsReplica::confirmNewest(std::uint64_t StoreVersion,
                                    base::TimePoint At) {
  // The confirming side is behind this host; it proves nothing about newer
  // roots.
  if (StoreVersion < newestVersion())
    return;
  if (StoreVersion == Applied_.StoreVersion_) {
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
