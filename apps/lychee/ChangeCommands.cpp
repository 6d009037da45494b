#include "Answers.h"

#include "operations/Json.h"
#include "settings/KeyRing.h"

#include <iostream>

namespace lychee::command {

namespace {

/// 192 random bits: beyond guessing, at any rate that a fleet lets through.
constexpr std::size_t SecretBytes = 24;
constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SuffixBytes = 4;

/// A key's id has at most 40 characters; hyphen and suffix take nine.
constexpr std::size_t LongestIdStem = 31;

ExitCode addKey(const Options &Given) {
  const std::string &Customer = Given.Words_[1];
  std::string Stem = Customer.substr(0, LongestIdStem);
  while (Stem.ends_with('-'))
    Stem.pop_back();
  const std::string Id = Stem + "-" + drawHex(SuffixBytes);
  const std::string Key = Id + "." + drawHex(SecretBytes);
  const std::string Salt = drawHex(SaltBytes);
  Json::Value Parameters;
  Parameters["customer"] = Customer;
  Parameters["key"] = Id;
  Parameters["salt"] = Salt;
  Parameters["hash"] = settings::hashKey(Salt, Key);
  Json::Value Answer;
  const ExitCode Code = makeChange(Given, "operator.key-add", Parameters,
                                   Answer, {{"key", Key}, {"key_id", Id}});
  if (Code == ExitCode::Unknown)
    std::cerr << "The key may have been added. Its secret is gone: lychee key "
                 "withdraw "
              << Id << ", then add another.\n";
  return Code;
}

} // namespace

ExitCode runKey(const Options &Given) {
  if (Given.Words_.size() != 2)
    return usageError("key add CUSTOMER or key withdraw KEY-ID is wanted");
  if (Given.Words_[0] == "add")
    return addKey(Given);
  if (Given.Words_[0] != "withdraw")
    return usageError("key takes add or withdraw");
  // A whole key on the command line is known to the shell's history; the id is
  // enough, so the secret goes no further.
  const std::string &Word = Given.Words_[1];
  Json::Value Parameters;
  Parameters["key"] = Word.substr(0, Word.find('.'));
  Json::Value Answer;
  return makeChange(Given, "operator.key-withdraw", Parameters, Answer);
}

ExitCode runDrain(const Options &Given) {
  if (Given.Words_.size() != 2 ||
      (Given.Words_[0] != "host" && Given.Words_[0] != "target"))
    return usageError("drain host NAME or drain target NAME is wanted");
  Json::Value Parameters;
  Parameters["kind"] = Given.Words_[0];
  Parameters["name"] = Given.Words_[1];
  Parameters["undo"] = Given.Undo_;
  Json::Value Answer;
  return makeChange(Given, "operator.drain", Parameters, Answer);
}

ExitCode runShift(const Options &Given) {
  if (Given.Words_.size() != 2)
    return usageError("shift start|pause|abort PLAN is wanted");
  Json::Value Parameters;
  Parameters["action"] = Given.Words_[0];
  Parameters["plan"] = Given.Words_[1];
  Json::Value Answer;
  return makeChange(Given, "operator.shift", Parameters, Answer);
}

} // namespace lychee::command
