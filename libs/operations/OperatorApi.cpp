#include "operations/OperatorApi.h"

#include "operations/SecretScan.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lychee::operations {

namespace {

using boost::asio::awaitable;

/// Other teams' changes overtake one while it is validated; more than this
/// many in a row means that the store is hammered, and waiting helps more.
constexpr int CommitAttempts = 5;

std::string teamOf(std::string_view Path) {
  return std::string(Path.substr(0, Path.find('/')));
}

void fail(OperatorError &Last, Failure Kind, std::string Step,
          std::string Reason) {
  Last.Kind_ = Kind;
  Last.Cause_ = {std::move(Step), "", std::move(Reason)};
}

/// Keeps step and peer of what the store said.
void failAs(OperatorError &Last, Failure Kind, base::Error Cause) {
  Last.Kind_ = Kind;
  Last.Cause_ = std::move(Cause);
}

std::string summarize(const settings::SettingsChange &Change) {
  return std::to_string(Change.Paths_.size()) +
         (Change.Paths_.size() == 1 ? " document" : " documents");
}

} // namespace

std::string_view nameOf(Failure Kind) noexcept {
  switch (Kind) {
  case Failure::None:
    return "done";
  case Failure::Denied:
    return "denied";
  case Failure::Invalid:
    return "invalid";
  case Failure::Conflict:
    return "conflict";
  case Failure::NotFound:
    return "not-found";
  case Failure::Unavailable:
    return "unavailable";
  case Failure::Unknown:
    return "unknown";
  }
  return "unknown";
}

OperatorApi::OperatorApi(store::Store &Kept, const FleetView &Fleet,
                         std::string BootstrapHash, base::Duration Patience)
    : Settings_(Kept, Patience), History_(Kept, Patience), Fleet_(Fleet),
      Guard_(std::move(BootstrapHash)) {}

void OperatorApi::Draft::put(const std::string &Path, const std::string &Text) {
  const auto Present = Tree_.Documents_.find(Path);
  if (Present != Tree_.Documents_.end() && Present->second == Text)
    return;
  Tree_.Documents_[Path] = Text;
  Change_.Paths_.push_back(Path);
}

void OperatorApi::Draft::remove(const std::string &Path) {
  Tree_.Documents_.erase(Path);
  Change_.Paths_.push_back(Path);
}

std::optional<Session> OperatorApi::open(const std::string &Token,
                                         OperatorError &Last) const {
  const auto Opened = Guard_.check(Token, Fleet_.intent().get());
  if (!Opened)
    fail(Last, Failure::Denied, "token", "the token opens no team's paths");
  return Opened;
}

OperatorApi::Awaited<Accepted> OperatorApi::change(ChangeHeader Header,
                                                   Edit Made, std::string Token,
                                                   base::WallPoint Now,
                                                   OperatorError &Last) {
  const auto Operator = open(Token, Last);
  if (!Operator)
    co_return std::nullopt;
  settings::SettingsChange Change;
  Change.ChangeId_ = std::move(Header.ChangeId_);
  Change.Author_ = std::move(Header.Author_);
  Change.Team_ = Operator->Team_;
  Change.Time_ = Now;
  for (int Attempt = 0; Attempt < CommitAttempts; ++Attempt) {
    Accepted Done;
    const CommitStatus Status =
        co_await attempt(Change, Made, *Operator, Done, Last);
    if (Status == CommitStatus::Committed)
      co_return Done;
    if (Status != CommitStatus::Overtaken)
      co_return std::nullopt;
  }
  fail(Last, Failure::Unavailable, "settings.commit",
       "other changes came first five times in a row; try again");
  co_return std::nullopt;
}

awaitable<CommitStatus>
OperatorApi::attempt(const settings::SettingsChange &Change, const Edit &Made,
                     const Session &Operator, Accepted &Done,
                     OperatorError &Last) {
  const auto Seen = co_await load(Last);
  if (!Seen)
    co_return CommitStatus::Failed;
  if (const auto *Earlier = Seen->Root_.findChange(Change.ChangeId_)) {
    Done = {Earlier->Version_};
    co_return CommitStatus::Committed;
  }
  Draft Drafted{*Seen, Operator, Seen->Tree_, Change};
  if (!Made(Drafted, Last))
    co_return CommitStatus::Failed;
  if (Drafted.Change_.Paths_.empty()) {
    Done = {Seen->Root_.Version_, false};
    co_return CommitStatus::Committed;
  }
  if (!validate(Drafted, Last))
    co_return CommitStatus::Failed;
  Done = {Seen->Root_.Version_ + 1};
  co_return co_await commit(Drafted, Last);
}

OperatorApi::Awaited<StoredSettings> OperatorApi::load(OperatorError &Last) {
  base::Error Cause;
  auto Seen = co_await Settings_.load(Cause);
  if (!Seen)
    failAs(Last, Failure::Unavailable, Cause);
  co_return Seen;
}

awaitable<CommitStatus> OperatorApi::commit(Draft &Made, OperatorError &Last) {
  base::Error Cause;
  const CommitStatus Status =
      co_await Settings_.commit(Made.Seen_, Made.Tree_, Made.Change_, Cause);
  if (Status == CommitStatus::Unknown)
    failAs(Last, Failure::Unknown, Cause);
  if (Status == CommitStatus::Failed)
    failAs(Last, Failure::Unavailable, Cause);
  if (Status != CommitStatus::Committed)
    co_return Status;
  Made.Change_.Version_ = Made.Seen_.Root_.Version_ + 1;
  co_await remember(Made.Seen_.Root_, Made.Change_);
  co_return Status;
}

/// The history is written after the change, so that it never tells of one that
/// was not made. A host that dies in between leaves a gap, which the next
/// change fills from the root.
awaitable<void> OperatorApi::remember(const settings::SettingsRoot &Seen,
                                      const settings::SettingsChange &Made) {
  base::Error Ignored;
  if (!Seen.Recent_.empty())
    co_await History_.append(toEntry(Seen.Recent_.front()), Ignored);
  co_await History_.append(toEntry(Made), Ignored);
}

bool OperatorApi::validate(const Draft &Made, OperatorError &Last) {
  const auto Wanted = settings::parseIntent(Made.Tree_, Last.Problems_);
  if (Wanted)
    for (const std::string &Path : Made.Change_.Paths_)
      if (const auto Text = Made.Tree_.Documents_.find(Path);
          Text != Made.Tree_.Documents_.end())
        findKeys(Path, Text->second, *Wanted, Last.Problems_);
  if (Last.Problems_.empty())
    return true;
  fail(Last, Failure::Invalid, "settings.check",
       std::to_string(Last.Problems_.size()) + " problems; nothing changed");
  return false;
}

bool OperatorApi::checkBase(const ApplyRequest &Request, const Draft &Made,
                            OperatorError &Last) {
  std::uint64_t Newest = 0;
  for (const base::TeamId &Team : Request.Teams_) {
    const auto Entry = Made.Seen_.Root_.TeamVersions_.find(Team);
    if (Entry != Made.Seen_.Root_.TeamVersions_.end())
      Newest = std::max(Newest, Entry->second);
  }
  if (Newest <= Request.BaseVersion_)
    return true;
  fail(Last, Failure::Conflict, "settings.apply",
       "the subtree changed after version " +
           std::to_string(Request.BaseVersion_) + "; nothing changed");
  const std::set<std::string> Teams = [&Request] {
    std::set<std::string> Names;
    for (const base::TeamId &Team : Request.Teams_)
      Names.insert(Team.name());
    return Names;
  }();
  const auto IsOurs = [&Teams](const std::string &Path) {
    return Teams.contains(teamOf(Path));
  };
  for (const settings::SettingsChange &Each : Made.Seen_.Root_.Recent_)
    if (Each.Version_ > Request.BaseVersion_ &&
        std::any_of(Each.Paths_.begin(), Each.Paths_.end(), IsOurs))
      Last.Overtaking_.push_back(Each);
  Last.PresentVersion_ = Made.Seen_.Root_.Version_;
  for (const auto &[Path, Text] : Made.Seen_.Tree_.Documents_)
    if (IsOurs(Path))
      Last.Present_.emplace(Path, Text);
  return false;
}

bool OperatorApi::applyDocuments(const ApplyRequest &Request, Draft &Made,
                                 OperatorError &Last) {
  std::set<std::string> Teams;
  for (const base::TeamId &Team : Request.Teams_) {
    Teams.insert(Team.name());
    if (Made.Operator_.opens(Team.name()))
      continue;
    fail(Last, Failure::Denied, "settings.apply",
         "the token does not open the subtree of team " + Team.name());
    return false;
  }
  for (const auto &[Path, Text] : Request.Documents_) {
    if (Teams.contains(teamOf(Path)))
      continue;
    fail(Last, Failure::Denied, "settings.apply",
         Path + " stands in no subtree that is applied");
    return false;
  }
  for (const auto &[Path, Text] : Made.Seen_.Tree_.Documents_)
    if (Teams.contains(teamOf(Path)) && !Request.Documents_.contains(Path))
      Made.remove(Path);
  for (const auto &[Path, Text] : Request.Documents_)
    Made.put(Path, Text);
  Made.Change_.Kind_ = "apply";
  Made.Change_.Summary_ = summarize(Made.Change_);
  // What stands there already conflicts with nobody, whatever it was read at.
  return Made.Change_.Paths_.empty() || checkBase(Request, Made, Last);
}

OperatorApi::Awaited<Accepted> OperatorApi::apply(ApplyRequest Request,
                                                  std::string Token,
                                                  base::WallPoint Now,
                                                  OperatorError &Last) {
  const ChangeHeader Header = Request.Header_;
  co_return co_await change(
      Header,
      [&Request](Draft &Made, OperatorError &Why) {
        return applyDocuments(Request, Made, Why);
      },
      std::move(Token), Now, Last);
}

OperatorApi::Awaited<Preview> OperatorApi::preview(ApplyRequest Request,
                                                   std::string Token,
                                                   OperatorError &Last) {
  const auto Operator = open(Token, Last);
  if (!Operator)
    co_return std::nullopt;
  const auto Seen = co_await load(Last);
  if (!Seen)
    co_return std::nullopt;
  // Shows what stands there now, whatever version the operator read.
  Request.BaseVersion_ = Seen->Root_.Version_;
  Draft Drafted{*Seen, *Operator, Seen->Tree_, {}};
  if (!applyDocuments(Request, Drafted, Last))
    co_return std::nullopt;
  Preview Result;
  Result.Version_ = Seen->Root_.Version_;
  OperatorError Invalid;
  if (!validate(Drafted, Invalid))
    Result.Problems_ = std::move(Invalid.Problems_);
  for (const auto &[Path, Text] : Seen->Tree_.Documents_)
    if (std::find(Request.Teams_.begin(), Request.Teams_.end(),
                  base::TeamId(teamOf(Path))) != Request.Teams_.end())
      Result.Present_.emplace(Path, Text);
  co_return Result;
}

OperatorApi::Awaited<ShownSettings> OperatorApi::show(std::string Token,
                                                      OperatorError &Last) {
  const auto Operator = open(Token, Last);
  if (!Operator)
    co_return std::nullopt;
  const auto Seen = co_await load(Last);
  if (!Seen)
    co_return std::nullopt;
  ShownSettings Shown;
  Shown.Version_ = Seen->Root_.Version_;
  for (const auto &[Path, Text] : Seen->Tree_.Documents_)
    if (Operator->opens(Path))
      Shown.Documents_.emplace(Path, Text);
  co_return Shown;
}

OperatorApi::Awaited<std::vector<HistoryEntry>>
OperatorApi::history(std::size_t Limit, base::WallPoint Until,
                     std::string Token, OperatorError &Last) {
  if (!open(Token, Last))
    co_return std::nullopt;
  const auto Seen = co_await load(Last);
  if (!Seen)
    co_return std::nullopt;
  std::vector<HistoryEntry> Known;
  Known.reserve(Seen->Root_.Recent_.size());
  for (const settings::SettingsChange &Each : Seen->Root_.Recent_)
    Known.push_back(toEntry(Each));
  base::Error Cause;
  auto Found = co_await History_.newest(Limit, Until, Known, Cause);
  if (!Found)
    failAs(Last, Failure::Unavailable, Cause);
  co_return Found;
}

std::optional<HostStatus> OperatorApi::status(const std::string &Token,
                                              base::TimePoint Now,
                                              OperatorError &Last) {
  if (!open(Token, Last))
    return std::nullopt;
  return Fleet_.status(Now);
}

std::optional<std::vector<MemberStatus>>
OperatorApi::members(const std::string &Token, OperatorError &Last) {
  if (!open(Token, Last))
    return std::nullopt;
  return Fleet_.members();
}

std::optional<std::vector<std::string>>
OperatorApi::explain(const base::RequestId &Request, const std::string &Token,
                     OperatorError &Last) {
  if (!open(Token, Last))
    return std::nullopt;
  std::vector<std::string> Lines = Fleet_.explain(Request);
  if (!Lines.empty())
    return Lines;
  fail(Last, Failure::NotFound, "explain",
       "this host remembers no decision on the request");
  return std::nullopt;
}

} // namespace lychee::operations
