#include "reporting/Log.h"

#include "base/SystemClock.h"
#include "reporting/LineWriter.h"

#include <algorithm>
#include <atomic>
#include <easylogging++.h>
#include <memory>
#include <mutex>
#include <unistd.h>

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

/// The one writer of this process. \param Batch  counts at the first call.
LineWriter &lineWriter(bool Batch = false) {
  static LineWriter Writer(STDOUT_FILENO, Batch);
  return Writer;
}

/// \returns the word after "event="; "other" where there is none.
std::string_view kindOf(std::string_view Line) noexcept {
  static constexpr std::string_view Mark = "event=";
  const std::size_t Found = Line.find(Mark);
  if (Found == std::string_view::npos)
    return "other";
  Line.remove_prefix(Found + Mark.size());
  return Line.substr(0, Line.find(' '));
}

/// Hands the library's finished lines to the writer.
class ToLineWriter final : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const std::string Line = Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(), true);
    const bool Urgent = Data->logMessage()->level() == el::Level::Warning ||
                        Data->logMessage()->level() == el::Level::Error;
    lineWriter().write(kindOf(Line), Line, Urgent,
                       base::SystemClock::monotonicNow());
  }
};

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

void configureLog(std::string_view Level, bool Batch) {
  createStorage();
  lineWriter(Batch);
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  Settings.setGlobally(el::ConfigurationType::SubsecondPrecision, "6");
  Settings.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(Settings);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<ToLineWriter>("ToLineWriter");
  LeastLevel = parseLevel(Level);
}

void flushLog() { lineWriter().flush(base::SystemClock::monotonicNow()); }

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
