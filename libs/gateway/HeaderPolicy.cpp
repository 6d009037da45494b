#include "gateway/HeaderPolicy.h"

#include "gateway/ProblemDocument.h"
#include "gateway/RetryAfter.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>

namespace lychee::gateway {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

std::string_view viewOf(boost::beast::string_view Text) noexcept {
  return {Text.data(), Text.size()};
}

/// Headers of one connection (RFC 9110 7.6.1), and those of the body's
/// framing, which are written anew.
constexpr std::array ConnectionFields{http::field::connection,
                                      http::field::keep_alive,
                                      http::field::proxy_connection,
                                      http::field::te,
                                      http::field::trailer,
                                      http::field::transfer_encoding,
                                      http::field::upgrade,
                                      http::field::content_length,
                                      http::field::expect,
                                      http::field::authorization,
                                      http::field::proxy_authorization,
                                      http::field::proxy_authenticate};

/// \returns whether only the gateway sets the header, so that neither side can
/// pose as it.
bool isReserved(std::string_view Name, const Vocabulary &Names) {
  for (const std::string *Each :
       {&Names.ForwardedBy_, &Names.SendsLeft_, &Names.SendsMade_,
        &Names.Reason_, &Names.SettingsVersion_})
    if (iequals(Name, *Each))
      return true;
  const std::string_view Prefix = Names.ReservedPrefix_;
  if (!Prefix.empty())
    return Name.size() >= Prefix.size() &&
           iequals(Name.substr(0, Prefix.size()), Prefix);
  return iequals(Name, Names.RequestId_) || iequals(Name, Names.Deadline_) ||
         iequals(Name, Names.Customer_) || iequals(Name, Names.ExpectedTarget_);
}

/// Which headers of a message stay behind.
template <typename Message> class Filter {
public:
  Filter(const Message &Head, std::string_view Secret, const Vocabulary &Names)
      : Names_(Names), Secret_(Secret),
        Connection_(Head[http::field::connection]),
        HasOthers_(!Connection_.empty() && !iequals(Connection_, "close") &&
                   !iequals(Connection_, "keep-alive")) {}

  bool passes(const typename Message::fields_type::value_type &Field) const {
    if (std::find(ConnectionFields.begin(), ConnectionFields.end(),
                  Field.name()) != ConnectionFields.end())
      return false;
    const std::string_view Name = viewOf(Field.name_string());
    if (isReserved(Name, Names_))
      return false;
    // The key copied to a second header would reach the target by that.
    if (!Secret_.empty() &&
        viewOf(Field.value()).find(Secret_) != std::string_view::npos)
      return false;
    return !HasOthers_ || !http::token_list(Connection_).exists(Name);
  }

private:
  const Vocabulary &Names_;
  std::string_view Secret_;
  boost::beast::string_view Connection_;
  bool HasOthers_;
};

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  Text += Name;
  Text += ": ";
  Text += Value;
  Text += "\r\n";
}

template <typename Message>
void appendFields(std::string &Text, const Message &Head,
                  std::string_view Secret, const Vocabulary &Names) {
  const Filter<Message> Filtered(Head, Secret, Names);
  for (const auto &Field : Head)
    if (Filtered.passes(Field))
      appendField(Text, viewOf(Field.name_string()), viewOf(Field.value()));
}

void appendFraming(std::string &Text, const Framing &Body) {
  if (Body.Chunked_)
    appendField(Text, "Transfer-Encoding", "chunked");
  else if (Body.Length_)
    appendField(Text, "Content-Length", std::to_string(*Body.Length_));
}

void appendForwarding(std::string &Text, const HostForwarding &Added,
                      const Vocabulary &Names) {
  appendField(Text, Names.ForwardedBy_, Added.ForwardedBy_);
  appendField(Text, Names.SendsLeft_, std::to_string(Added.SendsLeft_));
  appendField(Text, Names.SettingsVersion_,
              std::to_string(Added.LeastVersion_));
  if (!Added.Key_.empty())
    appendField(Text, "Authorization", "Bearer " + std::string(Added.Key_));
}

/// \returns the number that \p Text is; nothing where it is none.
template <typename Number>
std::optional<Number> numberOf(std::string_view Text) {
  Number Read = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Read);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Read;
}

/// \returns the value of the first of \p Fields that is present.
std::optional<std::string_view>
firstValueOf(const AnswerReader::Message &Head,
             const std::vector<std::string> &Fields) {
  for (const std::string &Name : Fields)
    if (Head.count(Name) > 0)
      return viewOf(Head[Name]);
  return std::nullopt;
}

/// Stated run times outside of these bounds, as multiples of the usual time,
/// are taken for faults of the target.
constexpr double MinRunTimeFactor = 0.1;
constexpr double MaxRunTimeFactor = 100;

/// \returns the factor that a target states in percent; empty where \p Text is
/// no number or out of bounds.
std::optional<double> runTimeFactorOf(std::string_view Text) {
  double Percent = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Percent,
                      std::chars_format::fixed);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  const double Factor = Percent / 100;
  // False for "nan" as well.
  if (Factor >= MinRunTimeFactor && Factor <= MaxRunTimeFactor)
    return Factor;
  return std::nullopt;
}

/// Room for a usual head without a second allocation.
constexpr std::size_t UsualHeadBytes = 512;

} // namespace

std::string requestFieldsFor(const RequestReader::Message &Head,
                             std::string_view PresentedKey,
                             const Vocabulary &Names) {
  std::string Text;
  Text.reserve(UsualHeadBytes);
  if (Head.count(http::field::host) == 0)
    appendField(Text, "Host", "");
  appendFields(Text, Head, PresentedKey, Names);
  return Text;
}

std::string requestHeadFor(const CallerRequest &Read, std::string_view Fields,
                           const ForwardedRequest &Added,
                           const Vocabulary &Names) {
  std::string Text;
  Text.reserve(UsualHeadBytes);
  Text += Read.Method_;
  Text += ' ';
  Text += Read.RequestTarget_;
  Text += " HTTP/1.1\r\n";
  Text += Fields;
  appendField(Text, Names.RequestId_, Added.RequestId_);
  if (!Added.Customer_.empty())
    appendField(Text, Names.Customer_, Added.Customer_);
  if (!Names.ExpectedTarget_.empty() && !Added.ExpectedTarget_.empty())
    appendField(Text, Names.ExpectedTarget_, Added.ExpectedTarget_);
  appendField(Text, Names.Deadline_,
              std::to_string(base::toMilliseconds(Added.TimeLeft_)));
  if (Added.ToHost_)
    appendForwarding(Text, *Added.ToHost_, Names);
  appendFraming(Text, Added.Body_);
  Text += "\r\n";
  return Text;
}

std::string answerHeadFor(const AnswerReader::Message &Head,
                          const ForwardedAnswer &Added,
                          const Vocabulary &Names) {
  std::string Text;
  Text.reserve(UsualHeadBytes);
  Text += "HTTP/1.1 ";
  Text += std::to_string(Head.result_int());
  Text += ' ';
  Text += viewOf(Head.reason());
  Text += "\r\n";
  appendFields(Text, Head, {}, Names);
  appendField(Text, Names.RequestId_, Added.RequestId_);
  if (Added.ToHost_)
    Text += headerLinesFor(*Added.ToHost_, Names);
  if (!Added.KeepAlive_)
    appendField(Text, "Connection", "close");
  appendFraming(Text, Added.Body_);
  Text += "\r\n";
  return Text;
}

std::string headerLinesFor(const ToldToHost &Told, const Vocabulary &Names) {
  std::string Text;
  appendField(Text, Names.SettingsVersion_,
              std::to_string(Told.SettingsVersion_));
  appendField(Text, Names.SendsMade_, std::to_string(Told.Sends_));
  return Text;
}

std::string chunkSizeLine(std::size_t Bytes) {
  std::array<char, 16> Digits{};
  const auto Written =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Bytes, 16);
  return std::string(Digits.data(), Written.ptr) + "\r\n";
}

bool saysNotRun(const AnswerReader::Message &Head, const Vocabulary &Names) {
  if (!Names.ExpectedTarget_.empty() &&
      Head.result() == http::status::misdirected_request)
    return true;
  if (Head.result_int() < 400 || Head.count(Names.NotRun_) == 0)
    return false;
  return Names.NotRunValue_.empty()
             ? true
             : Head.result() == http::status::service_unavailable &&
                   iequals(Head[Names.NotRun_], Names.NotRunValue_);
}

bool refusedByHost(const AnswerReader::Message &Head, const Vocabulary &Names) {
  return Head.count(Names.Reason_) > 0 &&
         promisesNotRun(static_cast<int>(Head.result_int()));
}

bool refusedForHost(const AnswerReader::Message &Head,
                    const Vocabulary &Names) {
  if (!refusedByHost(Head, Names))
    return false;
  const std::string_view Reason = viewOf(Head[Names.Reason_]);
  return Reason == steering::nameOf(steering::Refusal::TargetsUnreached) ||
         Reason == steering::nameOf(steering::Refusal::KeysStale) ||
         Reason == steering::nameOf(steering::Refusal::SettingsOld) ||
         Reason == steering::nameOf(steering::Refusal::Stopping);
}

std::optional<std::uint64_t>
settingsVersionOf(const AnswerReader::Message &Head, const Vocabulary &Names) {
  return numberOf<std::uint64_t>(viewOf(Head[Names.SettingsVersion_]));
}

std::optional<std::uint32_t> sendsMadeOf(const AnswerReader::Message &Head,
                                         const Vocabulary &Names) {
  return numberOf<std::uint32_t>(viewOf(Head[Names.SendsMade_]));
}

std::optional<steering::TargetLoad> loadOf(const AnswerReader::Message &Head,
                                           const Vocabulary &Names) {
  if (Names.TargetLoad_.empty())
    return std::nullopt;
  std::string_view Text = viewOf(Head[Names.TargetLoad_]);
  steering::TargetLoad Read;
  for (std::uint32_t *Each : {&Read.Running_, &Read.Waiting_, &Read.Slots_}) {
    const auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), *Each);
    if (Error != std::errc())
      return std::nullopt;
    Text.remove_prefix(static_cast<std::size_t>(End - Text.data()));
    if (!Text.empty())
      Text.remove_prefix(1);
  }
  // Values after the fourth are ignored.
  Read.RunTimeFactor_ = runTimeFactorOf(Text.substr(0, Text.find(',')));
  return Read;
}

steering::StatedRate statedRateOf(const AnswerReader::Message &Head,
                                  const Vocabulary &Names) {
  const std::optional<std::string_view> Text =
      firstValueOf(Head, Names.TargetRate_);
  if (!Text)
    return {};
  double PerSecond = 0;
  const auto [End, Error] =
      std::from_chars(Text->data(), Text->data() + Text->size(), PerSecond,
                      std::chars_format::fixed);
  if (Error != std::errc() || End != Text->data() + Text->size() ||
      !std::isfinite(PerSecond) || PerSecond < 0)
    return {std::nullopt, true};
  return {PerSecond, false};
}

steering::StatedRest statedRestOf(const AnswerReader::Message &Head,
                                  base::WallPoint Now) {
  if (Head.result() != http::status::service_unavailable ||
      Head.count(http::field::retry_after) == 0)
    return {};
  const std::optional<base::Duration> Read =
      parseRetryAfter(viewOf(Head[http::field::retry_after]), Now);
  return {Read, !Read};
}

bool statesLeaving(const AnswerReader::Message &Head, const Vocabulary &Names) {
  return firstValueOf(Head, Names.TargetLeaving_) == "1";
}

std::optional<base::Duration> keepAliveOf(const AnswerReader::Message &Head) {
  // A parameter list, but with commas.
  std::string Text = ";" + std::string(Head[http::field::keep_alive]);
  std::replace(Text.begin(), Text.end(), ',', ';');
  for (const auto &[Name, Value] : http::param_list(Text)) {
    std::uint32_t Seconds = 0;
    const std::string_view Digits = viewOf(Value);
    const auto [End, Error] =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
    if (iequals(Name, "timeout") && Error == std::errc() &&
        End == Digits.data() + Digits.size())
      return std::chrono::seconds(Seconds);
  }
  return std::nullopt;
}

steering::TargetStatement statementOf(const AnswerReader::Message &Head,
                                      const Vocabulary &Names,
                                      base::WallPoint Now) {
  return {statedRateOf(Head, Names), statedRestOf(Head, Now),
          statesLeaving(Head, Names)};
}

} // namespace lychee::gateway
