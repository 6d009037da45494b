#include "reporting/Log.h"

#include <algorithm>
#include <atomic>
#include <easylogging++.h>
#include <memory>
#include <mutex>

// Made by the first line, not before main(): what runs before main cannot
// choose the order in which the libraries' own static objects come up.
INITIALIZE_NULL_EASYLOGGINGPP

namespace lychee::reporting {

namespace {

constexpr std::string_view Scheme = "bearer";

/// The library's own order of levels puts info above error, so we filter.
std::atomic<LogLevel> LeastLevel = LogLevel::Info;

LogLevel parseLevel(std::string_view Name) noexcept {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

void createStorage() {
  static std::once_flag Once;
  std::call_once(Once, [] {
    el::Helpers::setStorage(std::make_shared<el::base::Storage>(
        std::make_shared<el::base::DefaultLogBuilder>()));
  });
}

char lowered(char Character) noexcept {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool equalsLowered(char Left, char Right) noexcept {
  return lowered(Left) == Right;
}

/// What may stand between the scheme and the key, escapes of tab included.
bool isGap(char Character) noexcept {
  return Character == ' ' || Character == ':' || Character == '=';
}

bool endsKey(char Character) noexcept {
  return Character == ' ' || Character == '"' || Character == '\'' ||
         Character == ',';
}

} // namespace

std::string maskSecrets(std::string_view Line) {
  std::string Masked;
  while (true) {
    const auto Match = std::search(Line.begin(), Line.end(), Scheme.begin(),
                                   Scheme.end(), equalsLowered);
    if (Match == Line.end())
      break;
    const auto Start = std::find_if_not(
        Match + static_cast<std::ptrdiff_t>(Scheme.size()), Line.end(), isGap);
    const auto End = std::find_if(Start, Line.end(), endsKey);
    Masked.append(Line.begin(), Start);
    if (Start != End)
      Masked += "***";
    Line.remove_prefix(static_cast<std::size_t>(End - Line.begin()));
  }
  return Masked.append(Line);
}

void configureLog(std::string_view Level) {
  createStorage();
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  Settings.setGlobally(el::ConfigurationType::SubsecondPrecision, "6");
  Settings.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(Settings);
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  LeastLevel = parseLevel(Level);
}

void logLine(LogLevel Level, const base::KeyValueLine &Event) {
  logLine(Level, std::string_view(Event.text()));
}

void logLine(LogLevel Level, std::string_view Event) {
  if (Level < LeastLevel.load(std::memory_order_relaxed))
    return;
  createStorage();
  const std::string Text = maskSecrets(Event);
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << "level=debug " << Text;
    return;
  case LogLevel::Info:
    LOG(INFO) << "level=info " << Text;
    return;
  case LogLevel::Warning:
    LOG(WARNING) << "level=warning " << Text;
    return;
  case LogLevel::Error:
    LOG(ERROR) << "level=error " << Text;
    return;
  }
}

void logThrown(std::string_view Event, const std::exception_ptr &Thrown) {
  if (!Thrown)
    return;
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Failure) {
    logLine(
        LogLevel::Error,
        base::KeyValueLine().add("event", Event).add("reason", Failure.what()));
  }
}

} // namespace lychee::reporting
