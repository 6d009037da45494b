#ifndef LYCHEE_OPERATIONS_OPERATORAPI_H
#define LYCHEE_OPERATIONS_OPERATORAPI_H

#include "operations/FleetView.h"
#include "operations/History.h"
#include "operations/OperatorError.h"
#include "operations/SettingsStore.h"
#include "operations/TokenGuard.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lychee::operations {

/// What every change carries: who makes it, and the id by which it is told
/// again when the command is sent a second time.
struct ChangeHeader {
  std::string ChangeId_;
  std::string Author_;
};

/// New documents for whole subtrees: what stands in a named team's subtree and
/// is not among the documents is removed.
struct ApplyRequest {
  ChangeHeader Header_;
  /// The version at which the operator read the subtrees; 0 for none.
  std::uint64_t BaseVersion_ = 0;
  std::vector<base::TeamId> Teams_;
  std::map<std::string, std::string> Documents_;
};

struct DrainRequest {
  enum class Kind { Host, Target };

  ChangeHeader Header_;
  Kind Kind_ = Kind::Target;
  std::string Name_;
  /// Takes the drain back.
  bool Undo_ = false;
};

/// A key's hash: the operator's program draws the key and shows it, so the key
/// itself never crosses the network nor enters a daemon.
struct KeyAddRequest {
  ChangeHeader Header_;
  base::CustomerId Customer_;
  base::KeyId Key_;
  std::string Salt_;
  std::string Hash_;
};

struct KeyWithdrawRequest {
  ChangeHeader Header_;
  base::KeyId Key_;
};

struct ShiftRequest {
  enum class Action { Start, Pause, Abort };

  ChangeHeader Header_;
  Action Action_ = Action::Start;
  base::PlanId Plan_;
};

/// A change that is in the store and so will be in force everywhere.
struct Accepted {
  std::uint64_t Version_ = 0;
  /// False where everything stood like that already.
  bool Changed_ = true;
};

/// What applying documents would do, and the subtrees as they stand.
struct Preview {
  std::uint64_t Version_ = 0;
  settings::Problems Problems_;
  std::map<std::string, std::string> Present_;
};

/// Documents of the store that a token opens.
struct ShownSettings {
  std::uint64_t Version_ = 0;
  std::map<std::string, std::string> Documents_;
};

/// What operators may do, one method a command. Each change is validated over
/// the whole merged tree and written as one conditional update; two teams that
/// change their own subtrees at once both succeed, two operators of one team
/// do not: the second gets a conflict that tells whose change came first.
///
/// Validation takes time on a large tree (see docs/measurements/settings.md):
/// run the calls on a thread that serves no caller's request.
/// \see OperatorRpc for the form in which the calls arrive
class OperatorApi {
public:
  template <typename Result>
  using Awaited = boost::asio::awaitable<std::optional<Result>>;

  /// \param BootstrapHash  of the token that opens every path; may be empty.
  OperatorApi(store::Store &Kept, const FleetView &Fleet,
              std::string BootstrapHash,
              base::Duration Patience = SettingsStore::DefaultPatience);
  OperatorApi(const OperatorApi &) = delete;
  OperatorApi &operator=(const OperatorApi &) = delete;

  /// \copydoc SettingsStore::onCommit
  void onCommit(SettingsStore::CommitListener Told) {
    Settings_.onCommit(std::move(Told));
  }

  /// \name Changes
  /// Each returns nothing, and \p Last, where it was not made.
  /// @{
  Awaited<Accepted> apply(ApplyRequest Request, std::string Token,
                          base::WallPoint Now, OperatorError &Last);
  Awaited<Accepted> drain(DrainRequest Request, std::string Token,
                          base::WallPoint Now, OperatorError &Last);
  Awaited<Accepted> addKey(KeyAddRequest Request, std::string Token,
                           base::WallPoint Now, OperatorError &Last);
  Awaited<Accepted> withdrawKey(KeyWithdrawRequest Request, std::string Token,
                                base::WallPoint Now, OperatorError &Last);
  Awaited<Accepted> shift(ShiftRequest Request, std::string Token,
                          base::WallPoint Now, OperatorError &Last);
  /// @}

  /// Validates \p Request over the merged tree and writes nothing.
  Awaited<Preview> preview(ApplyRequest Request, std::string Token,
                           OperatorError &Last);

  Awaited<ShownSettings> show(std::string Token, OperatorError &Last);

  Awaited<std::vector<HistoryEntry>> history(std::size_t Limit,
                                             base::WallPoint Until,
                                             std::string Token,
                                             OperatorError &Last);

  /// \name From this host's memory, so they work without the store
  /// @{
  std::optional<HostStatus> status(const std::string &Token,
                                   base::TimePoint Now, OperatorError &Last);
  std::optional<std::vector<MemberStatus>> members(const std::string &Token,
                                                   OperatorError &Last);
  std::optional<std::vector<std::string>>
  explain(const base::RequestId &Request, const std::string &Token,
          OperatorError &Last);
  /// @}

private:
  /// A change in the making: the edit writes into it.
  struct Draft {
    const StoredSettings &Seen_;
    const Session &Operator_;
    settings::SettingsTree Tree_;
    settings::SettingsChange Change_;

    /// Puts a document's new text, unless it stands there already.
    void put(const std::string &Path, const std::string &Text);
    void remove(const std::string &Path);
  };

  /// \returns false, and \p Last, where the change may not be made.
  using Edit = std::function<bool(Draft &Made, OperatorError &Last)>;

  Awaited<Accepted> change(ChangeHeader Header, Edit Made, std::string Token,
                           base::WallPoint Now, OperatorError &Last);
  boost::asio::awaitable<CommitStatus>
  attempt(const settings::SettingsChange &Change, const Edit &Made,
          const Session &Operator, Accepted &Done, OperatorError &Last);
  Awaited<StoredSettings> load(OperatorError &Last);
  boost::asio::awaitable<CommitStatus> commit(Draft &Made, OperatorError &Last);
  boost::asio::awaitable<void> remember(const settings::SettingsRoot &Seen,
                                        const settings::SettingsChange &Made);
  std::optional<Session> open(const std::string &Token,
                              OperatorError &Last) const;

  static bool applyDocuments(const ApplyRequest &Request, Draft &Made,
                             OperatorError &Last);
  static bool checkBase(const ApplyRequest &Request, const Draft &Made,
                        OperatorError &Last);
  static bool setInSection(Draft &Made, const std::string &Kind,
                           const std::string &Name, const std::string &Key,
                           const std::string &Value, OperatorError &Last);
  static bool validate(const Draft &Made, OperatorError &Last);

  SettingsStore Settings_;
  History History_;
  const FleetView &Fleet_;
  const TokenGuard Guard_;
};

} // namespace lychee::operations

#endif
