#include "gateway/Lookup.h"

#include <json/writer.h>

namespace lychee::gateway {

namespace {

void appendQuoted(std::string &Text, const std::string &Value) {
  Text += Json::valueToQuotedString(Value.c_str());
}

} // namespace

std::optional<std::string_view>
serviceOfQuery(std::string_view Query) noexcept {
  static constexpr std::string_view Name = "service=";
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    if (Pair.starts_with(Name) && Pair.size() > Name.size())
      return Pair.substr(Name.size());
    if (End == std::string_view::npos)
      break;
    Query.remove_prefix(End + 1);
  }
  return std::nullopt;
}

std::string renderLookup(std::string_view Service, const HostAnswer &Found) {
  std::string Text = "{\"service\":";
  appendQuoted(Text, std::string(Service));
  Text += ",\"hosts\":[";
  for (const HostEntry &Host : Found.Hosts_) {
    if (&Host != &Found.Hosts_.front())
      Text += ',';
    Text += "{\"address\":";
    appendQuoted(Text, Host.Address_);
    Text += ",\"host\":";
    appendQuoted(Text, Host.Host_.name());
    Text += ",\"region\":";
    appendQuoted(Text, Host.Region_.name());
    Text += ",\"zone\":";
    appendQuoted(Text, Host.Zone_.name());
    Text += '}';
  }
  Text += "],\"ttlSeconds\":";
  Text += std::to_string(
      std::chrono::duration_cast<std::chrono::seconds>(Found.TimeToLive_)
          .count());
  Text += ",\"settingsVersion\":" + std::to_string(Found.SettingsVersion_);
  Text += "}\n";
  return Text;
}

} // namespace lychee::gateway
