#ifndef LYCHEE_GATEWAY_VOCABULARY_H
#define LYCHEE_GATEWAY_VOCABULARY_H

#include <string>
#include <string_view>
#include <vector>

namespace lychee::gateway {

/// The header names by which callers, targets and this host understand each
/// other. The defaults are the product's own; a deployment that speaks other
/// names hands them in once, and no other code knows them.
/// \see HeaderPolicy, CallerRequest
struct Vocabulary {
  std::string RequestId_ = "Lychee-Request-Id";
  std::string Deadline_ = "Lychee-Deadline-Ms";
  std::string Customer_ = "Lychee-Customer";
  /// Tells a target which start of it is meant; empty: not told.
  std::string ExpectedTarget_;
  /// A target says by this header that it did not run the request.
  std::string NotRun_ = "Lychee-Ran";
  /// The value that says so; empty: any.
  std::string NotRunValue_ = "no";
  /// Running, waiting and slots of a target, separated by commas, and
  /// optionally how long work takes there now (100: as usual); empty: not told
  /// in answers.
  std::string TargetLoad_;
  /// Headers in which a target states the requests per second that it takes
  /// from all hosts together; the first one present counts.
  std::vector<std::string> TargetRate_;
  /// Headers by which a target says that it leaves; the first one present
  /// counts.
  std::vector<std::string> TargetLeaving_;
  // Between hosts: a host that does not reach the targets forwards requests to
  // one that does.
  /// The host that forwards the request.
  std::string ForwardedBy_ = "Lychee-Forwarded-By";
  /// Number of targets that the request may be sent to.
  std::string SendsLeft_ = "Lychee-Sends-Left";
  /// Of an answer to it: number of sends to targets that were made for it.
  std::string SendsMade_ = "Lychee-Sends-Made";
  /// Why a host refuses a request.
  std::string Reason_ = "Lychee-Reason";
  /// Of a request: the oldest version of the settings by which it may be
  /// decided; of an answer to it: the version of the host that answers.
  std::string SettingsVersion_ = "Lychee-Settings-Version";
  /// Cookie that names the object a request is about; empty: there is none.
  std::string ObjectCookie_;
  /// No caller or target may set a header whose name begins so; empty: only
  /// the names above are ours to set.
  std::string ReservedPrefix_ = "lychee-";
  /// The caller names its request, the name goes on to the target, and the
  /// target repeats it in the answer.
  bool CallerNamesRequest_ = false;
  /// Callers read fractions of a second in Retry-After.
  bool FractionalRetryAfter_ = false;
};

} // namespace lychee::gateway

#endif
