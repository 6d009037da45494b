#include "operations/IniEditor.h"
#include "operations/OperatorApi.h"

#include "settings/IntentParser.h"
#include "settings/Values.h"
#include "shifting/ShiftPlan.h"

#include <utility>

namespace lychee::operations {

namespace {

void failEdit(OperatorError &Last, Failure Kind, std::string Step,
              std::string Reason) {
  Last.Kind_ = Kind;
  Last.Cause_ = {std::move(Step), "", std::move(Reason)};
}

/// \returns the path of the document in which a section stands, or nothing.
std::optional<std::string> findSection(const settings::SettingsTree &Tree,
                                       SectionName Section) {
  for (const auto &[Path, Text] : Tree.Documents_)
    if (hasSection(Text, Section))
      return Path;
  return std::nullopt;
}

/// Names come from outside and go into INI text: one with a line break would
/// write sections of its own.
bool checkName(const std::string &Kind, const std::string &Name,
               OperatorError &Last) {
  if (settings::isName(Name))
    return true;
  failEdit(Last, Failure::Invalid, "settings.edit",
           "no name of a " + Kind +
               ": 1 to 40 lower-case letters, digits and "
               "inner hyphens");
  return false;
}

/// \returns \p Text with a section at its end.
std::string withSection(std::string Text, const std::string &Section) {
  if (!Text.empty() && !Text.ends_with('\n'))
    Text += '\n';
  return Text + (Text.empty() ? "" : "\n") + Section;
}

/// \returns the plan as its document says it, a plan of nothing if none does.
shifting::ShiftPlan readPlan(const settings::SettingsTree &Tree,
                             const std::string &Name) {
  using State = shifting::ShiftPlan::State;
  const auto Path = findSection(Tree, {"shift", Name});
  if (!Path)
    return {};
  settings::IntentDraft Document;
  settings::Problems Ignored;
  settings::readDocument(*Path, Tree.Documents_.at(*Path), Document, Ignored);
  const settings::ShiftPlan Read = Document.Wanted_.Plans_[base::PlanId(Name)];
  shifting::ShiftPlan Plan;
  Plan.Id_ = Read.Id_;
  Plan.Cap_ = Read.Cap_;
  Plan.Step_ = Read.Step_;
  Plan.Pace_ = Read.Pace_;
  Plan.StateSince_ = Read.Start_;
  Plan.ReachedShare_ = Read.Reached_;
  Plan.State_ = Read.State_ == settings::ShiftPlan::State::Held ? State::Held
                : Read.State_ == settings::ShiftPlan::State::Aborted
                    ? State::Aborted
                    : State::Running;
  return Plan;
}

/// \returns the plan after the action; as it is where it stands so already.
shifting::ShiftPlan act(const shifting::ShiftPlan &Plan,
                        ShiftRequest::Action Action, base::WallPoint Now) {
  using State = shifting::ShiftPlan::State;
  if (Action == ShiftRequest::Action::Start)
    return Plan.State_ == State::Running ? Plan
                                         : shifting::resumePlan(Plan, Now);
  if (Action == ShiftRequest::Action::Pause)
    return Plan.State_ == State::Held ? Plan : shifting::holdPlan(Plan, Now);
  return Plan.State_ == State::Aborted ? Plan : shifting::abortPlan(Plan, Now);
}

const char *stateName(shifting::ShiftPlan::State State) noexcept {
  switch (State) {
  case shifting::ShiftPlan::State::Running:
    return "running";
  case shifting::ShiftPlan::State::Held:
    return "held";
  case shifting::ShiftPlan::State::Aborted:
    return "aborted";
  }
  return "held";
}

} // namespace

bool OperatorApi::setInSection(Draft &Made, const std::string &Kind,
                               const std::string &Name, const std::string &Key,
                               const std::string &Value, OperatorError &Last) {
  if (!checkName(Kind, Name, Last))
    return false;
  const auto Path = findSection(Made.Tree_, {Kind, Name});
  if (!Path) {
    failEdit(Last, Failure::NotFound, "settings.edit",
             "the settings hold no [" + Kind + " " + Name + "]");
    return false;
  }
  if (!Made.Operator_.opens(*Path)) {
    failEdit(Last, Failure::Denied, "settings.edit",
             "the token does not open " + *Path);
    return false;
  }
  const auto Text =
      setEntry(Made.Tree_.Documents_.at(*Path), {Kind, Name}, Key, Value);
  Made.put(*Path, Text.value_or(Made.Tree_.Documents_.at(*Path)));
  return true;
}

OperatorApi::Awaited<Accepted> OperatorApi::drain(DrainRequest Request,
                                                  std::string Token,
                                                  base::WallPoint Now,
                                                  OperatorError &Last) {
  const bool OfHost = Request.Kind_ == DrainRequest::Kind::Host;
  const std::string Kind = OfHost ? "host" : "target";
  const auto Editing = [&Request, OfHost, &Kind](Draft &Made,
                                                 OperatorError &Why) {
    Made.Change_.Kind_ = Request.Undo_ ? "drain-undo" : "drain";
    Made.Change_.Summary_ = Kind + " " + Request.Name_;
    const SectionName Section{Kind, Request.Name_};
    const char *Leaving = Request.Undo_ ? "no" : "yes";
    if (!OfHost || findSection(Made.Tree_, Section))
      return setInSection(Made, Kind, Request.Name_, "leaving", Leaving, Why);
    // Hosts stand in the settings only once they have been drained.
    static const std::string Path = "network/hosts.ini";
    if (!checkName(Kind, Request.Name_, Why))
      return false;
    if (!Made.Operator_.opens(Path)) {
      failEdit(Why, Failure::Denied, "settings.edit",
               "the token does not open " + Path);
      return false;
    }
    Made.put(Path, withSection(Made.Tree_.Documents_[Path],
                               "[host " + Request.Name_ +
                                   "]\nleaving = " + Leaving + "\n"));
    return true;
  };
  const ChangeHeader Header = Request.Header_;
  co_return co_await change(Header, Editing, std::move(Token), Now, Last);
}

OperatorApi::Awaited<Accepted> OperatorApi::addKey(KeyAddRequest Request,
                                                   std::string Token,
                                                   base::WallPoint Now,
                                                   OperatorError &Last) {
  const auto Editing = [&Request](Draft &Made, OperatorError &Why) {
    const std::string Customer = Request.Customer_.name();
    if (!checkName("customer", Customer, Why) ||
        !checkName("key", Request.Key_.name(), Why))
      return false;
    if (!settings::isHexadecimal(Request.Salt_) ||
        !settings::isHexadecimal(Request.Hash_)) {
      failEdit(Why, Failure::Invalid, "key.add", "salt and hash are not hex");
      return false;
    }
    const auto Owner = findSection(Made.Tree_, {"customer", Customer});
    if (!Owner || !Made.Operator_.opens(*Owner)) {
      failEdit(Why, Owner ? Failure::Denied : Failure::NotFound, "key.add",
               Owner ? "the token does not open " + *Owner
                     : "the settings hold no [customer " + Customer + "]");
      return false;
    }
    Made.Change_.Kind_ = "key-add";
    Made.Change_.Summary_ = "key " + Request.Key_.name() + " of " + Customer;
    const std::string Path = Owner->substr(0, Owner->find('/')) + "/keys.ini";
    Made.put(Path, withSection(Made.Tree_.Documents_[Path],
                               "[key " + Request.Key_.name() +
                                   "]\ncustomer = " + Customer +
                                   "\nsalt = " + Request.Salt_ +
                                   "\nhash = " + Request.Hash_ + "\n"));
    return true;
  };
  const ChangeHeader Header = Request.Header_;
  co_return co_await change(Header, Editing, std::move(Token), Now, Last);
}

OperatorApi::Awaited<Accepted>
OperatorApi::withdrawKey(KeyWithdrawRequest Request, std::string Token,
                         base::WallPoint Now, OperatorError &Last) {
  const auto Editing = [&Request](Draft &Made, OperatorError &Why) {
    Made.Change_.Kind_ = "key-withdraw";
    Made.Change_.Summary_ = "key " + Request.Key_.name();
    return setInSection(Made, "key", Request.Key_.name(), "withdrawn", "yes",
                        Why);
  };
  const ChangeHeader Header = Request.Header_;
  co_return co_await change(Header, Editing, std::move(Token), Now, Last);
}

OperatorApi::Awaited<Accepted> OperatorApi::shift(ShiftRequest Request,
                                                  std::string Token,
                                                  base::WallPoint Now,
                                                  OperatorError &Last) {
  static constexpr const char *Kinds[] = {"shift-start", "shift-pause",
                                          "shift-abort"};
  const auto Editing = [&Request, Now](Draft &Made, OperatorError &Why) {
    const std::string Name = Request.Plan_.name();
    Made.Change_.Kind_ = Kinds[static_cast<std::size_t>(Request.Action_)];
    Made.Change_.Summary_ = "shift " + Name;
    const auto Plan = readPlan(Made.Tree_, Name);
    if (!checkName("shift", Name, Why))
      return false;
    // The share reached stands in the settings, so that a host that starts
    // later comes to the same one as those that saw the plan move.
    const shifting::ShiftPlan Acted = act(Plan, Request.Action_, Now);
    return setInSection(Made, "shift", Name, "reached",
                        std::to_string(Acted.ReachedShare_), Why) &&
           setInSection(Made, "shift", Name, "start",
                        settings::formatWallTime(Acted.StateSince_), Why) &&
           setInSection(Made, "shift", Name, "state", stateName(Acted.State_),
                        Why);
  };
  const ChangeHeader Header = Request.Header_;
  co_return co_await change(Header, Editing, std::move(Token), Now, Last);
}

} // namespace lychee::operations
